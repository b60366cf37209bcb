package changefeed

import (
	"flag"
	"fmt"
	"iter"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of checks; -rapid.seed and -rapid.checks on the
// command line override them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.steps", "40")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const (
	modelTick      = 100 * time.Millisecond
	modelApplyTime = 6 * time.Second
	modelWatchWait = 2 * time.Second
	modelPageSize  = 20 // maximum number of changes in one answer of the store
	modelNodes     = 20
)

// modelStore models the store: its current keys and the history that is not compacted.
type modelStore struct {
	era       uint64
	revision  int64
	items     map[string]Change
	history   []Change
	compacted int64
	down      bool
	calls     int
}

func (s *modelStore) put(key string) {
	s.revision++
	s.add(Change{Key: key, Value: []byte(fmt.Sprint(s.era, s.revision)), Revision: s.revision})
}

func (s *modelStore) remove(key string) {
	if _, ok := s.items[key]; ok {
		s.revision++
		s.add(Change{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *modelStore) add(c Change) {
	s.history = append(s.history, c)
	if c.Deleted {
		delete(s.items, c.Key)
	} else {
		s.items[c.Key] = c
	}
}

// restore resets the store to an older snapshot.
func (s *modelStore) restore(old modelStore) {
	*s = old
	s.items, s.history = maps.Clone(old.items), slices.Clone(old.history)
}

// changesAfter returns the changes of one answer and the revision up to which it is complete.
func (s *modelStore) changesAfter(revision int64) ([]Change, int64) {
	i := slices.IndexFunc(s.history, func(c Change) bool { return c.Revision > revision })
	if i < 0 {
		return nil, s.revision
	}
	if found := s.history[i:]; len(found) > modelPageSize {
		return found[:modelPageSize], found[modelPageSize-1].Revision
	}
	return s.history[i:], s.revision
}

// modelNode drives a Log and a Chooser as the feed of a real node does, in steps instead
// of calls.
type modelNode struct {
	Member
	log           *Log
	chooser       *Chooser
	listed        bool // the node has listed the keys of the store once
	historyLost   bool // the store compacted the history that the node needs
	confirmedAt   time.Time
	failing       bool
	direct        bool
	source        string
	lastMessageAt time.Time // of the source
	// A partitioned node reaches no other node, a refused one cannot reach the store, and
	// a paused one does nothing.
	partitioned, refused, paused bool
	// nextCall is when the node next lists or watches the store, nextProbe when it next
	// checks whether the store answers.
	nextCall, nextProbe time.Time
}

// model simulates nodes and the store, with injected faults.
type model struct {
	t     *rapid.T
	now   time.Time
	store *modelStore
	nodes map[string]*modelNode
	// snapshots are earlier states of the store.
	snapshots []modelStore
	nextID    int
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: time.Unix(0, 0), nodes: make(map[string]*modelNode),
		store: &modelStore{era: 1, revision: 1, items: make(map[string]Change)},
	}
	for range modelNodes {
		m.startNode()
	}
	return m
}

// startNode adds a node and its entry in the store.
func (m *model) startNode() {
	name := fmt.Sprintf("n%02d", m.nextID)
	self := Member{Node: name, DataCentre: api.DataCentre(fmt.Sprintf("dc-%d", m.nextID%3)), Address: name}
	m.nextID++
	m.nodes[name] = &modelNode{Member: self, log: NewLog(), chooser: NewChooser(self, NewBounds(modelApplyTime, modelWatchWait))}
	m.store.put("members/" + name + "/" + string(self.DataCentre))
}

// removeNode removes a node; its entry stays in the store until it lapses.
func (m *model) removeNode(name string) { delete(m.nodes, name) }

func (m *model) names() []string { return slices.Sorted(maps.Keys(m.nodes)) }

// tick advances the time by one step and runs each node that is not paused.
func (m *model) tick() {
	m.now = m.now.Add(modelTick)
	for _, name := range m.names() {
		if n := m.nodes[name]; !n.paused {
			before := n.log.Position()
			m.runNode(n)
			if n.log.Position().Before(before) {
				m.t.Fatalf("position of %s went back from %+v to %+v", name, before, n.log.Position())
			}
		}
	}
}

func (n *modelNode) age(now time.Time) time.Duration { return now.Sub(n.confirmedAt) }

func (m *model) runNode(n *modelNode) {
	if !n.listed {
		m.readStore(n)
		return
	}
	source, ok := n.chooser.Next(m.now, n.age(m.now))
	if !ok {
		n.source = ""
		m.readStore(n)
		return
	}
	if n.source != source.Node {
		n.source, n.lastMessageAt = source.Node, m.now
	}
	m.probe(n)
	m.follow(n, m.nodes[source.Node])
}

// probe calls the store for a ranked node that avoids it, to find out when the store
// answers the node again.
func (m *model) probe(n *modelNode) {
	if !n.chooser.Impaired(m.now) {
		return
	}
	if m.now.Before(n.nextProbe) {
		n.chooser.StoreFailed(m.now)
		return
	}
	n.nextProbe = m.now.Add(n.chooser.Bounds().SourceTimeout)
	m.store.calls++
	if !m.store.down && !n.refused {
		n.chooser.StoreAnswered(m.now)
	}
}

// readStore lists the keys of the store or watches it for changes.
func (m *model) readStore(n *modelNode) {
	if m.now.Before(n.nextCall) {
		return
	}
	m.store.calls++
	if m.store.down || n.refused {
		n.chooser.StoreFailed(m.now)
		n.failing, n.direct = true, false
		n.nextCall = m.now.Add(modelTick)
		return
	}
	p := n.log.Position()
	partial := false // more changes are pending, so that the answer does not confirm the node's data
	switch {
	case !n.listed || n.historyLost || p.Era != m.store.era:
		n.log.Replace(slices.Collect(maps.Values(m.store.items)), Position{m.store.era, m.store.revision})
		n.listed, n.historyLost = true, false
	case p.Revision < m.store.compacted:
		n.historyLost = true
		return
	default:
		changes, to := m.store.changesAfter(p.Revision)
		n.log.Append(Batch{Changes: changes, To: Position{p.Era, to}})
		partial = len(changes) == modelPageSize
	}
	n.chooser.StoreAnswered(m.now)
	n.failing, n.direct = false, true
	if !partial {
		n.confirmedAt = m.now
	}
	n.setMembers(p)
}

// follow receives changes from another node if it is reachable.
func (m *model) follow(n, source *modelNode) {
	if source == nil || source.paused || source.partitioned || n.partitioned || !source.listed {
		if m.now.Sub(n.lastMessageAt) >= n.chooser.Bounds().SourceTimeout || source == nil {
			n.chooser.SourceLost(m.now, n.source)
		}
		return
	}
	n.lastMessageAt = m.now
	before := n.log.Position()
	b := source.log.Since(before)
	h := Health{Age: source.age(m.now), Failing: source.failing, Direct: source.direct}
	if b.To.Before(n.log.Position()) && b.To.Era < n.log.Position().Era {
		n.chooser.SourceLost(m.now, n.source)
		return
	}
	if n.chooser.ReportHealth(m.now, n.source, h, false) {
		if at := m.now.Add(-h.Age); at.After(n.confirmedAt) {
			n.confirmedAt = at
		}
		n.failing, n.direct = false, false
	} else {
		n.failing, n.direct = true, false
	}
	switch {
	case b.To.Before(n.log.Position()):
	case b.Complete:
		n.log.Replace(b.Changes, b.To)
	default:
		n.log.Append(b)
	}
	n.setMembers(before)
}

// setMembers tells the chooser the list of nodes if the log knows more than before.
func (n *modelNode) setMembers(before Position) {
	if n.log.Position() == before {
		return
	}
	var members []Member
	for _, c := range n.log.liveChanges() {
		if parts := strings.Split(c.Key, "/"); parts[0] == "members" {
			members = append(members, Member{Node: parts[1], DataCentre: api.DataCentre(parts[2]), Address: parts[1]})
		}
	}
	n.chooser.SetMembers(members)
}

// clearFaults ends all faults except lost nodes and lost history.
func (m *model) clearFaults() {
	m.store.down = false
	for _, n := range m.nodes {
		n.partitioned, n.refused, n.paused = false, false, false
	}
}

func (m *model) advance(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.tick()
	}
}

// expectInSync checks that the nodes selected by include know exactly the keys and
// values in the store.
func (m *model) expectInSync(when string, include func(*modelNode) bool) {
	want := m.store.items
	for _, name := range m.names() {
		n := m.nodes[name]
		if !include(n) {
			continue
		}
		got := make(map[string]Change)
		for _, c := range n.log.liveChanges() {
			got[c.Key] = c
		}
		if !maps.EqualFunc(got, want, func(a, b Change) bool { return string(a.Value) == string(b.Value) }) {
			m.t.Fatalf("%s: %s at %+v knows %d keys, the store at %d/%d holds %d; source %q, watches %v", when, name,
				n.log.Position(), len(got), m.store.era, m.store.revision, len(want), n.source, n.chooser.Watches())
		}
	}
}

// settleTime is the time after faults within which every node must know the state of the
// store again; it equals the apply time of the settings.
const settleTime = modelApplyTime

func (m *model) anyNode() *modelNode {
	names := m.names()
	return m.nodes[rapid.SampledFrom(names).Draw(m.t, "node")]
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"change": func(t *rapid.T) {
			for range rapid.IntRange(1, 60).Draw(t, "changes") {
				m.store.put(fmt.Sprint("replicas/", rapid.IntRange(0, 40).Draw(t, "key")))
			}
		},
		"delete":  func(t *rapid.T) { m.store.remove(fmt.Sprint("replicas/", rapid.IntRange(0, 40).Draw(t, "key"))) },
		"pass":    func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")) * modelTick) },
		"compact": func(*rapid.T) { m.store.compacted, m.store.history = m.store.revision, nil },
		"down":    func(*rapid.T) { m.store.down = true },
		"up":      func(*rapid.T) { m.store.down = false },
		"refuse": func(t *rapid.T) {
			for _, name := range m.names() {
				m.nodes[name].refused = rapid.IntRange(0, 2).Draw(t, "refused") == 0
			}
		},
		"refuse watchers": func(*rapid.T) {
			for _, n := range m.nodes {
				n.refused = n.refused || n.chooser.Watches()
			}
		},
		"cut":   func(*rapid.T) { n := m.anyNode(); n.partitioned = !n.partitioned },
		"pause": func(*rapid.T) { n := m.anyNode(); n.paused = !n.paused },
		"lose a node": func(*rapid.T) {
			if len(m.nodes) > modelNodes/2 {
				m.removeNode(m.anyNode().Node)
			}
		},
		"lose the watchers": func(*rapid.T) {
			for _, name := range m.names() {
				if n := m.nodes[name]; n.chooser.Watches() && len(m.nodes) > modelNodes/2 {
					m.removeNode(name)
				}
			}
		},
		"start a node": func(*rapid.T) {
			if len(m.nodes) < 2*modelNodes {
				m.startNode()
			}
		},
		"lapse": func(*rapid.T) {
			for _, key := range slices.Sorted(maps.Keys(m.store.items)) {
				if parts := strings.Split(key, "/"); parts[0] == "members" && m.nodes[parts[1]] == nil {
					m.store.remove(key)
				}
			}
		},
		"copy": func(*rapid.T) {
			old := *m.store
			old.items, old.history = maps.Clone(old.items), slices.Clone(old.history)
			m.snapshots = append(m.snapshots, old)
		},
		"restore": func(*rapid.T) {
			if len(m.snapshots) == 0 {
				return
			}
			era, calls, down := m.store.era+1, m.store.calls, m.store.down
			m.store.restore(m.snapshots[len(m.snapshots)-1])
			m.store.era, m.store.calls, m.store.down = era, calls, down
			for _, name := range m.names() { // the nodes register again
				m.store.put("members/" + name + "/" + string(m.nodes[name].DataCentre))
			}
		},
	}
}

