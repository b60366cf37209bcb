package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"

	"github.com/baobabsail/baobabsail/entry/internal/nodeconn"
)

// A connection to another node may go silent, in one direction or both, or become slow, and stay so
// while TCP still acknowledges what is sent. The calls on it are the only sign. A call that gets no
// response in time therefore makes the pool open a second connection, which takes the place of the
// first one as soon as it is open. If the node itself is slow or frozen, that does not help, so the
// interval between two such attempts grows.

const (
	// nodeConnectTimeout bounds the opening of a connection to a node.
	nodeConnectTimeout = 500 * time.Millisecond
	// nodeBackoffMin and nodeBackoffMax bound the time between two attempts to open a
	// connection.
	nodeBackoffMin = 100 * time.Millisecond
	nodeBackoffMax = time.Second
	// replaceTimeout bounds the opening of a connection in place of another one.
	replaceTimeout = 2 * time.Second
	// replaceIntervalMin and replaceIntervalMax bound the time between two replacements of the
	// connection to one node. It doubles with each of them.
	replaceIntervalMin = time.Second
	replaceIntervalMax = 64 * time.Second
	// replaceResetAfter is the time without a replacement after which the interval is the
	// shortest one again.
	replaceResetAfter = 2 * time.Minute
	// replacedConnTime is how long a connection stays open after its replacement, and then until the
	// ranges on it have ended: their responses may be on their way.
	replacedConnTime = 5 * time.Second
)

// nodeConn is a connection to another node.
type nodeConn struct {
	*grpc.ClientConn
	address string
	// refusedAt is when the last attempt to connect was refused, since no process listened; nil if
	// it was not.
	refusedAt atomic.Pointer[time.Time]
	// ranges is the number of calls in progress that run ranges of shards.
	ranges atomic.Int64
}

// newNodeConn returns a connection that is opened on first use.
func newNodeConn(address string) (*nodeConn, error) {
	c := &nodeConn{address: address}
	var err error
	c.ClientConn, err = nodeconn.New(address, nodeconn.ConnectParams{
		Backoff: backoff.Config{BaseDelay: nodeBackoffMin, Multiplier: 2, Jitter: 0.2, MaxDelay: nodeBackoffMax},
		Timeout: nodeConnectTimeout, Dial: c.dial,
	})
	return c, err
}

// dial opens the TCP connection and records whether the address refuses it.
func (c *nodeConn) dial(ctx context.Context, address string) (net.Conn, error) {
	now := time.Now()
	socket, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.refusedAt.Store(&now)
	} else {
		c.refusedAt.Store(nil)
	}
	return socket, err
}

// connected waits until the connection is open, and reports whether it is.
func (c *nodeConn) connected(ctx context.Context) bool {
	c.Connect()
	for state := c.GetState(); state != connectivity.Ready; state = c.GetState() {
		if !c.WaitForStateChange(ctx, state) {
			return false
		}
	}
	return true
}

// closeLater closes a connection that was replaced, once the calls on it have ended. All of them have
// time-outs.
func (c *nodeConn) closeLater() {
	time.AfterFunc(replacedConnTime, func() {
		if c.ranges.Load() > 0 {
			c.closeLater()
			return
		}
		nodeconn.Close(c.ClientConn)
	})
}

// nodeConns is the pool of connections to other nodes.
type nodeConns struct {
	// onReplaced is called for each connection that was replaced.
	onReplaced func(address string)

	mu           sync.Mutex
	conns        map[string]*nodeConn // by address
	replacements map[string]*replacement
}

// replacement limits how often the connection to one node is replaced.
type replacement struct {
	running   bool
	startedAt time.Time
	interval  time.Duration
}

func newNodeConns(onReplaced func(address string)) *nodeConns {
	return &nodeConns{onReplaced: onReplaced, conns: make(map[string]*nodeConn), replacements: make(map[string]*replacement)}
}

// get returns the connection to an address, and creates it if there is none.
func (p *nodeConns) get(address string) (*nodeConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[address]; c != nil {
		return c, nil
	}
	c, err := newNodeConn(address)
	if err != nil {
		return nil, err
	}
	p.conns[address] = c
	return c, nil
}

// exists reports whether there is a connection to an address.
func (p *nodeConns) exists(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[address] != nil
}

// retain closes the connections to all addresses for which keep returns false. The calls on them
// end and are reported as lost.
func (p *nodeConns) retain(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		if !keep(address) {
			nodeconn.Close(c.ClientConn)
			delete(p.conns, address)
			delete(p.replacements, address)
		}
	}
}

// unresponsive reports that a call on a connection got no response in time. The connection is
// replaced if it is the current one, looks open, and was not replaced a short time ago.
func (p *nodeConns) unresponsive(c *nodeConn) {
	if c.GetState() != connectivity.Ready {
		return // gRPC opens it again
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[c.address] != c || !p.mayReplace(c.address, time.Now()) {
		return
	}
	go p.replace(c)
}

// mayReplace reports whether the connection to an address may be replaced now, and records that it
// is. The caller must hold p.mu.
func (p *nodeConns) mayReplace(address string, now time.Time) bool {
	r := p.replacements[address]
	switch {
	case r == nil:
		r = &replacement{interval: replaceIntervalMin}
		p.replacements[address] = r
	case r.running || now.Sub(r.startedAt) < r.interval:
		return false
	case now.Sub(r.startedAt) >= replaceResetAfter:
		r.interval = replaceIntervalMin
	default:
		r.interval = min(2*r.interval, replaceIntervalMax)
	}
	r.running, r.startedAt = true, now
	return true
}

// replace opens a new connection in place of one that does not respond. The old one stays if the
// new one cannot be opened.
func (p *nodeConns) replace(old *nodeConn) {
	ctx, cancel := context.WithTimeout(context.Background(), replaceTimeout)
	defer cancel()
	next, err := newNodeConn(old.address)
	opened := err == nil && next.connected(ctx)
	replaced := p.endReplacement(old, next, opened)
	if replaced {
		p.onReplaced(old.address)
		old.closeLater()
	} else if err == nil {
		nodeconn.Close(next.ClientConn)
	}
}

// endReplacement makes a new connection the current one if it is open and the old one still was
// the current one. It reports whether it did.
func (p *nodeConns) endReplacement(old, next *nodeConn, opened bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.replacements[old.address]; r != nil {
		r.running = false
	}
	if !opened || p.conns[old.address] != old {
		return false
	}
	p.conns[old.address] = next
	return true
}
