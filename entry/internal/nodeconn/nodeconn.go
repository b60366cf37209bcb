// Package nodeconn opens gRPC connections to other nodes.
package nodeconn

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
)

// bufferBytes is the size of the read buffer and of the write buffer of a connection.
// Most messages between nodes are smaller.
const bufferBytes = 4 << 10

// ConnectParams holds the parameters for opening a connection.
type ConnectParams struct {
	// Backoff sets the delay between two connection attempts.
	Backoff backoff.Config
	// Timeout limits the duration of one attempt.
	Timeout time.Duration
	// Dial opens the TCP connection; nil means as usual.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// New returns a connection to the node at an address (IP:port). The connection is opened
// on first use. Name resolution, service configuration, retries and proxies of gRPC are
// disabled.
func New(address string, p ConnectParams, callOptions ...grpc.CallOption) (*grpc.ClientConn, error) {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(), grpc.WithNoProxy(),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: p.Backoff, MinConnectTimeout: p.Timeout}),
		grpc.WithDefaultCallOptions(callOptions...),
	}
	if p.Dial != nil {
		options = append(options, grpc.WithContextDialer(p.Dial))
	}
	return grpc.NewClient("passthrough:///"+address, options...)
}

// Close closes a connection without waiting: gRPC waits up to some seconds for a node that reads
// nothing any more. Calls on the connection end.
func Close(conn *grpc.ClientConn) {
	go func() { _ = conn.Close() }() // nothing depends on the result
}
