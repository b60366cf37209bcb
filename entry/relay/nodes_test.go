package relay

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/core/routing"
	"github.com/baobabsail/baobabsail/wire/nodepb"
)

// eventRecorder is an EventSink that records events.
type eventRecorder struct {
	mu     sync.Mutex
	events []forward.Event
}

func (r *eventRecorder) Post(ev forward.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, ev)
}

// wait waits for the event with index i and returns it.
func (r *eventRecorder) wait(t *testing.T, i int) forward.Event {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		r.mu.Lock()
		if len(r.events) > i {
			ev := r.events[i]
			r.mu.Unlock()
			return ev
		}
		r.mu.Unlock()
	}
	t.Fatalf("event %d was not posted within 10 seconds", i)
	return nil
}

type discardLog struct{}

func (discardLog) Info(string, ...any) {}

// scriptedNode is a node that handles calls with a function of the test.
type scriptedNode struct {
	nodepb.UnimplementedNodeServer
	run func(nodepb.Node_RunShardsServer) error
}

func (s *scriptedNode) RunShards(stream nodepb.Node_RunShardsServer) error { return s.run(stream) }

// serveNode starts a scripted node and returns its address.
func serveNode(t *testing.T, run func(nodepb.Node_RunShardsServer) error) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	nodepb.RegisterNodeServer(server, &scriptedNode{run: run})
	go func() { _ = server.Serve(listener) }() // ends with Stop
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// testCall returns a call to the node at an address.
func testCall(id forward.CallID, address string) forward.CallPeer {
	return forward.CallPeer{
		Call: id, Node: "n2", Address: address, Remaining: 5 * time.Second, Target: 80 * time.Millisecond,
		Subset:  forward.Subset{Shards: []api.ServiceName{"s3", "s4"}, MaxAttempts: 3, PriorAttempts: 1},
		Message: &forward.Message{Host: "h", Path: "/p/", CallerRequest: "id", Fingerprint: 5, Wire: &wireRequest{method: "GET", head: []byte("GET /p/ HTTP/1.1\r\n"), id: "id"}},
	}
}

// Guards against losing fields of a call, and against mixing up its replies.
func TestCallToANode(t *testing.T) {
	allowed := make(chan struct{})
	address := serveNode(t, func(s nodepb.Node_RunShardsServer) error {
		q, err := s.Recv()
		if err != nil {
			return err
		}
		a := arrivedEvent(testHeaders, 1, q)
		if !slices.Equal(a.Subset.Shards, []api.ServiceName{"s3", "s4"}) || a.Subset.PriorAttempts != 1 || a.Subset.MaxAttempts != 3 ||
			a.Target != 80*time.Millisecond || a.Message.CallerRequest != "id" || a.Message.Wire.(*wireRequest).method != "GET" {
			t.Errorf("the node received %+v", a)
		}
		if err := s.Send(&nodepb.ShardsReply{}); err != nil {
			return err
		}
		if _, err := s.Recv(); err == nil {
			close(allowed)
		}
		if err := s.Send(&nodepb.ShardsReply{Proofs: []string{"p1"}, Records: []byte("aa")}); err != nil {
			return err
		}
		return s.Send(&nodepb.ShardsReply{Proofs: []string{"p2"}, Records: []byte("bb"), Last: true, Ran: true, Reason: "no_replica"})
	})
	events := &eventRecorder{}
	n := NewNodes(events, testHeaders, testCallBytes)
	defer n.Close()
	n.call(testCall(4, address))
	if ev, ok := events.wait(t, 0).(forward.CallAccepted); !ok || ev.Call != 4 {
		t.Fatalf("first event %+v", events.events[0])
	}
	n.allowExtraAttempts(4)
	<-allowed
	first, ok := events.wait(t, 1).(forward.CallReplied)
	if !ok || first.Last || len(first.Proofs) != 1 || string(first.Body) != "aa" {
		t.Errorf("second event %+v", events.events[1])
	}
	last, ok := events.wait(t, 2).(forward.CallReplied)
	if !ok || !last.Last || !last.MayHaveRun || last.Reason != "no_replica" {
		t.Errorf("third event %+v", events.events[2])
	}
}

// Guards against running a range twice: only a call that was not sent may be
// reported as unsent.
func TestWithdrawnCall(t *testing.T) {
	received := make(chan struct{})
	silent := serveNode(t, func(s nodepb.Node_RunShardsServer) error {
		if _, err := s.Recv(); err != nil {
			return err
		}
		close(received)
		<-s.Context().Done()
		return s.Context().Err()
	})
	events := &eventRecorder{}
	n := NewNodes(events, testHeaders, testCallBytes)
	defer n.Close()
	n.call(testCall(1, silent))
	<-received
	n.withdraw(1)
	if ev, ok := events.wait(t, 0).(forward.CallUnanswered); !ok || ev.Call != 1 {
		t.Errorf("a call that was received is reported as %+v", events.events[0])
	}

	listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections but never replies
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // the test is over
	n.call(testCall(2, listener.Addr().String()))
	n.withdraw(2)
	if ev, ok := events.wait(t, 1).(forward.CallLost); !ok || !ev.Unsent {
		t.Errorf("a call without a connection is reported as %+v", events.events[1])
	}
}

