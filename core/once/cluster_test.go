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
	w := &fakeCluster{
		now: epoch, values: make(map[string]value),
		orders: make(map[uint64]WorkRequest), decided: make(map[uint64]api.WorkAnswer),
	}
	for range nodes {
		h := &fakeNode{}
		w.nodes = append(w.nodes, h)
		w.start(h, partitions, window)
	}
	return w
}

// start starts or restarts a node with a new life.
func (w *fakeCluster) start(h *fakeNode, partitions int, window time.Duration) {
	w.lastLife++
	h.life, h.openSends, h.queue, h.paused = w.lastLife, nil, nil, false
	var op api.OpID
	h.Coordinator = New(h.life, func() api.OpID { op++; return op }, count.NewSet())
	h.Configure(partitions, window)
}

// clock returns the time according to the clock of a node.
func (w *fakeCluster) clock(h *fakeNode) time.Time { return w.now.Add(h.offset) }

// runOn runs f on a node, or queues f if the node is paused. A queued f is
// dropped if the node is restarted.
func (w *fakeCluster) runOn(h *fakeNode, f func() Result) {
	life := h.life
	run := func() {
		if h.life != life {
			return
		}
		r := f()
		for _, a := range r.Actions {
			w.calls = append(w.calls, call{h, life, a})
		}
		for _, d := range r.Decisions {
			w.recordDecision(h, d)
		}
	}
	if h.paused {
		h.queue = append(h.queue, run)
		return
	}
	run()
}

// recordDecision adds a decision to the trace.
func (w *fakeCluster) recordDecision(h *fakeNode, d Decision) {
	id := uint64(d.Request)
	req := w.orders[id]
	if d.Granted {
		w.trace = append(w.trace, traceEvent{kind: sent, request: id, order: orderOf(req), onTime: w.clock(h).Before(req.Deadline)})
		h.openSends = append(h.openSends, id)
		return
	}
	if _, twice := w.decided[id]; twice {
		panic(fmt.Sprintf("request %d answered twice", id))
	}
	w.decided[id] = d.Answer
	w.trace = append(w.trace, traceEvent{kind: answered, request: id, order: orderOf(req), answer: d.Answer})
}

func orderOf(req WorkRequest) string {
	return fmt.Sprintf("%q/%q/%x", req.Caller, req.Work.Service, req.Work.Key)
}

func (w *fakeCluster) begin(h *fakeNode, caller string, key api.IdempotencyKey, payload string, timeout time.Duration) uint64 {
	w.lastRequest++
	req := WorkRequest{
		Request: api.RequestID(w.lastRequest), Caller: api.CallerID(caller),
		Work:     api.Work{Service: "crews", Key: key, Payload: []byte(payload)},
		Deadline: w.clock(h).Add(timeout),
	}
	w.orders[w.lastRequest] = req
	w.runOn(h, func() Result { return h.Begin(w.clock(h), req) })
	return w.lastRequest
}

// finish ends a send. The outcome NotRun means that the target refused it.
func (w *fakeCluster) finish(h *fakeNode, i int, f Completion) {
	id := h.openSends[i]
	h.openSends = append(h.openSends[:i:i], h.openSends[i+1:]...)
	kind := ran
	if f.Outcome == api.NotRun {
		kind = refused
	}
	w.trace = append(w.trace, traceEvent{kind: kind, request: id, order: orderOf(w.orders[id]), result: string(f.Result)})
	w.runOn(h, func() Result { return h.Finish(w.clock(h), api.RequestID(id), f) })
}

// tick calls Tick on all nodes that need it now and are not paused.
func (w *fakeCluster) tick() {
	for _, h := range w.nodes {
		at := h.NextTick()
		if h.paused || at.IsZero() || at.After(w.clock(h)) {
			continue
		}
		w.runOn(h, func() Result { return h.Tick(w.clock(h)) })
	}
}

// advance moves the time forward in steps and ticks the nodes after each step.
func (w *fakeCluster) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(min(50*time.Millisecond, end.Sub(w.now)))
		w.tick()
	}
}

// apply executes a conditional write on the store.
func (w *fakeCluster) apply(a event.WriteStore) (event.WriteResult, int64) {
	if w.values[a.Key].revision != a.IfRevision {
		return event.WriteConflict, 0
	}
	w.lastRevision++
	w.values[a.Key] = value{a.Value, w.lastRevision}
	return event.WriteApplied, w.lastRevision
}

// fault is a fault injected into a store call.
type fault int

const (
	none       fault = iota
	lostAnswer       // applied, outcome unknown
	lateWrite        // outcome unknown, applied later
	notApplied       // outcome unknown, never applied
	notSent          // known not to have been sent
	silent           // applied, no answer at all
	faults           // number of faults
)

// serve executes and answers one store call, with the given fault.
func (w *fakeCluster) serve(i int, f fault) {
	c := w.calls[i]
	w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
	if c.node.life != c.life && f != lateWrite {
		f = silent
	}
	switch a := c.action.(type) {
	case event.ReadStore:
		v, ok := w.values[a.Key]
		ev := event.StoreRead{Op: a.Op, Result: event.ReadFound, Value: v.data, Revision: v.revision}
		if !ok {
			ev.Result = event.ReadAbsent
		}
		if f == silent {
			return
		}
		if f != none {
			ev = event.StoreRead{Op: a.Op, Result: event.ReadFailed}
		}
		w.runOn(c.node, func() Result { _, r := c.node.StoreRead(w.clock(c.node), ev); return r })
	case event.WriteStore:
		ev := event.StoreWritten{Op: a.Op, Result: event.WriteUnknown}
		switch f {
		case none:
			ev.Result, ev.Revision = w.apply(a)
		case lostAnswer, silent:
			w.apply(a)
		case lateWrite:
			w.lateWrites = append(w.lateWrites, a)
		case notSent:
			ev.Result = event.WriteNotSent
		}
		if f == silent {
			return
		}
		w.runOn(c.node, func() Result { _, r := c.node.StoreWritten(w.clock(c.node), ev); return r })
	}
}

// runUntilIdle serves all store calls without faults while time advances far
// enough for the nodes to become idle.
func (w *fakeCluster) runUntilIdle() {
	for range 200 {
		for len(w.calls) > 0 {
			w.serve(0, none)
		}
		w.advance(50 * time.Millisecond)
	}
}

// resume ends the pause of a node and runs the queued calls.
func (w *fakeCluster) resume(h *fakeNode) {
	h.paused = false
	queue := h.queue
	h.queue = nil
	for _, run := range queue {
		run()
	}
	w.tick()
}
