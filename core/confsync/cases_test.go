package confsync

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// newStartedSimulation returns a simulation whose nodes have adopted revision 1
// from the store.
func newStartedSimulation(t *testing.T, nodes int) *simulation {
	t.Helper()
	sim := newSimulation(nodes)
	sim.run(time.Second)
	sim.propose(0, nil, createService("first"))
	sim.settle()
	sim.run(3 * time.Second)
	wantAnswer(t, sim, 1, event.ChangeAccepted, api.ReasonNone)
	for i, s := range sim.nodes {
		if s.Position() != (gossip.Position{Generation: 1, Revision: 1}) {
			t.Fatalf("node %d is at %+v", i, s.Position())
		}
	}
	return sim
}

// wantAnswer checks the newest answer and that there are n answers in total.
func wantAnswer(t *testing.T, sim *simulation, n int, outcome event.ChangeOutcome, reason api.Reason) event.AnswerChange {
	t.Helper()
	if len(sim.answers) != n {
		t.Fatalf("%d answers, want %d", len(sim.answers), n)
	}
	a := sim.answers[n-1]
	if a.Outcome != outcome || a.Reason != reason {
		t.Fatalf("answer %+v, want outcome %d, reason %q", a, outcome, reason)
	}
	if sim.oracle.violation != nil {
		t.Fatal(sim.oracle.violation)
	}
	return a
}

// proposeUntilWrite submits a change at node 0, executes its read, and removes
// the resulting write from the pending requests and returns it.
func proposeUntilWrite(t *testing.T, sim *simulation, expected *uint64, ops ...config.Op) event.WriteStore {
	t.Helper()
	sim.propose(0, expected, ops...)
	sim.settleReads()
	return takeWrite(t, sim)
}

// settleReads executes all pending reads and delivers all events. Writes stay
// pending.
func (sim *simulation) settleReads() {
	for i := 0; i < len(sim.requests); {
		if _, ok := sim.requests[i].action.(event.WriteStore); ok {
			i++
			continue
		}
		sim.execute(i)
	}
	for len(sim.events) > 0 {
		sim.deliver(0)
	}
}

// takeWrite removes the first pending write and returns it.
func takeWrite(t *testing.T, sim *simulation) event.WriteStore {
	t.Helper()
	for i, r := range sim.requests {
		if a, ok := r.action.(event.WriteStore); ok {
			removeAt(&sim.requests, i)
			return a
		}
	}
	t.Fatal("no write is pending")
	return event.WriteStore{}
}

// answerWrite passes the result of a write to node 0.
func (sim *simulation) answerWrite(a event.WriteStore, result event.WriteResult) {
	_, actions := sim.nodes[0].StoreWritten(sim.now, event.StoreWritten{Op: a.Op, Result: result, Revision: sim.revision})
	sim.handleActions(0, actions)
}

