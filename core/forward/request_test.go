package forward

import (
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// Guards against a merged answer without the proofs, the number of missing parts or the
// records of its parts.
func TestMergedAnswerReportsItsParts(t *testing.T) {
	h := ready(t, 4)
	id := h.request("/all/x")
	sends := h.takeSends()
	if len(sends) != 4 {
		t.Fatalf("%d attempts for 4 shards", len(sends))
	}
	for i, body := range []string{"aa", "zz", "mmbb", "x"} {
		h.ok(sends[i], body)
	}
	a := h.answer(id)
	if a.Outcome != api.Answered || a.Merged.Missing != 0 || len(a.Merged.Proofs) != 4 {
		t.Errorf("answer %+v", a)
	}
	if string(a.Merged.Body) != "zzmmbb" {
		t.Errorf("body %q", a.Merged.Body)
	}
}

// Guards against a slow part that delays the whole answer: the part is hedged, and at
// the target time the answer is sent without it.
func TestSlowPartIsHedgedAndLeftOutAtTheTarget(t *testing.T) {
	h := ready(t, 4)
	id := h.request("/all/x")
	sends := h.takeSends()
	for _, s := range sends[:3] {
		h.ok(s, "aa")
	}
	h.advance(40 * time.Millisecond)
	hedges := h.takeSends()
	if len(hedges) != 1 || hedges[0].Replica == sends[3].Replica {
		t.Fatalf("hedges %+v after %+v", hedges, sends[3])
	}
	h.unanswered(id)
	h.advance(40 * time.Millisecond)
	a := h.answer(id)
	if a.Outcome != api.Answered || a.Merged.Missing != 1 || a.Reason != api.ReasonEarlyReturn {
		t.Errorf("answer %+v", a)
	}
}

// Guards against hedging every part at once for a caller that is so far away that the
// target time cannot be met.
func TestFarCallerCausesNoHedgeAtOnce(t *testing.T) {
	h := ready(t, 4)
	h.lastRequest++
	h.step(Arrived{
		Request: h.lastRequest, CallerTimeout: 800 * time.Millisecond, Transit: 200 * time.Millisecond,
		Message: &Message{Host: "h", Path: "/all/x", CallerRequest: "far"},
	})
	h.advance(2 * time.Millisecond)
	if n := len(h.takeSends()); n != 4 {
		t.Errorf("%d attempts for 4 parts after 2 ms", n)
	}
}

// Guards against answers that are sent at the target time and reach their callers after
// it because the VM takes long to send them.
func TestAnswersLeaveEarlierOnASlowVM(t *testing.T) {
	h := ready(t, 4)
	leaves := func() time.Duration {
		id := h.request("/all/x")
		begun := h.now
		sends := h.takeSends()
		for _, s := range sends[:3] {
			h.ok(s, "aa")
		}
		for h.answers[id].Outcome == 0 {
			h.advance(time.Millisecond)
		}
		took := h.now.Sub(begun)
		h.step(AnswerSent{Late: 15 * time.Millisecond})
		for _, s := range append(sends[3:], h.takeSends()...) {
			h.ok(s, "aa") // late, so that the replicas do not count as stalled
		}
		h.advance(time.Second)
		return took
	}
	if first := leaves(); first < 70*time.Millisecond || first > 75*time.Millisecond {
		t.Errorf("the first answer is sent after %v", first)
	}
	for range 30 {
		leaves()
	}
	if later := leaves(); later > 66*time.Millisecond || later < 50*time.Millisecond {
		t.Errorf("an answer is sent after %v, although sending takes 15 ms", later)
	}
}

// Guards against an answer below the minimum coverage: the request waits beyond the
// target time, and fails as soon as the minimum cannot be reached.
func TestCoverageBelowMinimumIsNoAnswer(t *testing.T) {
	h := ready(t, 4)
	late := h.request("/all/x")
	sends := h.takeSends()
	h.ok(sends[0], "aa")
	h.ok(sends[1], "aa")
	h.advance(100 * time.Millisecond)
	h.unanswered(late)
	for open := append(sends[2:], h.takeSends()...); len(open) > 0; open = h.takeSends() {
		for _, s := range open {
			h.step(Lost{Attempt: s.Attempt, Loss: LostBroken})
		}
	}
	if a := h.answer(late); a.Outcome != api.Unknown {
		t.Errorf("answer %+v", a)
	}
}

// Guards against sending a request that must not run twice again after it may have run,
// and against reporting it as not run.
func TestRequestThatMayHaveRunIsNotRepeated(t *testing.T) {
	for _, loss := range []Loss{LostBroken, LostStale} {
		h := ready(t, 1)
		id := h.request("/order/x")
		s := h.takeSends()[0]
		h.step(Lost{Attempt: s.Attempt, Loss: loss})
		if again := h.takeSends(); len(again) != 0 {
			t.Errorf("loss %d: sent again: %+v", loss, again)
		}
		if a := h.answer(id); a.Outcome != api.Unknown {
			t.Errorf("loss %d: answer %+v", loss, a)
		}
	}
	h := ready(t, 1)
	id := h.request("/order/x")
	h.advance(3 * time.Second)
	if len(h.takeSends()) != 1 || len(h.cancels) != 1 {
		t.Error("a slow request was hedged, or its attempt was not given up")
	}
	if a := h.answer(id); a.Outcome != api.Unknown || a.Reason != api.ReasonDeadline {
		t.Errorf("answer %+v", a)
	}
}

// Guards against a refusal being final while another replica could run the
// request, and against a wrong "not run" when all refuse.
func TestRefusedRequestGoesElsewhereAndIsThenNotRun(t *testing.T) {
	h := ready(t, 1)
	id := h.request("/order/x")
	first := h.takeSends()[0]
	h.reply(first, Reply{Kind: ReplyRefused})
	second := h.takeSends()
	if len(second) != 1 || second[0].Replica == first.Replica {
		t.Fatalf("second attempt %+v", second)
	}
	h.reply(second[0], Reply{Kind: ReplyRefused})
	if a := h.answer(id); a.Outcome != api.NotRun || a.RetryAfter <= 0 {
		t.Errorf("answer %+v", a)
	}
}

// Guards against replacing the error reply of a replica by an error of this system.
func TestFailureOfTheOnlyReplicaIsPassedOn(t *testing.T) {
	h := newHarness(t, nil)
	h.table(1, 1)
	h.replicas(1, 1)
	id := h.request("/one/x")
	h.reply(h.takeSends()[0], Reply{Kind: ReplyError, Proof: "p"})
	if a := h.answer(id); a.Outcome != api.Failed || a.Reply == nil || a.Reply.Proof != "p" {
		t.Errorf("answer %+v", a)
	}
}

// Guards against passing on the error reply of a replica whose status promises that the
// request has not run, although it has.
func TestFailureThatLooksLikeARefusalIsNotPassedOn(t *testing.T) {
	h := ready(t, 1)
	id := h.request("/order/x")
	h.reply(h.takeSends()[0], Reply{Kind: ReplyError, Proof: "p", PromisesNotRun: true})
	if a := h.answer(id); a.Outcome == api.NotRun || a.Outcome == api.Answered || a.Reply != nil {
		t.Errorf("answer %+v", a)
	}
}

// Guards against attempts that continue after the caller has left.
func TestCallerGoneCancelsAllAttempts(t *testing.T) {
	h := ready(t, 3)
	id := h.request("/all/x")
	h.step(CallerGone{Request: id})
	if len(h.cancels) != 3 {
		t.Errorf("%d of 3 attempts cancelled", len(h.cancels))
	}
	h.unanswered(id)
	h.advance(time.Second)
	h.unanswered(id)
}

// Guards against requests that wait although they cannot be served.
func TestUnservableRequestIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, nil)
	if a := h.answer(h.request("/one/x")); a.Reason != api.ReasonNoConfiguration || a.RetryAfter <= 0 {
		t.Errorf("without configuration: %+v", a)
	}
	h.table(1, 4)
	if a := h.answer(h.request("/one/x")); a.Reason != api.ReasonNoReplica || a.Outcome != api.NotRun {
		t.Errorf("without replicas: %+v", a)
	}
	if a := h.answer(h.request("/none/x")); a.Reason != api.ReasonUnknownRoute {
		t.Errorf("without a route: %+v", a)
	}
	h.replicas(2, 2)
	if a := h.answer(h.request("/all/x")); a.Reason != api.ReasonNoReplica {
		t.Errorf("with half of the shards: %+v", a)
	}
	h.replicas(3, 2)
	h.unanswered(h.request("/all/x"))
}

