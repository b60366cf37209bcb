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

// Parameters of the simulation in BenchmarkMeasure. storeLatency and
// storeJitter make up the round trip to the store; targetTime is the time that a
// target takes for a work order.
const (
	storeLatency = 2 * time.Millisecond
	storeJitter  = 1 * time.Millisecond
	targetTime   = 20 * time.Millisecond
	ordersPerRun = 4_000
	measureSeed  = 7
)

// strategy is one of the compared strategies for storing claims.
type strategy struct {
	name       string
	partitions int
	// recordPerRequest gives each request a record of its own, which is assumed to
	// be absent and written without a read.
	recordPerRequest bool
	routeToOwner     bool // send all requests for a partition to the same node
}

// simEvent is a function to run at a simulated time; seq orders events at the
// same time.
type simEvent struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue is a heap of events ordered by time.
type eventQueue []simEvent

func (j eventQueue) Len() int { return len(j) }
func (j eventQueue) Less(a, b int) bool {
	if !j[a].at.Equal(j[b].at) {
		return j[a].at.Before(j[b].at)
	}
	return j[a].seq < j[b].seq
}
func (j eventQueue) Swap(a, b int) { j[a], j[b] = j[b], j[a] }
func (j *eventQueue) Push(x any)   { *j = append(*j, x.(simEvent)) }
func (j *eventQueue) Pop() any     { o := *j; x := o[len(o)-1]; *j = o[:len(o)-1]; return x }

// simulation runs closed-loop callers in simulated time: each caller sends its next
// work order when the previous one has ended.
type simulation struct {
	strategy
	rng     *rand.Rand
	now     time.Time
	queue   eventQueue
	seq     int
	cluster *fakeCluster // provides the store; its nodes are not used
	nodes   []*Coordinator
	counts  *count.Set
	began   map[api.RequestID]time.Time
	waits   []time.Duration
	orders  int
	op      api.OpID
}

// schedule runs f after a simulated delay.
func (b *simulation) schedule(d time.Duration, f func()) {
	b.seq++
	heap.Push(&b.queue, simEvent{b.now.Add(d), b.seq, f})
}

// begin starts the next work order at a random node, at the owner of its partition,
// or at a node with a record of its own.
func (b *simulation) begin() {
	if b.orders == ordersPerRun {
		return
	}
	b.orders++
	key := keyAt(b.now, 0)
	for i := 9; i < 16; i++ {
		key[i] = byte(b.rng.Uint32())
	}
	node := b.rng.IntN(len(b.nodes))
	if b.routeToOwner {
		node = Partition("a", "crews", key, b.partitions) % len(b.nodes)
	}
	id := api.RequestID(b.orders)
	b.began[id] = b.now
	work := api.Work{Service: "crews", Key: key}
	if b.recordPerRequest {
		node = b.addNode()
		p := b.nodes[node].partitions[0]
		p.key += fmt.Sprintf("/%x", key)
		p.rec = &record{}
	}
	b.handleResult(node, b.nodes[node].Begin(b.now, WorkRequest{id, "a", work, b.now.Add(10 * time.Second)}))
}

func (b *simulation) addNode() int {
	c := New(api.Life(len(b.nodes)+1), func() api.OpID { b.op++; return b.op }, b.counts)
	c.Configure(b.partitions, 24*time.Hour)
	b.nodes = append(b.nodes, c)
	return len(b.nodes) - 1
}

// handleResult carries out the actions and decisions of a node.
func (b *simulation) handleResult(node int, r Result) {
	c := b.nodes[node]
	for _, a := range r.Actions {
		delay := storeLatency/2 + time.Duration(b.rng.Int64N(int64(storeJitter)))
		b.schedule(delay, func() { b.store(node, a) })
	}
	for _, d := range r.Decisions {
		b.waits = append(b.waits, b.now.Sub(b.began[d.Request]))
		if !d.Granted {
			b.schedule(targetTime, b.begin)
			continue
		}
		b.schedule(targetTime, func() {
			b.handleResult(node, c.Finish(b.now, d.Request, Completion{Outcome: api.Answered, Result: []byte("crew 7 dispatched")}))
			b.begin()
		})
	}
	if at := c.NextTick(); !at.IsZero() {
		b.schedule(max(0, at.Sub(b.now)), func() { b.tick(node) })
	}
}

func (b *simulation) tick(node int) {
	if at := b.nodes[node].NextTick(); !at.IsZero() && !at.After(b.now) {
		b.handleResult(node, b.nodes[node].Tick(b.now))
	}
}

// store executes a store call and schedules the response.
func (b *simulation) store(node int, a event.Action) {
	back := storeLatency / 2
	switch a := a.(type) {
	case event.ReadStore:
		v, ok := b.cluster.values[a.Key]
		ev := event.StoreRead{Op: a.Op, Result: event.ReadFound, Value: v.data, Revision: v.revision}
		if !ok {
			ev.Result = event.ReadAbsent
		}
		b.schedule(back, func() { _, r := b.nodes[node].StoreRead(b.now, ev); b.handleResult(node, r) })
	case event.WriteStore:
		ev := event.StoreWritten{Op: a.Op}
		ev.Result, ev.Revision = b.cluster.apply(a)
		b.schedule(back, func() { _, r := b.nodes[node].StoreWritten(b.now, ev); b.handleResult(node, r) })
	}
}

// measure runs one simulation and returns its figures as a row of a Markdown table.
func measure(w strategy, nodes, callers int) string {
	b := &simulation{
		strategy: w, rng: rand.New(rand.NewPCG(measureSeed, 0)), now: epoch,
		cluster: newFakeCluster(0, 0, 0), counts: count.NewSet(), began: make(map[api.RequestID]time.Time),
	}
	for range nodes {
		b.addNode()
	}
	for i := range callers {
		b.schedule(time.Duration(i)*targetTime/time.Duration(callers), b.begin)
	}
	for len(b.queue) > 0 {
		j := heap.Pop(&b.queue).(simEvent)
		b.now = j.at
		j.run()
	}
	slices.Sort(b.waits)
	size := 0
	for _, v := range b.cluster.values {
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

// BenchmarkMeasure prints the store calls per work order, the throughput and the
// waiting times of three strategies for storing claims. docs/once.md lists the
// figures.
func BenchmarkMeasure(b *testing.B) {
	for range b.N {
		printMeasures()
	}
}

func printMeasures() {
	ways := []strategy{
		{name: "key per request", partitions: 1, recordPerRequest: true},
		{name: "shared record", partitions: 64},
		{name: "shared record, owner", partitions: 64, routeToOwner: true},
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
