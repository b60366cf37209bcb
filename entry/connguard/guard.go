// Package connguard keeps the connections of an HTTP server within limits for the whole process:
// it accepts connections, follows what each of them does and holds, and closes those that
// connlimit chooses. It covers heads, bodies, responses that are not read, and the buffers of the
// kernel.
package connguard

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/connlimit"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/entry/internal/periodic"
	"github.com/baobabsail/baobabsail/entry/telemetry"
)

const (
	// sweepInterval is how often timeouts are checked.
	sweepInterval = 500 * time.Millisecond
	// defaultHeadTimeout applies if the configuration names no timeout.
	defaultHeadTimeout = 15 * time.Second
	// timeoutGrace is added to the configured timeouts, so that a client that uses them up is not
	// cut off.
	timeoutGrace = 2 * time.Second
	// defaultIdleTimeout applies likewise.
	defaultIdleTimeout = 2 * time.Minute
	// silenceTimeout is how long a client may send nothing in the middle of a body, or read
	// nothing of a response.
	silenceTimeout = 30 * time.Second
	// defaultHeadBytes bounds a head if the configuration names no limit.
	defaultHeadBytes = 1 << 20
)

// Details of counters of kind count.ClientConnection.
const (
	detailRejected     api.Reason = "rejected"
	detailReplaced     api.Reason = "replaced"
	detailMemoryClosed api.Reason = "memory_closed"
	detailNoMemory     api.Reason = "no_memory"
	detailTooMany      api.Reason = "too_many"
	detailHeadTooLarge api.Reason = "head_too_large"
	detailTimeout      api.Reason = "timeout"
)

// Config sets the limits of a Guard.
type Config struct {
	Limits connlimit.Limits
	// Request returns the bounds for a request, which may change; nil means the defaults.
	Request func() RequestLimits
	Counts  *telemetry.Counts
}

// RequestLimits bounds what a client may send and how long it may take. A value of 0 stands for
// the default.
type RequestLimits struct {
	HeadBytes   int
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

const (
	// operatorHeadBytes bounds the head of a readiness check or a request for metrics, and
	// operatorHeadTimeout the time for it.
	operatorHeadBytes   = 8 << 10
	operatorHeadTimeout = time.Second
)

// ForOperators returns a Guard for a listener of readiness checks or metrics, whose requests are
// small.
func ForOperators(limits connlimit.Limits, counts *telemetry.Counts) *Guard {
	return New(Config{Limits: limits, Counts: counts, Request: func() RequestLimits {
		return RequestLimits{HeadBytes: operatorHeadBytes, HeadTimeout: operatorHeadTimeout}
	}})
}

// Guard holds the connections of one listener. It is safe for concurrent use.
type Guard struct {
	request func() RequestLimits
	counts  *telemetry.Counts

	mu    sync.Mutex
	table *connlimit.Table
	conns map[connlimit.ID]net.Conn
}

// New returns a Guard without connections.
func New(c Config) *Guard {
	g := &Guard{
		request: c.Request, counts: c.Counts,
		table: connlimit.New(c.Limits), conns: make(map[connlimit.ID]net.Conn),
	}
	if g.request == nil {
		g.request = func() RequestLimits { return RequestLimits{} }
	}
	return g
}

// Serve serves HTTP on a listener whose connections are kept within the limits. The handler of the
// server reports what its requests do, or is made by Handler.
func (g *Guard) Serve(s *http.Server, l net.Listener) error {
	if s.ConnContext == nil {
		s.ConnContext = ConnContext
	}
	s.ConnState = g.connState
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go periodic.Run(ctx, sweepInterval, func(now time.Time) { g.Expire(now) })
	return s.Serve(&listener{Listener: l, guard: g, wrap: g.httpConn})
}

// Expire closes the connections that have exceeded a timeout and returns how many remain.
func (g *Guard) Expire(now time.Time) (remaining int) {
	limits := g.request()
	timeouts := connlimit.Timeouts{Head: defaultHeadTimeout, Idle: defaultIdleTimeout, Silence: silenceTimeout}
	if limits.HeadTimeout > 0 {
		timeouts.Head = limits.HeadTimeout + timeoutGrace
	}
	if limits.IdleTimeout > 0 {
		timeouts.Idle = limits.IdleTimeout + timeoutGrace
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	idle, late := g.table.Expire(now, timeouts)
	g.closeAll(idle)
	g.closeAll(late)
	g.add(detailTimeout, len(late))
	return g.table.Len()
}

// CloseUnused closes the connections without a request, those that are new only after newGrace,
// and returns how many connections remain.
func (g *Guard) CloseUnused(newGrace time.Duration) (remaining int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closeAll(g.table.CloseUnused(time.Now(), newGrace))
	return g.table.Len()
}

// Usage is what the connections hold.
type Usage struct {
	Conns int
	// Bytes is the memory of requests and responses.
	Bytes int64
}

// Usage returns what the connections hold.
func (g *Guard) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Usage{Conns: g.table.Len(), Bytes: g.table.Held()}
}

// closeAll closes connections that the table has removed. The caller must hold g.mu.
func (g *Guard) closeAll(ids []connlimit.ID) {
	for _, id := range ids {
		if c := g.conns[id]; c != nil {
			delete(g.conns, id)
			_ = c.Close() // the server detects it and cleans up
		}
	}
}

// open registers a connection. It returns false if there is no room.
func (g *Guard) open(socket net.Conn) (connlimit.ID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	id, victims, ok := g.table.Open(time.Now())
	if !ok {
		g.add(detailRejected, 1)
		return 0, false
	}
	g.add(detailReplaced, len(victims))
	g.closeAll(victims)
	g.conns[id] = socket
	return id, true
}

// usePeer records that bytes have arrived on a connection of a PeerListener.
func (g *Guard) usePeer(id connlimit.ID) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Use(id, now)
}

// remove forgets a connection that has ended.
func (g *Guard) remove(id connlimit.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Close(id)
	delete(g.conns, id)
}

func (g *Guard) add(detail api.Reason, n int) {
	for range n {
		g.counts.Inc(count.ClientConnection, detail)
	}
}

// connState follows the states that net/http reports. A connection whose response was sent becomes
// idle.
func (g *Guard) connState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.enter(connlimit.Idle)
	case http.StateClosed, http.StateHijacked:
		g.remove(c.id)
	case http.StateNew, http.StateActive: // the connection itself sees these
	}
}

// listener accepts connections for a Guard.
type listener struct {
	net.Listener
	guard *Guard
	wrap  func(net.Conn, connlimit.ID) net.Conn
}

// Accept returns the next connection for which there is room, and closes others.
func (l *listener) Accept() (net.Conn, error) {
	for {
		socket, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if id, ok := l.guard.open(socket); ok {
			return l.wrap(socket, id), nil
		}
		_ = socket.Close() // nothing was read, so that the client may send its request elsewhere
	}
}
