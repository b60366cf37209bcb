package confsync

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// findAction returns the first action of type T.
func findAction[T event.Action](t *testing.T, actions []event.Action) T {
	t.Helper()
	for _, a := range actions {
		if found, ok := a.(T); ok {
			return found
		}
	}
	var none T
	t.Fatalf("no %T in %v", none, actions)
	return none
}

// Guards against a change that is reported as accepted although the node has
// adopted another change at the same position. This happens if the store is
// restored between the two; a recovery then writes the adopted document and drops
// the change.
func TestChangeOnDivergedHistoryIsNotAccepted(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	ops := func(name api.ServiceName) []config.Op {
		return []config.Op{{CreateService: &config.CreateService{Name: name, Kind: config.KindWork}}}
	}
	var op api.OpID
	s := New(Settings{Name: "e1", Life: 1}, func() api.OpID { op++; return op }, rand.New(rand.NewPCG(1, 1)), count.NewSet())
	s.Start(now.Add(-minPeerWait))
	read := findAction[event.ReadStore](t, s.Propose(now, event.ChangeArrived{Request: 1, Ops: ops("mine"), Text: "t", Who: "o", Why: "t"}))
	_, acts := s.StoreRead(now, event.StoreRead{Op: read.Op, Result: event.ReadAbsent})
	write := findAction[event.WriteStore](t, acts)
	other, err := config.Apply(config.Empty(now), config.Change{ID: "other", Who: "o", Why: "t", When: now, Text: "t", Ops: ops("other")})
	if err != nil {
		t.Fatal(err)
	}
	value, err := config.Encode(other)
	if err != nil {
		t.Fatal(err)
	}
	s.Receive(now, gossip.Message{From: gossip.Member{Name: "e2", Life: 2}, Generation: 1, Revision: 1, Document: value})
	if s.Document().FindChange("other") == nil {
		t.Fatal("the document with the other change was not adopted")
	}
	_, acts = s.StoreWritten(now, event.StoreWritten{Op: write.Op, Result: event.WriteApplied, Revision: 1})
	if a := findAction[event.AnswerChange](t, acts); a.Outcome != event.ChangeUnknown || a.RetryAfter == 0 || s.Alarm() != api.ReasonStoreRegressed {
		t.Fatalf("answer %+v, alarm %q", a, s.Alarm())
	}
}

// Guards against polls that read the whole document each time, and against
// revision-only polls that miss a store restored from an older copy.
func TestPollsOfTheRevision(t *testing.T) {
	sim := newStartedSimulation(t, 1)
	older, olderRevision := sim.value, sim.revision
	sim.propose(0, nil, sim.newServiceOp())
	sim.settle()
	whole, revisions := 0, 0
	for range 2 * fullReadEvery {
		sim.advance(sim.nodes[0].NextTick().Sub(sim.now))
		for _, r := range sim.requests {
			if read, ok := r.action.(event.ReadStore); ok && read.RevisionOnly {
				revisions++
			} else if ok {
				whole++
			}
		}
		sim.settle()
	}
	if whole > 8 || revisions < fullReadEvery {
		t.Errorf("%d polls read the document, %d only its revision", whole, revisions)
	}
	sim.value, sim.revision = older, olderRevision
	for range 4 {
		sim.advance(sim.nodes[0].NextTick().Sub(sim.now))
		sim.settle()
	}
	if got := sim.nodes[0].Alarm(); got != api.ReasonStoreRegressed {
		t.Errorf("alarm %q after the store was restored", got)
	}
}

// Guards against an accepted change that a later recovery drops: the store was
// restored from an older copy, and a node that has just started writes a change
// on top of that copy before it learns that its peers have a newer document.
func TestNewEntryWaitsForPeersBeforeChange(t *testing.T) {
	sim := newStartedSimulation(t, 1)
	older, olderRevision := sim.value, sim.revision
	sim.propose(0, nil, sim.newServiceOp())
	sim.settle()
	newer, revision := sim.value, sim.nodes[0].Position().Revision
	for _, received := range []bool{true, false} {
		sim.value, sim.revision = older, olderRevision
		sim.requests, sim.answers = nil, nil
		sim.restart(0)
		fresh := sim.nodes[0]
		fresh.settings.HasPeers = true
		sim.propose(0, nil, sim.newServiceOp())
		sim.advance(minPeerWait)
		sim.settle()
		if len(sim.answers) != 0 {
			t.Fatalf("answered before the wait for a peer ended: %+v", sim.answers)
		}
		if received {
			fresh.Receive(sim.now, gossip.Message{From: gossip.Member{Name: "e2", Life: 2}, Generation: 1, Revision: revision, Document: newer})
		}
		sim.advance(maxPeerWait - minPeerWait)
		sim.settle()
		want := event.ChangeAccepted
		if received {
			want = event.ChangeRefused
		}
		if len(sim.answers) != 1 || sim.answers[0].Outcome != want {
			t.Errorf("message from a peer %v: answers %+v", received, sim.answers)
		}
	}
}
