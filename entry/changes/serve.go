package changes

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/baobabsail/baobabsail/core/changefeed"
	"github.com/baobabsail/baobabsail/wire/nodepb"
)

// minMessageInterval is the shortest message interval that a follower can request.
const minMessageInterval = 20 * time.Millisecond

type server struct {
	nodepb.UnimplementedChangesServer
	feed *Feed
}

// Register registers the Changes service for a feed with a gRPC server.
func Register(s grpc.ServiceRegistrar, f *Feed) { nodepb.RegisterChangesServer(s, &server{feed: f}) }

// Follow implements nodepb.ChangesServer. Once the feed is populated it sends a message on
// every update and also at the interval that the follower requests, so that the follower
// can detect a silent source.
func (s *server) Follow(q *nodepb.FollowRequest, stream nodepb.Changes_FollowServer) error {
	position := changefeed.Position{Era: q.GetEra(), Revision: q.GetRevision()}
	ticker := time.NewTicker(max(time.Duration(q.GetPaceUs())*time.Microsecond, minMessageInterval))
	defer ticker.Stop()
	for {
		m, changed := s.feed.messageSince(position)
		if m != nil {
			out, err := s.feed.toWire(m)
			if err != nil {
				return status.Error(codes.Internal, err.Error())
			}
			if err := stream.Send(out); err != nil {
				return err
			}
			if position.Before(m.To) {
				position = m.To
			}
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-s.feed.closed:
			return status.Error(codes.Unavailable, "this node shuts down")
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}
