package once

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
)

// TestMain sets a fixed seed for rapid; -rapid.seed on the command line overrides
// it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.steps", "80")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var epoch = time.UnixMilli(1_800_000_000_000)

// keyAt returns a UUIDv7 with the given creation time and last byte.
func keyAt(at time.Time, n byte) (k api.IdempotencyKey) {
	ms := at.UnixMilli()
	for i := range 6 {
		k[i] = byte(ms >> (40 - 8*i))
	}
	k[6], k[8], k[15] = 0x70, 0x80, n
	return k
}

// call is a store call that has not been answered.
type call struct {
	node   *fakeNode
	life   api.Life
	action event.Action
}

type value struct {
	data     []byte
	revision int64
}

// fakeNode is one node of a fakeCluster. A restart after a kill gives it a new life
// and a new coordinator.
type fakeNode struct {
	*Coordinator
	life      api.Life
	offset    time.Duration // error of its clock
	paused    bool
	queue     []func() // calls to run after the pause
	openSends []uint64 // requests that were sent and have no Finish yet
}

// fakeCluster is a fake store with several nodes. It records in trace what targets
// and callers observe.
type fakeCluster struct {
	now          time.Time
	values       map[string]value
	lastRevision int64
	calls        []call
	lateWrites   []event.WriteStore // answered with an unknown outcome, and may still be applied
	nodes        []*fakeNode
	orders       map[uint64]WorkRequest // by request, unique over all nodes
	trace        []traceEvent
	decided      map[uint64]api.WorkAnswer
	lastLife     api.Life
	lastRequest  uint64
}

func newFakeCluster(nodes, partitions int, window time.Duration) *fakeCluster {
	c := &fakeCluster{
		now: epoch, values: make(map[string]value),
		orders: make(map[uint64]WorkRequest), decided: make(map[uint64]api.WorkAnswer),
	}
	for range nodes {
		node := &fakeNode{}
		c.nodes = append(c.nodes, node)
		c.start(node, partitions, window)
	}
	return c
}

// start starts or restarts a node with a new life.
func (c *fakeCluster) start(node *fakeNode, partitions int, window time.Duration) {
	c.lastLife++
	node.life, node.openSends, node.queue, node.paused = c.lastLife, nil, nil, false
	var op api.OpID
	node.Coordinator = New(node.life, func() api.OpID { op++; return op }, count.NewSet())
	node.Configure(partitions, window)
}

// clock returns the time according to the clock of a node.
func (c *fakeCluster) clock(node *fakeNode) time.Time { return c.now.Add(node.offset) }

// runOn runs f on a node, or queues f if the node is paused. A queued f is
// dropped if the node is restarted.
func (c *fakeCluster) runOn(node *fakeNode, f func() Result) {
	life := node.life
	run := func() {
		if node.life != life {
			return
		}
		r := f()
		for _, a := range r.Actions {
			c.calls = append(c.calls, call{node, life, a})
		}
		for _, d := range r.Decisions {
			c.recordDecision(node, d)
		}
	}
	if node.paused {
		node.queue = append(node.queue, run)
		return
	}
	run()
}

// recordDecision adds a decision to the trace.
func (c *fakeCluster) recordDecision(node *fakeNode, d Decision) {
	id := uint64(d.Request)
	req := c.orders[id]
	if d.Granted {
		c.trace = append(c.trace, traceEvent{kind: sent, request: id, order: orderOf(req), onTime: c.clock(node).Before(req.Deadline)})
		node.openSends = append(node.openSends, id)
		return
	}
	if _, twice := c.decided[id]; twice {
		panic(fmt.Sprintf("request %d answered twice", id))
	}
	c.decided[id] = d.Answer
	c.trace = append(c.trace, traceEvent{kind: answered, request: id, order: orderOf(req), answer: d.Answer})
}

func orderOf(req WorkRequest) string {
	return fmt.Sprintf("%q/%q/%x", req.Caller, req.Work.Service, req.Work.Key)
}

