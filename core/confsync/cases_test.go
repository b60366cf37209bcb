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

// started returns a world whose nodes hold revision 1 from the store.
func started(t *testing.T, nodes int) *world {
	t.Helper()
	w := newWorld(nodes)
	w.run(time.Second)
	w.propose(0, nil, createService("first"))
	w.settle()
	w.run(3 * time.Second)
	wantAnswer(t, w, 1, event.ChangeAccepted, api.ReasonNone)
	for i, s := range w.nodes {
		if s.Position() != (gossip.Position{Generation: 1, Revision: 1}) {
			t.Fatalf("node %d is at %+v", i, s.Position())
		}
	}
	return w
}

// wantAnswer checks the newest answer and that there are n in all.
func wantAnswer(t *testing.T, w *world, n int, outcome event.ChangeOutcome, reason api.Reason) event.AnswerChange {
	t.Helper()
	if len(w.answers) != n {
		t.Fatalf("%d answers, want %d", len(w.answers), n)
	}
	a := w.answers[n-1]
	if a.Outcome != outcome || a.Reason != reason {
		t.Fatalf("answer %+v, want outcome %d, reason %q", a, outcome, reason)
	}
	if w.oracle.fault != nil {
		t.Fatal(w.oracle.fault)
	}
	return a
}

// toWrite proposes at node 0, lets its read pass and returns the write, which
// is taken off the requests.
func toWrite(t *testing.T, w *world, expected *uint64, ops ...config.Op) event.WriteStore {
	t.Helper()
	w.propose(0, expected, ops...)
	w.settleReads()
	return takeWrite(t, w)
}

func (w *world) settleReads() {
	for i := 0; i < len(w.requests); {
		if _, ok := w.requests[i].act.(event.WriteStore); ok {
			i++
			continue
		}
		w.execute(i)
	}
	for len(w.events) > 0 {
		w.deliver(0)
	}
}

func takeWrite(t *testing.T, w *world) event.WriteStore {
	t.Helper()
	for i, r := range w.requests {
		if a, ok := r.act.(event.WriteStore); ok {
			take(&w.requests, i)
			return a
		}
	}
	t.Fatal("no write is pending")
	return event.WriteStore{}
}

func (w *world) answerWrite(a event.WriteStore, result event.WriteResult) {
	_, actions := w.nodes[0].StoreWritten(w.now, event.StoreWritten{Op: a.Op, Result: result, Revision: w.revision})
	w.do(0, actions)
}

// Guards against a lost answer that is reported as a failure, or a change that
// is applied twice because a read-back did not show it yet.
func TestLostWriteAnswer(t *testing.T) {
	t.Run("applied", func(t *testing.T) {
		w := started(t, 1)
		a := toWrite(t, w, nil, createService("x"))
		w.write(a)
		w.answerWrite(a, event.WriteUnknown)
		w.settle()
		wantAnswer(t, w, 2, event.ChangeAccepted, api.ReasonNone)
	})
	t.Run("applied after the read-back", func(t *testing.T) {
		w := started(t, 1)
		first := toWrite(t, w, nil, createService("x"))
		w.answerWrite(first, event.WriteUnknown)
		w.settleReads()
		second := takeWrite(t, w)
		if second.IfRevision != first.IfRevision || !bytes.Equal(second.Value, first.Value) || second.Op == first.Op {
			t.Fatalf("the repeated write differs from the first: %+v, %+v", first, second)
		}
		w.write(first)
		if w.write(second) {
			t.Fatal("both copies were applied")
		}
		w.answerWrite(second, event.WriteConflict)
		w.run(time.Second)
		wantAnswer(t, w, 2, event.ChangeAccepted, api.ReasonNone)
	})
	t.Run("repeated copy not sent", func(t *testing.T) {
		w := started(t, 1)
		a := toWrite(t, w, nil, createService("x"))
		w.answerWrite(a, event.WriteUnknown)
		w.settleReads()
		w.answerWrite(takeWrite(t, w), event.WriteNotSent)
		w.write(a)
		w.run(time.Second)
		wantAnswer(t, w, 2, event.ChangeAccepted, api.ReasonNone)
	})
	t.Run("store silent until the operator stops waiting", func(t *testing.T) {
		w := started(t, 1)
		toWrite(t, w, nil, createService("x"))
		w.advance(OperatorWait)
		wantAnswer(t, w, 2, event.ChangeUnknown, api.ReasonStoreUnavailable)
	})
	t.Run("late success", func(t *testing.T) {
		w := started(t, 1)
		a := toWrite(t, w, nil, createService("x"))
		w.advance(2 * OpTimeout)
		w.write(a)
		w.answerWrite(a, event.WriteApplied)
		wantAnswer(t, w, 2, event.ChangeAccepted, api.ReasonNone)
	})
	t.Run("history trimmed since", func(t *testing.T) {
		w := started(t, 2)
		a := toWrite(t, w, nil, createService("x"))
		w.answerWrite(a, event.WriteUnknown)
		for i := range 2 {
			ops := []config.Op{createService(fmt.Sprint("y", i))}
			w.do(1, w.nodes[1].Propose(w.now, event.ChangeArrived{Request: api.RequestID(90 + i), Ops: ops, Who: "b", Why: "c", Text: string(bytes.Repeat([]byte("x"), 100<<10))}))
			w.oracle.proposed(api.RequestID(90 + i))
			w.settleNode(1)
		}
		w.settle()
		wantAnswer(t, w, 4, event.ChangeUnknown, api.ReasonStoreUnavailable)
	})
}

