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
			if err := stream.Send(toWire(m.Batch, m.Health)); err != nil {
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

func toWire(b changefeed.Batch, h changefeed.Health) *nodepb.ChangeBatch {
	out := &nodepb.ChangeBatch{
		Era: b.To.Era, Revision: b.To.Revision, Complete: b.Complete, WaitedUs: b.Waited.Microseconds(),
		AgeUs: h.Age.Microseconds(), Failing: h.Failing, Direct: h.Direct,
	}
	for _, c := range b.Changes {
		out.Changes = append(out.Changes, &nodepb.StoreChange{
			Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted,
		})
	}
	return out
}

func fromWire(m *nodepb.ChangeBatch) (changefeed.Batch, changefeed.Health) {
	b := changefeed.Batch{
		To:       changefeed.Position{Era: m.GetEra(), Revision: m.GetRevision()},
		Complete: m.GetComplete(), Waited: time.Duration(m.GetWaitedUs()) * time.Microsecond,
	}
	for _, c := range m.GetChanges() {
		b.Changes = append(b.Changes, changefeed.Change{
			Key: c.GetKey(), Value: c.GetValue(), Revision: c.GetRevision(), Deleted: c.GetDeleted(),
		})
	}
	h := changefeed.Health{
		Age: time.Duration(m.GetAgeUs()) * time.Microsecond, Failing: m.GetFailing(), Direct: m.GetDirect(),
	}
	return b, h
}