func (c *fakeCluster) begin(node *fakeNode, caller string, key api.IdempotencyKey, payload string, timeout time.Duration) uint64 {
	c.lastRequest++
	req := WorkRequest{
		Request: api.RequestID(c.lastRequest), Caller: api.CallerID(caller),
		Work:     api.Work{Service: "crews", Key: key, Payload: []byte(payload)},
		Deadline: c.clock(node).Add(timeout),
	}
	c.orders[c.lastRequest] = req
	c.runOn(node, func() Result { return node.Begin(c.clock(node), req) })
	return c.lastRequest
}

// finish ends a send. The outcome NotRun means that the target refused it.
func (c *fakeCluster) finish(node *fakeNode, i int, f Completion) {
	id := node.openSends[i]
	node.openSends = append(node.openSends[:i:i], node.openSends[i+1:]...)
	kind := ran
	if f.Outcome == api.NotRun {
		kind = refused
	}
	c.trace = append(c.trace, traceEvent{kind: kind, request: id, order: orderOf(c.orders[id]), result: string(f.Result)})
	c.runOn(node, func() Result { return node.Finish(c.clock(node), api.RequestID(id), f) })
}

// tick calls Tick on all nodes that need it now and are not paused.
func (c *fakeCluster) tick() {
	for _, node := range c.nodes {
		at := node.NextTick()
		if node.paused || at.IsZero() || at.After(c.clock(node)) {
			continue
		}
		c.runOn(node, func() Result { return node.Tick(c.clock(node)) })
	}
}

// advance moves the time forward in steps and ticks the nodes after each step.
func (c *fakeCluster) advance(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(min(50*time.Millisecond, end.Sub(c.now)))
		c.tick()
	}
}

// apply executes a conditional write on the store.
func (c *fakeCluster) apply(a event.WriteStore) (event.WriteResult, int64) {
	if c.values[a.Key].revision != a.IfRevision {
		return event.WriteConflict, 0
	}
	c.lastRevision++
	c.values[a.Key] = value{a.Value, c.lastRevision}
	return event.WriteApplied, c.lastRevision
}

// fault is a fault injected into a store call.
type fault int

const (
	none       fault = iota
	lostAnswer       // applied, outcome unknown
	lateWrite        // outcome unknown, applied later
	notApplied       // outcome unknown, never applied
	notSent          // known not to have been sent
	unanswered       // applied, no answer at all
	faults           // number of faults
)

// serve executes and answers one store call, with the given fault.
func (c *fakeCluster) serve(i int, f fault) {
	pending := c.calls[i]
	c.calls = append(c.calls[:i:i], c.calls[i+1:]...)
	if pending.node.life != pending.life && f != lateWrite {
		f = unanswered
	}
	switch a := pending.action.(type) {
	case event.ReadStore:
		v, ok := c.values[a.Key]
		ev := event.StoreRead{Op: a.Op, Result: event.ReadFound, Value: v.data, Revision: v.revision}
		if !ok {
			ev.Result = event.ReadAbsent
		}
		if f == unanswered {
			return
		}
		if f != none {
			ev = event.StoreRead{Op: a.Op, Result: event.ReadFailed}
		}
		c.runOn(pending.node, func() Result { _, r := pending.node.StoreRead(c.clock(pending.node), ev); return r })
	case event.WriteStore:
		ev := event.StoreWritten{Op: a.Op, Result: event.WriteUnknown}
		switch f {
		case none:
			ev.Result, ev.Revision = c.apply(a)
		case lostAnswer, unanswered:
			c.apply(a)
		case lateWrite:
			c.lateWrites = append(c.lateWrites, a)
		case notSent:
			ev.Result = event.WriteNotSent
		}
		if f == unanswered {
			return
		}
		c.runOn(pending.node, func() Result { _, r := pending.node.StoreWritten(c.clock(pending.node), ev); return r })
	}
}

// runUntilIdle serves all store calls without faults while time advances far
// enough for the nodes to become idle.
func (c *fakeCluster) runUntilIdle() {
	for range 200 {
		for len(c.calls) > 0 {
			c.serve(0, none)
		}
		c.advance(50 * time.Millisecond)
	}
}

// resume ends the pause of a node and runs the queued calls.
func (c *fakeCluster) resume(node *fakeNode) {
	node.paused = false
	queue := node.queue
	node.queue = nil
	for _, run := range queue {
		run()
	}
	c.tick()
}
