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
	// ctx ends when the connection is closed by this side.
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	dialled  bool
	dialErr  error
	accepted bool  // the TCP connection was established
	readErr  error // first error that ended the byte stream
	opened   bool
	ending   bool // no new RPC may start
	cut      bool // a request in flight got no reply because the stream ended
	inFlight int
	idle     chan struct{} // closed once ending is set and inFlight is 0
}

// newConn prepares a connection; open dials it.
func newConn(address string, maxMessageBytes int) *conn {
	c := &conn{idle: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	cc, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(c.dial),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(0),
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
// otherwise reconnect on its own, outside the quota that the core keeps.
func (c *conn) dial(ctx context.Context, address string) (net.Conn, error) {
	c.mu.Lock()
	again := c.dialled
	c.dialled = true
	c.mu.Unlock()
	if again {
		return nil, errDialledOnce
	}
	var dialer net.Dialer
	nc, err := dialer.DialContext(ctx, "tcp", address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.dialErr = err
		return nil, err
	}
	c.accepted = true
	return &observedConn{Conn: nc, owner: c}, nil
}

// observedConn records the error that ends the byte stream.
type observedConn struct {
	net.Conn
	owner *conn
}

func (o *observedConn) Read(b []byte) (int, error) {
	n, err := o.Conn.Read(b)
	if err != nil {
		o.owner.streamEnded(err)
	}
	return n, err
}

func (c *conn) streamEnded(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readErr == nil {
		c.readErr = err
	}
}

// requestLost notes that the stream ended before the reply to a request.
func (c *conn) requestLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
}

// open dials and calls Health. It returns how the connection ended, or 0 if it
// is open.
func (c *conn) open(timeout time.Duration) (api.TargetLoad, event.ConnEnd) {
	if c.cc == nil {
		return api.TargetLoad{}, c.finishEnd(event.ConnTimedOut)
	}
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	reply, err := c.client.Health(ctx, &targetpb.HealthRequest{})
	var load api.TargetLoad
	if err == nil {
		load, err = convert.LoadFromProto(reply.GetLoad())
	}
	if err != nil {
		return load, c.finishEnd(c.openFailure(err, ctx.Err()))
	}
	c.mu.Lock()
	c.opened = true
	c.mu.Unlock()
	return load, 0
}

// openFailure says why a connection could not be opened.
func (c *conn) openFailure(err, ctxErr error) event.ConnEnd {
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
	case c.accepted && c.readErr != nil:
		// A target at its connection limit accepts and closes at once. One that
		// crashes at this moment looks the same and refuses the next dial.
		return event.ConnLimited
	}
	return event.ConnReset
}

// waitEnd returns once the connection is over and no RPC is left on it.
func (c *conn) waitEnd() event.ConnEnd {
	// grpc leaves READY when the stream breaks and also on GOAWAY. After GOAWAY
	// the RPCs in flight still complete on the old stream, so the connection is
	// not closed before they have ended.
	// The state may still be CONNECTING for a moment after the first reply,
	// because grpc publishes a new picker before the state.
	c.cc.WaitForStateChange(c.ctx, connectivity.Connecting)
	c.cc.WaitForStateChange(c.ctx, connectivity.Ready)
	byUs := c.ctx.Err() != nil
	c.stopAccepting()
	if byUs {
		c.cc.Close()
	}
	select {
	case <-c.idle:
	case <-c.ctx.Done():
		byUs = true
		c.cc.Close()
		<-c.idle
	}
	return c.finishEnd(c.endOf(byUs))
}

// endOf says how an open connection ended.
func (c *conn) endOf(byUs bool) event.ConnEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	orderly := c.readErr == nil || errors.Is(c.readErr, io.EOF) || errors.Is(c.readErr, net.ErrClosed)
	if byUs || (orderly && !c.cut) {
		return event.ConnClosed
	}
	return event.ConnReset
}

// finishEnd releases the connection after the last RPC on it has ended.
func (c *conn) finishEnd(end event.ConnEnd) event.ConnEnd {
	c.stopAccepting()
	c.cancel()
	if c.cc != nil {
		c.cc.Close()
	}
	<-c.idle
	return end
}

// stopAccepting makes begin return unusable from now on.
func (c *conn) stopAccepting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return
	}
	c.ending = true
	if c.inFlight == 0 {
		close(c.idle)
	}
}

// begin registers an RPC, or one that is to be failed at once if usable is
// false. It returns nil if the end of the connection was already reported.
func (c *conn) begin() (registered *conn, usable bool) {
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

// finish unregisters an RPC after its report was delivered.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if c.ending && c.inFlight == 0 {
		close(c.idle)
	}
}

// close ends the connection from this side. The RPCs in flight fail.
func (c *conn) close() { c.cancel() }
