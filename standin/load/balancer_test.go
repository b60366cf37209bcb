package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against a balancer that picks an endpoint that fails its readiness
// check, or that picks none when every endpoint fails it.
func TestBalancerSkipsUnreadyEndpoints(t *testing.T) {
	status := map[string]int{"/a/readyz": http.StatusOK, "/b/readyz": http.StatusServiceUnavailable}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(status[r.URL.Path])
	}))
	defer server.Close()
	a, b := server.URL+"/a", server.URL+"/b"
	balancer := newBalancer([]string{a, b})
	for i, endpoint := range balancer.endpoints {
		balancer.notReady[i].Store(!checkReady(context.Background(), server.Client(), endpoint, time.Minute))
	}
	for position := range 4 {
		if got := balancer.pick(position); got != a {
			t.Errorf("pick(%d) = %s, want the ready endpoint", position, got)
		}
	}
	balancer.notReady[0].Store(true)
	if got := balancer.pick(1); got != b {
		t.Errorf("with no endpoint ready, pick(1) = %s, want the endpoint at the position", got)
	}
}

// Guards against per-second counts that omit searches (of the warm-up, or without
// an answer) and against partial answers counted as whole.
func TestSecondsCountSearches(t *testing.T) {
	r := newResults()
	whole := SearchAnswer{Outcome: outcomeAnswered, Coverage: Coverage{SharePercent: 100, CoveredShards: 1}}
	partial := SearchAnswer{Outcome: outcomeAnswered, Coverage: Coverage{SharePercent: 50}}
	r.recordSearch(100*time.Millisecond, 0, 200, false, &whole)
	r.recordSearch(2500*time.Millisecond, 0, 200, true, &partial)
	r.recordSearch(2900*time.Millisecond, 0, 503, true, &SearchAnswer{Outcome: outcomeNotRun})
	got := r.report(Settings{}, time.Second).Seconds
	want := []SecondReport{{Sent: 1, Answered: 1, Whole: 1}, {}, {Sent: 2, Answered: 1}}
	if len(got) != len(want) || got[0] != want[0] || got[1] != want[1] || got[2] != want[2] {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
