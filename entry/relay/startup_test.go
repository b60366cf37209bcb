package relay

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/core/routing"
)

// serveAsync sends a request to a server and returns the channel of its status.
func serveAsync(c *CallerServer, r *http.Request) chan int {
	status := make(chan int, 1)
	go func() {
		w := httptest.NewRecorder()
		c.ServeHTTP(w, r)
		status <- w.Code
	}()
	return status
}

// configure makes a node ready to serve. No replica of the route's service is registered, so
// that its requests are refused at once, and the limits are low.
func configure(l *Loop) {
	routes := []routing.Route{{Name: "r", Host: "example.com", Prefix: "/", Services: []routing.WeightedService{{Service: "s", Weight: 1}}}}
	l.Post(forward.TableRead{Table: routing.NewTable(1, routes, nil, routing.Limits{BodyBytes: 100})})
	l.Post(forward.RegistryRead{Registrations: []forward.Registration{{Replica: "other", Service: "o", Address: "127.0.0.1:1", ProcessStart: 1}}})
}

// Guards against refusals in the milliseconds in which a process that has just started reads its
// configuration, and against a body beyond the limits of that configuration.
func TestRequestWaitsForTheConfiguration(t *testing.T) {
	c, _ := newCallerServer(t)
	small := serveAsync(c, httptest.NewRequest("POST", "/x", strings.NewReader("b")))
	large := serveAsync(c, httptest.NewRequest("POST", "/x", strings.NewReader(strings.Repeat("b", 101))))
	select {
	case status := <-small:
		t.Fatalf("answered with %d before the configuration was read", status)
	case <-time.After(startupWait / 4):
	}
	began := time.Now()
	configure(c.loop)
	if status := <-small; status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503 for lack of a replica", status)
	}
	if status := <-large; status != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d for a large body, want 413", status)
	}
	if took := time.Since(began); took > startupWait {
		t.Errorf("answered %v after the configuration", took)
	}
	if n := c.loop.engine.Counts().Get("refused", api.ReasonNoReplica); n != 1 {
		t.Errorf("%d requests refused for lack of a replica, want 1", n)
	}
}

// Guards against requests that wait for a configuration that will not come soon, or for longer
// than their callers have time.
func TestNoLongWaitForTheConfiguration(t *testing.T) {
	cases := []struct {
		name       string
		prepare    func(*CallerServer)
		timeLeft   string
		least, max time.Duration
	}{
		{"a process that has just started", func(*CallerServer) {}, "", startupWait, 4 * startupWait},
		{"a caller with little time", func(*CallerServer) {}, "40", 20 * time.Millisecond, startupWait},
		{"a process that started long ago", func(c *CallerServer) { c.loop.started = time.Now().Add(-startupPhase) }, "", 0, startupWait},
		{"the store is lost", func(c *CallerServer) { c.loop.Post(forward.StoreLost{}) }, "", 0, startupWait},
		{"a configured process", func(c *CallerServer) { configure(c.loop) }, "", 0, startupWait},
	}
	for _, k := range cases {
		c, _ := newCallerServer(t)
		k.prepare(c)
		r := httptest.NewRequest("GET", "/x", nil)
		if k.timeLeft != "" {
			r.Header.Set(testHeaders.TimeLeft, k.timeLeft)
		}
		began := time.Now()
		if status := <-serveAsync(c, r); status != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d", k.name, status)
		}
		if took := time.Since(began); took < k.least || took > k.max {
			t.Errorf("%s: refused after %v, want %v to %v", k.name, took, k.least, k.max)
		}
	}
}
