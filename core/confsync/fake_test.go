package confsync

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/gossip"
)

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// pending is a request on its way to the store (act) or an event on its way to
// a node (ev).
type pending struct {
	node int
	life int
	act  event.Action
	ev   event.Event
}

type watcher struct {
	node, life int
	op         api.OpID
}

// world holds some Syncers and one store. Nothing moves by itself: a test
// executes requests, delivers events and advances the time.
type world struct {
	now      time.Time
	nodes    []*Syncer
	lives    []int
	nextOp   api.OpID
	requests []pending
	events   []pending
	late     []event.WriteStore // reported as unknown, may still be applied
	watches  []watcher
	value    []byte // of the store; nil if absent
	revision int64
	counter  int64 // last used store revision
	oracle   *oracle
	answers  []event.AnswerChange
	names    int
}

func newWorld(nodes int) *world {
	w := &world{now: epoch, oracle: newOracle()}
	for i := range nodes {
		w.nodes = append(w.nodes, nil)
		w.lives = append(w.lives, 0)
		w.restart(i)
		// The entries have run for long enough to make changes.
		w.nodes[i].startedAt = epoch.Add(-peerHearing)
	}
	return w
}

func (w *world) restart(i int) {
	w.lives[i]++
	settings := Settings{Name: api.EntryName(fmt.Sprint("n", i)), Life: api.Life(w.lives[i]), DataCentre: "dc1"}
	newOp := func() api.OpID { w.nextOp++; return w.nextOp }
	w.nodes[i] = New(settings, newOp, rand.New(rand.NewPCG(uint64(i), uint64(w.lives[i]))), count.NewSet())
	w.oracle.restarted(i)
	w.do(i, w.nodes[i].Start(w.now))
}

// do files the actions of a node.
func (w *world) do(i int, actions []event.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case event.ReadStore, event.WriteStore:
			w.requests = append(w.requests, pending{node: i, life: w.lives[i], act: a})
		case event.WatchStore:
			w.watches = append(w.watches, watcher{node: i, life: w.lives[i], op: a.Op})
		case event.CancelWatch:
			w.watches = removeIf(w.watches, func(x watcher) bool { return x.op == a.Op })
		case event.AnswerChange:
			w.answers = append(w.answers, a)
			w.oracle.answered(a)
		}
	}
	w.oracle.adopted(i, w.nodes[i].Document())
}

func removeIf[T any](list []T, drop func(T) bool) []T {
	var out []T
	for _, x := range list {
		if !drop(x) {
			out = append(out, x)
		}
	}
	return out
}

func take[T any](list *[]T, i int) T {
	x := (*list)[i]
	*list = append((*list)[:i:i], (*list)[i+1:]...)
	return x
}

// write applies a compare-and-swap to the store.
func (w *world) write(a event.WriteStore) bool {
	if a.IfRevision != w.revision {
		return false
	}
	w.set(a.Value)
	doc, err := config.Decode(a.Value)
	if err != nil {
		panic(err)
	}
	w.oracle.applied(doc.Head().ID, doc.Position())
	for _, x := range w.watches {
		w.events = append(w.events, pending{node: x.node, life: x.life, ev: event.StoreChanged{Op: x.op, Value: w.value, Revision: w.revision}})
	}
	return true
}

// set replaces the store's content under a new store revision.
func (w *world) set(value []byte) {
	w.counter++
	w.value, w.revision = value, w.counter
}

// execute carries out request i. The answer becomes a pending event.
func (w *world) execute(i int) {
	r := take(&w.requests, i)
	answer := pending{node: r.node, life: r.life}
	switch a := r.act.(type) {
	case event.ReadStore:
		read := event.StoreRead{Op: a.Op, Result: event.ReadAbsent}
		if w.value != nil {
			read = event.StoreRead{Op: a.Op, Result: event.ReadFound, Value: w.value, Revision: w.revision}
			if a.RevisionOnly {
				read.Value = nil
			}
		}
		answer.ev = read
	case event.WriteStore:
		written := event.StoreWritten{Op: a.Op, Result: event.WriteConflict}
		if w.write(a) {
			written = event.StoreWritten{Op: a.Op, Result: event.WriteApplied, Revision: w.revision}
		}
		answer.ev = written
	}
	w.events = append(w.events, answer)
}

