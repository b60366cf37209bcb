package relay

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/forward"
)

// check checks the replica of the fixture at an address and returns the result.
func (f *fixture) check(address string) forward.CheckResult {
	f.t.Helper()
	f.targets.check(forward.CheckReplica{Replica: "r", Address: address})
	ev, ok := f.events.next(f.t).(forward.ReplicaChecked)
	if !ok || ev.Replica != "r" {
		f.t.Fatalf("unexpected event: %+v", ev)
	}
	return ev.Result
}

// Guards against a check that costs a replica an additional connection: the next request
// must use the connection of the check.
func TestCheckConnectionServesNextRequest(t *testing.T) {
	f := newFixture(t, func(_, _ int, r *http.Request) string { return responseTo(r, "yes") })
	if got := f.check(f.replica.address); got != forward.CheckAccepted {
		t.Fatalf("result %d, want CheckAccepted", got)
	}
	if _, ok := f.events.next(t).(forward.ConnOpened); !ok {
		t.Fatal("the connection is not reported as opened")
	}
	f.waitIdle()
	if kind, body, _ := f.result(f.send("")); kind != forward.ReplyOK || body != "yes" {
		t.Errorf("reply %d %q", kind, body)
	}
	if n := len(f.replica.conns); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}

// Guards against taking a stopped process for a running one.
func TestCheckOfStoppedProcess(t *testing.T) {
	f := newFixture(t, func(int, int, *http.Request) string { return "" })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if got := f.check(address); got != forward.CheckRefused {
		t.Errorf("result %d, want CheckRefused", got)
	}
	if got := checkResult(os.ErrDeadlineExceeded); got != forward.CheckUnanswered {
		t.Errorf("result %d after a timeout, want CheckUnanswered", got)
	}
}

// waitIdle waits until the replica has an idle connection.
func (f *fixture) waitIdle() {
	f.t.Helper()
	for range 1000 {
		f.targets.mu.Lock()
		n := len(f.targets.idle["r"])
		f.targets.mu.Unlock()
		if n > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	f.t.Fatal("no idle connection")
}

// Guards against running a request in isolation on an old connection that no longer
// responds: the loss would be attributed to the request.
func TestRequestOnNewConnectionOpensOne(t *testing.T) {
	f := newFixture(t, func(_, _ int, r *http.Request) string { return responseTo(r, "yes") })
	f.result(f.send(""))
	f.waitIdle()
	f.newConnection = true
	if kind, _, _ := f.result(f.send("")); kind != forward.ReplyOK {
		t.Errorf("reply %d", kind)
	}
	if n := len(f.replica.conns); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}
