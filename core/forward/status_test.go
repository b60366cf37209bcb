package forward

import (
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// singleReplicas returns a harness with one shard and the given number of replicas.
func singleReplicas(t *testing.T, replicas int) *harness {
	h := newHarness(t, nil)
	h.table(1, 1)
	h.replicas(1, replicas)
	return h
}

// sendTo sends requests until one reaches a replica, and returns its attempt. The attempts at
// other replicas are answered.
func (h *harness) sendTo(name api.ReplicaName) Send {
	h.t.Helper()
	for range 50 {
		h.request("/one/x")
		for _, s := range h.takeSends() {
			if s.Replica == name {
				return s
			}
			h.ok(s, "ab")
		}
	}
	h.t.Fatalf("no request reaches %s", name)
	return Send{}
}

// checkUnused fails the test if any of the given number of requests reaches a replica.
func (h *harness) checkUnused(name api.ReplicaName, requests int) {
	h.t.Helper()
	for range requests {
		h.advance(20 * time.Millisecond)
		h.request("/one/x")
		for _, s := range h.takeSends() {
			if s.Replica == name {
				h.t.Fatalf("%s gets a request at %v", name, h.now.Sub(start))
			}
			h.ok(s, "ab")
		}
	}
}

// replyLeaving answers an attempt; the replica states that it leaves.
func (h *harness) replyLeaving(s Send, kind ReplyKind) {
	h.replyWith(s, Reply{Kind: kind, Proof: "p", Body: []byte("ab")}, ReplicaStatus{Leaving: true})
}

// TestReplicaThatStatesItsLeaveGetsNoRequests guards against requests to a replica that said in
// an answer of any kind that it leaves (DRAIN): the node waited for the store, which may say so
// late or never.
func TestReplicaThatStatesItsLeaveGetsNoRequests(t *testing.T) {
	for _, kind := range []ReplyKind{ReplyOK, ReplyError, ReplyRefused, ReplyInvalid} {
		h := singleReplicas(t, 2)
		name := replicaOf(0, 0)
		h.replyLeaving(h.sendTo(name), kind)
		h.takeSends() // the retry of a failed attempt
		h.checkUnused(name, 200)
	}
}

// TestStatedLeaveOutlastsTheRegistration guards against a replica that is used again because
// the store still lists it as ready, lists it again after a lapse, or is restored.
func TestStatedLeaveOutlastsTheRegistration(t *testing.T) {
	h := singleReplicas(t, 2)
	name := replicaOf(0, 0)
	h.replyLeaving(h.sendTo(name), ReplyOK)
	ready := registration(0, 0)
	ready.Sequence = 7
	h.step(ReplicaRegistered{Registration: ready})
	h.checkUnused(name, 50)
	h.step(ReplicaUnregistered{Replica: name})
	h.step(ReplicaRegistered{Registration: ready})
	h.checkUnused(name, 50)
	h.step(RegistryRead{Registrations: []Registration{ready, registration(0, 1)}, Restored: true})
	h.checkUnused(name, 50)
	ready.ProcessStart++
	h.step(ReplicaRegistered{Registration: ready})
	h.sendTo(name) // the next process is used
}

// TestLeaveInADiscardedAnswerCounts guards against a statement that is lost because nobody
// waits for the answer that it came with.
func TestLeaveInADiscardedAnswerCounts(t *testing.T) {
	h := singleReplicas(t, 2)
	name := replicaOf(0, 0)
	h.step(StatusReported{Replica: name, Status: ReplicaStatus{Leaving: true}})
	h.checkUnused(name, 100)
}

// TestServiceWhoseReplicasLeaveIsRefusedAtOnce guards against requests that wait for replicas
// that all said that they leave.
func TestServiceWhoseReplicasLeaveIsRefusedAtOnce(t *testing.T) {
	h := singleReplicas(t, 1)
	h.replyLeaving(h.sendTo(replicaOf(0, 0)), ReplyOK)
	a := h.answer(h.request("/one/x"))
	if a.Outcome != api.NotRun || a.Reason != api.ReasonNoReplica || a.RetryAfter <= 0 {
		t.Errorf("%+v, want a refusal", a)
	}
}

// TestBackoffOfAReplicaIsRespected guards against requests to a replica that asked for a pause
// (BUDGET), against forgetting it when the registration lapses, and against a replica that is
// not used again.
func TestBackoffOfAReplicaIsRespected(t *testing.T) {
	const wait = 3 * time.Second
	for _, kind := range []ReplyKind{ReplyRefused, ReplyError} {
		h := singleReplicas(t, 2)
		name := replicaOf(0, 0)
		h.replyWith(h.sendTo(name), Reply{Kind: kind, PromisesNotRun: true}, ReplicaStatus{Backoff: wait})
		h.takeSends() // the retry
		until := h.now.Add(wait)
		h.checkUnused(name, 50)
		h.step(ReplicaUnregistered{Replica: name})
		h.step(ReplicaRegistered{Registration: registration(0, 0)})
		h.step(StatusReported{Replica: name, Status: ReplicaStatus{Backoff: time.Millisecond}})
		h.checkUnused(name, 50)
		h.advance(until.Sub(h.now))
		h.sendTo(name)
	}
}

// TestRequestsOnTheWayBeforeABackoff guards against waiting parts that are sent to a replica
// after it asked for a pause, and against parts that wait beyond its end.
func TestRequestsOnTheWayBeforeABackoff(t *testing.T) {
	h := singleReplicas(t, 1)
	name := replicaOf(0, 0)
	var running []Send
	for range 4 { // as many as the replica may get at a time
		h.request("/one/x")
	}
	running = h.takeSends()
	waiting := h.request("/one/x")
	if len(running) != 4 || len(h.takeSends()) != 0 {
		t.Fatalf("%d requests run, want 4 and one that waits", len(running))
	}
	h.replyWith(running[0], Reply{Kind: ReplyRefused}, ReplicaStatus{Backoff: time.Second})
	for _, s := range running[1:] {
		h.ok(s, "ab")
	}
	if sends := h.takeSends(); len(sends) != 0 {
		t.Errorf("%d requests are sent to %s after it asked for a pause", len(sends), name)
	}
	if a := h.answer(waiting); a.Outcome != api.NotRun || a.Reason != api.ReasonBackoff || a.RetryAfter <= 0 {
		t.Errorf("the waiting request gets %+v", a)
	}
	if a := h.answer(h.request("/one/x")); a.Outcome != api.NotRun || a.Reason != api.ReasonBackoff || a.RetryAfter <= 0 {
		t.Errorf("a new request gets %+v", a)
	}
	h.advance(time.Second)
	h.request("/one/x")
	if sends := h.takeSends(); len(sends) != 1 {
		t.Errorf("%d requests are sent after the pause", len(sends))
	}
}

// TestBackoffOutlastsARegistration guards against forgetting the pause that a new process of a
// replica asked for before the node had read its registration.
func TestBackoffOutlastsARegistration(t *testing.T) {
	h := singleReplicas(t, 2)
	name := replicaOf(0, 0)
	h.replyWith(h.sendTo(name), Reply{Kind: ReplyRefused}, ReplicaStatus{Backoff: 3 * time.Second})
	h.takeSends() // the retry
	next := registration(0, 0)
	next.ProcessStart++
	h.step(ReplicaRegistered{Registration: next})
	h.checkUnused(name, 100)
	h.step(ReplicaUnregistered{Replica: name})
	next.ProcessStart++
	h.step(ReplicaRegistered{Registration: next})
	h.checkUnused(name, 40)
	h.advance(3 * time.Second)
	h.sendTo(name)
}
