package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/baobabsail/baobabsail/core/api"
)

// These tests simulate nodes in front of one cold replica. The nodes learn of changes to the
// list of nodes at different times, lose the store and each other, and start and stop.

const (
	// simListAge is the greatest age of a node's list while it has the store.
	simListAge = 3 * time.Second
	simStep    = 10 * time.Millisecond
	// simPermitTimeout is how long a node waits for an allocator.
	simPermitTimeout = 100 * time.Millisecond
)

// simNode is one process of a node.
type simNode struct {
	name    string
	limiter *Limiter
	alloc   *Allocator
	ranks   *Ranks
	nodes   []string
	version int // of nodes
	lost    bool
	// waiting is the number of requests that wait for a permit.
	waiting int
	// side is the part of the network that the node is in; it reaches only nodes in the same
	// part. Part 0 has the store.
	side int
	// failedUntil holds the nodes that did not respond, and until when others are asked.
	failedUntil map[string]time.Time
}

type simEvent struct {
	at time.Time
	do func()
}

// simulation runs nodes that all have requests for the replica "r", which is cold.
type simulation struct {
	rng    *rand.Rand
	now    time.Time
	bounds ColdBounds
	rate   float64
	// listed is the list of nodes in the store.
	listed []string
	// version counts the changes of listed.
	version int
	nodes   map[string]*simNode
	events  []simEvent
	// sent holds the times at which requests were sent.
	sent   []time.Time
	demand float64
}

func newSimulation(seed uint64, nodes int, rate float64, bounds ColdBounds) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: start, bounds: bounds, rate: rate,
		nodes: make(map[string]*simNode), demand: 4 * rate / float64(nodes),
	}
	for i := range nodes {
		s.start(fmt.Sprintf("n%03d", i))
	}
	s.publish()
	return s
}

func (s *simulation) names() []string {
	var names []string
	for name := range s.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *simulation) after(d time.Duration, do func()) {
	s.events = append(s.events, simEvent{s.now.Add(d), do})
}

// start starts a process of a node, which replaces a running one.
func (s *simulation) start(name string) {
	n := &simNode{
		name: name, limiter: NewLimiter(), alloc: NewAllocator(), ranks: NewRanks(name, simListAge),
		failedUntil: make(map[string]time.Time),
	}
	n.limiter.SetCold("r", s.rate)
	s.nodes[name] = n
	if !slices.Contains(s.listed, name) {
		s.listed = append(slices.Clone(s.listed), name)
		slices.Sort(s.listed)
	}
}

// stop ends a process. Its entry in the store lapses later.
func (s *simulation) stop(name string) {
	stopped := s.nodes[name]
	delete(s.nodes, name)
	s.after(time.Duration(s.rng.Int64N(int64(4*time.Second))), func() {
		if s.nodes[name] == nil || s.nodes[name] == stopped {
			s.listed = slices.DeleteFunc(slices.Clone(s.listed), func(n string) bool { return n == name })
			s.publish()
		}
	})
}

// publish lets each node that has the store read the list within simListAge.
func (s *simulation) publish() {
	s.version++
	for _, name := range s.names() {
		s.read(s.nodes[name])
	}
}

// read lets a node read the present list within simListAge.
func (s *simulation) read(n *simNode) {
	list, version := s.listed, s.version
	s.after(time.Duration(s.rng.Int64N(int64(simListAge))), func() {
		if s.nodes[n.name] == n && !n.lost && version > n.version {
			n.version, n.nodes = version, list
			n.ranks.SetNodes(s.now, list)
		}
	})
}

// cut moves a node to another part of the network. It loses the store within simListAge.
func (s *simulation) cut(name string, side int) {
	n := s.nodes[name]
	n.side = side
	if side == 0 {
		s.after(time.Duration(s.rng.Int64N(int64(time.Second))), func() {
			if n.lost && n.side == 0 {
				n.lost = false
				n.nodes, n.version = s.listed, s.version
				n.ranks.StoreBack(s.now)
				n.ranks.SetNodes(s.now, s.listed)
			}
		})
		return
	}
	s.after(time.Duration(s.rng.Int64N(int64(simListAge))), func() {
		if n.side != 0 {
			n.lost = true
			n.ranks.StoreLost(s.now)
		}
	})
}

