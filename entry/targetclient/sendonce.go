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
// retry of a request that the server left unprocessed according to GOAWAY or
// RST_STREAM(REFUSED_STREAM). After GOAWAY it would need a second dial, which
// conn.dial refuses; after REFUSED_STREAM grpc would send the request again on
// the same stream of bytes. Work orders must not depend on the server's word
// that it had not processed the first one, so the request is stopped here: grpc
// asks the per-RPC credentials for metadata while it builds the header frame of
// each sending, and an error of theirs fails the RPC without further retries.
//
// For the same reason a request whose metadata was never asked for has
// certainly not been handed to the connection.
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

func (s *sendOnce) option() grpc.CallOption { return grpc.PerRPCCredentials(s) }

// handedOver reports whether the request may have reached the connection.
func (s *sendOnce) handedOver() bool { return s.sends.Load() > 0 }