// Guards against any order of changes, lost nodes, pauses, partitions, refusals, outages
// and restores after which a node's keys differ from the store, its position goes back,
// or the store gets more calls than its watchers make.
func TestNodesMatchTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.advance(modelApplyTime)
		t.Repeat(m.actions())
		m.clearFaults()
		m.advance(settleTime)
		m.expectInSync("after the faults", func(*modelNode) bool { return true })
		m.store.put("replicas/last")
		m.advance(settleTime)
		m.expectInSync("after one more change", func(*modelNode) bool { return true })
		m.expectFewCalls()
	})
}

// members returns the running nodes.
func (m *model) members() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for _, n := range m.nodes {
			if !yield(n.Member) {
				return
			}
		}
	}
}

// expectFewCalls checks that without faults the store gets no more calls than its watchers
// make, one each in a step.
func (m *model) expectFewCalls() {
	watchers := 0
	for _, r := range Rankings(slices.Collect(m.members())) {
		watchers += r.Watching
	}
	if watchers == 0 {
		return // so few nodes that each one watches the store
	}
	m.actions()["lapse"](m.t)
	m.advance(settleTime)
	before := m.store.calls
	const ticks = 10
	m.advance(ticks * modelTick)
	if calls := m.store.calls - before; calls > watchers*ticks {
		m.t.Fatalf("%d store calls by %d nodes in %d steps, with %d watchers", calls, len(m.nodes), ticks, watchers)
	}
}

// Guards against a node that serves outdated data while the store refuses it but answers
// others. The store refuses all watchers and a third of the other nodes, except one node,
// while changes continue.
func TestRefusedNodesFollowOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.advance(modelApplyTime)
		served := m.anyNode().Node
		for _, name := range m.names() {
			n := m.nodes[name]
			n.refused = name != served && (n.chooser.Watches() || rapid.IntRange(0, 2).Draw(t, "refused") == 0)
		}
		for range 20 {
			m.store.put("replicas/changing")
			m.advance(modelTick)
		}
		m.advance(settleTime)
		m.expectInSync("while the store refuses all watchers but one", func(*modelNode) bool { return true })
	})
}
