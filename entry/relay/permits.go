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

const (
	// permitTimeout is how long requests of callers wait for the response to a request for
	// permits, including the opening of a connection.
	permitTimeout = slowResponseTime
	// permitCallTimeout bounds the request itself: what a slow node grants late still counts, and
	// shows that the node is not gone.
	permitCallTimeout = time.Second
)

// permitResponse is the response to a request for permits, or why there is none.
type permitResponse struct {
	grant      ratelimit.Grant
	failure    forward.PermitFailure
	refusedAgo time.Duration // with forward.PermitsRefused
	err        error
}

// requestPermits asks a node for permits and reports its response.
func (n *Nodes) requestPermits(a forward.RequestPermits) {
	conn, err := n.conns.get(a.Address)
	if err != nil {
		n.sink.Post(forward.PermitsFailed{Node: a.Node, Replica: a.Replica, Recheck: a.Recheck, Error: err.Error()})
		return
	}
	responses := make(chan permitResponse, 1)
	go func() { responses <- askForPermits(conn, a) }()
	go n.awaitPermits(conn, a, responses)
}

// awaitPermits reports the response to a request for permits, or that it is delayed and then the
// response.
func (n *Nodes) awaitPermits(conn *nodeConn, a forward.RequestPermits, responses <-chan permitResponse) {
	timer := time.NewTimer(permitTimeout)
	defer timer.Stop()
	select {
	case r := <-responses:
		n.reportPermits(a, r, false)
	case <-timer.C:
		n.conns.unresponsive(conn)
		if !a.Recheck {
			n.sink.Post(forward.PermitsDelayed{Node: a.Node, Replica: a.Replica})
		}
		n.reportPermits(a, <-responses, true)
	}
}

// reportPermits reports the response to a request for permits. late is set if it came after
// permitTimeout.
func (n *Nodes) reportPermits(a forward.RequestPermits, r permitResponse, late bool) {
	if r.err != nil {
		n.sink.Post(forward.PermitsFailed{
			Node: a.Node, Replica: a.Replica, Failure: r.failure, RefusedAgo: r.refusedAgo,
			Late: late, Recheck: a.Recheck, Error: r.err.Error(),
		})
		return
	}
	n.sink.Post(forward.PermitsGranted{Grant: r.grant, Node: a.Node, Late: late, Recheck: a.Recheck})
}

// askForPermits sends a request for permits and returns the response.
func askForPermits(conn *nodeConn, a forward.RequestPermits) permitResponse {
	ctx, cancel := context.WithTimeout(context.Background(), permitCallTimeout)
	defer cancel()
	grant, err := callRequestPermits(ctx, conn, a)
	if err == nil {
		return permitResponse{grant: grant}
	}
	return failedPermits(conn, err)
}

// failedPermits classifies the error of a request for permits. Between two attempts to connect, a
// call fails with the result of the last one, which may be some time ago.
func failedPermits(conn *nodeConn, err error) permitResponse {
	r := permitResponse{failure: forward.PermitsDeclined, err: err}
	switch status.Code(err) {
	case codes.Unavailable:
		r.failure = forward.PermitsUnanswered
		if at := conn.refusedAt.Load(); at != nil {
			r.failure, r.refusedAgo = forward.PermitsRefused, time.Since(*at)
		}
	case codes.DeadlineExceeded:
		r.failure = forward.PermitsUnanswered
	}
	return r
}

func callRequestPermits(ctx context.Context, conn *nodeConn, a forward.RequestPermits) (ratelimit.Grant, error) {
	reply, err := nodepb.NewNodeClient(conn).RequestPermits(ctx, &nodepb.PermitRequest{
		Replica: string(a.Replica), RateLimit: rateLimitToProto(a.Statement), Wanted: uint32(a.Wanted),
		ColdRate: a.ColdPerSecond, Node: a.Request.Node,
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
			Node: m.GetNode(), Replica: api.ReplicaName(m.GetReplica()), Statement: statement, Wanted: int(m.GetWanted()),
			ColdPerSecond: cold,
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