// Guards against a write with a lost answer that is reported as failed although
// it was applied, and against a change that is applied twice because the read
// after the lost answer did not show it yet.
func TestLostWriteAnswer(t *testing.T) {
	t.Run("applied", func(t *testing.T) {
		sim := newStartedSimulation(t, 1)
		a := proposeUntilWrite(t, sim, nil, createService("x"))
		sim.compareAndSwap(a)
		sim.answerWrite(a, event.WriteUnknown)
		sim.settle()
		wantAnswer(t, sim, 2, event.ChangeAccepted, api.ReasonNone)
	})
	t.Run("applied after the next read", func(t *testing.T) {
		sim := newStartedSimulation(t, 1)
		first := proposeUntilWrite(t, sim, nil, createService("x"))
		sim.answerWrite(first, event.WriteUnknown)
		sim.settleReads()
		second := takeWrite(t, sim)
		if second.IfRevision != first.IfRevision || !bytes.Equal(second.Value, first.Value) || second.Op == first.Op {
			t.Fatalf("want a repeat of the first write under a new operation ID: first %+v, second %+v", first, second)
		}
		sim.compareAndSwap(first)
		if sim.compareAndSwap(second) {
			t.Fatal("the write and its repeat were both applied")
		}
		sim.answerWrite(second, event.WriteConflict)
		sim.run(time.Second)
		wantAnswer(t, sim, 2, event.ChangeAccepted, api.ReasonNone)
	})
	t.Run("repeated write not sent", func(t *testing.T) {
		sim := newStartedSimulation(t, 1)
		a := proposeUntilWrite(t, sim, nil, createService("x"))
		sim.answerWrite(a, event.WriteUnknown)
		sim.settleReads()
		sim.answerWrite(takeWrite(t, sim), event.WriteNotSent)
		sim.compareAndSwap(a)
		sim.run(time.Second)
		wantAnswer(t, sim, 2, event.ChangeAccepted, api.ReasonNone)
	})
	t.Run("no answer from the store before the change times out", func(t *testing.T) {
		sim := newStartedSimulation(t, 1)
		proposeUntilWrite(t, sim, nil, createService("x"))
		sim.advance(ChangeTimeout)
		wantAnswer(t, sim, 2, event.ChangeUnknown, api.ReasonStoreUnavailable)
	})
	t.Run("late success", func(t *testing.T) {
		sim := newStartedSimulation(t, 1)
		a := proposeUntilWrite(t, sim, nil, createService("x"))
		sim.advance(2 * StoreTimeout)
		sim.compareAndSwap(a)
		sim.answerWrite(a, event.WriteApplied)
		wantAnswer(t, sim, 2, event.ChangeAccepted, api.ReasonNone)
	})
	t.Run("history trimmed after the write", func(t *testing.T) {
		sim := newStartedSimulation(t, 2)
		a := proposeUntilWrite(t, sim, nil, createService("x"))
		sim.answerWrite(a, event.WriteUnknown)
		for i := range 2 {
			ops := []config.Op{createService(fmt.Sprint("y", i))}
			sim.handleActions(1, sim.nodes[1].Propose(sim.now, event.ChangeArrived{Request: api.RequestID(90 + i), Ops: ops, Who: "b", Why: "c", Text: string(bytes.Repeat([]byte("x"), 100<<10))}))
			sim.oracle.proposed(api.RequestID(90 + i))
			sim.settleNode(1)
		}
		sim.settle()
		wantAnswer(t, sim, 4, event.ChangeUnknown, api.ReasonStoreUnavailable)
	})
}

// settleNode executes the requests and delivers the events of one node.
func (sim *simulation) settleNode(node int) {
	for i := 0; i < len(sim.requests); {
		if sim.requests[i].node != node {
			i++
			continue
		}
		sim.execute(i)
		for j := 0; j < len(sim.events); {
			if sim.events[j].node != node {
				j++
				continue
			}
			sim.deliver(j)
		}
		i = 0
	}
}

// Guards against a conflict answer without the change that came first, and
// against applying a change to a revision other than the one that its operator
// expects.
func TestRacingOperators(t *testing.T) {
	one := uint64(1)
	sim := newStartedSimulation(t, 2)
	a := proposeUntilWrite(t, sim, &one, createService("x"))
	sim.propose(1, nil, createService("y"))
	sim.settleNode(1)
	winner := wantAnswer(t, sim, 2, event.ChangeAccepted, api.ReasonNone)
	sim.requests = append(sim.requests, pending{node: 0, life: sim.lives[0], action: a})
	sim.settle()
	lost := wantAnswer(t, sim, 3, event.ChangeConflict, api.ReasonConflict)
	if lost.Winner == nil || lost.Winner.ID != winner.ID {
		t.Errorf("winner %+v, want %s", lost.Winner, winner.ID)
	}
	sim.propose(0, &one, createService("z"))
	sim.settle()
	if lost = wantAnswer(t, sim, 4, event.ChangeConflict, api.ReasonConflict); lost.Winner == nil || lost.Winner.ID != winner.ID {
		t.Errorf("winner %+v, want %s", lost.Winner, winner.ID)
	}
	a = proposeUntilWrite(t, sim, nil, createService("x"))
	sim.propose(1, nil, createService("v"))
	sim.settleNode(1)
	sim.requests = append(sim.requests, pending{node: 0, life: sim.lives[0], action: a})
	sim.settle()
	if a := wantAnswer(t, sim, 6, event.ChangeAccepted, api.ReasonNone); a.Revision != 4 {
		t.Errorf("rebased to revision %d, want 4", a.Revision)
	}
	a = proposeUntilWrite(t, sim, nil, createService("u"))
	sim.propose(1, nil, createService("u"))
	sim.settleNode(1)
	sim.requests = append(sim.requests, pending{node: 0, life: sim.lives[0], action: a})
	sim.settle()
	wantAnswer(t, sim, 8, event.ChangeConflict, api.ReasonConflict)
	for range maxRebases + 1 {
		forceConflict(t, sim)
	}
	sim.settle()
	wantAnswer(t, sim, 9+maxRebases+1, event.ChangeConflict, api.ReasonConflict)
}

