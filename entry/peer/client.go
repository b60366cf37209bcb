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
	// DefaultQueueSize is the number of messages that wait for one peer. Newer
	// gossip contains what older gossip said, so the oldest is dropped first.
	DefaultQueueSize = 16
	// DefaultSendTimeout bounds the delivery of one message. It is below the
	// 3 s within which a drain notice must be everywhere.
	DefaultSendTimeout = time.Second
	// maxParts bounds the parts of queries and work orders in progress at one peer.
	maxParts = 512
	// idleTime ends the link to a peer that nothing was sent to: nodes are
	// replaced, and their links must not accumulate.
	idleTime = time.Minute
)

// connectParams keep trying a peer that is away: grpc's default delay of up to
// 2 minutes would exceed the bounds for drain notices and configuration.
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
	// Report delivers an event to the node. It may block until the node has room.
	Report          func(event.Event)
	Counts          *telemetry.Counts
	QueueSize       int
	SendTimeout     time.Duration
	MaxMessageBytes int
}

// Client sends to peers. Its methods neither block nor report synchronously.
type Client struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	links   map[string]*link // by address
	closed  bool
	running sync.WaitGroup
}

// link is the connection to one address with its queue of messages.
type link struct {
	address string
	cc      *grpc.ClientConn
	client  peerpb.PeerClient
	// queue and the following fields are guarded by Client.mu.
	queue []queued
	// lost holds the peers whose messages were dropped from the queue and are
	// to be reported as failed.
	lost  []api.EntryName
	parts int
	wake  chan struct{} // capacity 1
}

