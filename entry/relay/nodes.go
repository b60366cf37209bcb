package relay

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/entry/internal/nodeconn"
	"github.com/baobabsail/baobabsail/wire/nodepb"
)

const (
	// nodeBuffer is the size of the read and the write buffer of a connection
	// between nodes, in bytes; a call and its replies are smaller.
	nodeBuffer = 4 << 10
	// nodeConnectTimeout bounds the opening of a connection to a node.
	nodeConnectTimeout = 500 * time.Millisecond
	// nodeBackoffLeast and nodeBackoffMost bound the time between two attempts to
	// open a connection.
	nodeBackoffLeast = 100 * time.Millisecond
	nodeBackoffMost  = time.Second
	// preparePause is the time between two connections that are opened before they
	// are needed.
	preparePause = 20 * time.Millisecond
	// callSlack is added to the caller's time left as the bound of a call: a reply
	// of the last moment may still arrive.
	callSlack = 50 * time.Millisecond
)

// Nodes keeps the connections to other nodes and the calls on them.
type Nodes struct {
	poster Poster

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn // by address
	calls map[forward.CallID]*nodeCall
	// wanted are the addresses to which connections are still to be opened, which
	// preparing says is being done.
	wanted    []string
	preparing bool
	// untold holds what nodes are to be told, by address; there is an entry while one is
	// being told.
	untold map[string]forward.TellNodes
}

// nodeCall is a call on its way.
type nodeCall struct {
	cancel context.CancelFunc
	stream nodepb.Node_RunShardsClient // nil until the call was sent
}

// NewNodes returns an empty set of connections.
func NewNodes(poster Poster) *Nodes {
	return &Nodes{
		poster: poster, conns: make(map[string]*grpc.ClientConn), calls: make(map[forward.CallID]*nodeCall),
		untold: make(map[string]forward.TellNodes),
	}
}

// Close ends all connections.
func (n *Nodes) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, c := range n.conns {
		_ = c.Close() // it has no calls that matter
		delete(n.conns, address)
	}
}

// call asks a node to run a range of shards.
func (n *Nodes) call(a forward.CallPeer) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Left+callSlack)
	c := &nodeCall{cancel: cancel}
	n.mu.Lock()
	n.calls[a.Call] = c
	n.mu.Unlock()
	go func() {
		defer cancel()
		lost := n.run(ctx, c, a)
		n.mu.Lock()
		_, wanted := n.calls[a.Call]
		delete(n.calls, a.Call)
		n.mu.Unlock()
		if wanted && lost != nil {
			n.poster.Post(*lost)
		}
	}()
}

// run carries out one call and returns its loss, or nil after the last reply.
func (n *Nodes) run(ctx context.Context, c *nodeCall, a forward.CallPeer) *forward.CallLost {
	conn, err := n.conn(a.Address)
	if err != nil {
		return &forward.CallLost{Call: a.Call, Unsent: true, Error: err.Error()}
	}
	stream, err := nodepb.NewNodeClient(conn).RunShards(ctx)
	if err != nil {
		return &forward.CallLost{Call: a.Call, Unsent: true, Error: err.Error()}
	}
	if !n.sending(a.Call, c, stream) {
		return nil
	}
	if err := stream.Send(shardsRequest(a)); err != nil {
		return &forward.CallLost{Call: a.Call, Error: err.Error()}
	}
	for first := true; ; first = false {
		reply, err := stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return &forward.CallLost{Call: a.Call, Error: "ended without a last reply"}
		case err != nil:
			return &forward.CallLost{Call: a.Call, Error: err.Error()}
		case first && !reply.GetLast():
			n.poster.Post(forward.CallAccepted{Call: a.Call})
			continue
		}
		n.poster.Post(callReplied(a.Call, reply))
		if reply.GetLast() {
			return nil
		}
	}
}

// sending marks a call as sent; false if it was given up before.
func (n *Nodes) sending(id forward.CallID, c *nodeCall, stream nodepb.Node_RunShardsClient) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.calls[id] != c {
		return false
	}
	c.stream = stream
	return true
}

