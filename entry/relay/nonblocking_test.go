package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// actionLimit is how long the execution of an action may take. All events of a node wait for it.
const actionLimit = time.Second

// mustNotBlock fails the test if an action takes longer than actionLimit.
func mustNotBlock(t *testing.T, name string, action func()) {
	t.Helper()
	done := make(chan struct{})
	go func() { defer close(done); action() }()
	select {
	case <-done:
	case <-time.After(actionLimit):
		t.Fatalf("%s blocks", name)
	}
}

// fill writes to a connection until it does not even take a byte.
func fill(t *testing.T, conn net.Conn) {
	t.Helper()
	for size := 1 << 20; size > 0; {
		if err := conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		n, err := conn.Write(make([]byte, size))
		switch {
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			t.Fatal(err)
		case n == 0:
			size /= 2
		}
	}
	if err := conn.SetWriteDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a node that hangs because a replica reads no more on a connection that counts as
// idle: it answered before it had read the rest of a long body, which the socket's buffer still
// holds (CONFIG).
func TestSendOnAFullConnectionDoesNotBlock(t *testing.T) {
	for _, size := range []int{0, asyncBodySize, 1 << 20} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			release := make(chan struct{})
			defer close(release)
			f := newFixture(t, func(_, request int, r *http.Request) string {
				if request > 0 {
					<-release
				}
				return responseTo(r, "first")
			})
			if _, body, _ := f.result(f.send("")); body != "first" {
				t.Fatalf("body %q", body)
			}
			fill(t, f.idleSocket())
			mustNotBlock(t, "the request", func() { f.send(strings.Repeat("x", size)) })
			mustNotBlock(t, "its cancellation", func() { f.targets.cancel(f.next) })
		})
	}
}

// idleSocket returns the socket of the only idle connection, after the beginning of a request with
// a long body.
func (f *fixture) idleSocket() net.Conn {
	f.t.Helper()
	f.targets.mu.Lock()
	defer f.targets.mu.Unlock()
	if idle := f.targets.idle["r"]; len(idle) != 1 {
		f.t.Fatalf("%d idle connections", len(idle))
	}
	socket := f.targets.idle["r"][0].socket
	if _, err := fmt.Fprintf(socket, "POST /rest HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 1<<30); err != nil {
		f.t.Fatal(err)
	}
	return socket
}

// Guards against a request that waits behind the rest of a long body, which the replica answered
// before it had read it: the connection is not used again while the socket's buffer holds a part
// of the body.
func TestConnectionWithAnUnreadBodyIsNotReused(t *testing.T) {
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
	}}
	l, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	conns := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns <- conn
			request, err := http.ReadRequest(bufio.NewReaderSize(conn, 512))
			if err == nil {
				_, _ = io.WriteString(conn, responseTo(request, "early"))
			}
		}
	}()
	events := make(events, 16)
	f := &fixture{t: t, targets: NewTargets(events, testHeaders, testBodyMemory), events: events, replica: &replica{address: l.Addr().String()}}
	for range 2 {
		if _, body, loss := f.result(f.send(strings.Repeat("x", 64<<10))); body != "early" {
			t.Fatalf("body %q, loss %v", body, loss)
		}
	}
	if len(conns) != 2 {
		t.Errorf("two requests use %d connections", len(conns))
	}
}
