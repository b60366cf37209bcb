package relay

import (
	"context"
	"math"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/core/quota"
	"github.com/baobabsail/baobabsail/wire/nodepb"
)

// admissionTimeout bounds a request for admissions, including the opening of a connection. The
// engine passes over a node that takes longer than that.
const admissionTimeout = 100 * time.Millisecond

// admitRequests asks a node to admit requests of an account and reports its response.
func (n *Nodes) admitRequests(a forward.AdmitRequests) {
	go func() {
		grant, err := n.requestAdmissions(a)
		if err != nil {
			supported := status.Code(err) != codes.Unimplemented
			n.sink.Post(forward.AdmissionFailed{Ask: a.Ask, Supported: supported, Error: err.Error()})
			return
		}
		n.sink.Post(forward.AdmissionAnswered{Ask: a.Ask, Grant: grant})
	}()
}

// requestAdmissions sends the request for admissions to a node and returns its response.
func (n *Nodes) requestAdmissions(a forward.AdmitRequests) (quota.Grant, error) {
	conn, err := n.conns.get(a.Address)
	if err != nil {
		return quota.Grant{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), admissionTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := nodepb.NewNodeClient(conn).AdmitRequests(ctx, &nodepb.AdmissionRequest{
		Account: a.Account, Wanted: uint32(a.Wanted), Quota: quotaToProto(a.Quota),
	})
	n.noteResponse(conn, sentAt, err)
	if err != nil {
		return quota.Grant{}, err
	}
	known, err := quotaFromProto(reply.GetQuota())
	if err != nil {
		return quota.Grant{}, err
	}
	used := reply.GetUsed()
	if !(used >= 0) || math.IsInf(used, 1) {
		return quota.Grant{}, status.Errorf(codes.InvalidArgument, "invalid use of a quota %v", used)
	}
	return quota.Grant{
		Admitted: min(int(reply.GetAdmitted()), a.Wanted), RetryAfter: time.Duration(reply.GetRetryAfterUs()) * time.Microsecond,
		NotAllocator: reply.GetNotAllocator(), Reduced: reply.GetReduced(), Used: used, Quota: known,
	}, nil
}

// AdmitRequests lets the engine admit requests that reached another node.
func (s *NodeServer) AdmitRequests(ctx context.Context, m *nodepb.AdmissionRequest) (*nodepb.AdmissionGrant, error) {
	q, err := quotaFromProto(m.GetQuota())
	if err != nil {
		return nil, err
	}
	id, grants := s.loop.admissions.register()
	s.loop.Post(forward.AdmissionRequested{
		Call:    forward.CallID(id),
		Request: quota.Request{Account: m.GetAccount(), Wanted: int(m.GetWanted()), Quota: q},
	})
	select {
	case g := <-grants:
		return &nodepb.AdmissionGrant{
			Admitted: uint32(g.Admitted), RetryAfterUs: g.RetryAfter.Microseconds(), NotAllocator: g.NotAllocator,
			Reduced: g.Reduced, Used: g.Used, Quota: quotaToProto(g.Quota),
		}, nil
	case <-ctx.Done():
		s.loop.admissions.unregister(id)
		return nil, ctx.Err()
	}
}

// quotaToProto converts a quota to its wire form.
func quotaToProto(q quota.Quota) *nodepb.Quota {
	return &nodepb.Quota{Version: q.Version, PerSecond: q.PerSecond, Burst: q.Burst}
}

// quotaFromProto converts a quota of another node. It returns an error if the rate or the burst
// is not a finite number of at least 0.
func quotaFromProto(m *nodepb.Quota) (quota.Quota, error) {
	for _, v := range []float64{m.GetPerSecond(), m.GetBurst()} {
		if !(v >= 0) || math.IsInf(v, 1) {
			return quota.Quota{}, status.Errorf(codes.InvalidArgument, "invalid quota %v", m)
		}
	}
	return quota.Quota{Version: m.GetVersion(), PerSecond: m.GetPerSecond(), Burst: m.GetBurst()}, nil
}
