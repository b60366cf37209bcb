package limit

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
)

var start = time.Unix(1_000_000, 0)

// gradient is an alternative that was ruled out: the limit is multiplied by the ratio
// of the lowest to the smoothed latency, and grows by its square root.
type gradient struct{ aimd }

func (g *gradient) observe(now time.Time, latency time.Duration, shed, busy bool) {
	if !shed {
		g.measure(now, latency)
	}
	if now.Before(g.holdUntil) {
		return
	}
	g.holdUntil = now.Add(max(g.smoothed(), minRoundTrip))
	if shed {
		g.limit = max(g.limit*shedFactor, g.minimum)
		return
	}
	ratio := min(max(1.5*g.trend.Lowest()/g.trend.Smoothed(), 0.5), 1)
	next := g.limit*ratio + math.Sqrt(g.limit)*0.25
	if next < g.limit || busy {
		g.limit = min(max(0.8*g.limit+0.2*next, g.minimum), g.maximum)
	}
}

// fixed never adjusts its limit; it shows the behaviour without an adaptive limit.
type fixed struct{ aimd }

func (*fixed) observe(time.Time, time.Duration, bool, bool) {}

const (
	simNodes    = 8
	simReplicas = 2
	simSlots    = 2
	// simQueueLength is the number of requests that a target queues before it sheds.
	simQueueLength = 8
	simServiceTime = 5 * time.Millisecond
	// simShedCost is the slot time that a target loses with each shed request.
	simShedCost = 250 * time.Microsecond
	simDeadline = 100 * time.Millisecond
	simCapacity = simReplicas * simSlots / 0.005
)

type query struct {
	node, replica int
	arrived, sent time.Duration
	deadline      time.Duration
	isRetry       bool
	// parent is set for a part of a wide query.
	parent *wideQuery
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simEvents []simEvent

func (q simEvents) Len() int { return len(q) }
func (q simEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simEvents) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// sim simulates 8 nodes in front of 2 targets with 2 slots each.
type sim struct {
	now     time.Duration
	seq     int
	events  simEvents
	rng     *rand.Rand
	nodes   [simNodes]*simNode
	running [simReplicas]int
	queued  [simReplicas][]*query
	// shedDelay is the slot time lost to sheds, added to the next request served.
	shedDelay [simReplicas]time.Duration
	// exponential makes service times exponential, with 1 % of the requests at ten times
	// the mean.
	exponential bool
	// good counts answers in time, bad queries that ended in any other way, and sheds
	// requests shed by targets, each per second.
	good, bad, sheds []int
	// refused counts queries that were not admitted.
	refused int
}

type simNode struct {
	admission   *Admission
	concurrency *Concurrency
	waiting     []*query
	timer       bool
}

var simNames = [simReplicas]api.ReplicaName{"a", "b"}

func newSim(seconds int, newLimit func(first, minimum, maximum float64) adaptiveLimit) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(3, 5))}
	s.good, s.bad, s.sheds = ints(seconds), ints(seconds), ints(seconds)
	doc := &config.Document{Replicas: map[api.ReplicaName]*config.Replica{}}
	for _, n := range simNames {
		doc.Replicas[n] = &config.Replica{Slots: simSlots}
	}
	for i := range s.nodes {
		n := &simNode{admission: NewAdmission(rand.New(rand.NewPCG(uint64(i), 1))), concurrency: NewConcurrency()}
		if newLimit != nil {
			n.admission.newLimit = func() adaptiveLimit { return newLimit(initialLimit, minLimit, maxLimit) }
			n.concurrency.newLimit = func(first float64) adaptiveLimit { return newLimit(first, minConcurrency, 0) }
		}
		n.concurrency.Configure(doc)
		s.nodes[i] = n
	}
	return s
}

func ints(n int) []int { return append([]int(nil), make([]int, n+2)...) }

func (s *sim) at(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: d, seq: s.seq, run: run})
}

func (s *sim) clock() time.Time { return start.Add(s.now) }

