package limit

import (
	"slices"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

const (
	// wideParts is the number of parts of a wide query.
	wideParts = 8
	// simHop is the way from one node to another, one way.
	simHop = 500 * time.Microsecond
	// simWideDeadline is long, so that the queue in a node shows as latency.
	simWideDeadline = 500 * time.Millisecond
)

// wide is a query of several parts. It is whole if each part was answered.
type wide struct {
	arrived time.Duration
	left    int
	lost    int
	hop     time.Duration
	done    func(w *wide, latency time.Duration)
}

func (w *wide) ended(now time.Duration, outcome api.TargetOutcome) {
	w.left--
	if outcome != api.TargetOK {
		w.lost++
	}
	if w.left == 0 {
		w.done(w, now+w.hop-w.arrived)
	}
}

// sendersResult is what a way of choosing the sending node showed.
type sendersResult struct {
	offered, whole, refused int
	latencies               []time.Duration
	sheds                   int
}

// runSenders offers wide queries that arrive at 8 nodes. With senders 0 each node
// sends for itself; otherwise the first ones, which stand for those chosen by
// rendezvous hashing, send for all, and the others forward to them.
func runSenders(senders int, load float64) sendersResult {
	const seconds = 30
	s := newSim(seconds, nil)
	sharing := simNodes
	if senders > 0 {
		sharing = senders
	}
	for _, n := range s.nodes {
		n.concurrency.SetNodes(sharing)
	}
	var out sendersResult
	done := func(w *wide, latency time.Duration) {
		if w.lost > 0 {
			return
		}
		out.whole++
		out.latencies = append(out.latencies, latency)
	}
	var arrive func()
	arrive = func() {
		if s.now >= seconds*time.Second {
			return
		}
		at, hop := s.rng.IntN(simNodes), time.Duration(0)
		if senders > 0 && at >= senders {
			at, hop = s.rng.IntN(senders), simHop
		}
		w := &wide{arrived: s.now, left: wideParts, hop: hop, done: done}
		s.at(s.now+hop, func() { s.offerWide(at, w, &out) })
		s.at(s.now+time.Duration(s.rng.ExpFloat64()*float64(time.Second)*wideParts/(load*simCapacity)), arrive)
	}
	s.at(0, arrive)
	s.drain()
	out.sheds = sum(s.sheds)
	slices.Sort(out.latencies)
	return out
}

// drain runs all events.
func (s *sim) drain() {
	s.run(0, nil)
}

func (s *sim) offerWide(node int, w *wide, out *sendersResult) {
	out.offered++
	n := s.nodes[node]
	deadline := w.arrived + simWideDeadline
	if ok, _ := n.admission.Admit(s.clock(), "s", wideParts, start.Add(deadline)); !ok {
		out.refused++
		return
	}
	for range wideParts {
		n.waiting = append(n.waiting, &query{node: node, arrived: s.now, deadline: deadline, group: w})
	}
	s.dispatch(node)
}

func (r *sendersResult) quantile(q float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	return r.latencies[int(q*float64(len(r.latencies)-1))]
}

// Prints the comparison in docs/measurements.md: each node sends for itself, or
// one or two nodes send for all. Guards against whole answers that fail to come
// at a moderate load in any of the ways.
func TestWhoSends(t *testing.T) {
	for _, load := range []float64{0.2, 0.4, 0.8, 1, 1.5} {
		for _, senders := range []int{0, 2, 1} {
			r := runSenders(senders, load)
			t.Logf("load %.1f senders %d: whole %.1f %%, refused %.1f %%, sheds %d, p50 %.1f ms, p99 %.1f ms", load, senders,
				100*float64(r.whole)/float64(r.offered), 100*float64(r.refused)/float64(r.offered), r.sheds,
				float64(r.quantile(0.5).Microseconds())/1000, float64(r.quantile(0.99).Microseconds())/1000)
			if load <= 0.4 && r.whole*10 < r.offered*9 {
				t.Errorf("load %.1f senders %d: only %d of %d queries are whole", load, senders, r.whole, r.offered)
			}
		}
	}
}
