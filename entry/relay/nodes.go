package relay

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/core/routing"
	"github.com/baobabsail/baobabsail/entry/internal/membudget"
	"github.com/baobabsail/baobabsail/wire/nodepb"
)

const (
	// nodeBufferSize is the size of the read and the write buffer of a connection
	// between nodes, in bytes; a call and its replies are smaller.
	nodeBufferSize = 4 << 10
	// connectInterval is the pause between two connections that are opened before they are
	// needed.
	connectInterval = 20 * time.Millisecond
	// callGrace is added to the remaining time of the caller to set the timeout of a call, so
	// that a reply sent at the last moment can still arrive.
	callGrace = 50 * time.Millisecond
	// slowResponseTime is the time without a response after which the connection of a call counts
	// as unresponsive. Responses usually take milliseconds.
	slowResponseTime = 100 * time.Millisecond
)

// Nodes is the pool of connections to other nodes, with the calls in progress on them.
type Nodes struct {
	sink    EventSink
	headers Headers
	// requests bounds the copies of requests in calls, which exist until the other node has read
	// them.
	requests *membudget.Budget
	conns    *nodeConns

	mu    sync.Mutex
	calls map[forward.CallID]*nodeCall
	// toConnect holds the addresses that still need a connection. connecting is set while a
	// goroutine opens them.
	toConnect  []string
	connecting bool
	// pendingNotices holds the notices to be sent, by address. An address has an entry as long
	// as a goroutine sends notices to it.
	pendingNotices map[string]forward.SendNotices
}

// nodeCall is a call in progress.
type nodeCall struct {
	cancel context.CancelFunc
	// conn, stream and sentAt are unset until the call is sent.
	conn   *nodeConn
	stream nodepb.Node_RunShardsClient
	sentAt time.Time
	// answered is set once the other node has replied.
	answered bool
}

// unanswered reports whether the call has waited too long for its first reply.
func (c *nodeCall) unanswered() bool {
	return c.conn != nil && !c.answered && time.Since(c.sentAt) >= slowResponseTime
}

// NewNodes returns an empty pool of connections. The requests in calls in progress take at most
// callBytes together.
func NewNodes(sink EventSink, headers Headers, callBytes int64) *Nodes {
	return &Nodes{
		requests: membudget.New(callBytes),
		sink:     sink, headers: headers, calls: make(map[forward.CallID]*nodeCall),
		conns:          newNodeConns(func(address string) { sink.Post(forward.NodeConnReplaced{Address: address}) }),
		pendingNotices: make(map[string]forward.SendNotices),
	}
}

// Close closes all connections. It does not wait for that.
func (n *Nodes) Close() {
	n.conns.retain(func(string) bool { return false })
}

// call starts a call that asks a node to run a range of shards.
func (n *Nodes) call(a forward.CallPeer) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Remaining+callGrace)
	c := &nodeCall{cancel: cancel}
	n.mu.Lock()
	n.calls[a.Call] = c
	n.mu.Unlock()
	size := callBytes(a.Message)
	if !n.requests.Reserve(size) {
		cancel()
		n.endFull(a.Call)
		return
	}
	go func() {
		defer cancel()
		defer n.requests.Release(size)
		lost := n.runCall(ctx, c, a)
		n.mu.Lock()
		_, active := n.calls[a.Call]
		delete(n.calls, a.Call)
		n.mu.Unlock()
		if active && lost != nil {
			n.sink.Post(*lost)
		}
	}()
}

// endFull ends a call that had no room on this node or on the other one.
func (n *Nodes) endFull(id forward.CallID) {
	n.mu.Lock()
	_, active := n.calls[id]
	delete(n.calls, id)
	n.mu.Unlock()
	if active {
		n.sink.Post(forward.CallReplied{Call: id, Last: true, Reason: api.ReasonPeerFull})
	}
}

// callBytes returns the memory of a request in a call.
func callBytes(m *forward.Message) int64 {
	wire, ok := m.Wire.(*wireRequest)
	if !ok {
		return 0 // a ping
	}
	return int64(len(wire.head) + len(wire.body))
}