// Guards against a final answer after the end of the caller's timeout or of the route's
// timeout, whichever comes first.
func TestFinalAnswerComesInTime(t *testing.T) {
	h := ready(t, 1)
	impatient := h.requestFor("/one/x", 300*time.Millisecond)
	patient := h.requestFor("/one/y", 10*time.Second)
	h.advance(300 * time.Millisecond)
	if a := h.answer(impatient); a.Reason != api.ReasonDeadline || a.Outcome != api.Unknown {
		t.Errorf("answer %+v", a)
	}
	h.unanswered(patient)
	h.advance(1700 * time.Millisecond)
	h.answer(patient)
}

// Guards against waiting requests that are not sent when a replica has capacity again.
func TestWaitingPartsAreSent(t *testing.T) {
	h := newHarness(t, nil)
	h.table(1, 1)
	h.replicas(1, 1)
	var ids []api.RequestID
	for range 6 {
		ids = append(ids, h.request("/one/x"))
	}
	sends := h.takeSends()
	if len(sends) != 4 { // twice the slots
		t.Fatalf("%d sends", len(sends))
	}
	for range 6 {
		h.ok(sends[0], "")
		sends = append(sends[1:], h.takeSends()...)
	}
	for _, id := range ids {
		if a := h.answer(id); a.Outcome != api.Answered {
			t.Errorf("answer %+v", a)
		}
	}
}

