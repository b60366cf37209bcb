package peer

import (
	"context"
	"sync"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/entry/telemetry"
	"github.com/baobabsail/baobabsail/wire/convert"
	"github.com/baobabsail/baobabsail/wire/peerpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

const (
	// DefaultQueueSize is the number of messages queued for one peer. Newer
	// gossip supersedes older gossip, so the oldest message is dropped first.
	DefaultQueueSize = 16
	// DefaultSendTimeout bounds the delivery of one message. It is below
	// the 3 s within which a drain notice must reach every node.
	DefaultSendTimeout = time.Second
	// maxInFlightCalls bounds the query parts and work orders in flight to one peer.
	maxInFlightCalls = 512
	// idleTimeout closes the connection to a peer that nothing was sent to:
	// nodes are replaced, and connections to old nodes must not accumulate.
	idleTimeout = time.Minute
)

// connectParams limit the reconnect delay to an unreachable peer to 1 s: grpc's
// default of up to 2 minutes would exceed the time limits for distributing drain
// notices and configuration.
var connectParams = grpc.ConnectParams{
	Backoff: backoff.Config{
		BaseDelay:  100 * time.Millisecond,
		Multiplier: 1.6,
		Jitter:     0.2,
		MaxDelay:   time.Second,
	},
	MinConnectTimeout: time.Second,
}

// Config configures a Client. Zero values take the defaults.
type Config struct {
	// Report delivers an event to the node. It may block while the node's inbox
	// is full.
	Report          func(event.Event)
	Counts          *telemetry.Counts
	QueueSize       int
	SendTimeout     time.Duration
	MaxMessageBytes int
}

// Client sends gossip, query parts and work orders to peers. Its methods return
// without blocking, and Report is called from other goroutines. Only Shutdown
// blocks.
type Client struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	conns   map[string]*conn // by address
	closed  bool
	running sync.WaitGroup
}

// conn is the connection to one address and the messages queued for it.
type conn struct {
	address string
	cc      *grpc.ClientConn
	client  peerpb.PeerClient
	// queue and the following fields are guarded by Client.mu.
	queue []queuedMessage
	// droppedFor holds the peer of each message that was dropped from the
	// full queue and still has to be reported as PeerFailed.
	droppedFor []api.EntryName
	// inFlight is the number of RunPart and RunWork calls in progress.
	inFlight int
	wake     chan struct{} // capacity 1
}

type queuedMessage struct {
	peer    api.EntryName
	message gossip.Message
}

// NewClient returns a client without connections.
func NewClient(config Config) *Client {
	if config.QueueSize == 0 {
		config.QueueSize = DefaultQueueSize
	}
	if config.SendTimeout == 0 {
		config.SendTimeout = DefaultSendTimeout
	}
	if config.MaxMessageBytes == 0 {
		config.MaxMessageBytes = DefaultMaxMessageBytes
	}
	c := &Client{config: config, conns: make(map[string]*conn)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Send queues a message. PeerFailed is reported if it cannot be delivered.
func (c *Client) Send(a event.SendPeer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn := c.connTo(a.Address)
	if cn == nil {
		c.reportFailed(a.Peer)
		return
	}
	if len(cn.queue) == c.config.QueueSize {
		cn.droppedFor = append(cn.droppedFor, cn.queue[0].peer)
		cn.queue = cn.queue[1:]
		c.config.Counts.Inc(count.Peer, detailQueueFull)
	}
	cn.queue = append(cn.queue, queuedMessage{peer: a.Peer, message: a.Message})
	select {
	case cn.wake <- struct{}{}:
	default:
	}
}

// reportFailed reports PeerFailed from a new goroutine. c.mu must be held.
func (c *Client) reportFailed(peer api.EntryName) {
	if !c.closed {
		c.running.Go(func() { c.config.Report(event.PeerFailed{Peer: peer}) })
	}
}

// connTo returns the connection to an address and creates it if needed. It
// returns nil if the address is invalid or the client is closed. c.mu must be held.
func (c *Client) connTo(address string) *conn {
	if cn := c.conns[address]; cn != nil {
		return cn
	}
	if c.closed {
		return nil
	}
	cc, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithConnectParams(connectParams),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(c.config.MaxMessageBytes),
			grpc.MaxCallSendMsgSize(c.config.MaxMessageBytes),
		),
	)
	if err != nil {
		return nil
	}
	cn := &conn{address: address, cc: cc, client: peerpb.NewPeerClient(cc), wake: make(chan struct{}, 1)}
	c.conns[address] = cn
	c.running.Go(func() { c.runConn(cn) })
	return cn
}

// runConn delivers the queued messages of one connection until it is idle for
// idleTimeout or the client shuts down.
func (c *Client) runConn(cn *conn) {
	defer cn.cc.Close()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-cn.wake:
			c.sendQueued(cn)
			idle.Reset(idleTimeout)
		case <-idle.C:
			if c.removeIfIdle(cn) {
				return
			}
			idle.Reset(idleTimeout)
		case <-c.ctx.Done():
			return
		}
	}
}

// removeIfIdle removes a connection without queued messages and calls in flight
// and reports whether it did.
func (c *Client) removeIfIdle(cn *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(cn.queue) > 0 || cn.inFlight > 0 {
		return false
	}
	if c.conns[cn.address] == cn {
		delete(c.conns, cn.address)
	}
	return true
}