// forceConflict makes the pending write of node 0 fail because a change by node 1
// is applied first. It submits a change at node 0 if there is none.
func forceConflict(t *testing.T, sim *simulation) {
	t.Helper()
	if len(sim.nodes[0].proposals) == 0 {
		sim.propose(0, nil, createService("unlucky"))
	}
	sim.settleReads()
	a := takeWrite(t, sim)
	sim.propose(1, nil, sim.newServiceOp())
	sim.settleNode(1)
	sim.answerWrite(a, event.WriteConflict)
}

// Guards against changes that are accepted or left unanswered although they must
// be refused.
func TestRefusals(t *testing.T) {
	sim := newSimulation(1)
	sim.propose(0, nil, createService("x"))
	sim.failRequest(0, 0)
	sim.deliver(0)
	wantAnswer(t, sim, 1, event.ChangeRefused, api.ReasonStoreUnavailable)
	sim.propose(0, nil, createService("x"))
	sim.advance(StoreTimeout)
	wantAnswer(t, sim, 2, event.ChangeRefused, api.ReasonStoreUnavailable)
	sim.requests = nil
	sim.propose(0, nil, recoverOp)
	sim.settle()
	wantAnswer(t, sim, 3, event.ChangeRefused, api.ReasonNoConfiguration)
	a := proposeUntilWrite(t, sim, nil, createService("x"))
	if a.IfRevision != 0 {
		t.Errorf("the first change expects store revision %d, want 0", a.IfRevision)
	}
	sim.answerWrite(a, event.WriteNotSent)
	wantAnswer(t, sim, 4, event.ChangeRefused, api.ReasonStoreUnavailable)
	sim.propose(0, nil, createService("-"))
	sim.settle()
	if a := wantAnswer(t, sim, 5, event.ChangeInvalid, api.ReasonMalformed); a.Message == "" {
		t.Error("no message for the operator")
	}
	for range maxQueuedChanges + 1 {
		sim.propose(0, nil, sim.newServiceOp())
	}
	wantAnswer(t, sim, 6, event.ChangeRefused, api.ReasonOverloaded)
	sim.settle()
	wantAnswer(t, sim, 6+maxQueuedChanges, event.ChangeAccepted, api.ReasonNone)
}

// Guards against adopting the document of a store that was restored from an older
// copy.
func TestRestoredStore(t *testing.T) {
	for name, restored := range map[string]func(sim *simulation, old []byte) []byte{
		"older":     func(_ *simulation, old []byte) []byte { return old },
		"absent":    func(*simulation, []byte) []byte { return nil },
		"malformed": func(*simulation, []byte) []byte { return []byte("{") },
		"diverged at the same revision": func(_ *simulation, old []byte) []byte {
			return withExtraChanges(old, 1)
		},
		"diverged at a higher revision": func(_ *simulation, old []byte) []byte {
			return withExtraChanges(old, 3)
		},
	} {
		sim := newStartedSimulation(t, 2)
		old := sim.value
		sim.propose(0, nil, createService("second"))
		sim.settle()
		sim.run(3 * time.Second)
		kept := sim.nodes[0].Document()
		sim.setValue(restored(sim, old))
		if sim.value == nil {
			sim.revision = 0
		}
		sim.run(3 * time.Second)
		for i, s := range sim.nodes {
			if s.Alarm() != api.ReasonStoreRegressed || s.Position() != gossip.Position(kept.Position()) {
				t.Fatalf("%s: node %d: alarm %q at %+v", name, i, s.Alarm(), s.Position())
			}
		}
		sim.propose(1, nil, createService("third"))
		sim.settle()
		wantAnswer(t, sim, 3, event.ChangeRefused, api.ReasonStoreRegressed)
		sim.propose(1, nil, recoverOp)
		sim.settle()
		wantAnswer(t, sim, 4, event.ChangeAccepted, api.ReasonNone)
		sim.run(4 * time.Second)
		for i, s := range sim.nodes {
			want := gossip.Position{Generation: 2, Revision: 3}
			if s.Alarm() != api.ReasonNone || s.Position() != want || s.Document().Services["second"] == nil {
				t.Errorf("%s: node %d after recovery: alarm %q at %+v", name, i, s.Alarm(), s.Position())
			}
		}
	}
}

