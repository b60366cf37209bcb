package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
)

var start = time.Unix(1_000_000, 0)

func name(i int) api.ReplicaName { return api.ReplicaName(fmt.Sprintf("r%02d", i)) }

func names(n int) []api.ReplicaName {
	out := make([]api.ReplicaName, n)
	for i := range out {
		out[i] = name(i)
	}
	return out
}

func document(n int) *config.Document {
	doc := &config.Document{Replicas: map[api.ReplicaName]*config.Replica{}}
	for i := range n {
		doc.Replicas[name(i)] = &config.Replica{Slots: 2, Address: string(name(i))}
	}
	return doc
}

// job is a request on a simulated replica; at is the time at which it completes.
type job struct {
	at      time.Duration
	node    int
	replica int
	sent    time.Duration
	counted bool
}

type jobHeap []job

func (q jobHeap) Len() int           { return len(q) }
func (q jobHeap) Less(i, j int) bool { return q[i].at < q[j].at }
func (q jobHeap) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *jobHeap) Push(x any)        { *q = append(*q, x.(job)) }
func (q *jobHeap) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type strategy func(r *Replicas, now time.Time, all []api.ReplicaName, turn *int) api.ReplicaName

func leastScore(r *Replicas, now time.Time, all []api.ReplicaName, _ *int) api.ReplicaName {
	return r.lowestScore(now, all, nil, len(all)).name
}

func twoChoices(r *Replicas, now time.Time, all []api.ReplicaName, _ *int) api.ReplicaName {
	i := r.rng.IntN(len(all))
	j := (i + 1 + r.rng.IntN(len(all)-1)) % len(all)
	two := [2]api.ReplicaName{all[i], all[j]}
	return r.lowestScore(now, two[:], nil, 2).name
}

func roundRobin(_ *Replicas, _ time.Time, all []api.ReplicaName, turn *int) api.ReplicaName {
	*turn++
	return all[*turn%len(all)]
}

func pickStrategy(r *Replicas, now time.Time, all []api.ReplicaName, _ *int) api.ReplicaName {
	n, _ := r.Pick(now, all, nil)
	return n
}

type result struct {
	p50, p95, p99 time.Duration
	slowShare     float64
}

// simulate sends requests from the given number of nodes to n replicas of 2 slots, at
// the given utilisation of the fast replicas. A request takes 2.5 to 7.5 ms, 1 % take
// 50 ms; replica 0 takes ten times as long. If hideLoad is set, the replicas report no
// load. The first 10,000 requests are warm-up and not counted.
func simulate(nodes, n int, utilisation float64, hideLoad bool, choose strategy) result {
	const slots, requests, warmUp = 2, 50_000, 10_000
	rng := rand.New(rand.NewPCG(7, 7))
	all := names(n)
	balancers := make([]*Replicas, nodes)
	turns := make([]int, nodes)
	for i := range balancers {
		balancers[i] = New(rand.New(rand.NewPCG(uint64(i), 1)), "")
		balancers[i].Configure(start, document(n))
		turns[i] = i
	}
	free := make([][slots]time.Duration, n)
	waiting := make([]jobHeap, n)
	var ends jobHeap
	var latencies []time.Duration
	slow := 0
	rate := utilisation * float64(n-1) * slots / 0.00545
	now := time.Duration(0)
	finish := func(j job) {
		at := start.Add(j.at)
		q := &waiting[j.replica]
		for len(*q) > 0 && (*q)[0].at <= j.at {
			heap.Pop(q)
		}
		load := api.TargetLoad{Incarnation: 1, Slots: slots, Running: min(len(*q), slots), Queued: max(len(*q)-slots, 0)}
		if hideLoad {
			load.Running, load.Queued = 0, 0
		}
		balancers[j.node].Done(at, name(j.replica), api.TargetOK, j.at-j.sent, load)
		if j.counted {
			latencies = append(latencies, j.at-j.sent)
		}
	}
	for k := range requests {
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		for len(ends) > 0 && ends[0].at <= now {
			finish(heap.Pop(&ends).(job))
		}
		node := k % nodes
		chosen := slices.Index(all, choose(balancers[node], start.Add(now), all, &turns[node]))
		balancers[node].Sent(start.Add(now), all[chosen])
		service := time.Duration((0.5 + rng.Float64()) * 5 * float64(time.Millisecond))
		if rng.IntN(100) == 0 {
			service = 50 * time.Millisecond
		}
		if chosen == 0 {
			service *= 10
		}
		if chosen == 0 && k >= warmUp {
			slow++
		}
		slot := &free[chosen][0]
		if free[chosen][1] < *slot {
			slot = &free[chosen][1]
		}
		*slot = max(*slot, now) + service
		heap.Push(&ends, job{at: *slot, node: node, replica: chosen, sent: now, counted: k >= warmUp})
		heap.Push(&waiting[chosen], job{at: *slot})
	}
	for len(ends) > 0 {
		finish(heap.Pop(&ends).(job))
	}
	slices.Sort(latencies)
	return result{latencies[len(latencies)/2], latencies[len(latencies)*95/100], latencies[len(latencies)*99/100], float64(slow) / (requests - warmUp)}
}