// replaceIfTimedOut replaces the connection of a message or call that timed out.
func (c *Client) replaceIfTimedOut(cn *conn, err error) {
	if status.Code(err) == codes.DeadlineExceeded {
		c.replaceConn(cn)
	}
}

// replaceConn opens a new connection in place of one on which a message timed
// out: an established connection can stay unresponsive while new ones to the same
// address work. The old connection is closed once it is idle and its calls in
// flight have ended.
func (c *Client) replaceConn(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[cn.address] != cn {
		return
	}
	delete(c.conns, cn.address)
	next := c.connTo(cn.address)
	if next == nil {
		return
	}
	next.queue, next.droppedFor = cn.queue, cn.droppedFor
	cn.queue, cn.droppedFor = nil, nil
	next.wake <- struct{}{}
}

// sendQueued delivers the queued messages and reports the dropped ones.
func (c *Client) sendQueued(cn *conn) {
	for {
		c.mu.Lock()
		droppedFor := cn.droppedFor
		cn.droppedFor = nil
		var next *queuedMessage
		if len(cn.queue) > 0 {
			next = &cn.queue[0]
			cn.queue = cn.queue[1:]
		}
		c.mu.Unlock()
		for _, peer := range droppedFor {
			c.config.Report(event.PeerFailed{Peer: peer})
		}
		if next == nil {
			return
		}
		c.deliver(cn, next)
	}
}

func (c *Client) deliver(cn *conn, q *queuedMessage) {
	ctx, cancel := context.WithTimeout(c.ctx, c.config.SendTimeout)
	defer cancel()
	if _, err := cn.client.Exchange(ctx, convert.MessageToProto(q.message)); err != nil {
		c.config.Counts.Inc(count.Peer, detailUndelivered)
		c.replaceIfTimedOut(cn, err)
		c.config.Report(event.PeerFailed{Peer: q.peer})
	}
}

// RunPart asks a peer to run a part of a query and reports PartReplied, unless
// the client is closed.
func (c *Client) RunPart(a event.SendPart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	cn := c.connTo(a.Address)
	var refused api.SearchAnswer
	switch {
	case cn == nil:
		refused = api.SearchAnswer{Outcome: api.NotRun, Reason: api.ReasonNoConnection}
	case cn.inFlight >= maxInFlightCalls:
		refused = api.SearchAnswer{Outcome: api.NotRun, Reason: api.ReasonOverloaded}
	default:
		cn.inFlight++
		c.running.Go(func() { c.runPart(cn, a) })
		return
	}
	c.config.Counts.Inc(count.Peer, detailPartFailed)
	c.running.Go(func() { c.config.Report(event.PartReplied{Op: a.Op, Answer: refused}) })
}

func (c *Client) runPart(cn *conn, a event.SendPart) {
	answer, err := c.callPart(cn, a)
	if err != nil {
		c.config.Counts.Inc(count.Peer, detailPartFailed)
		answer = api.SearchAnswer{Outcome: api.Unknown, Reason: api.ReasonConnectionLost}
	}
	c.mu.Lock()
	cn.inFlight--
	c.mu.Unlock()
	c.config.Report(event.PartReplied{Op: a.Op, Answer: answer})
}

func (c *Client) callPart(cn *conn, a event.SendPart) (api.SearchAnswer, error) {
	ctx, cancel := context.WithDeadline(c.ctx, a.Deadline)
	defer cancel()
	part := convert.Part{Caller: a.Caller, Search: a.Search, Deadline: a.Deadline}
	request, err := convert.PartRequestToProto(part, time.Now())
	if err != nil {
		return api.SearchAnswer{}, err
	}
	reply, err := cn.client.RunPart(ctx, request)
	c.replaceIfTimedOut(cn, err)
	if err != nil {
		return api.SearchAnswer{}, err
	}
	return convert.PartReplyFromProto(reply)
}

// ForwardWork forwards a work order to a peer and reports WorkForwarded, unless
// the client is closed.
func (c *Client) ForwardWork(a event.ForwardWork) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	cn := c.connTo(a.Address)
	if cn == nil || cn.inFlight >= maxInFlightCalls {
		c.running.Go(func() { c.config.Report(event.WorkForwarded{Op: a.Op, Result: event.ForwardNotSent}) })
		return
	}
	cn.inFlight++
	c.running.Go(func() { c.forwardWork(cn, a) })
}

// forwardWork reports every failed call as ForwardLost: grpc does not tell whether
// the peer received the request, and the node can look up the claim itself.
func (c *Client) forwardWork(cn *conn, a event.ForwardWork) {
	result := event.WorkForwarded{Op: a.Op, Result: event.ForwardAnswered}
	ctx, cancel := context.WithDeadline(c.ctx, a.Deadline)
	defer cancel()
	work := convert.ForwardedWork{Caller: a.Caller, Work: a.Work, Deadline: a.Deadline}
	reply, err := cn.client.RunWork(ctx, convert.ForwardedWorkToProto(work, time.Now()))
	c.replaceIfTimedOut(cn, err)
	if err == nil {
		result.Answer, err = convert.WorkAnswerFromProto(reply)
	}
	if err != nil {
		c.config.Counts.Inc(count.Peer, detailWorkFailed)
		result.Result = event.ForwardLost
	}
	c.mu.Lock()
	cn.inFlight--
	c.mu.Unlock()
	c.config.Report(result)
}

// Shutdown cancels all calls and waits until every report has been delivered.
func (c *Client) Shutdown() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.running.Wait()
}
