package forward

import (
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// In these tests the store was restored from an older copy, so that the first list of
// registrations is some seconds old.

// readOlderCopy feeds a list of registrations from an older copy of the store.
func (h *harness) readOlderCopy(list ...Registration) {
	h.step(RegistryRead{Registrations: list, Restored: true})
}

// servingReplicas returns the replicas of shard 0 that get new requests.
func (h *harness) servingReplicas() map[api.ReplicaName]bool {
	found := map[api.ReplicaName]bool{}
	for range 20 {
		h.request("/one/x")
		for _, s := range h.takeSends() {
			found[s.Replica] = true
			h.ok(s, "x")
		}
	}
	return found
}

// Guards against an older report being mistaken for a restart of the replica: the requests
// lost there would be suspected of crashing it.
func TestOlderReportIsNoRestart(t *testing.T) {
	h := ready(t, 1)
	old := registration(0, 0)
	now := old
	now.Sequence = 9
	h.step(ReplicaRegistered{Registration: now})
	h.request("/one/x")
	s := h.takeSends()[0]
	h.step(Lost{Attempt: s.Attempt, Loss: LostBroken})
	h.readOlderCopy(old, registration(0, 1))
	if len(h.published) > 0 {
		t.Errorf("a request is suspected: %+v", h.published)
	}
}

// Guards against new requests to a draining replica that an older copy of the store lists
// as ready.
func TestLeavingReplicaStaysLeavingAfterARestore(t *testing.T) {
	h := ready(t, 1)
	leaving := registration(0, 0)
	leaving.Draining, leaving.Sequence = true, 5
	h.step(ReplicaRegistered{Registration: leaving})
	h.readOlderCopy(registration(0, 0), registration(0, 1))
	if h.servingReplicas()[replicaOf(0, 0)] {
		t.Error("the draining replica gets new requests")
	}
}

// Guards against new requests to a removed replica that an older copy of the store still
// lists, and against ignoring that replica after it registers again.
func TestGoneReplicaStaysGoneAfterARestore(t *testing.T) {
	h := ready(t, 1)
	h.step(ReplicaUnregistered{Replica: replicaOf(0, 0)})
	h.readOlderCopy(registration(0, 0), registration(0, 1))
	if h.servingReplicas()[replicaOf(0, 0)] {
		t.Error("the removed replica gets new requests")
	}
	again := registration(0, 0)
	again.Sequence = 2
	h.step(ReplicaRegistered{Registration: again})
	if !h.servingReplicas()[replicaOf(0, 0)] {
		t.Error("a replica that registers again gets no requests")
	}
}

// Guards against dropping replicas at once because an older copy of the store lacks them,
// and against keeping those that do not register again.
func TestReplicaMissingInAnOlderCopyHasTimeToReport(t *testing.T) {
	h := ready(t, 1)
	h.readOlderCopy(registration(0, 1))
	if !h.servingReplicas()[replicaOf(0, 0)] {
		t.Error("a replica that the copy lacks is dropped at once")
	}
	h.advance(3 * time.Second)
	if h.servingReplicas()[replicaOf(0, 0)] {
		t.Error("a replica that does not register again still gets requests")
	}
}

// Guards against dropping most replicas after an outage of the store too short for any call
// to fail: their registrations lapsed together and are about to come back.
func TestReplicasThatLapseTogetherHaveTimeToReport(t *testing.T) {
	h := ready(t, 4)
	h.step(ReplicasUnregistered{Count: 4})
	for s := range 4 {
		h.step(ReplicaUnregistered{Replica: replicaOf(s, 0)})
	}
	if !h.servingReplicas()[replicaOf(0, 0)] {
		t.Error("a replica that lapsed with many others is dropped at once")
	}
	h.advance(3 * time.Second)
	if h.servingReplicas()[replicaOf(0, 0)] {
		t.Error("a replica that does not register again still gets requests")
	}
	h.step(ReplicasUnregistered{Count: 1})
	h.step(ReplicaUnregistered{Replica: replicaOf(1, 1)})
	h.request("/all/x")
	for _, s := range h.takeSends() {
		if s.Replica == replicaOf(1, 1) {
			t.Error("a replica that was removed alone still gets requests")
		}
	}
}
