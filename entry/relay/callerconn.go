package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/baobabsail/baobabsail/entry/connguard"
)

const (
	// shutdownPollInterval is how often a shutdown looks for connections that have become
	// idle.
	shutdownPollInterval = 20 * time.Millisecond
	// newConnGrace is how long a shutdown leaves a connection open that has not carried a
	// request yet.
	newConnGrace = 500 * time.Millisecond
)

// callerConn is a connection from a caller.
type callerConn struct {
	// guarded keeps the connection within the limits of the process; nil in tests without a
	// server.
	guarded *connguard.Conn
	// rtt is the round-trip time that the kernel measured while the connection was opened.
	rtt time.Duration
	// used is set once a request has arrived: only the first one waited for the connection
	// to open.
	used atomic.Bool
}

type callerConnKey struct{}

// callerContext adds a new connection to the context of its requests.
func callerContext(ctx context.Context, conn net.Conn) context.Context {
	cc := &callerConn{}
	if guarded, ok := conn.(*connguard.Conn); ok {
		cc.guarded, cc.rtt = guarded, kernelRTT(guarded.NetConn())
	}
	return context.WithValue(ctx, callerConnKey{}, cc)
}

// requestConn returns the connection on which a request arrived.
func requestConn(r *http.Request) *callerConn {
	if cc, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
		return cc
	}
	return &callerConn{} // in tests without a server
}

// Shutdown closes the listener and idle connections, and waits for the requests in flight.
// It does not use http.Server.Shutdown, which closes connections on which a request is
// just being read, although that request is still handled.
func (c *CallerServer) Shutdown(ctx context.Context) error {
	c.closing.Store(true)
	c.mu.Lock()
	listener := c.listener
	c.mu.Unlock()
	if listener != nil {
		_ = listener.Close() // even after an error, it accepts no more connections
	}
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		if c.guard.CloseUnused(newConnGrace) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			_ = c.server.Close() // closes the remaining connections
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// transitTime returns the time that the next request and its answer spend in transit. For
// the first request it includes the opening of the connection.
func (c *callerConn) transitTime() time.Duration {
	if c.used.Swap(true) {
		return c.rtt
	}
	return 2 * c.rtt
}
