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

// pending is a request to the store (action) or an event for a node (ev) that is
// not delivered yet.
type pending struct {
	node   int
	life   int
	action event.Action
	ev     event.Event
}

// watcher is an open watch of the store.
type watcher struct {
	node, life int
	op         api.OpID
}

// simulation runs several Syncers against one simulated store. Nothing happens by
// itself: a test executes requests, delivers events and advances the time.
type simulation struct {
	now              time.Time
	nodes            []*Syncer
	lives            []int
	nextOp           api.OpID
	requests         []pending
	events           []pending
	unresolvedWrites []event.WriteStore // writes reported as WriteUnknown that may still be applied
	watches          []watcher
	value            []byte // value in the store; nil if absent
	revision         int64
	lastRevision     int64 // last store revision assigned
	oracle           *oracle
	answers          []event.AnswerChange
	proposalCount    int
}

func newSimulation(nodes int) *simulation {
	sim := &simulation{now: epoch, oracle: newOracle()}
	for i := range nodes {
		sim.nodes = append(sim.nodes, nil)
		sim.lives = append(sim.lives, 0)
		sim.restart(i)
		// Pretend that the node has run long enough to process changes.
		sim.nodes[i].startedAt = epoch.Add(-minPeerWait)
	}
	return sim
}

func (sim *simulation) restart(i int) {
	sim.lives[i]++
	settings := Settings{Name: api.EntryName(fmt.Sprint("n", i)), Life: api.Life(sim.lives[i]), DataCentre: "dc1"}
	newOp := func() api.OpID { sim.nextOp++; return sim.nextOp }
	sim.nodes[i] = New(settings, newOp, rand.New(rand.NewPCG(uint64(i), uint64(sim.lives[i]))), count.NewSet())
	sim.oracle.restarted(i)
	sim.handleActions(i, sim.nodes[i].Start(sim.now))
}

// handleActions queues the requests of node i, updates its watches and passes its
// answers and its adopted document to the oracle.
func (sim *simulation) handleActions(i int, actions []event.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case event.ReadStore, event.WriteStore:
			sim.requests = append(sim.requests, pending{node: i, life: sim.lives[i], action: a})
		case event.WatchStore:
			sim.watches = append(sim.watches, watcher{node: i, life: sim.lives[i], op: a.Op})
		case event.CancelWatch:
			sim.watches = removeIf(sim.watches, func(x watcher) bool { return x.op == a.Op })
		case event.AnswerChange:
			sim.answers = append(sim.answers, a)
			sim.oracle.answered(a)
		}
	}
	sim.oracle.adopted(i, sim.nodes[i].Document())
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

func removeAt[T any](list *[]T, i int) T {
	x := (*list)[i]
	*list = append((*list)[:i:i], (*list)[i+1:]...)
	return x
}

// compareAndSwap writes to the store if its revision is the expected one, and
// queues an event for every watch. It reports whether it wrote.
func (sim *simulation) compareAndSwap(a event.WriteStore) bool {
	if a.IfRevision != sim.revision {
		return false
	}
	sim.setValue(a.Value)
	doc, err := config.Decode(a.Value)
	if err != nil {
		panic(err)
	}
	sim.oracle.applied(doc.NewestChange().ID, doc.Position())
	for _, x := range sim.watches {
		sim.events = append(sim.events, pending{node: x.node, life: x.life, ev: event.StoreChanged{Op: x.op, Value: sim.value, Revision: sim.revision}})
	}
	return true
}

// setValue replaces the value in the store and assigns a new store revision.
func (sim *simulation) setValue(value []byte) {
	sim.lastRevision++
	sim.value, sim.revision = value, sim.lastRevision
}

// execute carries out request i and queues the answer as an event.
func (sim *simulation) execute(i int) {
	r := removeAt(&sim.requests, i)
	answer := pending{node: r.node, life: r.life}
	switch a := r.action.(type) {
	case event.ReadStore:
		read := event.StoreRead{Op: a.Op, Result: event.ReadAbsent}
		if sim.value != nil {
			read = event.StoreRead{Op: a.Op, Result: event.ReadFound, Value: sim.value, Revision: sim.revision}
			if a.RevisionOnly {
				read.Value = nil
			}
		}
		answer.ev = read
	case event.WriteStore:
		written := event.StoreWritten{Op: a.Op, Result: event.WriteConflict}
		if sim.compareAndSwap(a) {
			written = event.StoreWritten{Op: a.Op, Result: event.WriteApplied, Revision: sim.revision}
		}
		answer.ev = written
	}
	sim.events = append(sim.events, answer)
}