// withExtraChanges returns the encoded document with n other changes on top.
func withExtraChanges(value []byte, n int) []byte {
	doc, err := config.Decode(value)
	for i := 0; i < n && err == nil; i++ {
		doc, err = config.Apply(doc, config.Change{ID: config.ChangeID(fmt.Sprint("other", i)), Who: "z", Why: "z", When: epoch, Ops: []config.Op{createService(fmt.Sprint("other", i))}})
	}
	if err != nil {
		panic(err)
	}
	out, _ := config.Encode(doc)
	return out
}

// Guards against a false alarm: the answer to a read arrives after a newer
// document was adopted from a peer and contains an older one.
func TestDelayedReadIsNoRegression(t *testing.T) {
	sim := newStartedSimulation(t, 2)
	expected := uint64(2)
	sim.propose(1, &expected, createService("third"))
	sim.nodes[1].poll(sim.now)
	sim.handleActions(1, sim.nodes[1].flush())
	for len(sim.requests) > 0 {
		sim.execute(0)
	}
	held := sim.events
	sim.events = nil
	sim.propose(0, nil, createService("second"))
	sim.settleNode(0)
	sim.gossip(0, 1)
	if sim.nodes[1].Position().Revision != 2 {
		t.Fatalf("node 1 did not adopt from its peer: %+v", sim.nodes[1].Position())
	}
	sim.events = held
	for len(sim.events) > 0 {
		sim.deliver(0)
	}
	for i, s := range sim.nodes {
		if s.Alarm() != api.ReasonNone || s.Position().Revision != 2 {
			t.Errorf("node %d: alarm %q at %+v", i, s.Alarm(), s.Position())
		}
	}
	sim.run(time.Second)
	wantAnswer(t, sim, 3, event.ChangeAccepted, api.ReasonNone)
}

// Guards against a late answer that makes a node adopt an older document, and
// against a second recovery that is applied on top of a concurrent first one.
func TestAnswersOutOfOrder(t *testing.T) {
	sim := newStartedSimulation(t, 2)
	a := proposeUntilWrite(t, sim, nil, createService("x"))
	sim.compareAndSwap(a)
	sim.propose(1, nil, createService("y"))
	sim.settleNode(1)
	sim.gossip(1, 0)
	sim.answerWrite(a, event.WriteApplied)
	if got := sim.nodes[0].Position().Revision; got != 3 || sim.oracle.violation != nil {
		t.Errorf("node 0 is at revision %d, want 3: %v", got, sim.oracle.violation)
	}
	a = proposeUntilWrite(t, sim, nil, recoverOp)
	sim.propose(1, nil, recoverOp)
	sim.settleNode(1)
	sim.answerWrite(a, event.WriteConflict)
	sim.settle()
	wantAnswer(t, sim, 5, event.ChangeConflict, api.ReasonConflict)
}

// Guards against documents and changes from peers that are adopted without
// verification, and against exchanges between peers that never end.
func TestPeers(t *testing.T) {
	sim := newStartedSimulation(t, 2)
	first := sim.value
	for i := range 3 {
		sim.propose(0, nil, createService(fmt.Sprint("p", i)))
		sim.settleNode(0)
	}
	a, b := sim.nodes[0], sim.nodes[1]
	changes, whole := a.ChangesAfter(b.Position())
	if len(changes) != 3 || whole != nil {
		t.Fatalf("%d changes and document of %d bytes, want 3 changes", len(changes), len(whole))
	}
	theirs := gossip.Message{Generation: 1, Revision: 4}
	send := func(changes [][]byte, document []byte) Received {
		msg := theirs
		msg.Changes, msg.Document = changes, document
		return b.Receive(sim.now, msg)
	}
	if ex := send([][]byte{changes[1], changes[0]}, nil); ex.Adopted || ex.Want == nil || *ex.Want != b.Position() {
		t.Errorf("changes out of order: %+v", ex)
	}
	bad := bytes.Replace(changes[0], []byte(`"p0"`), []byte(`"q0"`), 1)
	if ex := send([][]byte{bad}, nil); ex.Adopted || ex.Want == nil || *ex.Want != (gossip.Position{}) {
		t.Errorf("modified change: %+v", ex)
	}
	_, whole = a.ChangesAfter(gossip.Position{})
	if ex := send(nil, bytes.Replace(whole, []byte(`"kind":"work"`), []byte(`"kind":"search"`), 1)); ex.Adopted || ex.Want != nil {
		t.Errorf("modified document: %+v", ex)
	}
	sim.now = sim.now.Add(rejectedRetryDelay)
	if ex := send(nil, withExtraChanges(sim.value, 2)[:40]); ex.Adopted {
		t.Errorf("truncated document: %+v", ex)
	}
	sim.now = sim.now.Add(rejectedRetryDelay)
	if ex := send(changes, nil); !ex.Adopted || ex.Want != nil || b.Position() != a.Position() {
		t.Errorf("all changes: %+v", ex)
	}
	theirs.Revision = 6
	if ex := send(nil, withExtraChanges(first, 5)); ex.Adopted || ex.Want != nil {
		t.Errorf("document with a diverged history: %+v", ex)
	}
	if old := (gossip.Position{Generation: 1, Revision: 2}); len(b.Receive(sim.now, gossip.Message{Generation: 1, Revision: 2, WantAfter: &old}).Changes) != 2 {
		t.Error("a peer that requests the changes after revision 2 does not get the two that it lacks")
	}
	fresh := newSimulation(1).nodes[0]
	if ex := fresh.Receive(sim.now, theirs); ex.Want == nil || *ex.Want != (gossip.Position{}) {
		t.Errorf("fresh node wants %+v", ex.Want)
	}
	if ex := fresh.Receive(sim.now, gossip.Message{Generation: 1, Revision: 4, Document: whole}); !ex.Adopted || fresh.ConfirmedAt() != sim.now {
		t.Errorf("fresh node: %+v", ex)
	}
}

