package relay

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/wire/convert"
	"github.com/baobabsail/baobabsail/wire/nodepb"
	"github.com/baobabsail/baobabsail/wire/peerpb"
)

// NodeServer runs ranges of shards for other nodes.
type NodeServer struct {
	nodepb.UnimplementedNodeServer
	loop *Loop
}

// NewNodeServer returns a gRPC server for calls of other nodes.
func NewNodeServer(loop *Loop) *grpc.Server {
	server := grpc.NewServer(grpc.ReadBufferSize(nodeBuffer), grpc.WriteBufferSize(nodeBuffer))
	nodepb.RegisterNodeServer(server, &NodeServer{loop: loop})
	return server
}

// RunShards runs a range of shards.
func (s *NodeServer) RunShards(stream nodepb.Node_RunShardsServer) error {
	q, err := stream.Recv()
	if err != nil {
		return err
	}
	if err := stream.Send(&nodepb.ShardsReply{}); err != nil {
		return err
	}
	id, answers := s.loop.begin()
	s.loop.Post(arrival(id, q))
	go func() {
		if _, err := stream.Recv(); err == nil { // else the call has ended
			s.loop.Post(forward.Cleared{Request: id})
		}
	}()
	for {
		select {
		case a := <-answers:
			if err := stream.Send(shardsReply(&a)); err != nil {
				s.loop.giveUp(id)
				return err
			}
			if !a.More {
				return nil
			}
		case <-stream.Context().Done():
			s.loop.giveUp(id)
			return stream.Context().Err()
		}
	}
}

// Notify takes over notices of another node.
func (s *NodeServer) Notify(_ context.Context, m *nodepb.Notices) (*peerpb.Ack, error) {
	notices, err := convert.NoticesFromProto(m.GetNotices())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	s.loop.Post(forward.NoticesRead{Notices: notices, PassOn: m.GetPassOn()})
	return &peerpb.Ack{}, nil
}

// arrival is the event of a call from another node.
func arrival(id api.RequestID, q *nodepb.ShardsRequest) forward.Arrived {
	return forward.Arrived{
		Request:  id,
		Patience: time.Duration(q.GetLeftUs()) * time.Microsecond,
		Target:   time.Duration(q.GetTargetUs()) * time.Microsecond,
		Subset: &forward.Subset{
			Shards: shardsOf(q.GetShards()), MaxAttempts: int(q.GetMaxAttempts()), Used: int(q.GetUsed()),
		},
		Message: &forward.Message{
			Host: q.GetHost(), Path: q.GetPath(), CallerRequest: q.GetCallerRequest(),
			Fingerprint: api.Fingerprint(q.GetFingerprint()),
			Wire:        &wireRequest{method: q.GetMethod(), head: q.GetHead(), body: q.GetBody(), id: q.GetCallerRequest()},
		},
	}
}

// shardsReply puts an answer into its wire form.
func shardsReply(a *forward.Answer) *nodepb.ShardsReply {
	r := &nodepb.ShardsReply{Last: !a.More, Reason: string(a.Reason)}
	if a.Merged != nil {
		r.Proofs, r.Records, r.Ran = a.Merged.Proofs, a.Merged.Body, a.Merged.Ran
		r.HalfUs = a.Merged.Half.Microseconds()
	}
	return r
}

// shardsOf returns the services that a call names.
func shardsOf(names []string) []api.ServiceName {
	out := make([]api.ServiceName, len(names))
	for i, n := range names {
		out[i] = api.ServiceName(n)
	}
	return out
}
