package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/entry/internal/faultproxy"
	"github.com/baobabsail/baobabsail/entry/telemetry"
)

// fakeReceiver puts messages on a channel and blocks while the channel is full,
// like a slow peer. If full is set, it rejects them instead.
type fakeReceiver struct {
	received chan gossip.Message
	full     bool
}

func (f *fakeReceiver) TryReport(ev event.Event) bool {
	if f.full {
		return false
	}
	f.received <- ev.(event.PeerReceived).Message
	return true
}

func (f *fakeReceiver) Search(_ context.Context, _ api.CallerID, s api.Search, _ time.Time) api.SearchAnswer {
	return api.SearchAnswer{Outcome: api.Answered, Coverage: api.Coverage{Snapshot: s.Pin.Snapshot, Covered: s.Pin.Shards}}
}

func (f *fakeReceiver) ForwardedWork(_ context.Context, caller api.CallerID, w api.Work, _ time.Time) api.WorkAnswer {
	return api.WorkAnswer{Outcome: api.Answered, Result: append([]byte(caller), w.Payload...)}
}

func serve(t *testing.T, f *fakeReceiver, counts *telemetry.Counts) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveOn(t, l, f, counts)
}

func serveOn(t *testing.T, l net.Listener, f *fakeReceiver, counts *telemetry.Counts) string {
	s := NewServer(f, counts, DefaultMaxMessageBytes, 1000)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

func newClient(t *testing.T, c Config) (*Client, <-chan event.Event) {
	t.Helper()
	events := make(chan event.Event, 100)
	c.Report = func(e event.Event) { events <- e }
	client := NewClient(c)
	t.Cleanup(client.Shutdown)
	return client, events
}

func message(heartbeat uint64) gossip.Message {
	return gossip.Message{From: gossip.Member{Name: "n", Life: 1, Address: "127.0.0.1:1", Heartbeat: heartbeat}}
}

// Guards against an unbounded queue for a slow peer: the oldest messages must be
// dropped, the newest kept, and each dropped message reported.
func TestSlowPeerLosesOldestGossip(t *testing.T) {
	f := &fakeReceiver{received: make(chan gossip.Message)}
	counts := telemetry.NewCounts()
	address := serve(t, f, nil)
	c, events := newClient(t, Config{QueueSize: 2, SendTimeout: time.Minute, Counts: counts})
	send := func(n uint64) { c.Send(event.SendPeer{Peer: "p", Address: address, Message: message(n)}) }
	send(1)
	for c.queueLength(address) != 0 { // Wait until the first message has left the queue.
		time.Sleep(time.Millisecond)
	}
	for n := range uint64(5) {
		send(n + 2)
	}
	for _, want := range []uint64{1, 5, 6} {
		if got := (<-f.received).From.Heartbeat; got != want {
			t.Errorf("received message %d, want %d", got, want)
		}
	}
	for range 3 {
		if e, ok := (<-events).(event.PeerFailed); !ok || e.Peer != "p" {
			t.Errorf("got %+v, want PeerFailed", e)
		}
	}
	if n := counts.Get(count.Peer, detailQueueFull); n != 3 {
		t.Errorf("%d dropped messages counted, want 3", n)
	}
}

func (c *Client) queueLength(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns[address].queue)
}

// Guards against messages that are lost without PeerFailed, when the peer refuses
// the connection or its inbox is full.
func TestUnreachableAndFullPeerAreReported(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	full := serve(t, &fakeReceiver{full: true}, nil)
	c, events := newClient(t, Config{})
	for _, address := range []string{l.Addr().String(), full} {
		c.Send(event.SendPeer{Peer: "p", Address: address, Message: message(1)})
		if e, ok := (<-events).(event.PeerFailed); !ok || e.Peer != "p" {
			t.Errorf("%s: got %+v, want PeerFailed", address, e)
		}
	}
}

