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
	"github.com/baobabsail/baobabsail/entry/internal/membudget"
	"github.com/baobabsail/baobabsail/wire/targetpb"
	"golang.org/x/net/http2"
	"google.golang.org/grpc"
)

// fakeTarget answers searches at once and calls execute for work orders.
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

// resettableListener is a listener that can reset the connections it has accepted.
type resettableListener struct {
	net.Listener
	mu       sync.Mutex
	accepted []net.Conn
}

func (l *resettableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.accepted = append(l.accepted, c)
		l.mu.Unlock()
	}
	return c, err
}

func (l *resettableListener) resetAll() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.accepted {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	return len(l.accepted)
}

func listen(t *testing.T) *resettableListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &resettableListener{Listener: l}
}

func serve(t *testing.T, f *fakeTarget) (*resettableListener, *grpc.Server) {
	l := listen(t)
	return l, serveOn(t, f, l)
}

func serveOn(t *testing.T, f *fakeTarget, l net.Listener) *grpc.Server {
	s := grpc.NewServer()
	targetpb.RegisterTargetServer(s, f)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return s
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

var firstAttempt = api.AttemptID{Life: 1, Seq: 1}

func workOrder() event.SendWork {
	return event.SendWork{Conn: 1, Request: api.WorkRequest{Attempt: firstAttempt, Service: "s"}}
}

// blockingExecute returns an execute function that signals its start and blocks
// until release is closed or the call is cancelled.
func blockingExecute() (started chan struct{}, release chan struct{}, execute func(context.Context) error) {
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

// A refused dial must be reported as ConnRefused: the core concludes from it that
// the target's process is gone.
func TestRefusedDial(t *testing.T) {
	l := listen(t)
	l.Close()
	c, events := newClient(t, Config{})
	c.Open(event.OpenConn{Conn: 1, Address: l.Addr().String()})
	expectEnd(t, events, event.ConnRefused)
}

// Guards against a crash on an address that grpc rejects: the connection must end,
// and a request on it must be reported as never sent.
func TestUnusableAddress(t *testing.T) {
	c, events := newClient(t, Config{})
	c.Open(event.OpenConn{Conn: 1, Address: "%zz"})
	c.Probe(1)
	c.SendWork(workOrder())
	for ended := false; !ended; {
		switch e := (<-events).(type) {
		case event.AttemptFailed:
			if !e.NeverSent {
				t.Error("a request on a connection that never opened is reported as sent")
			}
		case event.ConnEnded:
			ended = true
		default:
			t.Errorf("got %+v", e)
		}
	}
}

// A target at its connection limit accepts and closes at once. This must be
// reported as ConnLimited, neither as a reset nor as a refused connection.
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

// Guards against an open that never ends when the target accepts the connection
// but does not answer.
func TestSilentTargetTimesOutOnOpen(t *testing.T) {
	l := listen(t) // The kernel accepts connections, but no server answers.
	c, events := newClient(t, Config{OpenTimeout: 50 * time.Millisecond})
	c.Open(event.OpenConn{Conn: 1, Address: l.Addr().String()})
	expectEnd(t, events, event.ConnTimedOut)
}

// A search that the target sheds is a reply with that outcome, not a failed
// attempt, and a probe must report the load.
func TestShedSearchAndProbeAreReported(t *testing.T) {
	l, _ := serve(t, &fakeTarget{})
	c, events := newClient(t, Config{})
	open(t, c, events, l)
	c.SendSearch(event.SendSearch{Conn: 1, Request: api.SearchRequest{Attempt: firstAttempt, Shard: "a"}})
	if e, ok := (<-events).(event.SearchReplied); !ok || e.Reply.Outcome != api.TargetShed || e.Reply.Shard != "a" {
		t.Fatalf("got %+v", e)
	}
	c.Probe(1)
	if e, ok := (<-events).(event.ProbeReplied); !ok || e.Load.Incarnation != 42 {
		t.Fatalf("got %+v", e)
	}
}

// When a connection is reset, its attempt must fail as possibly sent, before
// ConnEnded, and grpc must not dial again.
func TestResetConnectionFailsAttempt(t *testing.T) {
	started, _, execute := blockingExecute()
	f := &fakeTarget{execute: execute}
	l, _ := serve(t, f)
	c, events := newClient(t, Config{})
	open(t, c, events, l)
	c.SendWork(workOrder())
	<-started
	l.resetAll()
	expectFailed(t, events, firstAttempt, false)
	expectEnd(t, events, event.ConnReset)
	if n := l.resetAll(); n != 1 || f.executes.Load() != 1 {
		t.Errorf("%d connections and %d runs, want 1 of each", n, f.executes.Load())
	}
}

// Guards against attempts that are never reported when the core closes a
// connection that does not answer.
func TestCloseOfSilentConnFailsItsAttempts(t *testing.T) {
	started, _, execute := blockingExecute()
	l, _ := serve(t, &fakeTarget{execute: execute})
	c, events := newClient(t, Config{})
	open(t, c, events, l)
	c.SendWork(workOrder())
	<-started
	c.Close(1)
	expectFailed(t, events, firstAttempt, false)
	expectEnd(t, events, event.ConnClosed)
	c.SendWork(workOrder())
	expectFailed(t, events, firstAttempt, true)
}

// A target that shuts down gracefully sends GOAWAY; the work order in flight
// must still be answered (P7).
func TestGoAwayKeepsAttemptInFlight(t *testing.T) {
	started, release, execute := blockingExecute()
	l, s := serve(t, &fakeTarget{execute: execute})
	c, events := newClient(t, Config{})
	open(t, c, events, l)
	c.SendWork(workOrder())
	<-started
	go s.GracefulStop()
	c.lookup(1).waitNotReady()
	close(release)
	if e, ok := (<-events).(event.WorkReplied); !ok || e.Attempt != firstAttempt {
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

// The core detects a misdirected reply by comparing the attempt echoed in it with
// the attempt of the call, so the event must carry both.
func TestReplyNamesTheAttemptOfItsCall(t *testing.T) {
	l, _ := serve(t, &fakeTarget{echo: &targetpb.AttemptID{Life: 9, Seq: 9}})
	c, events := newClient(t, Config{})
	open(t, c, events, l)
	c.SendSearch(event.SendSearch{Conn: 1, Request: api.SearchRequest{Attempt: firstAttempt, Shard: "a"}})
	if e, ok := (<-events).(event.SearchReplied); !ok || e.Attempt != firstAttempt || e.Reply.Attempt.Seq != 9 {
		t.Fatalf("got %+v", e)
	}
}

// A work order that finishes after its deadline must still be reported: its
// outcome is recorded for callers that retry.
func TestLateWorkReplyIsReported(t *testing.T) {
	started, release, execute := blockingExecute()
	l, _ := serve(t, &fakeTarget{execute: execute})
	c, events := newClient(t, Config{})
	open(t, c, events, l)
	late := workOrder()
	late.Request.Deadline = time.Now().Add(time.Millisecond)
	c.SendWork(late)
	<-started
	time.Sleep(time.Until(late.Request.Deadline.Add(20 * time.Millisecond)))
	close(release)
	if e, ok := (<-events).(event.WorkReplied); !ok {
		t.Fatalf("got %+v, want WorkReplied", e)
	}
}

// Guards against a reply above the size limit that leaves its attempt without a
// report.
func TestOversizeReplyFailsTheAttempt(t *testing.T) {
	l, _ := serve(t, &fakeTarget{rowBytes: 2000})
	c, events := newClient(t, Config{MaxMessageBytes: 1000})
	open(t, c, events, l)
	c.SendSearch(event.SendSearch{Conn: 1, Request: api.SearchRequest{Attempt: firstAttempt, Shard: "a"}})
	expectFailed(t, events, firstAttempt, false)
}

// Guards against AttemptFailed for an attempt that the node has cancelled and no
// longer expects a report for.
func TestCancelIsNotReported(t *testing.T) {
	started, _, execute := blockingExecute()
	l, _ := serve(t, &fakeTarget{execute: execute})
	c, events := newClient(t, Config{})
	open(t, c, events, l)
	c.SendWork(workOrder())
	<-started
	c.Cancel(firstAttempt)
	c.Close(1)
	expectEnd(t, events, event.ConnClosed)
}

// grpc transparently retries a stream refused with REFUSED_STREAM, even with
// retries disabled. Guards against a work order that is sent twice this way (P5).
func TestRefusedStreamIsNotSentAgain(t *testing.T) {
	l := listen(t)
	var streams atomic.Int32
	go refuseStreams(l, &streams)
	cn := newConn(l.Addr().String(), 1000, membudget.New(defaultReplyBytes))
	defer cn.cc.Close()
	once := &sendOnce{}
	_, err := cn.client.Execute(context.Background(), &targetpb.ExecuteRequest{}, once.callOption())
	if err == nil || streams.Load() != 1 || !once.maybeSent() {
		t.Errorf("error %v, %d streams, maybe sent %v; want an error, 1, true", err, streams.Load(), once.maybeSent())
	}
	_, err = cn.client.Execute(context.Background(), &targetpb.ExecuteRequest{})
	if err == nil || streams.Load() != 3 {
		t.Errorf("without sendOnce: %d streams in total, want 3: if grpc does not retry, this test cannot fail", streams.Load())
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
