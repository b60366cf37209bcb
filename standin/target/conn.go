package target

import (
	"net"
	"sync"
	"time"
)

// listener limits the number of open connections and can make all or some of them
// silent. A silent connection stays open but transfers no bytes in either
// direction, so the server does not notice HTTP/2 pings or the client's close
// either.
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
// beyond the limit immediately.
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
		if c := l.register(inner); c != nil {
			l.count(ConnectionsAccepted)
			return c, nil
		}
		l.count(ConnectionsRefused)
		_ = inner.Close()
	}
}

// register adds a connection to the open ones, or returns nil if the limit is
// reached. The connection transfers bytes after the connect delay.
func (l *listener) register(inner net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.conns) >= l.limit {
		return nil
	}
	c := &conn{Conn: inner, owner: l, silent: newGate(), setupDone: make(chan struct{}), done: make(chan struct{})}
	l.conns[c] = struct{}{}
	if l.delay > 0 {
		time.AfterFunc(l.delay, func() { close(c.setupDone) })
	} else {
		close(c.setupDone)
	}
	return c
}

// Close stops accepting connections; open connections stay open.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// silence makes up to n connections silent that are not silent yet and returns
// how many it changed.
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

// reset closes the silent connections, or all, with a TCP reset instead of a FIN
// handshake.
func (l *listener) reset(onlySilent bool) {
	l.mu.Lock()
	var selected []*conn
	for c := range l.conns {
		if c.isSilent || !onlySilent {
			selected = append(selected, c)
		}
	}
	l.mu.Unlock()
	for _, c := range selected {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (l *listener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// conn transfers bytes only after the connect delay and while neither the
// connection is silent nor the target is frozen.
type conn struct {
	net.Conn
	owner     *listener
	silent    *gate
	setupDone chan struct{}
	done      chan struct{}
	once      sync.Once
	// isSilent is guarded by owner.mu.
	isSilent bool
}

// waitReady blocks until the connection may transfer bytes. It returns false if the
// connection is closed first.
func (c *conn) waitReady() bool {
	select {
	case <-c.setupDone:
	case <-c.done:
		return false
	}
	return c.silent.wait(c.done) && c.owner.frozen.wait(c.done)
}

// Read reads first and waits afterwards, so that bytes which arrive while the
// connection is silent do not reach the server.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.waitReady() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if !c.waitReady() {
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
