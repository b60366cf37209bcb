package forward

import (
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

const (
	testAcceptFor    = 2500 * time.Millisecond
	testAnswerWithin = 5500 * time.Millisecond
	// longCallerTimeout is longer than the shutdown.
	longCallerTimeout = 30 * time.Second
)

// longRunning returns a harness whose routes to one replica of two slots have a timeout of
// longCallerTimeout. The replica has answered a work order in the given time, if it is not 0.
func longRunning(t *testing.T, usual time.Duration) *harness {
	h := newHarness(t, nil)
	h.accepted = 3 // the node may use two of them
	table := h.newTable(1, 1)
	for i := range table.Routes {
		table.Routes[i].Timeout = longCallerTimeout
	}
	h.step(TableRead{Table: table})
	h.replicas(1, 1)
	if usual > 0 {
		id := h.requestFor("/order/x", longCallerTimeout)
		h.advance(usual)
		h.ok(h.takeSends()[0], "aa")
		h.answer(id)
	}
	return h
}

func (h *harness) stop() { h.step(Stopping{AcceptFor: testAcceptFor, AnswerWithin: testAnswerWithin}) }

// Guards against work orders that wait for a replica until their connection is closed at the end
// of a shutdown, and against one that is sent when it can no longer be answered: it is refused at
// the latest time at which it could be sent.
func TestWaitingOrdersAreRefusedBeforeTheEndOfAShutdown(t *testing.T) {
	h := longRunning(t, time.Second)
	var ids []api.RequestID
	for range 6 {
		ids = append(ids, h.requestFor("/order/x", longCallerTimeout))
	}
	running := h.takeSends()
	if len(running) != 2 {
		t.Fatalf("%d orders run, want 2", len(running))
	}
	h.stop()
	h.advance(time.Second)
	h.ok(running[0], "aa")
	if sends := h.takeSends(); len(sends) != 1 {
		t.Fatalf("%d orders are sent 4.5 s before the end, want 1 of those that wait", len(sends))
	}
	h.advance(2600 * time.Millisecond) // twice the usual time is not left any more
	for _, id := range ids[3:] {
		if a := h.answer(id); a.Outcome != api.NotRun || a.Reason != api.ReasonShuttingDown || a.RetryAfter != shortRetryAfter {
			t.Errorf("order %d: %+v", id, a)
		}
	}
	h.ok(running[1], "aa")
	if sends := h.takeSends(); len(sends) != 0 {
		t.Errorf("%d orders are sent too late", len(sends))
	}
	h.advance(2 * time.Second)
	if a := h.answer(ids[2]); a.Outcome != api.Unknown || a.Reason != api.ReasonShuttingDown {
		t.Errorf("the order that still runs: %+v", a)
	}
}

// Guards against a request that arrives during a shutdown and is passed on although it cannot be
// answered, and against one that is refused although it can be. A caller that is refused is told
// when the load balancer sends it to another node.
func TestArrivalsDuringAShutdown(t *testing.T) {
	for name, c := range map[string]struct {
		usual, at, callerTimeout time.Duration
		refused                  bool
	}{
		"quick, early":           {20 * time.Millisecond, time.Second, longCallerTimeout, false},
		"quick, late":            {20 * time.Millisecond, 5400 * time.Millisecond, longCallerTimeout, false},
		"quick, at the end":      {20 * time.Millisecond, 5490 * time.Millisecond, longCallerTimeout, true},
		"slow, early":            {4 * time.Second, 500 * time.Millisecond, longCallerTimeout, true},
		"unknown, early":         {0, 2 * time.Second, longCallerTimeout, false},
		"unknown, late":          {0, 3 * time.Second, longCallerTimeout, true},
		"ends before the answer": {0, 3 * time.Second, time.Second, false},
	} {
		h := longRunning(t, c.usual)
		h.stop()
		h.advance(c.at)
		id := h.requestFor("/order/x", c.callerTimeout)
		if !c.refused {
			if len(h.takeSends()) != 1 {
				t.Errorf("%s: %+v", name, h.answers[id])
			}
			continue
		}
		want := max(testAcceptFor-c.at, shortRetryAfter)
		if a := h.answer(id); a.Outcome != api.NotRun || a.Reason != api.ReasonShuttingDown || a.RetryAfter != want {
			t.Errorf("%s: %+v, want a retry after %v", name, a, want)
		}
	}
}

// Guards against callers without an answer at the end of a shutdown whose requests wait for an
// admission, run at other nodes or lack some parts only.
func TestOpenRequestsAreAnsweredAtTheEndOfAShutdown(t *testing.T) {
	t.Run("awaiting admission", func(t *testing.T) {
		h := newQuotaHarness(t, nil)
		id, _ := h.requestWithKey("/one/x", "k1")
		h.unanswered(id)
		h.step(Stopping{AnswerWithin: 100 * time.Millisecond})
		h.advance(150 * time.Millisecond)
		if a := h.answer(id); a.Outcome != api.NotRun || a.Reason != api.ReasonShuttingDown || h.e.InFlight() != 0 {
			t.Errorf("%+v, %d in flight", a, h.e.InFlight())
		}
	})
	t.Run("divided", func(t *testing.T) {
		f := newFleet(t, 21)
		f.longTimeouts()
		f.callerTimeout = longCallerTimeout
		for i := 1; i < fleetNodes; i++ {
			f.unresponsive[nodeName(i)] = true
		}
		id := f.request(0)
		f.step(0, Stopping{AcceptFor: testAcceptFor, AnswerWithin: testAnswerWithin})
		f.run(testAnswerWithin + time.Second)
		if _, ok := f.answers[id]; !ok {
			t.Error("the request has no answer")
		}
	})
	t.Run("some parts", func(t *testing.T) {
		h := newHarness(t, nil)
		table := h.newTable(1, 4)
		table.Routes[0].Timeout, table.Routes[0].TargetLatency = longCallerTimeout, 0
		h.step(TableRead{Table: table})
		h.replicas(4, 1)
		id := h.requestFor("/all/x", longCallerTimeout)
		for _, s := range h.takeSends()[:3] {
			h.ok(s, "aa")
		}
		h.stop()
		h.advance(testAnswerWithin + time.Second)
		if a := h.answer(id); a.Outcome != api.Answered || a.Merged.Missing != 1 {
			t.Errorf("%+v", a)
		}
	})
}

// longTimeouts gives the routes of all nodes a timeout of longCallerTimeout.
func (f *fleet) longTimeouts() {
	for i := range f.size.nodes {
		table := (&harness{accepted: f.size.accepted}).newTable(2, f.size.shards)
		for r := range table.Routes {
			table.Routes[r].Timeout = longCallerTimeout
		}
		f.step(i, TableRead{Table: table})
	}
}

// Guards against shards that are missing from an answer because the node that was to run them stops
// and refuses the range: another node can run it.
func TestRangesRefusedByAStoppingNodeRunElsewhere(t *testing.T) {
	f := newFleet(t, 22)
	f.noSlowReplies = true
	f.longTimeouts()
	f.callerTimeout = longCallerTimeout
	for i := 1; i < fleetNodes; i += 2 {
		f.step(i, Stopping{AcceptFor: testAcceptFor, AnswerWithin: testAnswerWithin})
	}
	f.run(testAnswerWithin - time.Millisecond)
	for i := 0; i < fleetNodes; i += 2 {
		id := f.request(i)
		f.run(300 * time.Millisecond)
		if covered := f.check(id); covered != fleetShards {
			t.Errorf("node %d: %d of %d shards, %+v", i, covered, fleetShards, f.answers[id])
		}
	}
}