// failRequest answers request i without carrying it out: a write with the given
// result, a read with a failure.
func (sim *simulation) failRequest(i int, result event.WriteResult) {
	r := removeAt(&sim.requests, i)
	answer := pending{node: r.node, life: r.life}
	switch a := r.action.(type) {
	case event.ReadStore:
		answer.ev = event.StoreRead{Op: a.Op, Result: event.ReadFailed}
	case event.WriteStore:
		answer.ev = event.StoreWritten{Op: a.Op, Result: result}
	}
	sim.events = append(sim.events, answer)
}

// deliver passes event i to its node, unless the node has been restarted since.
func (sim *simulation) deliver(i int) {
	e := removeAt(&sim.events, i)
	if sim.lives[e.node] != e.life {
		return
	}
	s := sim.nodes[e.node]
	var actions []event.Action
	switch ev := e.ev.(type) {
	case event.StoreRead:
		_, actions = s.StoreRead(sim.now, ev)
	case event.StoreWritten:
		_, actions = s.StoreWritten(sim.now, ev)
	case event.StoreChanged:
		_, actions = s.StoreChanged(sim.now, ev)
	}
	sim.handleActions(e.node, actions)
}

// settle executes all requests and delivers all events without faults, until none
// are left.
func (sim *simulation) settle() {
	for len(sim.requests)+len(sim.events) > 0 {
		for len(sim.requests) > 0 {
			sim.execute(0)
		}
		for len(sim.events) > 0 {
			sim.deliver(0)
		}
	}
}

// advance advances the time and calls Tick on each node when its NextTick is due.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for {
		next, node := end, -1
		for i, s := range sim.nodes {
			if t := s.NextTick(); !t.IsZero() && !t.After(next) {
				next, node = t, i
			}
		}
		if node < 0 {
			break
		}
		if next.After(sim.now) {
			sim.now = next
		}
		sim.handleActions(node, sim.nodes[node].Tick(sim.now))
	}
	sim.now = end
}

// run advances the time in steps of 50 ms without faults.
func (sim *simulation) run(d time.Duration) {
	for range d / (50 * time.Millisecond) {
		sim.advance(50 * time.Millisecond)
		sim.settle()
	}
}

// propose submits a change with the given operations at node i.
func (sim *simulation) propose(i int, expected *uint64, ops ...config.Op) {
	sim.proposalCount++
	ev := event.ChangeArrived{Request: api.RequestID(sim.proposalCount), Ops: ops, Who: fmt.Sprint("op", i), Why: "test", Expected: expected}
	sim.oracle.proposed(ev.Request)
	sim.handleActions(i, sim.nodes[i].Propose(sim.now, ev))
}

// newServiceOp returns an operation that creates a service with a unique name.
func (sim *simulation) newServiceOp() config.Op {
	return createService(fmt.Sprint("s", sim.proposalCount))
}

func createService(name string) config.Op {
	return config.Op{CreateService: &config.CreateService{Name: api.ServiceName(name), Kind: config.KindWork}}
}

var recoverOp = config.Op{Recover: &config.Recover{}}

// gossip exchanges messages between two nodes until neither has more to send, at
// most 8.
func (sim *simulation) gossip(from, to int) {
	p := sim.nodes[from].Position()
	msg := gossip.Message{Generation: p.Generation, Revision: p.Revision}
	for range 8 {
		ex := sim.nodes[to].Receive(sim.now, msg)
		sim.oracle.adopted(to, sim.nodes[to].Document())
		if ex.Want == nil && ex.Changes == nil && ex.Document == nil {
			return
		}
		p := sim.nodes[to].Position()
		msg = gossip.Message{Generation: p.Generation, Revision: p.Revision, Changes: ex.Changes, Document: ex.Document, WantAfter: ex.Want}
		from, to = to, from
	}
}

// gossipAll spreads the newest document of any node to all nodes.
func (sim *simulation) gossipAll() {
	for range sim.nodes {
		for i := range sim.nodes {
			sim.gossip(i, (i+1)%len(sim.nodes))
		}
	}
}

// storedDocument decodes the document in the store; nil if absent.
func (sim *simulation) storedDocument() *config.Document {
	if sim.value == nil {
		return nil
	}
	doc, err := config.Decode(sim.value)
	if err != nil {
		panic(err)
	}
	return doc
}
