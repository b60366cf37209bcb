package relay

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/forward"
)

// checked has the fixture's replica checked and returns the result.
func (f *fixture) checked(address string) forward.CheckResult {
	f.t.Helper()
	f.targets.check(forward.CheckReplica{Replica: "r", Address: address})
	ev, ok := f.events.next(f.t).(forward.ReplicaChecked)
	if !ok || ev.Replica != "r" {
		f.t.Fatalf("another event: %+v", ev)
	}
	return ev.Result
}

// Guards against a check that costs a replica a connection beside that of the next
// request.
func TestConnectionOfACheckServesTheNextRequest(t *testing.T) {
	f := newFixture(t, func(_, _ int, r *http.Request) string { return answerTo(r, "yes") })
	if got := f.checked(f.replica.address); got != forward.CheckAccepted {
		t.Fatalf("result %d", got)
	}
	if _, ok := f.events.next(t).(forward.ConnOpened); !ok {
		t.Fatal("the connection is not reported")
	}
	f.waitIdle()
	if kind, body, _ := f.result(f.send("")); kind != forward.ReplyOK || body != "yes" {
		t.Errorf("reply %d %q", kind, body)
	}
	if n := len(f.replica.conns); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// Guards against a process that has ended and is taken for one that goes on.
func TestCheckOfAProcessThatHasEnded(t *testing.T) {
	f := newFixture(t, func(int, int, *http.Request) string { return "" })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if got := f.checked(address); got != forward.CheckRefused {
		t.Errorf("result %d", got)
	}
	if got := checkResult(os.ErrDeadlineExceeded); got != forward.CheckUnanswered {
		t.Errorf("result %d of a time-out", got)
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

// Guards against a request that is tried alone on a connection that went silent long ago,
// which would be held against the request.
func TestFreshRequestGetsAConnectionOfItsOwn(t *testing.T) {
	f := newFixture(t, func(_, _ int, r *http.Request) string { return answerTo(r, "yes") })
	f.result(f.send(""))
	f.waitIdle()
	f.fresh = true
	if kind, _, _ := f.result(f.send("")); kind != forward.ReplyOK {
		t.Errorf("reply %d", kind)
	}
	if n := len(f.replica.conns); n != 2 {
		t.Errorf("%d connections", n)
	}
}