// fail answers request i with the given result of a write, or a failed read.
func (w *world) fail(i int, result event.WriteResult) {
	r := take(&w.requests, i)
	answer := pending{node: r.node, life: r.life}
	switch a := r.act.(type) {
	case event.ReadStore:
		answer.ev = event.StoreRead{Op: a.Op, Result: event.ReadFailed}
	case event.WriteStore:
		answer.ev = event.StoreWritten{Op: a.Op, Result: result}
	}
	w.events = append(w.events, answer)
}

// deliver hands event i to its node, unless the node was restarted since.
func (w *world) deliver(i int) {
	e := take(&w.events, i)
	if w.lives[e.node] != e.life {
		return
	}
	s := w.nodes[e.node]
	var actions []event.Action
	switch ev := e.ev.(type) {
	case event.StoreRead:
		_, actions = s.StoreRead(w.now, ev)
	case event.StoreWritten:
		_, actions = s.StoreWritten(w.now, ev)
	case event.StoreChanged:
		_, actions = s.StoreChanged(w.now, ev)
	}
	w.do(e.node, actions)
}

// settle executes and delivers everything, faultlessly.
func (w *world) settle() {
	for len(w.requests)+len(w.events) > 0 {
		for len(w.requests) > 0 {
			w.execute(0)
		}
		for len(w.events) > 0 {
			w.deliver(0)
		}
	}
}

// advance moves the time and makes the ticks that the nodes ask for.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for {
		next, node := end, -1
		for i, s := range w.nodes {
			if t := s.Wake(); !t.IsZero() && !t.After(next) {
				next, node = t, i
			}
		}
		if node < 0 {
			break
		}
		if next.After(w.now) {
			w.now = next
		}
		w.do(node, w.nodes[node].Tick(w.now))
	}
	w.now = end
}

// run lets time pass without faults.
func (w *world) run(d time.Duration) {
	for range d / (50 * time.Millisecond) {
		w.advance(50 * time.Millisecond)
		w.settle()
	}
}

// propose makes node i propose operations.
func (w *world) propose(i int, expected *uint64, ops ...config.Op) {
	w.names++
	ev := event.ChangeArrived{Request: api.RequestID(w.names), Ops: ops, Who: fmt.Sprint("op", i), Why: "test", Expected: expected}
	w.oracle.proposed(ev.Request)
	w.do(i, w.nodes[i].Propose(w.now, ev))
}

// service returns an operation that creates a service with a new name.
func (w *world) service() config.Op {
	return createService(fmt.Sprint("s", w.names))
}

func createService(name string) config.Op {
	return config.Op{CreateService: &config.CreateService{Name: api.ServiceName(name), Kind: config.KindWork}}
}

var recoverOp = config.Op{Recover: &config.Recover{}}

// gossip carries messages between two nodes until neither has more to say.
func (w *world) gossip(from, to int) {
	p := w.nodes[from].Position()
	msg := gossip.Message{Generation: p.Generation, Revision: p.Revision}
	for range 8 {
		ex := w.nodes[to].Receive(w.now, msg)
		w.oracle.adopted(to, w.nodes[to].Document())
		if ex.Want == nil && ex.Changes == nil && ex.Document == nil {
			return
		}
		p := w.nodes[to].Position()
		msg = gossip.Message{Generation: p.Generation, Revision: p.Revision, Changes: ex.Changes, Document: ex.Document, WantAfter: ex.Want}
		from, to = to, from
	}
}

// gossipAll makes every node know the newest document of any.
func (w *world) gossipAll() {
	for range w.nodes {
		for i := range w.nodes {
			w.gossip(i, (i+1)%len(w.nodes))
		}
	}
}

// stored decodes the store's document; nil if absent.
func (w *world) stored() *config.Document {
	if w.value == nil {
		return nil
	}
	doc, err := config.Decode(w.value)
	if err != nil {
		panic(err)
	}
	return doc
}