// request lets a node send a request if it has a permit. Otherwise the request waits for one
// exchange with the allocator.
func (s *simulation) request(n *simNode) {
	n.waiting++
	if s.send(n) {
		return
	}
	r, ok := n.limiter.Miss(s.now, "r", n.waiting)
	if !ok {
		if !n.limiter.Requesting("r") {
			n.waiting = 0
		}
		return
	}
	to := s.allocatorOf(n)
	if to == n.name {
		s.granted(n, s.allocate(n, r))
		return
	}
	delay := time.Duration(s.rng.Int64N(int64(20 * time.Millisecond)))
	if s.rng.IntN(20) == 0 {
		delay = time.Duration(s.rng.Int64N(int64(simPermitTimeout * 11 / 10)))
	}
	s.after(delay/2, func() {
		other := s.nodes[to]
		reached := other != nil && other.side == n.side
		var g Grant
		if reached {
			g = s.allocate(other, r)
		}
		if !reached || delay > simPermitTimeout {
			s.after(simPermitTimeout-delay/2, func() {
				n.limiter.Failed("r")
				n.failedUntil[to] = s.now.Add(2 * time.Second)
				n.waiting = 0
			})
			return
		}
		s.after(delay/2, func() { s.granted(n, g) })
	})
}

// send sends the requests of a node for which it has permits, and reports whether none wait any
// more. A process that was replaced sends nothing.
func (s *simulation) send(n *simNode) bool {
	for n.waiting > 0 && n.limiter.Permitted(s.now, "r") && s.nodes[n.name] == n {
		n.limiter.Use("r")
		n.waiting--
		s.sent = append(s.sent, s.now)
	}
	return n.waiting == 0
}

func (s *simulation) granted(n *simNode, g Grant) {
	n.limiter.Granted(s.now, g)
	s.send(n)
	n.waiting = 0
}

func (s *simulation) allocate(n *simNode, r Request) Grant {
	return n.alloc.Allocate(s.now, r, 1, s.bounds.Share(r.ColdPerSecond, n.ranks.Of(s.now, r.Replica)))
}

func (s *simulation) allocatorOf(n *simNode) string {
	best := n.name
	var lowest uint64
	for _, name := range n.nodes {
		if s.now.Before(n.failedUntil[name]) {
			continue
		}
		if h := AllocatorHash(name, "r"); lowest == 0 || h < lowest {
			best, lowest = name, h
		}
	}
	return best
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		for i := 0; i < len(s.events); {
			if ev := s.events[i]; !ev.at.After(s.now) {
				s.events = slices.Delete(s.events, i, i+1)
				ev.do()
				continue
			}
			i++
		}
		for _, name := range s.names() {
			if s.rng.Float64() < s.demand*simStep.Seconds() {
				s.request(s.nodes[name])
			}
		}
	}
}

