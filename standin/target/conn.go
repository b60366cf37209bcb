package target

import (
	"net"
	"sync"
	"time"
)

// listener bounds the accepted connections and can make all or some of them
// silent. A silent connection stays open but passes no byte in either
// direction, so HTTP/2 pings and the peer's close go unnoticed as well.
type listener struct {
	net.Listener
	limit  int
	delay  time.Duration
	frozen *gate
	count  func(Counter)
	done   chan struct{}
	once   sync.Once

	mu    sync.Mutex
	conns map[*conn]struct{}
}

func newListener(inner net.Listener, limit int, delay time.Duration, frozen *gate, count func(Counter)) *listener {
	return &listener{
		Listener: inner, limit: limit, delay: delay, frozen: frozen, count: count,
		done: make(chan struct{}), conns: make(map[*conn]struct{}),
	}
}

// Accept returns the next connection within the limit. It closes connections
// beyond the limit at once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.frozen.wait(l.done) {
			_ = inner.Close()
			return nil, net.ErrClosed
		}
		if c := l.admit(inner); c != nil {
			l.count(ConnectionsAccepted)
			return c, nil
		}
		l.count(ConnectionsRefused)
		_ = inner.Close()
	}
}

func (l *listener) admit(inner net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.conns) >= l.limit {
		return nil
	}
	c := &conn{Conn: inner, owner: l, silent: newGate(), setUp: make(chan struct{}), done: make(chan struct{})}
	l.conns[c] = struct{}{}
	if l.delay > 0 {
		time.AfterFunc(l.delay, func() { close(c.setUp) })
	} else {
		close(c.setUp)
	}
	return c
}

// Close stops accepting; open connections remain.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// silence makes n of the connections silent that are not silent yet and returns
// how many it found.
func (l *listener) silence(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := 0
	for c := range l.conns {
		if found == n {
			break
		}
		if !c.isSilent {
			c.isSilent = true
			c.silent.set(true)
			found++
		}
	}
	return found
}

// cut closes connections without a FIN handshake: the silent ones, or all.
func (l *listener) cut(onlySilent bool) {
	l.mu.Lock()
	var chosen []*conn
	for c := range l.conns {
		if c.isSilent || !onlySilent {
			chosen = append(chosen, c)
		}
	}
	l.mu.Unlock()
	for _, c := range chosen {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (l *listener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// conn passes bytes only when it is set up and neither it nor the target is silent.
type conn struct {
	net.Conn
	owner  *listener
	silent *gate
	setUp  chan struct{}
	done   chan struct{}
	once   sync.Once
	// isSilent is guarded by owner.mu.
	isSilent bool
}

func (c *conn) pass() bool {
	select {
	case <-c.setUp:
	case <-c.done:
		return false
	}
	return c.silent.wait(c.done) && c.owner.frozen.wait(c.done)
}

// Read reads first and then waits, so that bytes which arrive while the
// connection is silent do not reach the server.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.pass() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if !c.pass() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.owner.mu.Lock()
		delete(c.owner.conns, c)
		c.owner.mu.Unlock()
	})
	return c.Conn.Close()
}
