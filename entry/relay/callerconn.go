package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// callerSweepInterval is how often idle connections of callers are checked.
	callerSweepInterval = 500 * time.Millisecond
	// callerIdleGrace is added to the configured idle timeout, so that a caller that reuses a
	// connection just before the timeout does not find it closed.
	callerIdleGrace = 2 * time.Second
	// shutdownPollInterval is how often a shutdown looks for connections that have become
	// idle.
	shutdownPollInterval = 20 * time.Millisecond
	// newConnGrace is how long a shutdown leaves a connection open that has not carried a
	// request yet.
	newConnGrace = 500 * time.Millisecond
)

// callerConn is the state of a connection from a caller.
type callerConn struct {
	// rtt is the round-trip time that the kernel measured while the connection was opened.
	rtt time.Duration
	// used is set once a request has arrived: only the first one waited for the connection
	// to open.
	used atomic.Bool
	// closed is set before an idle connection is closed. A request that the server is just
	// reading on it is then not forwarded.
	closed atomic.Bool
	// state is the last reported state, since the time of the report. CallerServer.mu guards both.
	state http.ConnState
	since time.Time
}

type callerConnKey struct{}

// connContext registers a new connection and adds it to the context of its requests.
func (c *CallerServer) connContext(ctx context.Context, conn net.Conn) context.Context {
	cc := &callerConn{rtt: kernelRTT(conn), state: http.StateNew, since: time.Now()}
	c.mu.Lock()
	c.conns[conn] = cc
	c.mu.Unlock()
	return context.WithValue(ctx, callerConnKey{}, cc)
}

// requestConn returns the connection on which a request arrived.
func requestConn(r *http.Request) *callerConn {
	if cc, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
		return cc
	}
	return &callerConn{} // in tests without a server
}

// connState records the state of a connection. net/http reports StateActive before it
// handles the request.
func (c *CallerServer) connState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.conns, conn)
		return
	}
	if cc := c.conns[conn]; cc != nil {
		cc.state, cc.since = state, time.Now()
	}
}

// SweepIdle periodically closes connections that have been idle for longer than the
// configuration allows, until ctx is done.
func (c *CallerServer) SweepIdle(ctx context.Context) {
	every(ctx, callerSweepInterval, func(now time.Time) {
		if limits := c.loop.Limits(); limits != nil && limits.IdleTimeout > 0 {
			c.closeUnused(now.Add(-limits.IdleTimeout-callerIdleGrace), time.Time{})
		}
	})
}

// closeUnused closes connections that became idle no later than idleBefore, and those
// opened no later than newBefore that have not carried a request. It returns the number of
// connections that remain.
func (c *CallerServer) closeUnused(idleBefore, newBefore time.Time) (remaining int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, cc := range c.conns {
		unused := cc.state == http.StateIdle && !cc.since.After(idleBefore) ||
			cc.state == http.StateNew && !cc.since.After(newBefore)
		if !unused {
			remaining++
			continue
		}
		cc.closed.Store(true)
		_ = conn.Close() // the server detects it and cleans up
		delete(c.conns, conn)
	}
	return remaining
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
		now := time.Now()
		if c.closeUnused(now, now.Add(-newConnGrace)) == 0 {
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
