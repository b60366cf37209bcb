package nodeconn

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
)

const (
	// maxHeaderListBytes bounds the header of a call.
	maxHeaderListBytes = 64 << 10
	// handshakeTimeout bounds the time until a new connection has completed its handshake.
	handshakeTimeout = 5 * time.Second
)

// CallLimits bounds the calls of other nodes that are in progress at the same time, over all
// connections.
type CallLimits struct {
	// Max is the number of calls.
	Max int
	// RequestMethods are the methods that run requests of callers. They leave a quarter of the
	// calls to the short ones by which nodes coordinate.
	RequestMethods []string
}

// ServerOptions returns options that bound what the calls of other nodes hold. onRefused is called
// for each call beyond the limits.
func ServerOptions(limits CallLimits, onRefused func()) []grpc.ServerOption {
	l := &callLimiter{limits: limits, onRefused: onRefused}
	return []grpc.ServerOption{
		grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.InTapHandle(l.admit),
	}
}

// callLimiter counts the calls in progress.
type callLimiter struct {
	limits    CallLimits
	calls     atomic.Int64
	onRefused func()
}

// admit is called before anything of a call is kept, and refuses it beyond the limit.
func (l *callLimiter) admit(ctx context.Context, call *tap.Info) (context.Context, error) {
	limit := l.limits.Max
	if slices.Contains(l.limits.RequestMethods, call.FullMethodName) {
		limit = limit / 4 * 3
	}
	if l.calls.Add(1) > int64(limit) {
		l.calls.Add(-1)
		l.onRefused()
		return nil, status.Error(codes.ResourceExhausted, "too many calls")
	}
	context.AfterFunc(ctx, func() { l.calls.Add(-1) }) // the context ends with the call
	return ctx, nil
}
