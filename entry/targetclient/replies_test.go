package targetclient

import (
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/event"
)

// Sizes of the tests of replies.
const (
	testReplyBytes = 1 << 20
	testBudget     = 4 << 20
	testTargets    = 8
)

// stallingListener accepts connections on which the server can write a number of bytes; then its
// writes wait until the client closes the connection.
type stallingListener struct {
	net.Listener
	bytes int
}

func (l *stallingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stallingConn{Conn: c, left: l.bytes, closed: make(chan struct{})}, nil
}

type stallingConn struct {
	net.Conn
	left   int
	once   sync.Once
	closed chan struct{}
}

func (c *stallingConn) Write(p []byte) (int, error) {
	if len(p) <= c.left {
		c.left -= len(p)
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:c.left])
	c.left = 0
	if err != nil {
		return n, err
	}
	<-c.closed
	return n, net.ErrClosed
}

func (c *stallingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// search sends a search on a connection of openTargets.
func search(c *Client, conn int) {
	c.SendSearch(event.SendSearch{Conn: api.ConnID(conn), Request: api.SearchRequest{
		Attempt: api.AttemptID{Life: 1, Seq: uint64(conn)}, Shard: "a", Deadline: time.Now().Add(time.Minute),
	}})
}

// openTargets opens a connection to each of the test's targets.
func openTargets(t *testing.T, c *Client, events <-chan event.Event, listen func() net.Listener) {
	t.Helper()
	for i := range testTargets {
		id := api.ConnID(i + 1)
		c.Open(event.OpenConn{Conn: id, Address: listen().Addr().String()})
		if e, ok := (<-events).(event.ConnOpened); !ok {
			t.Fatalf("got %+v, want ConnOpened", e)
		}
	}
}

// nextResult returns the next event that is the result of a search.
func nextResult(events <-chan event.Event) event.Event {
	for {
		if e := <-events; !isConnEnded(e) {
			return e
		}
	}
}

func isConnEnded(e event.Event) bool {
	_, ok := e.(event.ConnEnded)
	return ok
}

// Guards against whole replies of faulty targets that wait for the rest of their searches and
// together exceed the memory of a node.
func TestWaitingRepliesShareTheirMemory(t *testing.T) {
	f := &fakeTarget{rowBytes: testReplyBytes}
	c, events := newClient(t, Config{ReplyBytes: testBudget})
	var waiting []event.SearchReplied
	openTargets(t, c, events, func() net.Listener { l, _ := serve(t, f); return l })
	refused := 0
	for i := range testTargets {
		search(c, i+1)
		switch e := nextResult(events).(type) {
		case event.SearchReplied:
			waiting = append(waiting, e)
		case event.AttemptFailed:
			refused++
		}
	}
	if n := len(waiting); n == 0 || n > testBudget/testReplyBytes || refused != testTargets-n {
		t.Errorf("%d replies wait and %d are refused", n, refused)
	}
	if used := c.replies.Used(); used > testBudget {
		t.Errorf("%d bytes are in use, the budget is %d", used, testBudget)
	}
	runtime.KeepAlive(waiting)
	waiting = nil
	for end := time.Now().Add(10 * time.Second); c.replies.Used() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		runtime.GC()
	}
	if used := c.replies.Used(); used != 0 {
		t.Errorf("%d bytes are in use after the searches", used)
	}
}

// Guards against messages of faulty targets that never end and together exceed the memory of a node.
func TestIncompleteRepliesShareTheirMemory(t *testing.T) {
	f := &fakeTarget{rowBytes: 2 * testReplyBytes}
	c, events := newClient(t, Config{ReplyBytes: testBudget})
	openTargets(t, c, events, func() net.Listener {
		l := &stallingListener{Listener: listen(t), bytes: testReplyBytes}
		serveOn(t, f, l)
		return l
	})
	for i := range testTargets {
		search(c, i+1)
	}
	ended := 0
	for ended < testTargets-testBudget/(testReplyBytes-freeConnBytes) {
		if _, ok := (<-events).(event.ConnEnded); ok {
			ended++
		}
	}
	if used := c.replies.Used(); used > testBudget {
		t.Errorf("%d bytes are in use, the budget is %d", used, testBudget)
	}
	// A target that works is not affected.
	small := &fakeTarget{}
	l, _ := serve(t, small)
	c.Open(event.OpenConn{Conn: 100, Address: l.Addr().String()})
	for {
		if e, ok := (<-events).(event.ConnOpened); ok && e.Conn == 100 {
			break
		}
	}
	search(c, 100)
	for {
		switch e := (<-events).(type) {
		case event.SearchReplied:
			return
		case event.AttemptFailed:
			if e.Conn == 100 {
				t.Fatal("the search at a target that works failed")
			}
		}
	}
}

// Guards against a count of incomplete messages that grows with complete ones, until it ends a
// connection that works.
func TestCompleteRepliesAreNotCounted(t *testing.T) {
	l, _ := serve(t, &fakeTarget{rowBytes: 10 << 10})
	c, events := newClient(t, Config{ReplyBytes: testBudget})
	open(t, c, events, l)
	for i := range 1000 {
		c.SendSearch(event.SendSearch{Conn: 1, Request: api.SearchRequest{Attempt: api.AttemptID{Life: 1, Seq: uint64(i)}, Shard: "a"}})
		if e, ok := (<-events).(event.SearchReplied); !ok {
			t.Fatalf("search %d: %+v", i, e)
		}
	}
	if used := c.replies.Used(); used != 0 {
		t.Errorf("%d bytes are in use after complete replies", used)
	}
}
