// Package targetclient keeps the gRPC connections to targets. Each api.ConnID
// is one TCP connection that is dialled exactly once: which connection carries
// a request, and when one is replaced, is decided by the core alone.
//
// Methods never block and never report synchronously, so that the goroutine
// that owns the node may call them. Reports come from other goroutines.
package targetclient

import (
	"context"
	"sync"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/wire/convert"
	"github.com/baobabsail/baobabsail/wire/targetpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// DefaultOpenTimeout bounds dialling and the first Health call. Opening
	// takes up to 6 ms at the current scale; a cold target may need longer.
	DefaultOpenTimeout = 2 * time.Second
	// DefaultMaxMessageBytes bounds a message in either direction. A reply of
	// 10,000 rows of 300 bytes fits.
	DefaultMaxMessageBytes = 4 << 20
	// probeTimeout ends a Probe call that nobody waits for any more: the core
	// closes a silent connection after at most 2 s.
	probeTimeout = 5 * time.Second
	// lateWorkReply is how long the reply to a work order is awaited after its
	// deadline. The target runs a started work order to its end, and the core
	// records a late result for callers that send the key again.
	lateWorkReply = 30 * time.Second
)

// Config configures a Client. Zero values take the defaults.
type Config struct {
	// Report delivers an event to the node. It may block until the node has room.
	Report          func(event.Event)
	OpenTimeout     time.Duration
	MaxMessageBytes int
	// Now is the clock for remaining deadlines; time.Now if nil.
	Now func() time.Time
}

// Client executes the connection and attempt actions of one node.
type Client struct {
	config Config

	mu       sync.Mutex
	conns    map[api.ConnID]*conn
	attempts map[api.AttemptID]*attempt
	closed   bool
	running  sync.WaitGroup
}

// attempt is one RPC that carries a request.
type attempt struct {
	cancel context.CancelFunc
	// cancelled is set by Cancel: the node no longer waits for a report.
	cancelled bool
}

// New returns a client without connections.
func New(config Config) *Client {
	if config.OpenTimeout == 0 {
		config.OpenTimeout = DefaultOpenTimeout
	}
	if config.MaxMessageBytes == 0 {
		config.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Client{
		config:   config,
		conns:    make(map[api.ConnID]*conn),
		attempts: make(map[api.AttemptID]*attempt),
	}
}

// Open opens a connection and reports ConnOpened or ConnEnded.
func (c *Client) Open(a event.OpenConn) {
	c.goIfOpen(func() { c.runConn(a.Conn) }, func() {
		c.conns[a.Conn] = newConn(a.Address, c.config.MaxMessageBytes)
	})
}

// goIfOpen runs f in a goroutine that Shutdown waits for, after calling
// prepare under the lock. It does nothing after Shutdown: the node has stopped.
func (c *Client) goIfOpen(f, prepare func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	prepare()
	c.running.Go(f)
}

// runConn accompanies a connection from dialling to its end.
func (c *Client) runConn(id api.ConnID) {
	c.mu.Lock()
	cn := c.conns[id]
	c.mu.Unlock()
	load, end := cn.open(c.config.OpenTimeout)
	if end == 0 {
		c.config.Report(event.ConnOpened{Conn: id, Load: load})
		end = cn.waitEnd()
	}
	c.mu.Lock()
	delete(c.conns, id)
	c.mu.Unlock()
	c.config.Report(event.ConnEnded{Conn: id, End: end})
}

// Close closes a connection. AttemptFailed for each attempt on it and ConnEnded
// follow as reports.
func (c *Client) Close(id api.ConnID) {
	if cn := c.lookup(id); cn != nil {
		cn.close()
	}
}

func (c *Client) lookup(id api.ConnID) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns[id]
}

// Cancel ends an attempt without a report, unless its reply is already on the
// way to the node.
func (c *Client) Cancel(id api.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.attempts[id]; a != nil {
		a.cancelled = true
		a.cancel()
	}
}

