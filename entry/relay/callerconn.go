package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// idleSweep is how often idle connections are checked.
	idleSweep = 500 * time.Millisecond
	// idleSlack is added to the configured idle time: a caller that reuses a
	// connection just before that time must not meet its end.
	idleSlack = 2 * time.Second
	// shutdownPoll is how often a shutdown looks for connections that became idle.
	shutdownPoll = 20 * time.Millisecond
	// newConnTime is how long a shutdown leaves a connection open on which no
	// request has come yet.
	newConnTime = 500 * time.Millisecond
)

// callerConn is a connection of a caller.
type callerConn struct {
	// roundTrip is what the kernel measured while the connection was opened.
	roundTrip time.Duration
	// used is set once a request has come: the caller waited for the opening of
	// the connection before the first one only.
	used atomic.Bool
	// closed is set before an idle connection is closed. The server may have
	// begun to read a request on it.
	closed atomic.Bool
	// state and since are guarded by mu of Callers.
	state http.ConnState
	since time.Time
}

type callerConnKey struct{}

// connContext is called for each new connection.
func (c *Callers) connContext(ctx context.Context, conn net.Conn) context.Context {
	own := &callerConn{roundTrip: roundTrip(conn), state: http.StateNew, since: time.Now()}
	c.mu.Lock()
	c.conns[conn] = own
	c.mu.Unlock()
	return context.WithValue(ctx, callerConnKey{}, own)
}

// connOf returns the connection of a request.
func connOf(r *http.Request) *callerConn {
	if own, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
		return own
	}
	return &callerConn{} // a test without a server
}

// connState follows the states of connections. StateActive is reported before
// the request is handled.
func (c *Callers) connState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.conns, conn)
		return
	}
	if own := c.conns[conn]; own != nil {
		own.state, own.since = state, time.Now()
	}
}

// SweepIdle closes connections that were idle for longer than the
// configuration allows, until ctx ends.
func (c *Callers) SweepIdle(ctx context.Context) {
	every(ctx, idleSweep, func(now time.Time) {
		if limits := c.loop.Limits(); limits != nil && limits.IdleTimeout > 0 {
			c.closeUnused(now.Add(-limits.IdleTimeout-idleSlack), time.Time{})
		}
	})
}

// closeUnused closes connections that have been idle since idle, or without a
// first request since fresh. It returns the number of the others.
func (c *Callers) closeUnused(idle, fresh time.Time) (left int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, own := range c.conns {
		unused := own.state == http.StateIdle && !own.since.After(idle) ||
			own.state == http.StateNew && !own.since.After(fresh)
		if !unused {
			left++
			continue
		}
		own.closed.Store(true)
		_ = conn.Close() // the server notices
		delete(c.conns, conn)
	}
	return left
}

// Shutdown closes the listener and idle connections, and waits for the requests
// in flight. http.Server.Shutdown is not used: it closes connections on which
// a request is just being read, and the request would still be handled.
func (c *Callers) Shutdown(ctx context.Context) error {
	c.closing.Store(true)
	c.mu.Lock()
	listener := c.listener
	c.mu.Unlock()
	if listener != nil {
		_ = listener.Close() // it accepts nothing more in any case
	}
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	for {
		now := time.Now()
		if c.closeUnused(now, now.Add(-newConnTime)) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			_ = c.server.Close() // cuts what is left
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// roundTrip returns the kernel's estimate, or 0 if it gives none.
func roundTrip(conn net.Conn) time.Duration {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var trip time.Duration
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			trip = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	if err != nil {
		return 0
	}
	return trip
}

// transit returns the time that the next request and its answer travel.
func (c *callerConn) transit() time.Duration {
	if c.used.Swap(true) {
		return c.roundTrip
	}
	return 2 * c.roundTrip
}
