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

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	if !q[a].at.Equal(q[b].at) {
		return q[a].at.Before(q[b].at)
	}
	return q[a].seq < q[b].seq
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any     { o := *q; x := o[len(o)-1]; *q = o[:len(o)-1]; return x }

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
func (s *simulation) schedule(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.seq, f})
}

// begin starts the next work order at a random node, at the owner of its partition,
// or at a node with a record of its own.
func (s *simulation) begin() {
	if s.orders == ordersPerRun {
		return
	}
	s.orders++
	key := keyAt(s.now, 0)
	for i := 9; i < 16; i++ {
		key[i] = byte(s.rng.Uint32())
	}
	node := s.rng.IntN(len(s.nodes))
	if s.routeToOwner {
		node = Partition("a", "crews", key, s.partitions) % len(s.nodes)
	}
	id := api.RequestID(s.orders)
	s.began[id] = s.now
	work := api.Work{Service: "crews", Key: key}
	if s.recordPerRequest {
		node = s.addNode()
		p := s.nodes[node].partitions[0]
		p.key += fmt.Sprintf("/%x", key)
		p.rec = &record{}
	}
	s.handleResult(node, s.nodes[node].Begin(s.now, WorkRequest{id, "a", work, s.now.Add(10 * time.Second)}))
}

func (s *simulation) addNode() int {
	c := New(api.Life(len(s.nodes)+1), func() api.OpID { s.op++; return s.op }, s.counts)
	c.Configure(s.partitions, 24*time.Hour)
	s.nodes = append(s.nodes, c)
	return len(s.nodes) - 1
}

// handleResult carries out the actions and decisions of a node.
func (s *simulation) handleResult(node int, r Result) {
	c := s.nodes[node]
	for _, a := range r.Actions {
		delay := storeLatency/2 + time.Duration(s.rng.Int64N(int64(storeJitter)))
		s.schedule(delay, func() { s.store(node, a) })
	}
	for _, d := range r.Decisions {
		s.waits = append(s.waits, s.now.Sub(s.began[d.Request]))
		if !d.Granted {
			s.schedule(targetTime, s.begin)
			continue
		}
		s.schedule(targetTime, func() {
			s.handleResult(node, c.Finish(s.now, d.Request, Completion{Outcome: api.Answered, Result: []byte("crew 7 dispatched")}))
			s.begin()
		})
	}
	if at := c.NextTick(); !at.IsZero() {
		s.schedule(max(0, at.Sub(s.now)), func() { s.tick(node) })
	}
}

func (s *simulation) tick(node int) {
	if at := s.nodes[node].NextTick(); !at.IsZero() && !at.After(s.now) {
		s.handleResult(node, s.nodes[node].Tick(s.now))
	}
}

// store executes a store call and schedules the response.
func (s *simulation) store(node int, a event.Action) {
	back := storeLatency / 2
	switch a := a.(type) {
	case event.ReadStore:
		v, ok := s.cluster.values[a.Key]
		ev := event.StoreRead{Op: a.Op, Result: event.ReadFound, Value: v.data, Revision: v.revision}
		if !ok {
			ev.Result = event.ReadAbsent
		}
		s.schedule(back, func() { _, r := s.nodes[node].StoreRead(s.now, ev); s.handleResult(node, r) })
	case event.WriteStore:
		ev := event.StoreWritten{Op: a.Op}
		ev.Result, ev.Revision = s.cluster.apply(a)
		s.schedule(back, func() { _, r := s.nodes[node].StoreWritten(s.now, ev); s.handleResult(node, r) })
	}
}

// measure runs one simulation and returns its figures as a row of a Markdown table.
func measure(st strategy, nodes, callers int) string {
	s := &simulation{
		strategy: st, rng: rand.New(rand.NewPCG(measureSeed, 0)), now: epoch,
		cluster: newFakeCluster(0, 0, 0), counts: count.NewSet(), began: make(map[api.RequestID]time.Time),
	}
	for range nodes {
		s.addNode()
	}
	for i := range callers {
		s.schedule(time.Duration(i)*targetTime/time.Duration(callers), s.begin)
	}
	for len(s.queue) > 0 {
		j := heap.Pop(&s.queue).(simEvent)
		s.now = j.at
		j.run()
	}
	slices.Sort(s.waits)
	size := 0
	for _, v := range s.cluster.values {
		size += len(v.data)
	}
	per := func(detail api.Reason) float64 { return float64(s.counts.Get(count.Store, detail)) / ordersPerRun }
	at := func(q float64) float64 {
		return float64(s.waits[int(q*float64(len(s.waits)-1))].Microseconds()) / 1000
	}
	seconds := s.now.Sub(epoch).Seconds()
	writes := per("claims_write") * ordersPerRun / seconds
	return fmt.Sprintf("| %s | %d | %d | %.2f | %.2f | %.2f | %.0f | %.0f | %.1f | %.1f | %.1f |", st.name, nodes, callers,
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
	strategies := []strategy{
		{name: "key per request", partitions: 1, recordPerRequest: true},
		{name: "shared record", partitions: 64},
		{name: "shared record, owner", partitions: 64, routeToOwner: true},
	}
	fmt.Println("| way | nodes | callers | writes/order | reads/order | conflicts/order | orders/s | writes/s | bytes/claim | wait p50 ms | p99 ms |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	for _, st := range strategies {
		for _, nodes := range []int{1, 4, 8} {
			for _, callers := range []int{1, 16, 128, 1024} {
				fmt.Println(measure(st, nodes, callers))
			}
		}
	}
}
