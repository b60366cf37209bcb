package targetclient

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/wire/targetpb"
	"golang.org/x/net/http2"
	"google.golang.org/grpc"
)

// fakeTarget answers searches at once and lets a test decide about Execute.
type fakeTarget struct {
	targetpb.UnimplementedTargetServer
	execute func(context.Context) error
	// echo is the attempt in search replies; nil echoes that of the request.
	echo     *targetpb.AttemptID
	executes atomic.Int32
	rowBytes int
}

func (f *fakeTarget) Health(context.Context, *targetpb.HealthRequest) (*targetpb.HealthReply, error) {
	return &targetpb.HealthReply{Load: &targetpb.Load{Incarnation: 42}}, nil
}

func (f *fakeTarget) Search(_ context.Context, r *targetpb.SearchRequest) (*targetpb.SearchReply, error) {
	attempt := r.Attempt
	if f.echo != nil {
		attempt = f.echo
	}
	return &targetpb.SearchReply{
		Attempt: attempt, Shard: r.Shard, Snapshot: r.Snapshot, Outcome: targetpb.Outcome_SHED,
		Load: &targetpb.Load{}, Rows: []*targetpb.Row{{Key: string(make([]byte, f.rowBytes))}},
	}, nil
}

func (f *fakeTarget) Execute(ctx context.Context, r *targetpb.ExecuteRequest) (*targetpb.ExecuteReply, error) {
	f.executes.Add(1)
	if err := f.execute(ctx); err != nil {
		return nil, err
	}
	return &targetpb.ExecuteReply{Attempt: r.Attempt, Outcome: targetpb.Outcome_OK, Load: &targetpb.Load{}}, nil
}

// cuttable is a listener that can reset the connections it has accepted.
type cuttable struct {
	net.Listener
	mu       sync.Mutex
	accepted []net.Conn
}

func (l *cuttable) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.accepted = append(l.accepted, c)
		l.mu.Unlock()
	}
	return c, err
}

func (l *cuttable) cut() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.accepted {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	return len(l.accepted)
}

func listen(t *testing.T) *cuttable {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &cuttable{Listener: l}
}

func serve(t *testing.T, f *fakeTarget) (*cuttable, *grpc.Server) {
	l := listen(t)
	s := grpc.NewServer()
	targetpb.RegisterTargetServer(s, f)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return l, s
}

func newClient(t *testing.T, config Config) (*Client, <-chan event.Event) {
	events := make(chan event.Event, 64)
	config.Report = func(e event.Event) { events <- e }
	c := New(config)
	t.Cleanup(c.Shutdown)
	return c, events
}

func open(t *testing.T, c *Client, events <-chan event.Event, l net.Listener) {
	t.Helper()
	c.Open(event.OpenConn{Conn: 1, Address: l.Addr().String()})
	if e, ok := (<-events).(event.ConnOpened); !ok || e.Conn != 1 || e.Load.Incarnation != 42 {
		t.Fatalf("got %+v, want ConnOpened with the load", e)
	}
}

func expectEnd(t *testing.T, events <-chan event.Event, want event.ConnEnd) {
	t.Helper()
	e, ok := (<-events).(event.ConnEnded)
	if !ok || e.End != want {
		t.Fatalf("got %+v (ConnEnded: %v), want end %d", e, ok, want)
	}
}

func expectFailed(t *testing.T, events <-chan event.Event, id api.AttemptID, neverSent bool) {
	t.Helper()
	e := <-events
	if f, ok := e.(event.AttemptFailed); !ok || f.Attempt != id || f.NeverSent != neverSent {
		t.Fatalf("got %T %+v, want AttemptFailed of %v with NeverSent=%v", e, e, id, neverSent)
	}
}

var first = api.AttemptID{Life: 1, Seq: 1}

func work() event.SendWork {
	return event.SendWork{Conn: 1, Request: api.WorkRequest{Attempt: first, Service: "s"}}
}

// blocked returns an execute function that signals its start and waits.
func blocked() (started chan struct{}, release chan struct{}, execute func(context.Context) error) {
	started, release = make(chan struct{}, 1), make(chan struct{})
	return started, release, func(ctx context.Context) error {
		started <- struct{}{}
		select {
		case <-release:
		case <-ctx.Done():
		}
		return nil
	}
}

