// Package peer carries messages between entry nodes over gRPC: gossip, and
// parts of queries that one node runs for another.
package peer

import (
	"context"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/entry/telemetry"
	"github.com/baobabsail/baobabsail/wire/convert"
	"github.com/baobabsail/baobabsail/wire/peerpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// DefaultMaxMessageBytes bounds a message in either direction. The largest
	// is a whole document, which the store limits to 1 MB, or the rows of a part.
	DefaultMaxMessageBytes = 8 << 20
	// maxStreams bounds the calls that one peer may have in progress here.
	maxStreams = 1000
)

// Details of counters of kind count.Peer.
const (
	detailMalformed   api.Reason = "malformed"
	detailInboxFull   api.Reason = "inbox_full"
	detailQueueFull   api.Reason = "queue_full"
	detailUndelivered api.Reason = "undelivered"
	detailPartFailed  api.Reason = "part_failed"
	detailWorkFailed  api.Reason = "work_failed"
)

// Receiver takes what peers send; a *driver.Driver does.
type Receiver interface {
	// TryReport delivers an event if there is room.
	TryReport(event.Event) bool
	Search(ctx context.Context, caller api.CallerID, search api.Search, deadline time.Time) api.SearchAnswer
	ForwardedWork(ctx context.Context, caller api.CallerID, work api.Work, deadline time.Time) api.WorkAnswer
}

type server struct {
	peerpb.UnimplementedPeerServer
	receiver Receiver
	counts   *telemetry.Counts
}

// NewServer returns a gRPC server for the peers' listener.
func NewServer(receiver Receiver, counts *telemetry.Counts, maxMessageBytes int) *grpc.Server {
	s := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
	)
	peerpb.RegisterPeerServer(s, &server{receiver: receiver, counts: counts})
	return s
}

// Exchange implements peerpb.PeerServer. A message that finds the node's inbox
// full is refused, so that the sender knows; gossip repeats itself.
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

// RunWork implements peerpb.PeerServer. The work order is followed to its end
// even if the asking node goes away, so that its outcome is recorded.
func (s *server) RunWork(ctx context.Context, m *peerpb.WorkRequest) (*peerpb.WorkReply, error) {
	work, err := convert.WorkFromProto(m, time.Now())
	if err != nil {
		s.counts.Inc(count.Peer, detailMalformed)
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	answer := s.receiver.ForwardedWork(context.WithoutCancel(ctx), work.Caller, work.Work, work.Deadline)
	return convert.WorkAnswerToProto(answer), nil
}
