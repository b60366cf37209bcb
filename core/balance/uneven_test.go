package balance

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// unevenLoad is a load of many nodes on a few replicas of different speed, so that each node
// sends a replica only a few requests a second.
type unevenLoad struct {
	name string
	// nodes and speeds are those of deployment B, or of the unsharded services of A.
	nodes  int
	speeds []float64 // factors of the work
	// utilization is that of the slots if the requests are shared by speed.
	utilization float64
	// fullSlowdown multiplies the work that starts while the other slot is busy.
	fullSlowdown float64
	// pause and period are the length and distance of a replica's pauses.
	pause, period time.Duration
}

type unevenResult struct {
	p50, p99 time.Duration
	// busiest is the greatest share of the requests that one replica got.
	busiest float64
}

// simulateUneven sends 30,000 requests of 10 to 30 ms, of which the first 5,000 are not counted.
// The replicas report no load.
func simulateUneven(l unevenLoad, seed uint64, choose strategy) unevenResult {
	const slots, requests, warmUp, work = 2, 30_000, 5_000, 20 * time.Millisecond
	arrivals, works := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	n := len(l.speeds)
	all := names(n)
	balancers := make([]*Replicas, l.nodes)
	turns := make([]int, l.nodes)
	for i := range balancers {
		balancers[i] = New(rand.New(rand.NewPCG(seed*1000+uint64(i), 1)), "")
		balancers[i].Configure(start, document(n))
		turns[i] = i
	}
	capacity := 0.0
	for _, s := range l.speeds {
		capacity += slots / (s * work.Seconds())
	}
	free := make([][slots]time.Duration, n)
	counts := make([]int, n)
	var ends jobHeap
	var latencies []time.Duration
	finish := func(j job) {
		balancers[j.node].Done(start.Add(j.at), name(j.replica), api.TargetOK, j.at-j.sent, api.TargetLoad{})
		if j.counted {
			latencies = append(latencies, j.at-j.sent)
		}
	}
	now := time.Duration(0)
	for k := range requests {
		now += time.Duration(arrivals.ExpFloat64() / (l.utilization * capacity) * float64(time.Second))
		for len(ends) > 0 && ends[0].at <= now {
			finish(heap.Pop(&ends).(job))
		}
		node := arrivals.IntN(l.nodes)
		scale := 0.5 + works.Float64()
		chosen := slices.Index(all, choose(balancers[node], start.Add(now), all, &turns[node]))
		balancers[node].Sent(start.Add(now), all[chosen])
		slot, other := &free[chosen][0], &free[chosen][1]
		if *other < *slot {
			slot, other = other, slot
		}
		begin := max(*slot, now)
		took := time.Duration(scale * l.speeds[chosen] * float64(work))
		if *other > begin {
			took = time.Duration(float64(took) * l.fullSlowdown)
		}
		if l.period > 0 {
			// The pauses of the replicas are spread evenly over the period.
			if at := (begin + took + l.period*time.Duration(chosen)/time.Duration(n)) % l.period; at < l.pause {
				took += l.pause - at
			}
		}
		*slot = begin + took
		if k >= warmUp {
			counts[chosen]++
		}
		heap.Push(&ends, job{at: *slot, node: node, replica: chosen, sent: now, counted: k >= warmUp})
	}
	for len(ends) > 0 {
		finish(heap.Pop(&ends).(job))
	}
	slices.Sort(latencies)
	return unevenResult{
		latencies[len(latencies)/2], latencies[len(latencies)*99/100], float64(slices.Max(counts)) / (requests - warmUp),
	}
}

// sharedBySpeed picks at random, in proportion to the inverse square of the score: the
// alternative that needs no comparison among nodes.
func sharedBySpeed(r *Replicas, now time.Time, all []api.ReplicaName, _ *int) api.ReplicaName {
	total := 0.0
	weights := make([]float64, len(all))
	for i, n := range all {
		weights[i] = math.Pow(r.replicas[n].score(now), -2)
		total += weights[i]
	}
	x := r.rng.Float64() * total
	for i := range all {
		if x -= weights[i]; x < 0 {
			return all[i]
		}
	}
	return all[0]
}

// Guards against a choice that overloads the fastest replica when each node knows little, and
// against one whose 0.99 quantile is worse than that of round robin. Prints the figures in
// docs/design/locality.md.
func TestUnevenReplicas(t *testing.T) {
	three := []float64{0.8, 1, 1.3}
	five := []float64{0.8, 1, 1.3, 0.8, 1}
	loads := []unevenLoad{
		{"plate archive, a quarter busy", 35, three, 0.25, 1.5, 200 * time.Millisecond, 4500 * time.Millisecond},
		{"plate archive, half busy", 35, three, 0.5, 1.5, 200 * time.Millisecond, 4500 * time.Millisecond},
		{"plate archive, 0.7 busy", 35, three, 0.7, 1.3, 200 * time.Millisecond, 4500 * time.Millisecond},
		{"no pauses, half busy", 35, three, 0.5, 1.5, 0, 0},
		{"no pauses, 0.8 busy", 35, three, 0.8, 1, 0, 0},
		{"container tracking, unsharded service", 71, five, 0.5, 1.5, 150 * time.Millisecond, 3600 * time.Millisecond},
	}
	strategies := []struct {
		name   string
		choose strategy
	}{{"pick", pickStrategy}, {"shared by speed", sharedBySpeed}, {"two choices", twoChoices}, {"round robin", roundRobin}}
	for _, l := range loads {
		fastest := 0.0
		for _, s := range l.speeds {
			fastest += l.speeds[0] / s
		}
		for seed := range uint64(3) {
			got := map[string]unevenResult{}
			for _, s := range strategies {
				r := simulateUneven(l, seed+1, s.choose)
				got[s.name] = r
				t.Logf("%-38s seed %d %-15s p50 %4d p99 %6d ms, busiest %.3f", l.name, seed+1, s.name, r.p50.Milliseconds(), r.p99.Milliseconds(), r.busiest)
			}
			if got["pick"].p99 > got["round robin"].p99 {
				t.Errorf("%s, seed %d: 0.99 quantile %v, round robin has %v", l.name, seed+1, got["pick"].p99, got["round robin"].p99)
			}
			// The share of the fastest replica by speed is 1/fastest, at which it is as busy as
			// the others.
			if busy := got["pick"].busiest * fastest * l.utilization; busy > 1 {
				t.Errorf("%s, seed %d: the busiest replica gets %.2f of what it can do", l.name, seed+1, busy)
			}
		}
	}
}
