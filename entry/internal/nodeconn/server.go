package nodeconn

import (
	"context"
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

// ServerOptions returns options that bound what the calls of other nodes hold: at most maxCalls at
// the same time, over all connections. onRefused is called for each call beyond these.
func ServerOptions(maxCalls int, onRefused func()) []grpc.ServerOption {
	l := &callLimiter{limit: int64(maxCalls), onRefused: onRefused}
	return []grpc.ServerOption{
		grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.InTapHandle(l.admit),
	}
}

// callLimiter counts the calls in progress.
type callLimiter struct {
	limit     int64
	calls     atomic.Int64
	onRefused func()
}

// admit is called before anything of a call is kept, and refuses it beyond the limit.
func (l *callLimiter) admit(ctx context.Context, _ *tap.Info) (context.Context, error) {
	if l.calls.Add(1) > l.limit {
		l.calls.Add(-1)
		l.onRefused()
		return nil, status.Error(codes.ResourceExhausted, "too many calls")
	}
	context.AfterFunc(ctx, func() { l.calls.Add(-1) }) // the context ends with the call
	return ctx, nil
}