// Guards against a query part that never gets a result: a request that cannot be
// encoded must be reported like one that the peer answered.
func TestRunPart(t *testing.T) {
	address := serve(t, &fakeReceiver{}, nil)
	c, events := newClient(t, Config{})
	pin := &api.Pin{Snapshot: api.Snapshot{Epoch: 1, Version: 2}, Shards: []api.ShardName{"a"}}
	part := event.SendPart{
		Op: 3, Address: address, Deadline: time.Now().Add(time.Minute),
		Search: api.Search{Query: api.Query{Service: "s"}, Pin: pin},
	}
	c.RunPart(part)
	e, ok := (<-events).(event.PartReplied)
	if !ok || e.Op != 3 || e.Answer.Outcome != api.Answered || e.Answer.Coverage.Snapshot != pin.Snapshot || len(e.Answer.Coverage.Covered) != 1 {
		t.Errorf("got %+v", e)
	}
	part.Op, part.Search.Pin = 4, nil // A part without a pin cannot be encoded.
	c.RunPart(part)
	if e, ok := (<-events).(event.PartReplied); !ok || e.Op != 4 || e.Answer.Outcome != api.Unknown {
		t.Errorf("got %+v", e)
	}
}

// silentFirstListener accepts its first connection without ever answering on it
// and serves the later ones.
type silentFirstListener struct {
	net.Listener
	silent net.Conn
}

func (l *silentFirstListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.silent == nil {
		l.silent = c
		return l.Accept()
	}
	return c, err
}

// Guards against a peer that stays unreachable because its established connection
// does not answer: after a timeout the client must open a new one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeReceiver{received: make(chan gossip.Message, 100)}
	address := serveOn(t, &silentFirstListener{Listener: inner}, f, nil)
	c, events := newClient(t, Config{SendTimeout: 100 * time.Millisecond})
	c.Send(event.SendPeer{Peer: "p", Address: address, Message: message(1)})
	if e, ok := (<-events).(event.PeerFailed); !ok {
		t.Fatalf("got %+v, want PeerFailed", e)
	}
	for {
		c.Send(event.SendPeer{Peer: "p", Address: address, Message: message(2)})
		select {
		case <-f.received:
			return
		case <-events: // On a loaded machine an attempt may time out; send again.
		}
	}
}

// A forwarded work order must return the peer's answer. Guards against a failed
// call reported as never sent: the peer may have run the work order.
func TestForwardWork(t *testing.T) {
	c, events := newClient(t, Config{Counts: telemetry.NewCounts()})
	forward := event.ForwardWork{
		Op: 7, Peer: "p", Address: serve(t, &fakeReceiver{}, nil), Caller: "desk",
		Work: api.Work{Service: "crews", Payload: []byte(":drain 7")}, Deadline: time.Now().Add(time.Minute),
	}
	c.ForwardWork(forward)
	got := (<-events).(event.WorkForwarded)
	if got.Op != 7 || got.Result != event.ForwardAnswered || string(got.Answer.Result) != "desk:drain 7" {
		t.Fatalf("got %+v", got)
	}
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	forward.Address = gone.Addr().String()
	_ = gone.Close()
	c.ForwardWork(forward)
	if got := (<-events).(event.WorkForwarded); got.Result != event.ForwardLost {
		t.Fatalf("got %+v", got)
	}
}

// Guards against work orders that get lost one after the other: the connection to a peer is silent,
// and no gossip is due that would show it.
func TestWorkIsForwardedOnANewConnectionAfterASilentOne(t *testing.T) {
	proxy, err := faultproxy.New(serve(t, &fakeReceiver{}, nil))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	c, events := newClient(t, Config{Counts: telemetry.NewCounts()})
	forward := func(timeout time.Duration) event.ForwardResult {
		c.ForwardWork(event.ForwardWork{
			Peer: "p", Address: proxy.Address(), Caller: "desk", Work: api.Work{Service: "crews"}, Deadline: time.Now().Add(timeout),
		})
		return (<-events).(event.WorkForwarded).Result
	}
	if r := forward(time.Minute); r != event.ForwardAnswered {
		t.Fatalf("result %v before the fault", r)
	}
	proxy.Inject(faultproxy.Fault{DropTowards: true, DropFrom: true})
	if r := forward(100 * time.Millisecond); r != event.ForwardLost {
		t.Fatalf("result %v on a silent connection", r)
	}
	if r := forward(10 * time.Second); r != event.ForwardAnswered {
		t.Errorf("result %v after a call that timed out", r)
	}
}