// run offers load(t), a multiple of the capacity, for some seconds.
func (s *sim) run(seconds int, load func(second int) float64) {
	var arrive func()
	arrive = func() {
		second := int(s.now / time.Second)
		if second >= seconds {
			return
		}
		s.offer(&query{node: s.rng.IntN(simNodes), arrived: s.now, deadline: s.now + simDeadline})
		gap := s.rng.ExpFloat64() / (load(second) * simCapacity)
		s.at(s.now+time.Duration(gap*float64(time.Second)), arrive)
	}
	s.at(0, arrive)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
}

// offer submits a query to a node. A refused query is retried once after the returned
// time.
func (s *sim) offer(q *query) {
	n := s.nodes[q.node]
	ok, after := n.admission.Admit(s.clock(), "s", 1, start.Add(q.deadline))
	if !ok {
		s.refused++
		s.bad[q.arrived/time.Second]++
		if !q.isRetry {
			back := &query{node: q.node, arrived: s.now + after, deadline: s.now + after + simDeadline, isRetry: true}
			s.at(back.arrived, func() {
				if int(back.arrived/time.Second) < len(s.bad)-2 {
					s.offer(back)
				}
			})
		}
		return
	}
	n.waiting = append(n.waiting, q)
	s.dispatch(q.node)
}

func (s *sim) dispatch(node int) {
	n := s.nodes[node]
	for len(n.waiting) > 0 {
		q := n.waiting[0]
		if s.now >= q.deadline {
			n.waiting = n.waiting[1:]
			s.end(q, 0)
			continue
		}
		first := s.rng.IntN(simReplicas)
		sent := false
		var wait time.Duration
		for i := range simReplicas {
			r := (first + i) % simReplicas
			ok, w := n.concurrency.Acquire(s.clock(), simNames[r])
			if ok {
				n.waiting = n.waiting[1:]
				s.send(q, r)
				sent = true
				break
			}
			if w > 0 && (wait == 0 || w < wait) {
				wait = w
			}
		}
		if !sent {
			if wait > 0 && !n.timer {
				n.timer = true
				s.at(s.now+wait, func() { n.timer = false; s.dispatch(node) })
			}
			return
		}
	}
}

func (s *sim) send(q *query, r int) {
	q.replica, q.sent = r, s.now
	s.at(s.now+250*time.Microsecond, func() {
		switch {
		case s.running[r] < simSlots:
			s.serve(q)
		case len(s.queued[r]) < simQueueLength:
			s.queued[r] = append(s.queued[r], q)
		default:
			s.sheds[s.now/time.Second]++
			s.shedDelay[r] += simShedCost
			s.reply(q, api.TargetShed)
		}
	})
}

func (s *sim) serve(q *query) {
	s.running[q.replica]++
	took := time.Duration((0.5 + s.rng.Float64()) * float64(simServiceTime))
	if s.exponential {
		took = time.Duration(s.rng.ExpFloat64() * float64(simServiceTime) * 0.917)
		if s.rng.IntN(100) == 0 {
			took = 10 * simServiceTime
		}
	}
	took += s.shedDelay[q.replica]
	s.shedDelay[q.replica] = 0
	s.at(s.now+took, func() {
		s.running[q.replica]--
		if w := s.queued[q.replica]; len(w) > 0 {
			s.queued[q.replica] = w[1:]
			s.serve(w[0])
		}
		s.reply(q, api.TargetOK)
	})
}

func (s *sim) reply(q *query, outcome api.TargetOutcome) {
	load := api.TargetLoad{Slots: simSlots, Running: s.running[q.replica], Queued: len(s.queued[q.replica])}
	s.at(s.now+250*time.Microsecond, func() {
		n := s.nodes[q.node]
		n.concurrency.Release(s.clock(), simNames[q.replica], outcome, s.now-q.sent, load)
		s.end(q, outcome)
		s.dispatch(q.node)
	})
}

