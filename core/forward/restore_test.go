package forward

import (
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// The pattern of these tests: the store has come back from an older copy, and the
// first list shows what was there some seconds ago.

// restored lists registrations of an older copy of the store.
func (h *harness) restored(list ...Registration) {
	h.step(RegistryRead{Registrations: list, Restored: true})
}

// serving returns the replicas of shard 0 that get new work.
func (h *harness) serving() map[api.ReplicaName]bool {
	found := map[api.ReplicaName]bool{}
	for range 20 {
		h.request("/one/x")
		for _, s := range h.take() {
			found[s.Replica] = true
			h.ok(s, "x")
		}
	}
	return found
}

// Guards against a report of an older copy that is taken for a restart of the
// replica: the requests lost there would be suspected of crashing it.
func TestOlderReportIsNoRestart(t *testing.T) {
	h := ready(t, 1)
	old := registration(0, 0)
	now := old
	now.Sequence = 9
	h.step(ReplicaSeen{Registration: now})
	h.request("/one/x")
	s := h.take()[0]
	h.step(Lost{Attempt: s.Attempt, Loss: LostBroken})
	h.restored(old, registration(0, 1))
	if len(h.published) > 0 {
		t.Errorf("a request is suspected: %+v", h.published)
	}
}

// Guards against new work for a replica that is leaving, since an older copy of the
// store calls it ready.
func TestLeavingReplicaStaysLeavingAfterARestore(t *testing.T) {
	h := ready(t, 1)
	leaving := registration(0, 0)
	leaving.Draining, leaving.Sequence = true, 5
	h.step(ReplicaSeen{Registration: leaving})
	h.restored(registration(0, 0), registration(0, 1))
	if h.serving()[replicaOf(0, 0)] {
		t.Error("the leaving replica gets new work")
	}
}

// Guards against new work for a replica that has left, since an older copy of the
// store still lists it, and against one that is ignored for good.
func TestGoneReplicaStaysGoneAfterARestore(t *testing.T) {
	h := ready(t, 1)
	h.step(ReplicaGone{Replica: replicaOf(0, 0)})
	h.restored(registration(0, 0), registration(0, 1))
	if h.serving()[replicaOf(0, 0)] {
		t.Error("the replica that has left gets new work")
	}
	again := registration(0, 0)
	again.Sequence = 2
	h.step(ReplicaSeen{Registration: again})
	if !h.serving()[replicaOf(0, 0)] {
		t.Error("a replica that reports again gets no work")
	}
}

// Guards against replicas that are dropped since an older copy of the store does not
// have them yet, and against ones that are kept though they do not report again.
func TestReplicaMissingInAnOlderCopyHasTimeToReport(t *testing.T) {
	h := ready(t, 1)
	h.restored(registration(0, 1))
	if !h.serving()[replicaOf(0, 0)] {
		t.Error("a replica that the copy lacks gets no work at once")
	}
	h.advance(3 * time.Second)
	if h.serving()[replicaOf(0, 0)] {
		t.Error("a replica that does not report again still gets work")
	}
}

// Guards against nodes that drop most replicas after a short outage of the store
// which no call has met: their entries lapsed together, and are about to be back.
func TestReplicasThatLapseTogetherHaveTimeToReport(t *testing.T) {
	h := ready(t, 4)
	h.step(ReplicasGone{Count: 4})
	for s := range 4 {
		h.step(ReplicaGone{Replica: replicaOf(s, 0)})
	}
	if !h.serving()[replicaOf(0, 0)] {
		t.Error("a replica that lapsed with many others gets no work at once")
	}
	h.advance(3 * time.Second)
	if h.serving()[replicaOf(0, 0)] {
		t.Error("a replica that does not report again still gets work")
	}
	h.step(ReplicasGone{Count: 1})
	h.step(ReplicaGone{Replica: replicaOf(1, 1)})
	h.request("/all/x")
	for _, s := range h.take() {
		if s.Replica == replicaOf(1, 1) {
			t.Error("a replica that left alone gets work")
		}
	}
}
