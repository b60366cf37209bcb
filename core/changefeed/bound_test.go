package changefeed

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// boundModel runs a model and checks that nodes which the store answers know each change
// within modelApplyTime.
type boundModel struct {
	*model
	// disturbedAt is when a node was last paused or refused by the store.
	disturbedAt map[string]time.Time
	// written holds the newest position of the store after each tick.
	written []modelWrite
}

// modelWrite is the position of the store at a time.
type modelWrite struct {
	at time.Time
	to Position
}

func newBoundModel(t *rapid.T, nodes int) *boundModel {
	b := &boundModel{model: newModel(t), disturbedAt: make(map[string]time.Time)}
	for len(b.nodes) < nodes {
		b.startNode()
	}
	b.advance(modelApplyTime)
	return b
}

// run changes a key in each tick and checks the undisturbed nodes after it.
func (b *boundModel) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.store.put("replicas/changing")
		b.written = append(b.written, modelWrite{b.now, Position{b.store.era, b.store.revision}})
		b.tick()
		b.check()
	}
}

// check fails if a node has not been disturbed for modelApplyTime and does not know a
// change of that age.
func (b *boundModel) check() {
	due := b.now.Add(-modelApplyTime)
	for len(b.written) > 1 && !b.written[1].at.After(due) {
		b.written = b.written[1:]
	}
	for _, name := range b.names() {
		n := b.nodes[name]
		if n.paused || n.refused {
			b.disturbedAt[name] = b.now
		}
		if b.disturbedAt[name].After(due) || b.written[0].at.After(due) {
			continue
		}
		if p := n.log.Position(); p.Before(b.written[0].to) {
			b.t.Fatalf("%s knows %+v, although the store held %+v %v ago; age %v, source %q, watches %v", name, p,
				b.written[0].to, b.now.Sub(b.written[0].at), n.age(b.now), n.source, n.chooser.Watches())
		}
	}
}

// disturb draws for each node whether it is paused, cut off from the other nodes, or
// refused by the store, with the given chances in percent.
func (b *boundModel) disturb(paused, partitioned, refused int) {
	for _, name := range b.names() {
		n := b.nodes[name]
		n.paused = rapid.IntRange(0, 99).Draw(b.t, "paused") < paused
		n.partitioned = rapid.IntRange(0, 99).Draw(b.t, "partitioned") < partitioned
		n.refused = rapid.IntRange(0, 99).Draw(b.t, "refused") < refused
	}
}

// Guards against nodes that try one silent source after the other and serve an outdated
// configuration meanwhile, although the store would answer them: 60 % of 60 nodes are
// paused and 30 % are cut off from the other nodes (CONFIG).
func TestNodesWithSilentSourcesReadTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBoundModel(t, 60)
		b.disturb(60, 30, 0)
		b.run(3 * modelApplyTime)
	})
}

// Guards against nodes that keep a source which still sends and has no news: all ranked
// nodes are refused by the store, and most others are paused.
func TestNodesWithOutdatedSourcesReadTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBoundModel(t, 60)
		b.disturb(60, 0, 0)
		for _, n := range b.nodes {
			if n.chooser.ranked {
				n.refused, n.paused = true, false
			}
		}
		b.run(3 * modelApplyTime)
	})
}

// Guards against any series of pauses, partitions, refusals and lost nodes in which a node
// that the store answers does not know a change in time.
func TestAnsweredNodesKnowChangesInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBoundModel(t, rapid.IntRange(16, 90).Draw(t, "nodes"))
		share := rapid.IntRange(0, 70)
		for i := range 4 {
			b.disturb(share.Draw(t, "paused share"), share.Draw(t, "partitioned share"), share.Draw(t, "refused share"))
			if rapid.Bool().Draw(t, "lost") {
				b.removeNode(b.anyNode().Node)
			}
			b.run(time.Duration(rapid.IntRange(5, 120).Draw(t, fmt.Sprint("ticks ", i))) * modelTick)
		}
	})
}

// Guards against an unranked node that reads the store with the longest wait, in which its
// data becomes outdated for the nodes that the store refuses and that follow it.
func TestUnrankedNodeMayHaveFollowers(t *testing.T) {
	var members []Member
	for i := range minNodesForFollowing {
		name := fmt.Sprintf("n%02d", i)
		members = append(members, Member{Node: name, DataCentre: "dc-a", Address: name})
	}
	last := members[len(members)-1]
	c := NewChooser(last, NewBounds(modelApplyTime, modelWatchWait))
	if c.MayHaveFollowers() {
		t.Error("a node that knows no others expects followers")
	}
	c.SetMembers(members)
	if c.ranked || !c.MayHaveFollowers() {
		t.Errorf("%s: ranked %v, may have followers %v", last.Node, c.ranked, c.MayHaveFollowers())
	}
}

// Guards against a node that takes the store for lost although it answers other nodes, whose
// data is outdated while they read a backlog, and against one that never does (a third of the
// nodes refused while 600 changes arrive).
func TestStoreIsLostOnlyIfItAnswersNobody(t *testing.T) {
	bounds := NewBounds(1200*time.Millisecond, 400*time.Millisecond)
	fresh, old := bounds.MaxAge/2, 2*bounds.MaxAge
	for _, tc := range []struct {
		name   string
		before Health // reported by another source, elapsed ago
		ago    time.Duration
		last   Health
		// advanced is set if the messages of both brought changes.
		advanced bool
		age      time.Duration
		lost     bool
	}{
		{"another source reads a backlog", Health{Age: old, Direct: true}, bounds.SourceTimeout / 2, Health{Age: old}, true, old, false},
		{"another source reads a backlog, the last one fails", Health{Age: old, Direct: true}, bounds.SourceTimeout / 2, Health{Age: old, Failing: true}, true, old, false},
		{"another source is confirmed", Health{Age: fresh, Direct: true}, bounds.SourceTimeout / 2, Health{Age: old}, false, old, false},
		{"the last source reads a backlog itself", Health{}, time.Hour, Health{Age: old, Direct: true}, true, old, false},
		{"own data is confirmed", Health{}, time.Hour, Health{Age: old}, false, fresh, false},
		{"nobody has heard of the store", Health{Age: old, Direct: true}, bounds.SourceTimeout, Health{Age: old}, true, old, true},
		{"the source fails", Health{}, time.Hour, Health{Failing: true}, false, fresh, true},
		// A source says so until its own call to the store has failed. Two nodes that follow each
		// other would keep each other from reporting the loss.
		{"the last source was answered long ago", Health{}, time.Hour, Health{Age: old, Direct: true}, false, old, true},
	} {
		c := NewChooser(Member{Node: "n"}, bounds)
		now := time.Unix(1_000_000, 0)
		c.ReportHealth(now.Add(-tc.ago), "other", tc.before, tc.advanced)
		c.ReportHealth(now, "last", tc.last, tc.advanced)
		if lost := c.StoreLost(now, tc.last, tc.age); lost != tc.lost {
			t.Errorf("%s: lost is %v", tc.name, lost)
		}
	}
}