// runCall carries out one call. It returns how the call was lost, or nil after the last
// reply.
func (n *Nodes) runCall(ctx context.Context, c *nodeCall, a forward.CallPeer) *forward.CallLost {
	conn, err := n.conns.get(a.Address)
	if err != nil {
		return &forward.CallLost{Call: a.Call, Unsent: true, Error: err.Error()}
	}
	conn.ranges.Add(1)
	defer conn.ranges.Add(-1)
	stream, err := nodepb.NewNodeClient(conn).RunShards(ctx)
	if err != nil {
		return &forward.CallLost{Call: a.Call, Unsent: true, Error: err.Error()}
	}
	if !n.markSent(a.Call, c, conn, stream) {
		return nil
	}
	if err := stream.Send(n.shardsRequest(a)); err != nil && !errors.Is(err, io.EOF) { // Recv returns the reason for io.EOF
		return &forward.CallLost{Call: a.Call, Error: err.Error()}
	}
	for first := true; ; first = false {
		reply, err := stream.Recv()
		n.noteReply(c, err)
		switch {
		case first && status.Code(err) == codes.ResourceExhausted:
			n.endFull(a.Call)
			return nil
		case errors.Is(err, io.EOF):
			return &forward.CallLost{Call: a.Call, Error: "stream ended before the last reply"}
		case err != nil:
			return &forward.CallLost{Call: a.Call, Error: err.Error()}
		case first && !reply.GetLast():
			n.sink.Post(forward.CallAccepted{Call: a.Call})
			continue
		}
		n.sink.Post(callRepliedEvent(a.Call, reply))
		if reply.GetLast() {
			return nil
		}
	}
}

// markSent records the stream on which a call is about to be sent. It returns false if the
// call was given up before.
func (n *Nodes) markSent(id forward.CallID, c *nodeCall, conn *nodeConn, stream nodepb.Node_RunShardsClient) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.calls[id] != c {
		return false
	}
	c.conn, c.stream, c.sentAt = conn, stream, time.Now()
	return true
}

// noteReply records the result of waiting for a reply to a call. A node accepts a call before it
// runs it, so the first reply shows whether the connection responds.
func (n *Nodes) noteReply(c *nodeCall, err error) {
	n.mu.Lock()
	first := !c.answered
	c.answered = c.answered || err == nil
	n.mu.Unlock()
	if first {
		n.noteResponse(c.conn, c.sentAt, err)
	}
}

// noteResponse reports the connection of a call as unresponsive if the call timed out or its
// response took too long.
func (n *Nodes) noteResponse(conn *nodeConn, sentAt time.Time, err error) {
	if status.Code(err) == codes.DeadlineExceeded || err == nil && time.Since(sentAt) >= slowResponseTime {
		n.conns.unresponsive(conn)
	}
}

// withdraw gives up a call that has not been sent yet. If it has been sent, withdraw
// reports that and leaves the call running.
func (n *Nodes) withdraw(id forward.CallID) {
	n.mu.Lock()
	c := n.calls[id]
	sent := c != nil && c.stream != nil
	if !sent {
		delete(n.calls, id)
	}
	n.mu.Unlock()
	switch {
	case c == nil: // the call has ended, which is reported separately
	case sent:
		n.sink.Post(forward.CallUnanswered{Call: id})
	default:
		c.cancel()
		n.sink.Post(forward.CallLost{Call: id, Unsent: true, Error: "not sent in time"})
	}
}

// prepare opens connections to the given addresses, one after the other, and closes all
// others.
func (n *Nodes) prepare(addresses []string) {
	n.conns.retain(func(address string) bool { return slices.Contains(addresses, address) })
	n.mu.Lock()
	defer n.mu.Unlock()
	n.toConnect = addresses
	if !n.connecting {
		n.connecting = true
		go n.connectPending()
	}
}