// most returns the largest number of requests in any second.
func (s *simulation) most() int {
	slices.SortFunc(s.sent, time.Time.Compare)
	from, most := 0, 0
	for i, at := range s.sent {
		for at.Sub(s.sent[from]) > time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

var coldBounds = ColdBounds{Overage: 1.5, Slack: 5}

// Guards against a cold replica that gets more requests in some second than its bound allows
// while nodes start, stop, crash, restart, lose the store or each other, or learn late of other
// nodes.
func TestColdLimitHoldsWhateverHappensToNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.5, 1, 2, 5, 12, 40}).Draw(t, "rate")
		bounds := rapid.SampledFrom([]ColdBounds{coldBounds, {Overage: 1, Slack: 0}, {Overage: 1.2, Slack: 2}, {Overage: 1.5, Slack: 20}}).Draw(t, "bounds")
		nodes := rapid.SampledFrom([]int{1, 2, 6, 25}).Draw(t, "nodes")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), nodes, rate, bounds)
		for range rapid.IntRange(3, 15).Draw(t, "changes") {
			switch rapid.IntRange(0, 5).Draw(t, "change") {
			case 0:
				s.start(fmt.Sprintf("n%03d", rapid.IntRange(0, 2*nodes).Draw(t, "started")))
				s.publish()
			case 1:
				if names := s.names(); len(names) > 1 {
					s.stop(rapid.SampledFrom(names).Draw(t, "stopped"))
				}
			case 2, 3:
				for _, name := range s.names() {
					if rapid.Bool().Draw(t, "cut "+name) {
						s.cut(name, rapid.IntRange(1, 3).Draw(t, "side"))
					}
				}
			case 4:
				for _, name := range s.names() {
					s.cut(name, 0)
				}
			}
			s.run(time.Duration(rapid.SampledFrom([]int{50, 700, 2000, 4000, 8000, 12000, 20000}).Draw(t, "ms")) * time.Millisecond)
		}
		if most := s.most(); float64(most) > bounds.Bound(rate) {
			t.Fatalf("rate %v, %+v: %d requests in a second, allowed %.2f", rate, bounds, most, bounds.Bound(rate))
		}
	})
}

// Guards against cold replicas that get far fewer requests than they can take although there is
// demand: after the nodes have agreed on the allocator, and after its loss.
func TestColdLimitIsUsed(t *testing.T) {
	for _, nodes := range []int{1, 6, 71, 300} {
		for _, rate := range []float64{2, 10, 40} {
			s := newSimulation(1, nodes, rate, coldBounds)
			s.run(10 * time.Second)
			before := len(s.sent)
			s.run(20 * time.Second)
			used := float64(len(s.sent)-before) / (20 * rate)
			t.Logf("%d nodes, %v a second: %.2f of the rate is used", nodes, rate, used)
			if used < 0.7 {
				t.Errorf("%d nodes, %v a second: %.2f of the rate is used", nodes, rate, used)
			}
			if most := s.most(); float64(most) > coldBounds.Bound(rate) {
				t.Errorf("%d nodes: %d requests in a second, allowed %.1f", nodes, most, coldBounds.Bound(rate))
			}
		}
	}
}

// Guards against more grants from the slack than it holds: each disconnected node grants
// itself permits, and there may be more nodes than the slack has.
func TestDisconnectedNodesUseOnlyTheSlack(t *testing.T) {
	for _, nodes := range []int{2, 6, 71} {
		s := newSimulation(1, nodes, 10, coldBounds)
		s.run(30 * time.Second)
		for i, name := range s.names() {
			s.cut(name, i+1)
		}
		s.run(simListAge + simPermitTimeout)
		s.sent = nil
		s.run(5 * time.Second)
		if most := s.most(); float64(most) > coldBounds.Slack {
			t.Errorf("%d nodes: %d requests in a second, allowed %.0f", nodes, most, coldBounds.Slack)
		}
		if len(s.sent) == 0 {
			t.Errorf("%d nodes: the slack is not used", nodes)
		}
	}
}

// Guards against permits from before a replica was cold that are used while it is cold, and
// against permits of an allocator that knows no cold limits.
func TestPermitsFromBeforeAreNotUsedForColdReplicas(t *testing.T) {
	l := NewLimiter()
	l.Observe(start, "r", true, 50, start)
	l.Miss(start, "r", 4)
	l.Granted(start, Grant{Replica: "r", Statement: limited(50), Permits: 4})
	l.Miss(start, "r", 4)
	l.SetCold("r", 2)
	if l.Permitted(start, "r") {
		t.Error("a permit from before is used")
	}
	l.Granted(start.Add(time.Millisecond), Grant{Replica: "r", Statement: limited(50), Permits: 4})
	if l.Permitted(start.Add(time.Millisecond), "r") {
		t.Error("a permit without the cold limit is used")
	}
}