// The core takes "refused" as proof that the target's process is gone.
func TestRefused(t *testing.T) {
	l := listen(t)
	l.Close()
	c, events := newClient(t, Config{})
	c.Open(event.OpenConn{Conn: 1, Address: l.Addr().String()})
	expectEnd(t, events, event.ConnRefused)
}

// An address that grpc cannot use must end the connection, and an action on it
// must not fail otherwise.
func TestUnusableAddress(t *testing.T) {
	c, events := newClient(t, Config{})
	c.Open(event.OpenConn{Conn: 1, Address: "%zz"})
	c.Probe(1)
	c.SendWork(work())
	for ended := false; !ended; {
		switch e := (<-events).(type) {
		case event.AttemptFailed:
			if !e.NeverSent {
				t.Error("a request on a connection that never opened counts as sent")
			}
		case event.ConnEnded:
			ended = true
		default:
			t.Errorf("got %+v", e)
		}
	}
}

func TestAcceptedAndClosedAtOnceIsLimited(t *testing.T) {
	l := listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Close()
		}
	}()
	c, events := newClient(t, Config{})
	c.Open(event.OpenConn{Conn: 1, Address: l.Addr().String()})
	expectEnd(t, events, event.ConnLimited)
}

func TestSilentTargetTimesOutOnOpen(t *testing.T) {
	l := listen(t) // The kernel accepts; nobody answers.
	c, events := newClient(t, Config{OpenTimeout: 50 * time.Millisecond})
	c.Open(event.OpenConn{Conn: 1, Address: l.Addr().String()})
	expectEnd(t, events, event.ConnTimedOut)
}

func TestRefusalAndProbeArriveAsValues(t *testing.T) {
	l, _ := serve(t, &fakeTarget{})
	c, events := newClient(t, Config{})
	open(t, c, events, l)
	c.SendSearch(event.SendSearch{Conn: 1, Request: api.SearchRequest{Attempt: first, Shard: "a"}})
	if e, ok := (<-events).(event.SearchReplied); !ok || e.Reply.Outcome != api.TargetShed || e.Reply.Shard != "a" {
		t.Fatalf("got %+v", e)
	}
	c.Probe(1)
	if e, ok := (<-events).(event.ProbeReplied); !ok || e.Load.Incarnation != 42 {
		t.Fatalf("got %+v", e)
	}
}

// A cut connection must fail its attempt as possibly sent, before ConnEnded,
// and must not be dialled again by grpc.
func TestCut(t *testing.T) {
	started, _, execute := blocked()
	f := &fakeTarget{execute: execute}
	l, _ := serve(t, f)
	c, events := newClient(t, Config{})
	open(t, c, events, l)
	c.SendWork(work())
	<-started
	l.cut()
	expectFailed(t, events, first, false)
	expectEnd(t, events, event.ConnReset)
	if n := l.cut(); n != 1 || f.executes.Load() != 1 {
		t.Errorf("%d connections and %d runs, want 1 of each", n, f.executes.Load())
	}
}

func TestCloseOfSilentConnFailsItsAttempts(t *testing.T) {
	started, _, execute := blocked()
	l, _ := serve(t, &fakeTarget{execute: execute})
	c, events := newClient(t, Config{})
	open(t, c, events, l)
	c.SendWork(work())
	<-started
	c.Close(1)
	expectFailed(t, events, first, false)
	expectEnd(t, events, event.ConnClosed)
	c.SendWork(work())
	expectFailed(t, events, first, true)
}

// A target that shuts down gracefully sends GOAWAY; the work order in flight
// must still be answered (P7).
func TestGoAwayKeepsAttemptInFlight(t *testing.T) {
	started, release, execute := blocked()
	l, s := serve(t, &fakeTarget{execute: execute})
	c, events := newClient(t, Config{})
	open(t, c, events, l)
	c.SendWork(work())
	<-started
	go s.GracefulStop()
	c.lookup(1).waitNotReady()
	close(release)
	if e, ok := (<-events).(event.WorkReplied); !ok || e.Attempt != first {
		t.Fatalf("got %+v, want WorkReplied", e)
	}
	expectEnd(t, events, event.ConnClosed)
}