// Probe asks for the target's load on the given connection and reports
// ProbeReplied if the target answers.
func (c *Client) Probe(id api.ConnID) {
	cn := c.lookup(id)
	if cn == nil || !cn.isOpen() {
		return
	}
	c.goIfOpen(func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		reply, err := cn.client.Health(ctx, &targetpb.HealthRequest{})
		if err != nil {
			return
		}
		load, err := convert.LoadFromProto(reply.GetLoad())
		if err != nil {
			return
		}
		c.config.Report(event.ProbeReplied{Conn: id, Load: load})
	}, func() {})
}

// SendSearch sends a search and reports SearchReplied or AttemptFailed.
func (c *Client) SendSearch(a event.SendSearch) {
	request := convert.SearchRequestToProto(a.Request, c.config.Now())
	c.send(a.Conn, a.Request.Attempt, a.Request.Deadline, func(ctx context.Context, cn *conn, once *sendOnce) (event.Event, error) {
		reply, err := cn.client.Search(ctx, request, once.option())
		if err != nil {
			return nil, err
		}
		decoded, err := convert.SearchReplyFromProto(reply)
		return event.SearchReplied{Conn: a.Conn, Attempt: a.Request.Attempt, Reply: decoded}, err
	})
}

// SendWork sends a work order at most once and reports WorkReplied or
// AttemptFailed.
func (c *Client) SendWork(a event.SendWork) {
	request := convert.WorkRequestToProto(a.Request, c.config.Now())
	until := a.Request.Deadline
	if !until.IsZero() {
		until = until.Add(lateWorkReply)
	}
	c.send(a.Conn, a.Request.Attempt, until, func(ctx context.Context, cn *conn, once *sendOnce) (event.Event, error) {
		reply, err := cn.client.Execute(ctx, request, once.option())
		if err != nil {
			return nil, err
		}
		decoded, err := convert.WorkReplyFromProto(reply)
		return event.WorkReplied{Conn: a.Conn, Attempt: a.Request.Attempt, Reply: decoded}, err
	})
}

// call performs one RPC and returns the event for its reply.
type call func(ctx context.Context, cn *conn, once *sendOnce) (event.Event, error)

// send runs one RPC in a goroutine of its own and reports how it ended. The RPC
// fails at the given time; a zero time sets no limit.
func (c *Client) send(id api.ConnID, attemptID api.AttemptID, until time.Time, rpc call) {
	ctx, cancel := attemptContext(until)
	at := &attempt{cancel: cancel}
	var cn *conn
	usable := false
	c.goIfOpen(func() {
		defer cancel()
		if cn != nil {
			defer cn.finish()
		}
		c.perform(ctx, id, attemptID, at, cn, usable, rpc)
	}, func() {
		cn = c.conns[id]
		if cn != nil {
			cn, usable = cn.begin()
		}
		c.attempts[attemptID] = at
	})
}

// attemptContext ends at the deadline; the zero time sets none.
func attemptContext(deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(context.Background())
	}
	return context.WithDeadline(context.Background(), deadline)
}

// perform runs the RPC and reports its result. cn is nil if the connection has
// ended; usable is false if it is not open or about to end.
func (c *Client) perform(ctx context.Context, id api.ConnID, attemptID api.AttemptID, at *attempt, cn *conn, usable bool, rpc call) {
	once := &sendOnce{}
	var reply event.Event
	err := errNotOpen
	if usable {
		reply, err = rpc(ctx, cn, once)
		if status.Code(err) == codes.Unavailable {
			cn.requestLost()
		}
	}
	c.mu.Lock()
	delete(c.attempts, attemptID)
	cancelled := at.cancelled
	c.mu.Unlock()
	switch {
	case err == nil:
		c.config.Report(reply)
	case !cancelled:
		c.config.Report(event.AttemptFailed{Attempt: attemptID, Conn: id, NeverSent: !once.handedOver()})
	}
}

// Shutdown closes all connections and waits until every report is delivered.
func (c *Client) Shutdown() {
	c.mu.Lock()
	c.closed = true
	conns := make([]*conn, 0, len(c.conns))
	for _, cn := range c.conns {
		conns = append(conns, cn)
	}
	c.mu.Unlock()
	for _, cn := range conns {
		cn.close()
	}
	c.running.Wait()
}
