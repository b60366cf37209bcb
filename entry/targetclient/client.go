// Package targetclient manages the gRPC connections to targets. Each api.ConnID
// is one TCP connection that is dialled at most once: only the core decides which
// connection carries a request and when a connection is replaced.
//
// Methods other than Shutdown do not block, and Config.Report is called from other
// goroutines, so that the goroutine that owns the node can call them.
package targetclient

import (
	"context"
	"sync"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/entry/internal/membudget"
	"github.com/baobabsail/baobabsail/wire/convert"
	"github.com/baobabsail/baobabsail/wire/targetpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// DefaultOpenTimeout bounds dialling and the first Health call. Opening
	// takes up to 6 ms at the current scale; a target that has just started may
	// need longer.
	DefaultOpenTimeout = 2 * time.Second
	// DefaultMaxMessageBytes bounds a message in either direction. A reply of
	// 10,000 rows of 300 bytes fits.
	DefaultMaxMessageBytes = 4 << 20
	// probeTimeout ends a Probe call whose result is no longer needed: the core
	// closes a connection that does not answer after at most 2 s.
	probeTimeout = 5 * time.Second
	// lateWorkReplyWait is how long after its deadline a work order's reply is
	// still awaited. The target runs a started work order to completion, and the
	// core records a late result for callers that retry with the same key.
	lateWorkReplyWait = 30 * time.Second
)

// Config configures a Client. Zero values take the defaults.
type Config struct {
	// Report delivers an event to the node. It may block while the node's inbox
	// is full.
	Report          func(event.Event)
	OpenTimeout     time.Duration
	MaxMessageBytes int
	// ReplyBytes bounds the memory of the replies that are being received or wait for the rest of
	// their search, without what each one has free.
	ReplyBytes int64
	// Now is the clock used to compute the time left until a deadline; time.Now
	// if nil.
	Now func() time.Time
}

// Client executes the connection and attempt actions of one node.
type Client struct {
	config  Config
	replies *membudget.Budget

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
	if config.ReplyBytes == 0 {
		config.ReplyBytes = defaultReplyBytes
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Client{
		config:   config,
		replies:  membudget.New(config.ReplyBytes),
		conns:    make(map[api.ConnID]*conn),
		attempts: make(map[api.AttemptID]*attempt),
	}
}

// Open opens a connection and reports ConnOpened or ConnEnded.
func (c *Client) Open(a event.OpenConn) {
	c.goUnlessShutDown(func() { c.runConn(a.Conn) }, func() {
		c.conns[a.Conn] = newConn(a.Address, c.config.MaxMessageBytes, c.replies)
	})
}

// goUnlessShutDown calls prepare with the lock held and then runs f in a
// goroutine that Shutdown waits for. It does nothing after Shutdown, because the
// node has stopped.
func (c *Client) goUnlessShutDown(f, prepare func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	prepare()
	c.running.Go(f)
}

// runConn runs a connection from dialling to its end. It reports ConnOpened if the
// connection opens, and ConnEnded in any case.
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

// Close closes a connection. AttemptFailed for each attempt on it is reported,
// then ConnEnded.
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

// Cancel ends an attempt without a report, unless its reply has already arrived.
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
	c.goUnlessShutDown(func() {
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
		reply, err := cn.client.Search(ctx, request, once.callOption())
		if err != nil {
			return nil, err
		}
		decoded, err := convert.SearchReplyFromProto(reply)
		if err == nil && !holdRows(c.replies, decoded.Rows) {
			return nil, errTooMuchReceived
		}
		return event.SearchReplied{Conn: a.Conn, Attempt: a.Request.Attempt, Reply: decoded}, err
	})
}

// SendWork sends a work order at most once and reports WorkReplied or
// AttemptFailed.
func (c *Client) SendWork(a event.SendWork) {
	request := convert.WorkRequestToProto(a.Request, c.config.Now())
	until := a.Request.Deadline
	if !until.IsZero() {
		until = until.Add(lateWorkReplyWait)
	}
	c.send(a.Conn, a.Request.Attempt, until, func(ctx context.Context, cn *conn, once *sendOnce) (event.Event, error) {
		reply, err := cn.client.Execute(ctx, request, once.callOption())
		if err != nil {
			return nil, err
		}
		decoded, err := convert.WorkReplyFromProto(reply)
		if err == nil && !holdResult(c.replies, decoded.Result) {
			return nil, errTooMuchReceived
		}
		return event.WorkReplied{Conn: a.Conn, Attempt: a.Request.Attempt, Reply: decoded}, err
	})
}

// rpcFunc performs one RPC and returns the event for its reply.
type rpcFunc func(ctx context.Context, cn *conn, once *sendOnce) (event.Event, error)

// send runs one RPC in a new goroutine and reports its result. The RPC fails if it
// has not ended at the given time; a zero time sets no limit.
func (c *Client) send(id api.ConnID, attemptID api.AttemptID, until time.Time, rpc rpcFunc) {
	ctx, cancel := attemptContext(until)
	at := &attempt{cancel: cancel}
	var cn *conn
	usable := false
	c.goUnlessShutDown(func() {
		defer cancel()
		if cn != nil {
			defer cn.finishRPC()
		}
		c.runAttempt(ctx, id, attemptID, at, cn, usable, rpc)
	}, func() {
		cn = c.conns[id]
		if cn != nil {
			cn, usable = cn.beginRPC()
		}
		c.attempts[attemptID] = at
	})
}

// attemptContext returns a context with the given deadline, or with none if it is
// the zero time.
func attemptContext(deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(context.Background())
	}
	return context.WithDeadline(context.Background(), deadline)
}

// runAttempt runs the RPC and reports its result. cn is nil if the connection has
// ended; usable is false if it is not open yet or is ending.
func (c *Client) runAttempt(ctx context.Context, id api.ConnID, attemptID api.AttemptID, at *attempt, cn *conn, usable bool, rpc rpcFunc) {
	once := &sendOnce{}
	var reply event.Event
	err := errNotOpen
	if usable {
		reply, err = rpc(ctx, cn, once)
		if status.Code(err) == codes.Unavailable {
			cn.markRequestLost()
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
		c.config.Report(event.AttemptFailed{Attempt: attemptID, Conn: id, NeverSent: !once.maybeSent()})
	}
}

// Shutdown closes all connections and waits until every report has been
// delivered.
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