// Guards against an older configuration replacing a newer one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	h := ready(t, 2)
	h.table(7, 3)
	h.table(6, 1)
	if v := h.e.Table().Version; v != 7 {
		t.Errorf("version %d", v)
	}
}

// Guards against an answer that combines parts of two configurations.
func TestAnswerKeepsTheShardsOfItsStart(t *testing.T) {
	h := ready(t, 3)
	id := h.request("/all/x")
	sends := h.takeSends()
	h.table(2, 2)
	for _, s := range sends {
		h.ok(s, "aa")
	}
	if a := h.answer(id); len(a.Merged.Proofs) != 3 || a.Merged.Missing != 0 {
		t.Errorf("answer %+v", a)
	}
}

// Guards against a part that keeps waiting after the request that used the replica's
// capacity has ended, because its caller left or its deadline passed.
func TestWaitingPartUsesCapacityOfEndedRequest(t *testing.T) {
	for _, c := range []struct {
		what string
		end  func(h *harness, first api.RequestID)
	}{
		{"caller gone", func(h *harness, first api.RequestID) { h.step(CallerGone{Request: first}) }},
		{"deadline", func(h *harness, _ api.RequestID) { h.advance(150 * time.Millisecond) }},
	} {
		h := newHarness(t, nil)
		h.accepted = 1
		h.table(1, 1)
		h.replicas(1, 1)
		first := h.requestFor("/one/a", 150*time.Millisecond)
		if len(h.takeSends()) != 1 {
			t.Fatal("the first request is not sent")
		}
		h.requestFor("/one/b", 2*time.Second)
		if len(h.takeSends()) != 0 {
			t.Fatal("the replica takes more than it accepts")
		}
		c.end(h, first)
		if got := len(h.takeSends()); got != 1 {
			t.Errorf("%s: %d attempts for the waiting request, want 1", c.what, got)
		}
	}
}

// Guards against missing shards while replicas lose some requests: a part that both
// replicas lost is sent again to one of them, a limited number of times, but never while
// no replica has answered the request.
func TestPartLostByEachReplicaIsRepeated(t *testing.T) {
	h := ready(t, 4)
	id := h.request("/all/x")
	sends := h.takeSends()
	h.ok(sends[0], "aa")
	h.ok(sends[1], "aa")
	h.ok(sends[2], "aa")
	lost := 0
	asked := map[api.ReplicaName]int{}
	for open := sends[3:]; len(open) > 0; open = h.takeSends() {
		asked[open[0].Replica]++
		h.step(Lost{Attempt: open[0].Attempt, Loss: LostBroken})
		lost++
	}
	if want := 2 + maxRepeats; lost != want || len(asked) != 2 {
		t.Errorf("%d attempts at %d replicas, want %d at 2", lost, len(asked), want)
	}
	if a := h.answer(id); a.Merged == nil || a.Merged.Missing != 1 {
		t.Errorf("answer %+v", a)
	}

	h = ready(t, 1)
	h.request("/all/x")
	first := h.takeSends()[0]
	h.step(Lost{Attempt: first.Attempt, Loss: LostBroken})
	second := h.takeSends()[0]
	h.step(Lost{Attempt: second.Attempt, Loss: LostBroken})
	if more := h.takeSends(); len(more) != 0 {
		t.Errorf("a request without any answer is sent a third time, to %s", more[0].Replica)
	}
}
