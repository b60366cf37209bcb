package forward

import (
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/balance"
	"github.com/baobabsail/baobabsail/core/count"
)

// Guards against reports of the load that do not reach the choice of a replica, and against a
// replica that gets nothing because of what it reports.
func TestReportedLoadIsUsed(t *testing.T) {
	share := func(busy ReplicaStatus) float64 {
		h := singleReplicas(t, 3)
		got := 0
		const requests = 600
		for range requests {
			h.request("/one/x")
			for _, s := range h.takeSends() {
				h.advance(time.Millisecond) // less than any hedge delay
				status := ReplicaStatus{HasLoad: true, Load: balance.Report{Running: 1, Slots: 2, DurationPercent: 100}}
				if s.Replica == replicaOf(0, 0) {
					status = busy
					got++
				}
				h.replyWith(s, Reply{Kind: ReplyOK, Proof: "p", Body: []byte("ab")}, status)
			}
		}
		return float64(got) / requests
	}
	usual := share(ReplicaStatus{HasLoad: true, Load: balance.Report{Running: 1, Slots: 2, DurationPercent: 100}})
	busy := share(ReplicaStatus{HasLoad: true, Load: balance.Report{Running: 2, Waiting: 6, Slots: 2, DurationPercent: 100}})
	if usual < 0.25 || usual > 0.42 {
		t.Errorf("a share of %.2f with equal reports", usual)
	}
	if busy > 0.7*usual || busy == 0 {
		t.Errorf("a share of %.2f of a busy replica, %.2f of a usual one", busy, usual)
	}
}

// Guards against a log line for each response of a replica whose reports cannot be parsed, against
// reports that are not counted, and against a bad report that hides the end of a rate limit.
func TestInvalidLoadIsLoggedOnce(t *testing.T) {
	h := singleReplicas(t, 1)
	lines := 0
	report := func(status ReplicaStatus) {
		for _, a := range h.e.Step(h.now, StatusReported{Replica: replicaOf(0, 0), Status: status}) {
			if l, ok := a.(Log); ok && l.Event == "replica_status_invalid" {
				lines++
			}
		}
	}
	for range 5 {
		report(ReplicaStatus{InvalidLoad: "X"})
	}
	if n := h.e.Counts().Get(count.ReplicaStatus, statusLoadInvalid); n != 5 || lines != 1 {
		t.Errorf("%d counted and %d log lines, want 5 and 1", n, lines)
	}
	report(ReplicaStatus{HasLoad: true, Load: balance.Report{Slots: 1, DurationPercent: 100}})
	report(ReplicaStatus{InvalidLoad: "X"})
	if lines != 2 {
		t.Errorf("%d log lines after a valid report in between, want 2", lines)
	}
	s := h.sendTo(replicaOf(0, 0))
	h.replyWith(s, Reply{Kind: ReplyOK, Proof: "p", Body: []byte("ab")}, ReplicaStatus{HasRateLimit: true, RateLimit: 3, InvalidLoad: "X"})
	if !h.e.limits.limiter.Limited(replicaOf(0, 0)) {
		t.Error("the rate limit beside a bad report is ignored")
	}
	h.advance(time.Second)
	h.request("/one/x")
	for _, s := range h.takeSends() {
		h.replyWith(s, Reply{Kind: ReplyOK, Proof: "p", Body: []byte("ab")}, ReplicaStatus{InvalidLoad: "X"})
	}
	if h.e.limits.limiter.Limited(replicaOf(0, 0)) {
		t.Error("the rate limit does not end while reports are bad")
	}
}