type queued struct {
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
	c := &Client{config: config, links: make(map[string]*link)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Send queues a message. PeerFailed follows if it cannot be delivered.
func (c *Client) Send(a event.SendPeer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.linkTo(a.Address)
	if l == nil {
		c.reportFailed(a.Peer)
		return
	}
	if len(l.queue) == c.config.QueueSize {
		l.lost = append(l.lost, l.queue[0].peer)
		l.queue = l.queue[1:]
		c.config.Counts.Inc(count.Peer, detailQueueFull)
	}
	l.queue = append(l.queue, queued{peer: a.Peer, message: a.Message})
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// reportFailed reports from a goroutine of its own. c.mu must be held.
func (c *Client) reportFailed(peer api.EntryName) {
	if !c.closed {
		c.running.Go(func() { c.config.Report(event.PeerFailed{Peer: peer}) })
	}
}

// linkTo returns the link to an address, opening it if needed; nil if the
// address cannot be used or the client is closed. c.mu must be held.
func (c *Client) linkTo(address string) *link {
	if l := c.links[address]; l != nil {
		return l
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
	l := &link{address: address, cc: cc, client: peerpb.NewPeerClient(cc), wake: make(chan struct{}, 1)}
	c.links[address] = l
	c.running.Go(func() { c.serve(l) })
	return l
}

// serve delivers the messages of one link until it has been idle for a while.
func (c *Client) serve(l *link) {
	defer l.cc.Close()
	idle := time.NewTimer(idleTime)
	defer idle.Stop()
	for {
		select {
		case <-l.wake:
			c.drain(l)
			idle.Reset(idleTime)
		case <-idle.C:
			if c.retire(l) {
				return
			}
			idle.Reset(idleTime)
		case <-c.ctx.Done():
			return
		}
	}
}

// retire removes a link that has nothing to do.
func (c *Client) retire(l *link) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(l.queue) > 0 || l.parts > 0 {
		return false
	}
	if c.links[l.address] == l {
		delete(c.links, l.address)
	}
	return true
}

// replace opens a new link in place of one that did not answer: an open
// connection may have gone silent for good while new ones work. The old link
// ends once its parts have.
func (c *Client) replace(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[l.address] != l {
		return
	}
	delete(c.links, l.address)
	next := c.linkTo(l.address)
	if next == nil {
		return
	}
	next.queue, next.lost = l.queue, l.lost
	l.queue, l.lost = nil, nil
	next.wake <- struct{}{}
}

// drain delivers what is queued.
func (c *Client) drain(l *link) {
	for {
		c.mu.Lock()
		lost := l.lost
		l.lost = nil
		var next *queued
		if len(l.queue) > 0 {
			next = &l.queue[0]
			l.queue = l.queue[1:]
		}
		c.mu.Unlock()
		for _, peer := range lost {
			c.config.Report(event.PeerFailed{Peer: peer})
		}
		if next == nil {
			return
		}
		c.deliver(l, next)
	}
}

func (c *Client) deliver(l *link, q *queued) {
	ctx, cancel := context.WithTimeout(c.ctx, c.config.SendTimeout)
	defer cancel()
	if _, err := l.client.Exchange(ctx, convert.MessageToProto(q.message)); err != nil {
		c.config.Counts.Inc(count.Peer, detailUndelivered)
		if status.Code(err) == codes.DeadlineExceeded {
			c.replace(l)
		}
		c.config.Report(event.PeerFailed{Peer: q.peer})
	}
}

// RunPart asks a peer to run a part of a query and reports PartReplied.
func (c *Client) RunPart(a event.SendPart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	l := c.linkTo(a.Address)
	var refused api.SearchAnswer
	switch {
	case l == nil:
		refused = api.SearchAnswer{Outcome: api.NotRun, Reason: api.ReasonNoConnection}
	case l.parts >= maxParts:
		refused = api.SearchAnswer{Outcome: api.NotRun, Reason: api.ReasonOverloaded}
	default:
		l.parts++
		c.running.Go(func() { c.runPart(l, a) })
		return
	}
	c.config.Counts.Inc(count.Peer, detailPartFailed)
	c.running.Go(func() { c.config.Report(event.PartReplied{Op: a.Op, Answer: refused}) })
}

func (c *Client) runPart(l *link, a event.SendPart) {
	answer, err := c.callPart(l, a)
	if err != nil {
		c.config.Counts.Inc(count.Peer, detailPartFailed)
		answer = api.SearchAnswer{Outcome: api.Unknown, Reason: api.ReasonConnectionLost}
	}
	c.mu.Lock()
	l.parts--
	c.mu.Unlock()
	c.config.Report(event.PartReplied{Op: a.Op, Answer: answer})
}

func (c *Client) callPart(l *link, a event.SendPart) (api.SearchAnswer, error) {
	ctx, cancel := context.WithDeadline(c.ctx, a.Deadline)
	defer cancel()
	part := convert.Part{Caller: a.Caller, Search: a.Search, Deadline: a.Deadline}
	request, err := convert.PartRequestToProto(part, time.Now())
	if err != nil {
		return api.SearchAnswer{}, err
	}
	reply, err := l.client.RunPart(ctx, request)
	if err != nil {
		return api.SearchAnswer{}, err
	}
	return convert.PartReplyFromProto(reply)
}

// ForwardWork passes a work order on to a peer and reports WorkForwarded.
func (c *Client) ForwardWork(a event.ForwardWork) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	l := c.linkTo(a.Address)
	if l == nil || l.parts >= maxParts {
		c.running.Go(func() { c.config.Report(event.WorkForwarded{Op: a.Op, Result: event.ForwardNotSent}) })
		return
	}
	l.parts++
	c.running.Go(func() { c.forwardWork(l, a) })
}

// forwardWork reports every failure as ForwardLost: grpc does not say whether
// the peer got the request, and the node can ask for the claim itself.
func (c *Client) forwardWork(l *link, a event.ForwardWork) {
	result := event.WorkForwarded{Op: a.Op, Result: event.ForwardAnswered}
	ctx, cancel := context.WithDeadline(c.ctx, a.Deadline)
	defer cancel()
	work := convert.Work{Caller: a.Caller, Work: a.Work, Deadline: a.Deadline}
	reply, err := l.client.RunWork(ctx, convert.WorkToProto(work, time.Now()))
	if err == nil {
		result.Answer, err = convert.WorkAnswerFromProto(reply)
	}
	if err != nil {
		c.config.Counts.Inc(count.Peer, detailWorkFailed)
		result.Result = event.ForwardLost
	}
	c.mu.Lock()
	l.parts--
	c.mu.Unlock()
	c.config.Report(result)
}

// Shutdown ends all calls and waits until every report is delivered.
func (c *Client) Shutdown() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.running.Wait()
}