// connectPending opens the outstanding connections, with pauses that leave the CPU to
// requests.
func (n *Nodes) connectPending() {
	for {
		n.mu.Lock()
		if len(n.toConnect) == 0 {
			n.connecting = false
			n.mu.Unlock()
			return
		}
		address := n.toConnect[0]
		n.toConnect = n.toConnect[1:]
		n.mu.Unlock()
		if n.conns.exists(address) {
			continue
		}
		if c, err := n.conns.get(address); err == nil { // otherwise the next call reports the error
			c.Connect()
		}
		time.Sleep(connectInterval)
	}
}

// cancel cancels a call. Its loss is not reported.
func (n *Nodes) cancel(id forward.CallID) {
	n.mu.Lock()
	c := n.calls[id]
	delete(n.calls, id)
	unanswered := c != nil && c.unanswered()
	n.mu.Unlock()
	if unanswered {
		n.conns.unresponsive(c.conn)
	}
	if c != nil {
		c.cancel()
	}
}

// allowExtraAttempts tells a node that no other node will be asked to run its range, so that
// it may make more than one attempt for each shard.
func (n *Nodes) allowExtraAttempts(id forward.CallID) {
	n.mu.Lock()
	c := n.calls[id]
	n.mu.Unlock()
	if c != nil && c.stream != nil {
		// If the call has ended, the goroutine that receives its replies reports it.
		_ = c.stream.Send(&nodepb.ShardsRequest{})
	}
}

// shardsRequest converts a call to its wire form. The header names the account, so that a node
// which does not know accounts passes it on.
func (n *Nodes) shardsRequest(a forward.CallPeer) *nodepb.ShardsRequest {
	wire, ok := a.Message.Wire.(*wireRequest)
	if !ok {
		// A ping carries no request.
		return &nodepb.ShardsRequest{Shards: shardNames(a.Subset.Shards), LeftUs: a.Remaining.Microseconds()}
	}
	return &nodepb.ShardsRequest{
		Host: a.Message.Host, Path: a.Message.Path, CallerRequest: a.Message.CallerRequest,
		Fingerprint: uint64(a.Message.Fingerprint), Method: wire.method, Head: wire.identifiedHead(a.Message, n.headers), Body: wire.body,
		Shards: shardNames(a.Subset.Shards), MaxAttempts: uint32(a.Subset.MaxAttempts), Used: uint32(a.Subset.PriorAttempts),
		LeftUs: a.Remaining.Microseconds(), TargetUs: a.Target.Microseconds(),
		Account: a.Message.Account, AccountPriority: int32(a.Message.AccountPriority),
		Regions: regionNames(a.Subset.HomeRegions), Merge: mergeRuleMessage(a.Subset.Merge),
	}
}

// mergeRuleMessage converts a rule to its wire form.
func mergeRuleMessage(m routing.Merge) *nodepb.MergeRule {
	if !m.Known() {
		return nil
	}
	return &nodepb.MergeRule{RecordBytes: int64(m.RecordBytes), Records: int64(m.Records)}
}

// mergeRuleFrom converts the rule in a message, which may be absent.
func mergeRuleFrom(m *nodepb.MergeRule) routing.Merge {
	return routing.Merge{RecordBytes: int(m.GetRecordBytes()), Records: int(m.GetRecords())}
}

// shardNames converts service names to their wire form.
func shardNames(services []api.ServiceName) []string {
	out := make([]string, len(services))
	for i, s := range services {
		out[i] = string(s)
	}
	return out
}

// regionNames converts regions to their wire form.
func regionNames(regions []api.Region) []string {
	if len(regions) == 0 {
		return nil
	}
	out := make([]string, len(regions))
	for i, r := range regions {
		out[i] = string(r)
	}
	return out
}

// callRepliedEvent converts a reply to a call to an event.
func callRepliedEvent(id forward.CallID, r *nodepb.ShardsReply) forward.CallReplied {
	return forward.CallReplied{
		Call: id, Last: r.GetLast(), Reason: api.Reason(r.GetReason()),
		Merged: forward.Merged{
			Proofs: r.GetProofs(), Body: r.GetRecords(), MayHaveRun: r.GetRan(),
			HalfAnsweredAfter: time.Duration(r.GetHalfUs()) * time.Microsecond,
			Rule:              mergeRuleFrom(r.GetMerge()),
		},
	}
}