// settleNode executes and delivers what belongs to one node.
func (w *world) settleNode(node int) {
	for i := 0; i < len(w.requests); {
		if w.requests[i].node != node {
			i++
			continue
		}
		w.execute(i)
		for j := 0; j < len(w.events); {
			if w.events[j].node != node {
				j++
				continue
			}
			w.deliver(j)
		}
		i = 0
	}
}

// Guards against races that hide the winner, and against a change on top of a
// revision that the operator has not seen.
func TestRacingOperators(t *testing.T) {
	one := uint64(1)
	w := started(t, 2)
	a := toWrite(t, w, &one, createService("x"))
	w.propose(1, nil, createService("y"))
	w.settleNode(1)
	winner := wantAnswer(t, w, 2, event.ChangeAccepted, api.ReasonNone)
	w.requests = append(w.requests, pending{node: 0, life: w.lives[0], act: a})
	w.settle()
	lost := wantAnswer(t, w, 3, event.ChangeConflict, api.ReasonConflict)
	if lost.Winner == nil || lost.Winner.ID != winner.ID {
		t.Errorf("winner %+v, want %s", lost.Winner, winner.ID)
	}
	w.propose(0, &one, createService("z"))
	w.settle()
	if lost = wantAnswer(t, w, 4, event.ChangeConflict, api.ReasonConflict); lost.Winner == nil || lost.Winner.ID != winner.ID {
		t.Errorf("winner %+v, want %s", lost.Winner, winner.ID)
	}
	a = toWrite(t, w, nil, createService("x"))
	w.propose(1, nil, createService("v"))
	w.settleNode(1)
	w.requests = append(w.requests, pending{node: 0, life: w.lives[0], act: a})
	w.settle()
	if a := wantAnswer(t, w, 6, event.ChangeAccepted, api.ReasonNone); a.Revision != 4 {
		t.Errorf("rebased to revision %d, want 4", a.Revision)
	}
	a = toWrite(t, w, nil, createService("u"))
	w.propose(1, nil, createService("u"))
	w.settleNode(1)
	w.requests = append(w.requests, pending{node: 0, life: w.lives[0], act: a})
	w.settle()
	wantAnswer(t, w, 8, event.ChangeConflict, api.ReasonConflict)
	for range maxRebases + 1 {
		overtake(t, w)
	}
	w.settle()
	wantAnswer(t, w, 9+maxRebases+1, event.ChangeConflict, api.ReasonConflict)
}

// overtake lets node 1 win against the pending write of node 0, or against a
// new one if there is none.
func overtake(t *testing.T, w *world) {
	t.Helper()
	if len(w.nodes[0].proposals) == 0 {
		w.propose(0, nil, createService("unlucky"))
	}
	w.settleReads()
	a := takeWrite(t, w)
	w.propose(1, nil, w.service())
	w.settleNode(1)
	w.answerWrite(a, event.WriteConflict)
}

// Guards against changes that are accepted, or left without an answer, when
// they must be refused.
func TestRefusals(t *testing.T) {
	w := newWorld(1)
	w.propose(0, nil, createService("x"))
	w.fail(0, 0)
	w.deliver(0)
	wantAnswer(t, w, 1, event.ChangeRefused, api.ReasonStoreUnavailable)
	w.propose(0, nil, createService("x"))
	w.advance(OpTimeout)
	wantAnswer(t, w, 2, event.ChangeRefused, api.ReasonStoreUnavailable)
	w.requests = nil
	w.propose(0, nil, recoverOp)
	w.settle()
	wantAnswer(t, w, 3, event.ChangeRefused, api.ReasonNoConfiguration)
	a := toWrite(t, w, nil, createService("x"))
	if a.IfRevision != 0 {
		t.Errorf("first change compares with store revision %d, want 0", a.IfRevision)
	}
	w.answerWrite(a, event.WriteNotSent)
	wantAnswer(t, w, 4, event.ChangeRefused, api.ReasonStoreUnavailable)
	w.propose(0, nil, createService("-"))
	w.settle()
	if a := wantAnswer(t, w, 5, event.ChangeInvalid, api.ReasonMalformed); a.Message == "" {
		t.Error("no message for the operator")
	}
	for range maxQueued + 1 {
		w.propose(0, nil, w.service())
	}
	wantAnswer(t, w, 6, event.ChangeRefused, api.ReasonOverloaded)
	w.settle()
	wantAnswer(t, w, 6+maxQueued, event.ChangeAccepted, api.ReasonNone)
}

