package targetclient

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// sendOnce lets one RPC be handed to a transport at most once.
//
// grpc.WithDisableRetry switches off retries by policy, but not the transparent
// retry of a request that the server reports as unprocessed by GOAWAY or
// RST_STREAM(REFUSED_STREAM). After GOAWAY a retry needs a second dial, which
// conn.dial rejects; after REFUSED_STREAM grpc would send the request again on
// the same TCP connection. Work orders must not rely on the server's claim that
// it did not process the first request, so the retry is blocked here: grpc asks
// the per-RPC credentials for metadata each time it builds the header frame of a
// request, and an error from them fails the RPC without further retries.
//
// It follows that a request whose metadata was never asked for was never handed
// to the connection.
type sendOnce struct {
	sends atomic.Int32
}

// GetRequestMetadata implements credentials.PerRPCCredentials.
func (s *sendOnce) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	if s.sends.Add(1) > 1 {
		return nil, status.Error(codes.Unavailable, "request is sent only once")
	}
	return nil, nil
}

// RequireTransportSecurity implements credentials.PerRPCCredentials.
func (s *sendOnce) RequireTransportSecurity() bool { return false }

func (s *sendOnce) callOption() grpc.CallOption { return grpc.PerRPCCredentials(s) }

// maybeSent reports whether the request may have been handed to the connection.
func (s *sendOnce) maybeSent() bool { return s.sends.Load() > 0 }
