package relay

import (
	"context"
	"math"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/core/ratelimit"
	"github.com/baobabsail/baobabsail/wire/nodepb"
)

// permitTimeout bounds a request for permits, including the opening of a connection: requests
// of callers wait for the response.
const permitTimeout = 100 * time.Millisecond

// requestPermits asks a node for permits and reports its response.
func (n *Nodes) requestPermits(a forward.RequestPermits) {
	go func() {
		grant, err := n.askForPermits(a)
		if err != nil {
			n.sink.Post(forward.PermitsFailed{Node: a.Node, Replica: a.Replica, Error: err.Error()})
			return
		}
		n.sink.Post(forward.PermitsGranted{Grant: grant})
	}()
}

func (n *Nodes) askForPermits(a forward.RequestPermits) (ratelimit.Grant, error) {
	conn, err := n.conn(a.Address)
	if err != nil {
		return ratelimit.Grant{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
	defer cancel()
	reply, err := nodepb.NewNodeClient(conn).RequestPermits(ctx, &nodepb.PermitRequest{
		Replica: string(a.Replica), RateLimit: rateLimitToProto(a.Statement), Wanted: uint32(a.Wanted),
		ColdRate: a.ColdPerSecond,
	})
	if err != nil {
		return ratelimit.Grant{}, err
	}
	statement, err := rateLimitFromProto(reply.GetRateLimit())
	if err != nil {
		return ratelimit.Grant{}, err
	}
	return ratelimit.Grant{
		Replica: a.Replica, Statement: statement, Permits: min(int(reply.GetPermits()), a.Wanted),
		Cold: reply.GetCold(), RetryAfter: time.Duration(reply.GetRetryAfterUs()) * time.Microsecond,
	}, nil
}

// RequestPermits lets the engine grant permits to another node.
func (s *NodeServer) RequestPermits(ctx context.Context, m *nodepb.PermitRequest) (*nodepb.PermitGrant, error) {
	statement, err := rateLimitFromProto(m.GetRateLimit())
	if err != nil {
		return nil, err
	}
	cold := m.GetColdRate()
	if math.IsNaN(cold) || math.IsInf(cold, 0) || cold < 0 {
		return nil, status.Errorf(codes.InvalidArgument, "invalid cold limit %v", m)
	}
	id, grants := s.loop.grants.register()
	s.loop.Post(forward.PermitsRequested{
		Call: forward.CallID(id),
		Request: ratelimit.Request{
			Replica: api.ReplicaName(m.GetReplica()), Statement: statement, Wanted: int(m.GetWanted()), ColdPerSecond: cold,
		},
	})
	select {
	case g := <-grants:
		return &nodepb.PermitGrant{
			RateLimit: rateLimitToProto(g.Statement), Permits: uint32(g.Permits), RetryAfterUs: g.RetryAfter.Microseconds(), Cold: g.Cold,
		}, nil
	case <-ctx.Done():
		s.loop.grants.unregister(id)
		return nil, ctx.Err()
	}
}

func rateLimitToProto(s ratelimit.Statement) *nodepb.RateLimit {
	return &nodepb.RateLimit{Limited: s.Limited, PerSecond: s.PerSecond, AgeUs: s.Age.Microseconds()}
}

// rateLimitFromProto converts a statement of another node. It returns an error if the limit is
// not a finite number of at least 0, or the age is negative.
func rateLimitFromProto(m *nodepb.RateLimit) (ratelimit.Statement, error) {
	rate := m.GetPerSecond()
	if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 || m.GetAgeUs() < 0 {
		return ratelimit.Statement{}, status.Errorf(codes.InvalidArgument, "invalid rate limit %v", m)
	}
	return ratelimit.Statement{Limited: m.GetLimited(), PerSecond: rate, Age: time.Duration(m.GetAgeUs()) * time.Microsecond}, nil
}
