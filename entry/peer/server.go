// Package peer implements the gRPC client and server between entry nodes. They
// exchange gossip, and run query parts and work orders for each other.
package peer

import (
	"context"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/entry/internal/nodeconn"
	"github.com/baobabsail/baobabsail/entry/telemetry"
	"github.com/baobabsail/baobabsail/wire/convert"
	"github.com/baobabsail/baobabsail/wire/peerpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// DefaultMaxMessageBytes bounds a message in either direction. The largest
	// messages are a whole configuration document, which the store limits to
	// 1 MB, and the rows of a query part.
	DefaultMaxMessageBytes = 8 << 20
	// maxStreams bounds the concurrent calls on one connection from a peer.
	maxStreams = 1000
)

// Values of the detail of counters of kind count.Peer.
const (
	detailMalformed    api.Reason = "malformed"
	detailInboxFull    api.Reason = "inbox_full"
	detailQueueFull    api.Reason = "queue_full"
	detailUndelivered  api.Reason = "undelivered"
	detailTooManyCalls api.Reason = "too_many" // of kind count.PeerCall
	detailPartFailed   api.Reason = "part_failed"
	detailWorkFailed   api.Reason = "work_failed"
)

// Receiver handles the requests of peers. *driver.Driver implements it.
type Receiver interface {
	// TryReport delivers an event and reports whether the inbox had room for it.
	TryReport(event.Event) bool
	Search(ctx context.Context, caller api.CallerID, search api.Search, deadline time.Time) api.SearchAnswer
	ForwardedWork(ctx context.Context, caller api.CallerID, work api.Work, deadline time.Time) api.WorkAnswer
}

type server struct {
	peerpb.UnimplementedPeerServer
	receiver Receiver
	counts   *telemetry.Counts
}

// NewServer returns a gRPC server for the peers' listener. It serves maxCalls calls at the same time,
// over all connections.
func NewServer(receiver Receiver, counts *telemetry.Counts, maxMessageBytes, maxCalls int) *grpc.Server {
	calls := nodeconn.CallLimits{
		Max: maxCalls, RequestMethods: []string{peerpb.Peer_RunPart_FullMethodName, peerpb.Peer_RunWork_FullMethodName},
	}
	options := nodeconn.ServerOptions(calls, func() { counts.Inc(count.PeerCall, detailTooManyCalls) })
	s := grpc.NewServer(append(options,
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
	)...)
	peerpb.RegisterPeerServer(s, &server{receiver: receiver, counts: counts})
	return s
}

// Exchange implements peerpb.PeerServer. If the node's inbox is full, the message
// is rejected with an error, so that the sender knows; gossip is sent repeatedly,
// so a rejected message need not be kept.
func (s *server) Exchange(_ context.Context, m *peerpb.Message) (*peerpb.Ack, error) {
	message, err := convert.MessageFromProto(m)
	if err != nil {
		s.counts.Inc(count.Peer, detailMalformed)
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if !s.receiver.TryReport(event.PeerReceived{Message: message}) {
		s.counts.Inc(count.Peer, detailInboxFull)
		return nil, status.Error(codes.ResourceExhausted, "inbox is full")
	}
	return &peerpb.Ack{}, nil
}

// RunPart implements peerpb.PeerServer.
func (s *server) RunPart(ctx context.Context, m *peerpb.PartRequest) (*peerpb.PartReply, error) {
	part, err := convert.PartRequestFromProto(m, time.Now())
	if err != nil {
		s.counts.Inc(count.Peer, detailMalformed)
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	answer := s.receiver.Search(ctx, part.Caller, part.Search, part.Deadline)
	return convert.PartReplyToProto(answer), nil
}

// RunWork implements peerpb.PeerServer. The work order runs to completion even
// if the requesting node disconnects, so that its outcome is recorded.
func (s *server) RunWork(ctx context.Context, m *peerpb.WorkRequest) (*peerpb.WorkReply, error) {
	work, err := convert.ForwardedWorkFromProto(m, time.Now())
	if err != nil {
		s.counts.Inc(count.Peer, detailMalformed)
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	answer := s.receiver.ForwardedWork(context.WithoutCancel(ctx), work.Caller, work.Work, work.Deadline)
	return convert.WorkAnswerToProto(answer), nil
}