// Guards against a permit whose life is prolonged by a response that arrives late.
func TestColdPermitsExpireAfterTheirRequest(t *testing.T) {
	l := NewLimiter()
	l.SetCold("r", 5)
	l.Miss(start, "r", 1)
	l.Granted(start.Add(90*time.Millisecond), Grant{Replica: "r", Cold: true, Permits: 1, Statement: Statement{Age: unstatedAge}})
	if !l.Permitted(start.Add(coldPermitTTL-1), "r") || l.Permitted(start.Add(coldPermitTTL), "r") {
		t.Error("the permit does not expire a fixed time after its request")
	}
}

// Guards against a named limit that is ended by a node that only knows that the replica is
// cold, and against a cold limit that ends with a named one.
func TestNamedAndColdLimitsAreIndependent(t *testing.T) {
	a, l := NewAllocator(), NewLimiter()
	share := coldBounds.Share(5, Rank{GrantsRate: true})
	a.Allocate(start, Request{Replica: "r", Statement: limited(8)}, 1, ColdShare{})
	l.SetCold("r", 5)
	r, _ := l.Miss(start, "r", 1)
	g := a.Allocate(start.Add(time.Second), r, 1, share)
	if !g.Statement.Limited || g.Statement.PerSecond != 8 || !g.Cold || g.Permits != 1 {
		t.Errorf("%+v", g)
	}
	l.Granted(start.Add(time.Second), g)
	if l.SetCold("r", 0); !l.Limited("r") {
		t.Error("the named limit ended with the cold one")
	}
	l.SetCold("r", 5)
	if c := l.Observe(start.Add(2*time.Second), api.ReplicaName("r"), false, 0, start.Add(1500*time.Millisecond)); c != Ended || !l.Cold("r") {
		t.Errorf("%v, cold %v", c, l.Cold("r"))
	}
}

// Guards against messages for permits that would expire unused: the node has a request for the
// replica now and then, and each can go elsewhere.
func TestRareRequestsAskForNoColdPermits(t *testing.T) {
	l := NewLimiter()
	l.SetCold("r", 5)
	for s := range 5 {
		if _, ok := l.Miss(start.Add(time.Duration(s)*time.Second), "r", 0); ok {
			t.Error("a permit is requested for a request that goes elsewhere")
		}
	}
	if _, ok := l.Miss(start.Add(4*time.Second+coldPermitTTL/2), "r", 0); !ok {
		t.Error("no permit is requested although the next request followed soon")
	}
	if l.Failed("r"); true {
		if _, ok := l.Miss(start.Add(9*time.Second), "r", 1); !ok {
			t.Error("no permit is requested for a request that can go nowhere else")
		}
	}
}

// Guards against a node that grants the rate with a list that is older than it may be, before it
// takes the store for lost, or right after such a time.
func TestOutdatedListGrantsNoRate(t *testing.T) {
	r := NewRanks("n1", simListAge)
	r.SetNodes(start, []string{"n1"})
	now := start
	for ; now.Sub(start) < 10*time.Second; now = now.Add(time.Second) {
		r.Confirmed(now, now)
	}
	if !r.Of(now, "r").GrantsRate {
		t.Fatal("the only node does not grant the rate")
	}
	now = now.Add(simListAge)
	if r.Of(now, "r").GrantsRate {
		t.Error("the rate is granted with an outdated list")
	}
	r.Confirmed(now, now)
	if r.Of(now, "r").GrantsRate {
		t.Error("the rate is granted right after the list was outdated")
	}
	for end := now.Add(r.rateHold()); now.Before(end); now = now.Add(time.Second) {
		r.Confirmed(now, now)
	}
	if !r.Of(now, "r").GrantsRate {
		t.Error("the rate is never granted again")
	}
}