// waitNotReady blocks until no new RPC may start.
func (c *conn) waitNotReady() {
	for {
		c.mu.Lock()
		ending := c.ending
		c.mu.Unlock()
		if ending {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// The core detects a reply to another request by comparing the echoed attempt
// with the one that the call was made for.
func TestReplyNamesTheAttemptOfItsCall(t *testing.T) {
	l, _ := serve(t, &fakeTarget{echo: &targetpb.AttemptID{Life: 9, Seq: 9}})
	c, events := newClient(t, Config{})
	open(t, c, events, l)
	c.SendSearch(event.SendSearch{Conn: 1, Request: api.SearchRequest{Attempt: first, Shard: "a"}})
	if e, ok := (<-events).(event.SearchReplied); !ok || e.Attempt != first || e.Reply.Attempt.Seq != 9 {
		t.Fatalf("got %+v", e)
	}
}

// A work order that finishes after its deadline must still be reported: its
// outcome is recorded for callers that ask again.
func TestLateWorkReplyIsReported(t *testing.T) {
	started, release, execute := blocked()
	l, _ := serve(t, &fakeTarget{execute: execute})
	c, events := newClient(t, Config{})
	open(t, c, events, l)
	late := work()
	late.Request.Deadline = time.Now().Add(time.Millisecond)
	c.SendWork(late)
	<-started
	time.Sleep(time.Until(late.Request.Deadline.Add(20 * time.Millisecond)))
	close(release)
	if e, ok := (<-events).(event.WorkReplied); !ok {
		t.Fatalf("got %+v, want WorkReplied", e)
	}
}

func TestOversizeReplyFailsTheAttempt(t *testing.T) {
	l, _ := serve(t, &fakeTarget{rowBytes: 2000})
	c, events := newClient(t, Config{MaxMessageBytes: 1000})
	open(t, c, events, l)
	c.SendSearch(event.SendSearch{Conn: 1, Request: api.SearchRequest{Attempt: first, Shard: "a"}})
	expectFailed(t, events, first, false)
}

func TestCancelIsNotReported(t *testing.T) {
	started, _, execute := blocked()
	l, _ := serve(t, &fakeTarget{execute: execute})
	c, events := newClient(t, Config{})
	open(t, c, events, l)
	c.SendWork(work())
	<-started
	c.Cancel(first)
	c.Close(1)
	expectEnd(t, events, event.ConnClosed)
}

// grpc retries a stream refused with REFUSED_STREAM transparently, even with
// retries disabled; a work order must be sent once all the same (P5).
func TestRefusedStreamIsNotSentAgain(t *testing.T) {
	l := listen(t)
	var streams atomic.Int32
	go refuseStreams(l, &streams)
	cn := newConn(l.Addr().String(), 1000)
	defer cn.cc.Close()
	once := &sendOnce{}
	_, err := cn.client.Execute(context.Background(), &targetpb.ExecuteRequest{}, once.option())
	if err == nil || streams.Load() != 1 || !once.handedOver() {
		t.Errorf("error %v, %d streams, handed over %v; want an error, 1, true", err, streams.Load(), once.handedOver())
	}
	_, err = cn.client.Execute(context.Background(), &targetpb.ExecuteRequest{})
	if err == nil || streams.Load() != 3 {
		t.Errorf("without sendOnce: %d streams in all, want 3; is this test still able to fail?", streams.Load())
	}
}

// refuseStreams is a minimal HTTP/2 server that refuses every stream.
func refuseStreams(l net.Listener, streams *atomic.Int32) {
	nc, err := l.Accept()
	if err != nil {
		return
	}
	defer nc.Close()
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := nc.Read(preface); err != nil {
		return
	}
	framer := http2.NewFramer(nc, nc)
	_ = framer.WriteSettings()
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		if h, ok := frame.(*http2.HeadersFrame); ok {
			streams.Add(1)
			_ = framer.WriteRSTStream(h.StreamID, http2.ErrCodeRefusedStream)
		}
	}
}