// Guards against following a store that was restored from an older copy.
func TestRestoredStore(t *testing.T) {
	for name, restored := range map[string]func(w *world, old []byte) []byte{
		"older":     func(_ *world, old []byte) []byte { return old },
		"absent":    func(*world, []byte) []byte { return nil },
		"malformed": func(*world, []byte) []byte { return []byte("{") },
		"diverged at the same revision": func(_ *world, old []byte) []byte {
			return continued(old, 1)
		},
		"diverged at a higher revision": func(_ *world, old []byte) []byte {
			return continued(old, 3)
		},
	} {
		w := started(t, 2)
		old := w.value
		w.propose(0, nil, createService("second"))
		w.settle()
		w.run(3 * time.Second)
		kept := w.nodes[0].Document()
		w.set(restored(w, old))
		if w.value == nil {
			w.revision = 0
		}
		w.run(3 * time.Second)
		for i, s := range w.nodes {
			if s.Alarm() != api.ReasonStoreRegressed || s.Position() != gossip.Position(kept.Position()) {
				t.Fatalf("%s: node %d: alarm %q at %+v", name, i, s.Alarm(), s.Position())
			}
		}
		w.propose(1, nil, createService("third"))
		w.settle()
		wantAnswer(t, w, 3, event.ChangeRefused, api.ReasonStoreRegressed)
		w.propose(1, nil, recoverOp)
		w.settle()
		wantAnswer(t, w, 4, event.ChangeAccepted, api.ReasonNone)
		w.run(4 * time.Second)
		for i, s := range w.nodes {
			want := gossip.Position{Generation: 2, Revision: 3}
			if s.Alarm() != api.ReasonNone || s.Position() != want || s.Document().Services["second"] == nil {
				t.Errorf("%s: node %d after recovery: alarm %q at %+v", name, i, s.Alarm(), s.Position())
			}
		}
	}
}

