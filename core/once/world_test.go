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

// Fixed seed; a -rapid.seed on the command line replaces it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.steps", "80")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var epoch = time.UnixMilli(1_800_000_000_000)

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
	node   *host
	life   api.Life
	action event.Action
}

type value struct {
	data     []byte
	revision int64
}

// host is one node of a world; a kill gives it a new coordinator.
type host struct {
	*Coordinator
	life   api.Life
	offset time.Duration // error of its clock
	paused bool
	queue  []func() // what happened while it was paused
	sent   []uint64 // requests sent without Finish
}

// world is a fake store and some nodes. It writes what targets and callers see
// into trace.
type world struct {
	now     time.Time
	values  map[string]value
	revs    int64
	calls   []call
	late    []event.WriteStore // may still be applied, though answered
	hosts   []*host
	orders  map[uint64]Claimant // by request, unique over all nodes
	trace   []seen
	decided map[uint64]api.WorkAnswer
	lives   api.Life
	next    uint64
}

func newWorld(nodes, partitions int, window time.Duration) *world {
	w := &world{
		now: epoch, values: make(map[string]value),
		orders: make(map[uint64]Claimant), decided: make(map[uint64]api.WorkAnswer),
	}
	for range nodes {
		h := &host{}
		w.hosts = append(w.hosts, h)
		w.start(h, partitions, window)
	}
	return w
}

func (w *world) start(h *host, partitions int, window time.Duration) {
	w.lives++
	h.life, h.sent, h.queue, h.paused = w.lives, nil, nil, false
	var op api.OpID
	h.Coordinator = New(h.life, func() api.OpID { op++; return op }, count.NewSet())
	h.Configure(partitions, window)
}

func (w *world) clock(h *host) time.Time { return w.now.Add(h.offset) }

// do runs f on a node, later if the node is paused.
func (w *world) do(h *host, f func() Result) {
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
			w.decide(h, d)
		}
	}
	if h.paused {
		h.queue = append(h.queue, run)
		return
	}
	run()
}

func (w *world) decide(h *host, d Decision) {
	id := uint64(d.Request)
	who := w.orders[id]
	if d.Granted {
		w.trace = append(w.trace, seen{what: sent, request: id, order: orderOf(who), onTime: w.clock(h).Before(who.Deadline)})
		h.sent = append(h.sent, id)
		return
	}
	if _, twice := w.decided[id]; twice {
		panic(fmt.Sprintf("request %d answered twice", id))
	}
	w.decided[id] = d.Answer
	w.trace = append(w.trace, seen{what: answered, request: id, order: orderOf(who), answer: d.Answer})
}

func orderOf(who Claimant) string {
	return fmt.Sprintf("%q/%q/%x", who.Caller, who.Work.Service, who.Work.Key)
}

func (w *world) begin(h *host, caller string, key api.IdempotencyKey, payload string, patience time.Duration) uint64 {
	w.next++
	who := Claimant{
		Request: api.RequestID(w.next), Caller: api.CallerID(caller),
		Work:     api.Work{Service: "crews", Key: key, Payload: []byte(payload)},
		Deadline: w.clock(h).Add(patience),
	}
	w.orders[w.next] = who
	w.do(h, func() Result { return h.Begin(w.clock(h), who) })
	return w.next
}

// finish ends a send; refused says that the target did not run it.
func (w *world) finish(h *host, i int, f Finish) {
	id := h.sent[i]
	h.sent = append(h.sent[:i:i], h.sent[i+1:]...)
	what := ran
	if f.Outcome == api.NotRun {
		what = refused
	}
	w.trace = append(w.trace, seen{what: what, request: id, order: orderOf(w.orders[id]), result: string(f.Result)})
	w.do(h, func() Result { return h.Finish(w.clock(h), api.RequestID(id), f) })
}

func (w *world) tick() {
	for _, h := range w.hosts {
		at := h.Wake()
		if h.paused || at.IsZero() || at.After(w.clock(h)) {
			continue
		}
		w.do(h, func() Result { return h.Tick(w.clock(h)) })
	}
}

// advance lets time pass, waking nodes on the way.
func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(min(50*time.Millisecond, end.Sub(w.now)))
		w.tick()
	}
}

func (w *world) apply(a event.WriteStore) (event.WriteResult, int64) {
	if w.values[a.Key].revision != a.IfRevision {
		return event.WriteConflict, 0
	}
	w.revs++
	w.values[a.Key] = value{a.Value, w.revs}
	return event.WriteApplied, w.revs
}

// fault is what happens to a store call.
type fault int

const (
	none       fault = iota
	lostAnswer       // applied, outcome unknown
	lateWrite        // outcome unknown, applied later
	notApplied       // outcome unknown, never applied
	notSent
	silent // no answer at all, applied
	faults
)

// serve ends one store call.
func (w *world) serve(i int, f fault) {
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
		w.do(c.node, func() Result { _, r := c.node.StoreRead(w.clock(c.node), ev); return r })
	case event.WriteStore:
		ev := event.StoreWritten{Op: a.Op, Result: event.WriteUnknown}
		switch f {
		case none:
			ev.Result, ev.Revision = w.apply(a)
		case lostAnswer, silent:
			w.apply(a)
		case lateWrite:
			w.late = append(w.late, a)
		case notSent:
			ev.Result = event.WriteNotSent
		}
		if f == silent {
			return
		}
		w.do(c.node, func() Result { _, r := c.node.StoreWritten(w.clock(c.node), ev); return r })
	}
}

// settle serves everything without faults until nothing is left to do.
func (w *world) settle() {
	for range 200 {
		for len(w.calls) > 0 {
			w.serve(0, none)
		}
		w.advance(50 * time.Millisecond)
	}
}

func (w *world) wake(h *host) {
	h.paused = false
	queue := h.queue
	h.queue = nil
	for _, run := range queue {
		run()
	}
	w.tick()
}
