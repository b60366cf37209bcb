package targetclient

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/entry/connguard"
	"github.com/baobabsail/baobabsail/entry/internal/membudget"
	"github.com/baobabsail/baobabsail/wire/convert"
	"github.com/baobabsail/baobabsail/wire/targetpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

var (
	errNotOpen     = errors.New("connection is not open")
	errDialledOnce = errors.New("connection was dialled before")
)

// conn is one connection to a target.
type conn struct {
	cc     *grpc.ClientConn
	client targetpb.TargetClient
	// ctx is cancelled when this side closes the connection.
	ctx    context.Context
	cancel context.CancelFunc
	// received counts what was received of incomplete messages.
	received received

	mu          sync.Mutex
	dialled     bool
	dialErr     error
	connected   bool  // the TCP connection was established
	readErr     error // first error that ended the byte stream
	opened      bool
	ending      bool // no new RPC may start
	requestLost bool // a request in flight got no reply because the stream ended
	inFlight    int
	drained     chan struct{} // closed once ending is set and inFlight is 0
}

// newConn prepares a connection; open dials it.
func newConn(address string, maxMessageBytes int, replies *membudget.Budget) *conn {
	c := &conn{drained: make(chan struct{}), received: received{memory: replies.Reservation()}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	cc, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(c.dial),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(0),
		grpc.WithStatsHandler(&c.received),
		grpc.WithMaxHeaderListSize(maxHeaderListBytes),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(maxMessageBytes),
			grpc.MaxCallSendMsgSize(maxMessageBytes),
		),
	)
	if err != nil {
		c.dialErr = err
		return c
	}
	c.cc = cc
	c.client = targetpb.NewTargetClient(cc)
	return c
}

// dial connects on the first call and fails on every later one: grpc would
// otherwise reconnect by itself, outside the connection quota of the core.
func (c *conn) dial(ctx context.Context, address string) (net.Conn, error) {
	c.mu.Lock()
	again := c.dialled
	c.dialled = true
	c.mu.Unlock()
	if again {
		return nil, errDialledOnce
	}
	dialer := net.Dialer{Control: connguard.LimitBuffers(syscall.SO_RCVBUF, syscall.SO_SNDBUF)}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.dialErr = err
		return nil, err
	}
	c.connected = true
	return &observedConn{Conn: nc, owner: c}, nil
}

// observedConn records the error that ends the byte stream.
type observedConn struct {
	net.Conn
	owner *conn
}

func (o *observedConn) Read(b []byte) (int, error) {
	n, err := o.Conn.Read(b)
	if !o.owner.received.add(int64(n)) {
		n, err = 0, errTooMuchReceived
	}
	if err != nil {
		o.owner.recordReadError(err)
	}
	return n, err
}

func (c *conn) recordReadError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readErr == nil {
		c.readErr = err
	}
}

// markRequestLost records that an RPC failed because the stream ended before its
// reply.
func (c *conn) markRequestLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestLost = true
}

// open dials and calls Health. It returns the reason for the failure, or 0 if the
// connection is open.
func (c *conn) open(timeout time.Duration) (api.TargetLoad, event.ConnEnd) {
	if c.cc == nil {
		return api.TargetLoad{}, c.release(event.ConnTimedOut)
	}
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	reply, err := c.client.Health(ctx, &targetpb.HealthRequest{})
	var load api.TargetLoad
	if err == nil {
		load, err = convert.LoadFromProto(reply.GetLoad())
	}
	if err != nil {
		return load, c.release(c.classifyOpenError(err, ctx.Err()))
	}
	c.mu.Lock()
	c.opened = true
	c.mu.Unlock()
	return load, 0
}

// classifyOpenError returns the reason why a connection could not be opened.
func (c *conn) classifyOpenError(err, ctxErr error) event.ConnEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	var netErr net.Error
	switch {
	case errors.Is(ctxErr, context.Canceled):
		return event.ConnClosed
	case errors.Is(c.dialErr, syscall.ECONNREFUSED):
		return event.ConnRefused
	case status.Code(err) == codes.ResourceExhausted:
		return event.ConnLimited
	case ctxErr != nil, errors.As(c.dialErr, &netErr):
		// An unreachable address counts as timed out: ConnRefused would tell the
		// core that the target's process is gone.
		return event.ConnTimedOut
	case c.connected && c.readErr != nil:
		// A target at its connection limit accepts and closes at once. One that
		// crashes at this moment looks the same, but refuses the next dial.
		return event.ConnLimited
	}
	return event.ConnReset
}

// waitEnd waits until the connection has ended and its last RPC has finished,
// and returns the reason for the end.
func (c *conn) waitEnd() event.ConnEnd {
	// grpc leaves READY when the stream breaks and also on GOAWAY. After GOAWAY
	// the RPCs in flight still complete on the old stream, so the connection is
	// not closed before they have ended.
	// The state may still be CONNECTING for a moment after the first reply,
	// because grpc publishes a new picker before the state.
	c.cc.WaitForStateChange(c.ctx, connectivity.Connecting)
	c.cc.WaitForStateChange(c.ctx, connectivity.Ready)
	closedLocally := c.ctx.Err() != nil
	c.stopNewRPCs()
	if closedLocally {
		c.cc.Close()
	}
	select {
	case <-c.drained:
	case <-c.ctx.Done():
		closedLocally = true
		c.cc.Close()
		<-c.drained
	}
	return c.release(c.classifyEnd(closedLocally))
}

// classifyEnd returns the reason why an open connection ended.
func (c *conn) classifyEnd(closedLocally bool) event.ConnEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	cleanEnd := c.readErr == nil || errors.Is(c.readErr, io.EOF) || errors.Is(c.readErr, net.ErrClosed)
	if closedLocally || (cleanEnd && !c.requestLost) {
		return event.ConnClosed
	}
	return event.ConnReset
}

// release closes the connection and waits for its last RPC to finish. It returns
// end.
func (c *conn) release(end event.ConnEnd) event.ConnEnd {
	c.stopNewRPCs()
	c.cancel()
	if c.cc != nil {
		c.cc.Close()
	}
	<-c.drained
	c.received.release()
	return end
}

// stopNewRPCs makes later calls of beginRPC return usable as false.
func (c *conn) stopNewRPCs() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return
	}
	c.ending = true
	if c.inFlight == 0 {
		close(c.drained)
	}
}

// beginRPC registers an RPC. If usable is false, the caller must not send it but
// report it as failed. The result is nil, with nothing registered, if the
// connection is ending and has no RPCs left.
func (c *conn) beginRPC() (registered *conn, usable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending && c.inFlight == 0 {
		return nil, false
	}
	c.inFlight++
	return c, c.opened && !c.ending
}

// isOpen reports whether the connection was opened and new RPCs may start.
func (c *conn) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened && !c.ending
}

// finishRPC unregisters an RPC after its report has been delivered.
func (c *conn) finishRPC() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if c.ending && c.inFlight == 0 {
		close(c.drained)
	}
}

// close closes the connection from this side. The RPCs in flight fail.
func (c *conn) close() { c.cancel() }
