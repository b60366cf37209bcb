package connguard

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/connlimit"
)

const testBodyBytes = 100 << 10

// serve starts a server whose handler reads the body and then waits for run.
func serve(t *testing.T, c Config, run <-chan struct{}) (g *Guard, address string) {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g = New(c)
	server := &http.Server{Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); errors.Is(err, ErrNoMemory) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		<-run
	}), BytesCost)}
	go func() { _ = g.Serve(server, l) }()
	t.Cleanup(func() { _ = server.Close() })
	return g, l.Addr().String()
}

// send opens a connection and sends a text.
func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// status reads a response and returns its status, or 0 if the connection ends.
func status(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func head(fields string) string { return "POST / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" }

// body returns a request with a body of which the last bytes are missing.
func body(missing int) string {
	return head(fmt.Sprintf("Content-Length: %d\r\n", testBodyBytes)) + strings.Repeat("b", testBodyBytes-missing)
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not happen", what)
		}
	}
}

// Guards against a client that is cut off without an answer because its head is too long.
func TestLongHeadIsAnswered(t *testing.T) {
	run := make(chan struct{})
	close(run)
	_, address := serve(t, Config{
		Limits:  connlimit.Limits{Conns: 10, Bytes: 1 << 20},
		Request: func() RequestLimits { return RequestLimits{HeadBytes: 1000} },
	}, run)
	conn := send(t, address, "GET / HTTP/1.1\r\nX-Long: "+strings.Repeat("a", 12<<10))
	if got := status(conn); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d", got)
	}
	if got := status(send(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")); got != http.StatusOK {
		t.Errorf("another request: status %d", got)
	}
}

// Guards against bodies that keep others out although their clients send nothing more, and against
// closing a connection whose request is running.
func TestBodiesShareTheMemory(t *testing.T) {
	run := make(chan struct{})
	g, address := serve(t, Config{Limits: connlimit.Limits{Conns: 10, Bytes: 8 * testBodyBytes}}, run)
	unfinished := send(t, address, body(1))
	eventually(t, "the first body", func() bool { return g.Usage().Bytes >= 2*(testBodyBytes-1) })
	first := send(t, address, body(0))
	eventually(t, "the end of the unfinished request", func() bool { return status(unfinished) == 0 })
	second := send(t, address, body(0))
	if got := status(second); got != http.StatusServiceUnavailable {
		t.Errorf("a request beside a running one: status %d", got)
	}
	close(run)
	if got := status(first); got != http.StatusOK {
		t.Errorf("the running request: status %d", got)
	}
	eventually(t, "the return of the memory", func() bool { return g.Usage().Bytes == 0 })
}

// Guards against connections beyond the limit that keep new ones out.
func TestNewConnectionReplacesSilentOne(t *testing.T) {
	run := make(chan struct{})
	close(run)
	g, address := serve(t, Config{Limits: connlimit.Limits{Conns: 2, Bytes: 1 << 20}}, run)
	for range 5 {
		send(t, address, "GET / HT")
	}
	if got := status(send(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")); got != http.StatusOK {
		t.Errorf("status %d", got)
	}
	if usage := g.Usage(); usage.Conns > 2 {
		t.Errorf("%d connections", usage.Conns)
	}
}
