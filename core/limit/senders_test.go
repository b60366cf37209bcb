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
	// simHopLatency is the one-way latency between two nodes.
	simHopLatency = 500 * time.Microsecond
	// simWideDeadline is long, so that the queue in a node shows as latency.
	simWideDeadline = 500 * time.Millisecond
)

// wideQuery is a query of several parts. It is complete if each part was answered.
type wideQuery struct {
	arrived   time.Duration
	remaining int
	failed    int
	hop       time.Duration
	done      func(w *wideQuery, latency time.Duration)
}

func (w *wideQuery) partEnded(now time.Duration, outcome api.TargetOutcome) {
	w.remaining--
	if outcome != api.TargetOK {
		w.failed++
	}
	if w.remaining == 0 {
		w.done(w, now+w.hop-w.arrived)
	}
}

// sendersResult holds the measurements of one choice of sending nodes.
type sendersResult struct {
	offered, complete, refused int
	latencies                  []time.Duration
	sheds                      int
}

// runSenders offers wide queries that arrive at 8 nodes. If senders is 0, each
// node sends to the targets itself. Otherwise only the first senders nodes do, in place
// of nodes chosen by rendezvous hashing, and the others forward queries to them.
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
	done := func(w *wideQuery, latency time.Duration) {
		if w.failed > 0 {
			return
		}
		out.complete++
		out.latencies = append(out.latencies, latency)
	}
	var arrive func()
	arrive = func() {
		if s.now >= seconds*time.Second {
			return
		}
		at, hop := s.rng.IntN(simNodes), time.Duration(0)
		if senders > 0 && at >= senders {
			at, hop = s.rng.IntN(senders), simHopLatency
		}
		w := &wideQuery{arrived: s.now, remaining: wideParts, hop: hop, done: done}
		s.at(s.now+hop, func() { s.offerWide(at, w, &out) })
		s.at(s.now+time.Duration(s.rng.ExpFloat64()*float64(time.Second)*wideParts/(load*simCapacity)), arrive)
	}
	s.at(0, arrive)
	s.drain()
	out.sheds = sum(s.sheds)
	slices.Sort(out.latencies)
	return out
}

// drain runs all scheduled events.
func (s *sim) drain() {
	s.run(0, nil)
}

func (s *sim) offerWide(node int, w *wideQuery, out *sendersResult) {
	out.offered++
	n := s.nodes[node]
	deadline := w.arrived + simWideDeadline
	if ok, _ := n.admission.Admit(s.clock(), "s", wideParts, start.Add(deadline)); !ok {
		out.refused++
		return
	}
	for range wideParts {
		n.waiting = append(n.waiting, &query{node: node, arrived: s.now, deadline: deadline, parent: w})
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
// one or two nodes send for all. Guards against incomplete answers at a moderate load
// in each of these cases.
func TestWhoSends(t *testing.T) {
	for _, load := range []float64{0.2, 0.4, 0.8, 1, 1.5} {
		for _, senders := range []int{0, 2, 1} {
			r := runSenders(senders, load)
			t.Logf("load %.1f senders %d: complete %.1f %%, refused %.1f %%, sheds %d, p50 %.1f ms, p99 %.1f ms", load, senders,
				100*float64(r.complete)/float64(r.offered), 100*float64(r.refused)/float64(r.offered), r.sheds,
				float64(r.quantile(0.5).Microseconds())/1000, float64(r.quantile(0.99).Microseconds())/1000)
			if load <= 0.4 && r.complete*10 < r.offered*9 {
				t.Errorf("load %.1f senders %d: only %d of %d queries are complete", load, senders, r.complete, r.offered)
			}
		}
	}
}
