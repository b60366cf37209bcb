package once

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
)

// The model of TestMeasure: store latency and time on the target.
const (
	storeLatency = 2 * time.Millisecond
	storeJitter  = 1 * time.Millisecond
	targetTime   = 20 * time.Millisecond
	ordersPerRun = 4_000
	measureSeed  = 7
)

// way is one of the compared ways to keep claims.
type way struct {
	name       string
	partitions int
	// create gives each request a record of its own, which is taken to be absent
	// and written without a read.
	create bool
	owner  bool // requests go to one advisory owner of the partition
}

type job struct {
	at  time.Time
	seq int
	run func()
}

type jobs []job

func (j jobs) Len() int { return len(j) }
func (j jobs) Less(a, b int) bool {
	if !j[a].at.Equal(j[b].at) {
		return j[a].at.Before(j[b].at)
	}
	return j[a].seq < j[b].seq
}
func (j jobs) Swap(a, b int) { j[a], j[b] = j[b], j[a] }
func (j *jobs) Push(x any)   { *j = append(*j, x.(job)) }
func (j *jobs) Pop() any     { o := *j; x := o[len(o)-1]; *j = o[:len(o)-1]; return x }

// bench runs closed-loop callers on simulated time.
type bench struct {
	way
	rng    *rand.Rand
	now    time.Time
	queue  jobs
	seq    int
	world  *world // only its store is used
	nodes  []*Coordinator
	counts *count.Set
	began  map[api.RequestID]time.Time
	waits  []time.Duration
	orders int
	op     api.OpID
}

func (b *bench) after(d time.Duration, f func()) {
	b.seq++
	heap.Push(&b.queue, job{b.now.Add(d), b.seq, f})
}

func (b *bench) begin() {
	if b.orders == ordersPerRun {
		return
	}
	b.orders++
	key := keyAt(b.now, 0)
	for i := 9; i < 16; i++ {
		key[i] = byte(b.rng.Uint32())
	}
	node := b.rng.IntN(len(b.nodes))
	if b.owner {
		node = Partition("a", "crews", key, b.partitions) % len(b.nodes)
	}
	id := api.RequestID(b.orders)
	b.began[id] = b.now
	work := api.Work{Service: "crews", Key: key}
	if b.create {
		node = b.addNode()
		p := b.nodes[node].partitions[0]
		p.key += fmt.Sprintf("/%x", key)
		p.rec = &record{}
	}
	b.take(node, b.nodes[node].Begin(b.now, Claimant{id, "a", work, b.now.Add(10 * time.Second)}))
}

func (b *bench) addNode() int {
	c := New(api.Life(len(b.nodes)+1), func() api.OpID { b.op++; return b.op }, b.counts)
	c.Configure(b.partitions, 24*time.Hour)
	b.nodes = append(b.nodes, c)
	return len(b.nodes) - 1
}

func (b *bench) take(node int, r Result) {
	c := b.nodes[node]
	for _, a := range r.Actions {
		there := storeLatency/2 + time.Duration(b.rng.Int64N(int64(storeJitter)))
		b.after(there, func() { b.store(node, a) })
	}
	for _, d := range r.Decisions {
		b.waits = append(b.waits, b.now.Sub(b.began[d.Request]))
		if !d.Granted {
			b.after(targetTime, b.begin)
			continue
		}
		b.after(targetTime, func() {
			b.take(node, c.Finish(b.now, d.Request, Finish{Outcome: api.Answered, Result: []byte("crew 7 dispatched")}))
			b.begin()
		})
	}
	if at := c.Wake(); !at.IsZero() {
		b.after(max(0, at.Sub(b.now)), func() { b.tick(node) })
	}
}

func (b *bench) tick(node int) {
	if at := b.nodes[node].Wake(); !at.IsZero() && !at.After(b.now) {
		b.take(node, b.nodes[node].Tick(b.now))
	}
}

func (b *bench) store(node int, a event.Action) {
	back := storeLatency / 2
	switch a := a.(type) {
	case event.ReadStore:
		v, ok := b.world.values[a.Key]
		ev := event.StoreRead{Op: a.Op, Result: event.ReadFound, Value: v.data, Revision: v.revision}
		if !ok {
			ev.Result = event.ReadAbsent
		}
		b.after(back, func() { _, r := b.nodes[node].StoreRead(b.now, ev); b.take(node, r) })
	case event.WriteStore:
		ev := event.StoreWritten{Op: a.Op}
		ev.Result, ev.Revision = b.world.apply(a)
		b.after(back, func() { _, r := b.nodes[node].StoreWritten(b.now, ev); b.take(node, r) })
	}
}

func measure(w way, nodes, callers int) string {
	b := &bench{
		way: w, rng: rand.New(rand.NewPCG(measureSeed, 0)), now: epoch,
		world: newWorld(0, 0, 0), counts: count.NewSet(), began: make(map[api.RequestID]time.Time),
	}
	for range nodes {
		b.addNode()
	}
	for i := range callers {
		b.after(time.Duration(i)*targetTime/time.Duration(callers), b.begin)
	}
	for len(b.queue) > 0 {
		j := heap.Pop(&b.queue).(job)
		b.now = j.at
		j.run()
	}
	slices.Sort(b.waits)
	size := 0
	for _, v := range b.world.values {
		size += len(v.data)
	}
	per := func(detail api.Reason) float64 { return float64(b.counts.Get(count.Store, detail)) / ordersPerRun }
	at := func(q float64) float64 {
		return float64(b.waits[int(q*float64(len(b.waits)-1))].Microseconds()) / 1000
	}
	seconds := b.now.Sub(epoch).Seconds()
	writes := per("claims_write") * ordersPerRun / seconds
	return fmt.Sprintf("| %s | %d | %d | %.2f | %.2f | %.2f | %.0f | %.0f | %.1f | %.1f | %.1f |", w.name, nodes, callers,
		per("claims_write"), per("claims_read"), per("claims_conflict"), ordersPerRun/seconds, writes,
		float64(size)/ordersPerRun, at(0.5), at(0.99))
}

// BenchmarkMeasure prints the store calls per work order of three ways to keep claims;
// docs/once.md holds the figures.
func BenchmarkMeasure(b *testing.B) {
	for range b.N {
		printMeasures()
	}
}

func printMeasures() {
	ways := []way{
		{name: "key per request", partitions: 1, create: true},
		{name: "shared record", partitions: 64},
		{name: "shared record, owner", partitions: 64, owner: true},
	}
	fmt.Println("| way | nodes | callers | writes/order | reads/order | conflicts/order | orders/s | writes/s | bytes/claim | wait p50 ms | p99 ms |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	for _, w := range ways {
		for _, nodes := range []int{1, 4, 8} {
			for _, callers := range []int{1, 16, 128, 1024} {
				fmt.Println(measure(w, nodes, callers))
			}
		}
	}
}