// Guards against a selection strategy that sends too much to a slow replica, or whose
// tail latency is worse than that of round robin. Prints the figures in
// docs/load-policy.md.
func TestSelectionStrategies(t *testing.T) {
	strategies := []struct {
		name   string
		choose strategy
	}{{"pick", pickStrategy}, {"two choices", twoChoices}, {"least score", leastScore}, {"round robin", roundRobin}}
	cases := []struct {
		nodes, n    int
		utilisation float64
		hideLoad    bool
	}{
		{8, 2, 0.5, false}, {8, 2, 0.8, false}, {8, 2, 0.8, true},
		{8, 5, 0.5, false}, {8, 5, 0.8, false}, {8, 5, 0.8, true},
		{8, 20, 0.5, false}, {8, 20, 0.8, false}, {8, 20, 0.8, true},
		{64, 5, 0.8, false}, {64, 20, 0.8, false}, {64, 20, 0.8, true},
	}
	for _, c := range cases {
		got := map[string]result{}
		for _, w := range strategies {
			r := simulate(c.nodes, c.n, c.utilisation, c.hideLoad, w.choose)
			got[w.name] = r
			ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
			t.Logf("nodes=%2d n=%2d load=%.1f hideLoad=%-5v %-11s p50 %5.2f p95 %8.1f p99 %8.1f ms, slow %5.2f %%",
				c.nodes, c.n, c.utilisation, c.hideLoad, w.name, ms(r.p50), ms(r.p95), ms(r.p99), 100*r.slowShare)
		}
		if got["pick"].p99 > got["round robin"].p99 {
			t.Errorf("%+v: p99 worse than with round robin", c)
		}
		if got["pick"].slowShare > 0.25/float64(c.n) {
			t.Errorf("%+v: share of the slow replica is %.3f", c, got["pick"].slowShare)
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{2, 5, 20} {
		for _, w := range []struct {
			name   string
			choose strategy
		}{{"pick", pickStrategy}, {"two", twoChoices}, {"least", leastScore}} {
			b.Run(fmt.Sprintf("%s/n=%d", w.name, n), func(b *testing.B) {
				all := names(n)
				r := New(rand.New(rand.NewPCG(1, 1)), "")
				r.Configure(start, document(n))
				now := start
				for _, name := range all {
					r.Done(now, name, api.TargetOK, 5*time.Millisecond, api.TargetLoad{Incarnation: 1, Slots: 2, Running: 1})
				}
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(time.Microsecond)
					w.choose(r, now, all, nil)
				}
			})
		}
	}
}

func BenchmarkSentDone(b *testing.B) {
	r := New(rand.New(rand.NewPCG(1, 1)), "")
	r.Configure(start, document(20))
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		r.Sent(now, "r07")
		r.Done(now, "r07", api.TargetOK, 5*time.Millisecond, api.TargetLoad{Incarnation: 1, Slots: 2, Running: 1})
	}
}
