package relay

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/entry/internal/membudget"
	"github.com/baobabsail/baobabsail/entry/internal/nodeconn"
	"github.com/baobabsail/baobabsail/entry/telemetry"
	"github.com/baobabsail/baobabsail/wire/convert"
	"github.com/baobabsail/baobabsail/wire/nodepb"
	"github.com/baobabsail/baobabsail/wire/peerpb"
)

// NodeServer serves calls from other nodes: it runs ranges of shards and receives notices.
type NodeServer struct {
	nodepb.UnimplementedNodeServer
	loop    *Loop
	headers Headers
	counts  *telemetry.Counts
	// requests bounds the memory of the requests whose ranges of shards are being run.
	requests *membudget.Budget
}

// maxNodeStreams bounds the calls on one connection at the same time.
const maxNodeStreams = 250

// NodeServerLimits bounds what the calls of other nodes hold together.
type NodeServerLimits struct {
	// Calls is the number of calls at the same time.
	Calls int
	// RequestBytes is the memory of the requests in them.
	RequestBytes int64
}

// Details of counters of kind count.PeerCall.
const (
	detailTooManyCalls api.Reason = "too_many"
	detailNoMemory     api.Reason = "no_memory"
)

// NewNodeServer returns a gRPC server for calls from other nodes.
func NewNodeServer(loop *Loop, headers Headers, limits NodeServerLimits, counts *telemetry.Counts) *grpc.Server {
	calls := nodeconn.CallLimits{Max: limits.Calls, RequestMethods: []string{nodepb.Node_RunShards_FullMethodName}}
	options := nodeconn.ServerOptions(calls, func() { counts.Inc(count.PeerCall, detailTooManyCalls) })
	options = append(options, grpc.MaxConcurrentStreams(maxNodeStreams),
		grpc.ReadBufferSize(nodeBufferSize), grpc.WriteBufferSize(nodeBufferSize))
	server := grpc.NewServer(options...)
	nodepb.RegisterNodeServer(server, &NodeServer{
		loop: loop, headers: headers, counts: counts, requests: membudget.New(limits.RequestBytes),
	})
	return server
}

// RunShards runs a range of shards and streams the answers.
func (s *NodeServer) RunShards(stream nodepb.Node_RunShardsServer) error {
	q, err := stream.Recv()
	if err != nil {
		return err
	}
	size := int64(len(q.GetHead()) + len(q.GetBody()))
	if !s.requests.Reserve(size) {
		// The other node asks another one, whatever its version.
		s.counts.Inc(count.PeerCall, detailNoMemory)
		return status.Error(codes.ResourceExhausted, "no memory for the request")
	}
	defer s.requests.Release(size)
	if err := stream.Send(&nodepb.ShardsReply{}); err != nil {
		return err
	}
	id, answers := s.loop.register()
	s.loop.Post(arrivedEvent(s.headers, id, q))
	go func() {
		if _, err := stream.Recv(); err == nil { // an error means that the call has ended
			s.loop.Post(forward.ExtraAttemptsAllowed{Request: id})
		}
	}()
	for {
		select {
		case a := <-answers:
			if err := stream.Send(shardsReply(&a)); err != nil {
				s.loop.abandon(id)
				return err
			}
			if !a.More {
				return nil
			}
		case <-stream.Context().Done():
			s.loop.abandon(id)
			return stream.Context().Err()
		}
	}
}

// Notify passes the notices of another node to the engine.
func (s *NodeServer) Notify(_ context.Context, m *nodepb.Notices) (*peerpb.Ack, error) {
	notices, err := convert.NoticesFromProto(m.GetNotices())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	s.loop.Post(forward.NoticesRead{Notices: notices, PassOn: m.GetPassOn()})
	return &peerpb.Ack{}, nil
}

// arrivedEvent converts a call from another node to an event. If the call names no account, what
// the caller sent about it is kept apart, as for a request that arrives from the caller itself.
func arrivedEvent(headers Headers, id api.RequestID, q *nodepb.ShardsRequest) forward.Arrived {
	wire := &wireRequest{method: q.GetMethod(), head: q.GetHead(), body: q.GetBody(), id: q.GetCallerRequest()}
	var credential []byte
	if q.GetAccount() == "" {
		wire.head, wire.identity, credential = splitIdentity(headers, q.GetHead())
	}
	return forward.Arrived{
		Request:       id,
		CallerTimeout: time.Duration(q.GetLeftUs()) * time.Microsecond,
		Target:        time.Duration(q.GetTargetUs()) * time.Microsecond,
		Subset: &forward.Subset{
			Shards: serviceNames(q.GetShards()), MaxAttempts: int(q.GetMaxAttempts()), PriorAttempts: int(q.GetUsed()),
			HomeRegions: regionsFrom(q.GetRegions()), Merge: mergeRuleFrom(q.GetMerge()),
		},
		Message: &forward.Message{
			Host: q.GetHost(), Path: q.GetPath(), CallerRequest: q.GetCallerRequest(),
			Fingerprint: api.Fingerprint(q.GetFingerprint()),
			Account:     q.GetAccount(), AccountPriority: int(q.GetAccountPriority()),
			Credential: credential,
			Wire:       wire,
		},
	}
}

// shardsReply converts an answer to its wire form.
func shardsReply(a *forward.Answer) *nodepb.ShardsReply {
	r := &nodepb.ShardsReply{Last: !a.More, Reason: string(a.Reason)}
	if a.Merged != nil {
		r.Proofs, r.Records, r.Ran = a.Merged.Proofs, a.Merged.Body, a.Merged.MayHaveRun
		r.HalfUs = a.Merged.HalfAnsweredAfter.Microseconds()
		if len(a.Merged.Proofs) > 0 {
			r.Merge = mergeRuleMessage(a.Merged.Rule)
		}
	}
	return r
}

// regionsFrom converts the region names in a call to regions.
func regionsFrom(names []string) []api.Region {
	if len(names) == 0 {
		return nil
	}
	out := make([]api.Region, len(names))
	for i, n := range names {
		out[i] = api.Region(n)
	}
	return out
}

// serviceNames converts the shard names in a call to service names.
func serviceNames(names []string) []api.ServiceName {
	out := make([]api.ServiceName, len(names))
	for i, n := range names {
		out[i] = api.ServiceName(n)
	}
	return out
}