// continued returns an encoded document with n other changes on top.
func continued(value []byte, n int) []byte {
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

// Guards against a false alarm: a read that was answered before a newer
// document arrived from a peer shows an older one.
func TestDelayedReadIsNoRegression(t *testing.T) {
	w := started(t, 2)
	expected := uint64(2)
	w.propose(1, &expected, createService("third"))
	w.nodes[1].poll(w.now)
	w.do(1, w.nodes[1].flush())
	for len(w.requests) > 0 {
		w.execute(0)
	}
	held := w.events
	w.events = nil
	w.propose(0, nil, createService("second"))
	w.settleNode(0)
	w.gossip(0, 1)
	if w.nodes[1].Position().Revision != 2 {
		t.Fatalf("node 1 did not adopt from its peer: %+v", w.nodes[1].Position())
	}
	w.events = held
	for len(w.events) > 0 {
		w.deliver(0)
	}
	for i, s := range w.nodes {
		if s.Alarm() != api.ReasonNone || s.Position().Revision != 2 {
			t.Errorf("node %d: alarm %q at %+v", i, s.Alarm(), s.Position())
		}
	}
	w.run(time.Second)
	wantAnswer(t, w, 3, event.ChangeAccepted, api.ReasonNone)
}

// Guards against a late answer that moves a node back, and against a second
// recovery on top of the first.
func TestAnswersOutOfOrder(t *testing.T) {
	w := started(t, 2)
	a := toWrite(t, w, nil, createService("x"))
	w.write(a)
	w.propose(1, nil, createService("y"))
	w.settleNode(1)
	w.gossip(1, 0)
	w.answerWrite(a, event.WriteApplied)
	if got := w.nodes[0].Position().Revision; got != 3 || w.oracle.fault != nil {
		t.Errorf("node 0 is at revision %d, want 3: %v", got, w.oracle.fault)
	}
	a = toWrite(t, w, nil, recoverOp)
	w.propose(1, nil, recoverOp)
	w.settleNode(1)
	w.answerWrite(a, event.WriteConflict)
	w.settle()
	wantAnswer(t, w, 5, event.ChangeConflict, api.ReasonConflict)
}

// Guards against documents and changes from peers that are adopted unchecked,
// and against exchanges that never end.
func TestPeers(t *testing.T) {
	w := started(t, 2)
	first := w.value
	for i := range 3 {
		w.propose(0, nil, createService(fmt.Sprint("p", i)))
		w.settleNode(0)
	}
	a, b := w.nodes[0], w.nodes[1]
	changes, whole := a.After(b.Position())
	if len(changes) != 3 || whole != nil {
		t.Fatalf("%d changes and document of %d bytes, want 3 changes", len(changes), len(whole))
	}
	theirs := gossip.Message{Generation: 1, Revision: 4}
	send := func(changes [][]byte, document []byte) Exchange {
		msg := theirs
		msg.Changes, msg.Document = changes, document
		return b.Receive(w.now, msg)
	}
	if ex := send([][]byte{changes[1], changes[0]}, nil); ex.Adopted || ex.Want == nil || *ex.Want != b.Position() {
		t.Errorf("changes out of order: %+v", ex)
	}
	bad := bytes.Replace(changes[0], []byte(`"p0"`), []byte(`"q0"`), 1)
	if ex := send([][]byte{bad}, nil); ex.Adopted || ex.Want == nil || *ex.Want != (gossip.Position{}) {
		t.Errorf("altered change: %+v", ex)
	}
	_, whole = a.After(gossip.Position{})
	if ex := send(nil, bytes.Replace(whole, []byte(`"kind":"work"`), []byte(`"kind":"search"`), 1)); ex.Adopted || ex.Want != nil {
		t.Errorf("altered document: %+v", ex)
	}
	w.now = w.now.Add(refusedPause)
	if ex := send(nil, continued(w.value, 2)[:40]); ex.Adopted {
		t.Errorf("cut document: %+v", ex)
	}
	w.now = w.now.Add(refusedPause)
	if ex := send(changes, nil); !ex.Adopted || ex.Want != nil || b.Position() != a.Position() {
		t.Errorf("all changes: %+v", ex)
	}
	theirs.Revision = 6
	if ex := send(nil, continued(first, 5)); ex.Adopted || ex.Want != nil {
		t.Errorf("document of another line: %+v", ex)
	}
	if old := (gossip.Position{Generation: 1, Revision: 2}); len(b.Receive(w.now, gossip.Message{Generation: 1, Revision: 2, WantAfter: &old}).Changes) != 2 {
		t.Error("a peer that asks does not get the two changes that it lacks")
	}
	fresh := newWorld(1).nodes[0]
	if ex := fresh.Receive(w.now, theirs); ex.Want == nil || *ex.Want != (gossip.Position{}) {
		t.Errorf("fresh node wants %+v", ex.Want)
	}
	if ex := fresh.Receive(w.now, gossip.Message{Generation: 1, Revision: 4, Document: whole}); !ex.Adopted || fresh.ConfirmedAt() != w.now {
		t.Errorf("fresh node: %+v", ex)
	}
}

// Guards against a watch that has died without a sign, and against entries
// that together exceed the store's rates.
func TestWatchAndPolls(t *testing.T) {
	w := started(t, 1)
	s := w.nodes[0]
	first := w.watches[0].op
	w.advance(time.Millisecond)
	w.settle()
	w.run(WatchSilence + time.Second)
	if len(w.watches) != 1 || w.watches[0].op == first {
		t.Errorf("watches %+v, want one that replaces %d", w.watches, first)
	}
	handled, _ := s.StoreWatchEnded(w.now, event.StoreWatchEnded{Op: w.watches[0].op})
	w.watches = nil
	other, _ := s.StoreRead(w.now, event.StoreRead{Op: 1 << 40})
	if !handled || other {
		t.Error("operations are not told apart")
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
		if x.watcher {
			watchers++
		}
		if got := x.interval(); got != entries*time.Second/storeReadRate {
			t.Fatalf("interval %v", got)
		}
	}
	if watchers != 9*WatchersPerDataCentre {
		t.Errorf("%d watchers, want %d", watchers, 9*WatchersPerDataCentre)
	}
	w.run(2 * time.Second)
	if len(w.watches) != 1 {
		t.Fatalf("watches %+v, want one after the end of another", w.watches)
	}
	for i := 0; s.watcher; i++ {
		s.SetMembers(w.now, members[:i])
	}
	w.run(time.Second)
	if len(w.watches) != 0 || s.watch != nil {
		t.Errorf("watches %+v, want none", w.watches)
	}
}

// Guards against a store that is flooded during its outage, and against a node
// that takes long to notice its end.
func TestBackoff(t *testing.T) {
	w := started(t, 1)
	reads := 0
	for range 60 {
		w.advance(time.Second)
		for len(w.requests) > 0 {
			reads++
			w.fail(0, 0)
			w.deliver(0)
		}
	}
	if reads < 60/5 || reads > 60/2 {
		t.Errorf("%d reads in 60 s of outage, want one in 2 to 5 s", reads)
	}
	w.run(maxBackoff*5/4 + time.Second)
	if age := w.now.Sub(w.nodes[0].ConfirmedAt()); age > 2*time.Second {
		t.Errorf("last confirmed %v ago, after the end of the outage", age)
	}
}