// Guards against a caller that waits for a node that is not running: the call must be
// reported as unsent.
func TestCallToAClosedPort(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close() // frees the port
	events := &eventRecorder{}
	n := NewNodes(events, testHeaders, testCallBytes)
	defer n.Close()
	n.call(testCall(1, address))
	if ev, ok := events.wait(t, 0).(forward.CallLost); !ok || !ev.Unsent {
		t.Errorf("event %+v", events.events[0])
	}
}

// Guards against a node that is never called again after a failure, and against calling a
// node that does not know the shards: the reply to a ping must state why the node cannot
// run the range.
func TestPing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	loop := NewLoop(forward.New(forward.Settings{Node: "n2"}), discardLog{}, nil)
	loop.Connect(NewTargets(loop, Headers{}, testBodyMemory), NewNodes(loop, testHeaders, testCallBytes))
	server := NewNodeServer(loop, testHeaders, testNodeLimits, nil)
	go func() { _ = server.Serve(listener) }() // ends with Stop
	defer server.Stop()
	events := &eventRecorder{}
	n := NewNodes(events, testHeaders, testCallBytes)
	defer n.Close()
	n.call(forward.CallPeer{Call: 1, Address: listener.Addr().String(), Message: &forward.Message{}, Remaining: 5 * time.Second})
	reply, ok := events.wait(t, 1).(forward.CallReplied)
	if !ok || !reply.Last || reply.Reason != api.ReasonNoConfiguration {
		t.Errorf("a node without configuration answers %+v", events.events)
	}
	loop.Post(forward.TableRead{Table: routing.NewTable(1, nil, nil, routing.Limits{})})
	n.call(forward.CallPeer{
		Call: 2, Address: listener.Addr().String(), Message: &forward.Message{}, Remaining: 5 * time.Second,
		Subset: forward.Subset{Shards: []api.ServiceName{"s1"}},
	})
	reply, ok = events.wait(t, 3).(forward.CallReplied)
	if !ok || !reply.Last || reply.Reason != api.ReasonWrongEpoch {
		t.Errorf("a node without replicas of the shards answers %+v", events.events)
	}
}

// Guards against a node that counts as lost because it, or this one, has no room for a request.
func TestCallWithoutRoom(t *testing.T) {
	loop := NewLoop(forward.New(forward.Settings{Node: "n2"}), discardLog{}, nil)
	loop.Connect(NewTargets(loop, Headers{}, testBodyMemory), NewNodes(loop, testHeaders, testCallBytes))
	for _, k := range []struct {
		what   string
		limits NodeServerLimits
		own    int64
	}{
		{"calls of the other node", NodeServerLimits{Calls: 0, RequestBytes: testCallBytes}, testCallBytes},
		{"memory of the other node", NodeServerLimits{Calls: 10, RequestBytes: 1}, testCallBytes},
		{"memory of this node", testNodeLimits, 1},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := NewNodeServer(loop, testHeaders, k.limits, nil)
		go func() { _ = server.Serve(listener) }() // ends with Stop
		events := &eventRecorder{}
		n := NewNodes(events, testHeaders, k.own)
		n.call(testCall(1, listener.Addr().String()))
		reply, ok := events.wait(t, 0).(forward.CallReplied)
		if !ok || !reply.Last || reply.Reason != api.ReasonPeerFull {
			t.Errorf("%s: %+v", k.what, events.events[0])
		}
		for end := time.Now().Add(10 * time.Second); n.requests.Used() != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: %d bytes are still in use", k.what, n.requests.Used())
			}
		}
		n.Close()
		server.Stop()
	}
}

// stallingConn is a connection whose writes block once it is stalled, as if its peer read nothing.
type stallingConn struct {
	net.Conn
	stalled *atomic.Bool
	closed  chan struct{}
}

func (c *stallingConn) Write(p []byte) (int, error) {
	if c.stalled.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *stallingConn) Close() error {
	defer func() { _ = recover() }() // closed before
	close(c.closed)
	return c.Conn.Close()
}

// Guards against a node that hangs while it closes its connection to a node that has left the list
// and reads nothing any more.
func TestClosingAConnectionToASilentNodeDoesNotBlock(t *testing.T) {
	address := serveNode(t, func(s nodepb.Node_RunShardsServer) error {
		if _, err := s.Recv(); err != nil {
			return err
		}
		return s.Send(&nodepb.ShardsReply{Last: true})
	})
	var stalled atomic.Bool
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			socket, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return &stallingConn{Conn: socket, stalled: &stalled, closed: make(chan struct{})}, err
		}))
	if err != nil {
		t.Fatal(err)
	}
	events := &eventRecorder{}
	n := NewNodes(events, testHeaders, testCallBytes)
	n.conns.conns[address] = &nodeConn{ClientConn: conn, address: address}
	n.call(testCall(1, address))
	if ev, ok := events.wait(t, 0).(forward.CallReplied); !ok {
		t.Fatalf("%+v", ev)
	}
	stalled.Store(true)
	mustNotBlock(t, "the new list", func() { n.prepare(nil) })
}