// Guards against a watch that stops delivering events without an error, and
// against nodes that together exceed the store's limits of reads and watches.
func TestWatchAndPolls(t *testing.T) {
	sim := newStartedSimulation(t, 1)
	s := sim.nodes[0]
	first := sim.watches[0].op
	sim.advance(time.Millisecond)
	sim.settle()
	sim.run(WatchIdleTimeout + time.Second)
	if len(sim.watches) != 1 || sim.watches[0].op == first {
		t.Errorf("watches %+v, want one that replaces %d", sim.watches, first)
	}
	handled, _ := s.StoreWatchEnded(sim.now, event.StoreWatchEnded{Op: sim.watches[0].op})
	sim.watches = nil
	other, _ := s.StoreRead(sim.now, event.StoreRead{Op: 1 << 40})
	if !handled || other {
		t.Error("an own watch was not handled, or an unknown read was")
	}
	const entries = 570
	watchers := 0
	var members []gossip.Member
	for i := range entries {
		members = append(members, gossip.Member{Name: api.EntryName(fmt.Sprint("n", i)), DataCentre: api.DataCentre(fmt.Sprint("dc", i%9))})
	}
	for _, m := range members {
		x := New(Settings{Name: m.Name, DataCentre: m.DataCentre}, nil, nil, nil)
		x.SetMembers(epoch, members)
		if x.shouldWatch {
			watchers++
		}
		if got := x.pollInterval(); got != entries*time.Second/storeReadRate {
			t.Fatalf("interval %v", got)
		}
	}
	if watchers != 9*WatchersPerDataCentre {
		t.Errorf("%d watchers, want %d", watchers, 9*WatchersPerDataCentre)
	}
	sim.run(2 * time.Second)
	if len(sim.watches) != 1 {
		t.Fatalf("watches %+v, want one new watch after the end of the previous one", sim.watches)
	}
	for i := 0; s.shouldWatch; i++ {
		s.SetMembers(sim.now, members[:i])
	}
	sim.run(time.Second)
	if len(sim.watches) != 0 || s.watch != nil {
		t.Errorf("watches %+v, want none", sim.watches)
	}
}

// Guards against too many reads while the store is unavailable, and against a
// node that notices the end of the outage too late.
func TestBackoff(t *testing.T) {
	sim := newStartedSimulation(t, 1)
	reads := 0
	for range 60 {
		sim.advance(time.Second)
		for len(sim.requests) > 0 {
			reads++
			sim.failRequest(0, 0)
			sim.deliver(0)
		}
	}
	if reads < 60/5 || reads > 60/2 {
		t.Errorf("%d reads in an outage of 60 s, want one every 2 to 5 s", reads)
	}
	sim.run(maxBackoff*5/4 + time.Second)
	if age := sim.now.Sub(sim.nodes[0].ConfirmedAt()); age > 2*time.Second {
		t.Errorf("last confirmed %v ago after the end of the outage", age)
	}
}