// withdraw gives up a call that has not been sent yet, and reports whether it had.
func (n *Nodes) withdraw(id forward.CallID) {
	n.mu.Lock()
	c := n.calls[id]
	sent := c != nil && c.stream != nil
	if !sent {
		delete(n.calls, id)
	}
	n.mu.Unlock()
	switch {
	case c == nil: // it has ended, which is reported
	case sent:
		n.poster.Post(forward.CallUnheard{Call: id})
	default:
		c.cancel()
		n.poster.Post(forward.CallLost{Call: id, Unsent: true, Error: "not sent in time"})
	}
}

// prepare opens connections to the given addresses, one after the other, and
// closes the others.
func (n *Nodes) prepare(addresses []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, c := range n.conns {
		if !slices.Contains(addresses, address) {
			_ = c.Close() // its calls end, which reports them
			delete(n.conns, address)
		}
	}
	n.wanted = addresses
	if !n.preparing {
		n.preparing = true
		go n.connectWanted()
	}
}

// connectWanted opens the wanted connections, at a pace that leaves the processor
// to requests.
func (n *Nodes) connectWanted() {
	for {
		n.mu.Lock()
		if len(n.wanted) == 0 {
			n.preparing = false
			n.mu.Unlock()
			return
		}
		address := n.wanted[0]
		n.wanted = n.wanted[1:]
		known := n.conns[address] != nil
		n.mu.Unlock()
		if known {
			continue
		}
		if c, err := n.conn(address); err == nil { // else a call meets the error and reports it
			c.Connect()
		}
		time.Sleep(preparePause)
	}
}

// cancel gives up a call.
func (n *Nodes) cancel(id forward.CallID) {
	n.mu.Lock()
	c := n.calls[id]
	delete(n.calls, id)
	n.mu.Unlock()
	if c != nil {
		c.cancel()
	}
}

// clear tells a node that no other one will be asked for its range.
func (n *Nodes) clear(id forward.CallID) {
	n.mu.Lock()
	c := n.calls[id]
	n.mu.Unlock()
	if c != nil && c.stream != nil {
		// A call that has ended is reported by its receiving side.
		_ = c.stream.Send(&nodepb.ShardsRequest{})
	}
}

// conn returns the connection to an address.
func (n *Nodes) conn(address string) (*grpc.ClientConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.conns[address]; c != nil {
		return c, nil
	}
	c, err := nodeconn.New(address, nodeconn.Pace{
		Backoff: backoff.Config{BaseDelay: nodeBackoffLeast, Multiplier: 2, Jitter: 0.2, MaxDelay: nodeBackoffMost},
		Timeout: nodeConnectTimeout,
	})
	if err != nil {
		return nil, err
	}
	n.conns[address] = c
	return c, nil
}

// shardsRequest puts a call into its wire form.
func shardsRequest(a forward.CallPeer) *nodepb.ShardsRequest {
	wire, ok := a.Message.Wire.(*wireRequest)
	if !ok {
		// A ping names no request.
		return &nodepb.ShardsRequest{Shards: shardNames(a.Subset.Shards), LeftUs: a.Left.Microseconds()}
	}
	return &nodepb.ShardsRequest{
		Host: a.Message.Host, Path: a.Message.Path, CallerRequest: a.Message.CallerRequest,
		Fingerprint: uint64(a.Message.Fingerprint), Method: wire.method, Head: wire.head, Body: wire.body,
		Shards: shardNames(a.Subset.Shards), MaxAttempts: uint32(a.Subset.MaxAttempts), Used: uint32(a.Subset.Used),
		LeftUs: a.Left.Microseconds(), TargetUs: a.Target.Microseconds(),
	}
}

// shardNames returns the wire form of services.
func shardNames(services []api.ServiceName) []string {
	out := make([]string, len(services))
	for i, s := range services {
		out[i] = string(s)
	}
	return out
}

// callReplied is the event of a reply to a call.
func callReplied(id forward.CallID, r *nodepb.ShardsReply) forward.CallReplied {
	return forward.CallReplied{
		Call: id, Last: r.GetLast(), Reason: api.Reason(r.GetReason()),
		Merged: forward.Merged{
			Proofs: r.GetProofs(), Body: r.GetRecords(), Ran: r.GetRan(),
			Half: time.Duration(r.GetHalfUs()) * time.Microsecond,
		},
	}
}
