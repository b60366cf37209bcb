package changes

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/baobabsail/baobabsail/core/changefeed"
	"github.com/baobabsail/baobabsail/wire/nodepb"
)

// paceLeast is the shortest pace that a follower may ask for.
const paceLeast = 20 * time.Millisecond

type server struct {
	nodepb.UnimplementedChangesServer
	feed *Feed
}

// Register makes a gRPC server serve a feed.
func Register(s grpc.ServiceRegistrar, f *Feed) { nodepb.RegisterChangesServer(s, &server{feed: f}) }

// Follow implements nodepb.ChangesServer.
func (s *server) Follow(q *nodepb.FollowRequest, stream nodepb.Changes_FollowServer) error {
	position := changefeed.Position{Era: q.GetEra(), Revision: q.GetRevision()}
	pace := time.NewTicker(max(time.Duration(q.GetPaceUs())*time.Microsecond, paceLeast))
	defer pace.Stop()
	for {
		m, changed := s.feed.since(position)
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
		case <-pace.C:
		case <-s.feed.closed:
			return status.Error(codes.Unavailable, "this node shuts down")
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}