func (s *sim) end(q *query, outcome api.TargetOutcome) {
	s.nodes[q.node].admission.Done(s.clock(), "s", 1, outcome, s.now-q.arrived)
	if q.parent != nil {
		q.parent.partEnded(s.now, outcome)
	}
	second := min(int(s.now/time.Second), len(s.good)-1)
	if outcome == api.TargetOK && s.now <= q.deadline {
		s.good[second]++
		return
	}
	s.bad[second]++
}

var simAlgorithms = []struct {
	name string
	make func(first, minimum, maximum float64) adaptiveLimit
}{
	{"aimd", nil},
	{"aimd+delay", func(f, l, m float64) adaptiveLimit { return &aimd{limit: f, minimum: l, maximum: m} }},
	{"gradient", func(f, l, m float64) adaptiveLimit { return &gradient{aimd{limit: f, minimum: l, maximum: m}} }},
	{"fixed", func(f, l, m float64) adaptiveLimit { return &fixed{aimd{limit: f, minimum: l, maximum: m}} }},
}

func sum(v []int) (n int) {
	for _, x := range v {
		n += x
	}
	return n
}

// Guards against goodput that collapses under a load above the capacity.
// Prints the figures in docs/load-policy.md.
func TestGoodputUnderOverload(t *testing.T) {
	for _, w := range simAlgorithms {
		peak := 0.0
		for _, load := range []float64{0.5, 0.8, 0.9, 1, 1.2, 1.5, 3} {
			s := newSim(20, w.make)
			s.run(20, func(int) float64 { return load })
			good := float64(sum(s.good[5:20])) / 15
			peak = max(peak, good)
			t.Logf("%-10s load %.1f: goodput %4.0f/s (%.2f of capacity), not answered %4.0f/s, sheds %4.0f/s", w.name, load,
				good, good/simCapacity, float64(sum(s.bad[5:20]))/15, float64(sum(s.sheds[5:20]))/15)
			if w.name == "aimd" && load > 1 && good < 0.9*peak {
				t.Errorf("load %.1f: goodput %.0f of a peak of %.0f", load, good, peak)
			}
		}
	}
}

// Guards against a collapse that persists after the overload has ended: the load is 1.5
// or 5 times the capacity for 10 s, then half of the capacity.
func TestRecoveryAfterBurst(t *testing.T) {
	for _, w := range simAlgorithms {
		for _, burst := range []float64{1.5, 5} {
			s := newSim(40, w.make)
			s.run(40, func(second int) float64 {
				if second >= 10 && second < 20 {
					return burst
				}
				return 0.5
			})
			recovered := 20
			for i := 20; i < 40; i++ {
				if 100*s.bad[i] > s.good[i] {
					recovered = i + 1
				}
			}
			t.Logf("%-10s burst %.1f: goodput before %d/s, during %d/s, after %d/s; recovered after %d s", w.name, burst,
				sum(s.good[5:10])/5, sum(s.good[12:20])/8, sum(s.good[25:40])/15, recovered-20)
			if w.name == "aimd" && recovered-20 > 5 {
				t.Errorf("burst %.1f: recovered after %d s", burst, recovered-20)
			}
		}
	}
}

// Guards against queries refused without overload because varying latencies are
// mistaken for a queue.
func TestNoRefusalBelowCapacity(t *testing.T) {
	for _, w := range simAlgorithms {
		for _, load := range []float64{0.01, 0.05, 0.2, 0.5, 0.7} {
			s := newSim(60, w.make)
			s.exponential = true
			s.run(60, func(int) float64 { return load })
			good := sum(s.good)
			t.Logf("%-10s load %.2f, exponential with stragglers: %d answered, %d refused, %d shed by targets, limit of one node %d",
				w.name, load, good, s.refused, sum(s.sheds), s.nodes[0].admission.Limit("s"))
			if w.name == "aimd" && 1000*s.refused > good {
				t.Errorf("load %.2f: %d refused of %d", load, s.refused, good)
			}
		}
	}
}
