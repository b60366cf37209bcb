package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/connlimit"
	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/core/routing"
)

// newCallerServer starts a server whose engine has no configuration and returns it with its
// address.
func newCallerServer(t *testing.T) (*CallerServer, string) {
	t.Helper()
	loop := NewLoop(forward.New(forward.Settings{BudgetWindow: time.Second}), discard{}, discard{})
	loop.Connect(NewTargets(loop, testHeaders, testBodyMemory), NewNodes(loop, testHeaders, testCallBytes))
	c := NewCallerServer(loop, testHeaders, discard{}, testLimits, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = c.Serve(l) }()
	t.Cleanup(func() { _ = c.server.Close() })
	return c, l.Addr().String()
}

// Guards against forwarding a request on a connection that this node has just closed as
// idle: the request would run, but its caller would get no answer.
func TestRequestOnConnectionClosedAsIdle(t *testing.T) {
	c, address := newCallerServer(t)
	// net/http is about to handle a request when the sweep closes its connection.
	handling, closed := make(chan struct{}), make(chan struct{})
	recovered := make(chan any, 1)
	c.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() { recovered <- recover() }()
		close(handling)
		<-closed
		c.ServeHTTP(w, r)
	})
	conn := dialRequest(t, address)
	defer func() { _ = conn.Close() }()
	<-handling
	c.guard.CloseUnused(0)
	close(closed)
	if v := <-recovered; v != http.ErrAbortHandler {
		t.Errorf("recovered %v, want http.ErrAbortHandler", v)
	}
	if n := registered(c.loop); n != 0 {
		t.Errorf("%d requests were forwarded, want 0", n)
	}
}

// dialRequest opens a connection and sends a request on it.
func dialRequest(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	return conn
}

// Limits far above what the tests need.
var (
	testLimits     = connlimit.Limits{Conns: 1000, Bytes: 64 << 20}
	testCallBytes  = int64(64 << 20)
	testNodeLimits = NodeServerLimits{Calls: 1000, RequestBytes: 64 << 20}
)

// Guards against idle connections that are never closed, against closing a connection in
// use, and against a shutdown that waits for idle connections.
func TestShutdownClosesIdleConnections(t *testing.T) {
	c, address := newCallerServer(t)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range 2 {
		_, _ = fmt.Fprint(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("response %v, error %v", response, err)
		}
		_ = response.Body.Close()
		if left := c.guard.Expire(time.Now()); left != 1 {
			t.Fatalf("%d connections remain, want 1", left)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := c.Shutdown(ctx); err != nil {
		t.Errorf("shutdown: %v", err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := reader.ReadByte(); err == nil {
		t.Error("the idle connection is still open")
	}
	if _, err := net.Dial("tcp", address); err == nil {
		t.Error("the listener still accepts connections")
	}
}

// Guards against forwarding a request whose header or body exceeds the configured limits,
// and against refusing one within them.
func TestRequestsBeyondTheConfiguredLimits(t *testing.T) {
	c, _ := newCallerServer(t)
	c.loop.limits.Store(&routing.Limits{HeaderBytes: 1000, BodyBytes: 100})
	for _, k := range []struct {
		what         string
		header, body int
		want         int
	}{
		{"within the limits", 500, 100, http.StatusServiceUnavailable}, // refused for lack of a configuration
		{"header", 1001, 0, http.StatusRequestHeaderFieldsTooLarge},
		{"body", 0, 101, http.StatusRequestEntityTooLarge},
	} {
		r := httptest.NewRequest("POST", "/x", strings.NewReader(strings.Repeat("b", k.body)))
		r.Header.Set("X-Filler", strings.Repeat("h", k.header))
		w := httptest.NewRecorder()
		c.ServeHTTP(w, r)
		if w.Code != k.want {
			t.Errorf("%s: status %d, want %d", k.what, w.Code, k.want)
		}
		if refused := k.want != http.StatusServiceUnavailable; refused && w.Header().Get("Connection") != "close" {
			t.Errorf("%s: the connection is kept open", k.what)
		}
	}
}

// registered returns the number of requests that were passed to the engine.
func registered(l *Loop) uint64 {
	l.answers.mu.Lock()
	defer l.answers.mu.Unlock()
	return l.answers.lastID
}
