// Package nodeconn opens gRPC connections to other nodes.
package nodeconn

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
)

// bufferBytes is the size of the read and the write buffer of a connection; most
// messages between nodes are smaller.
const bufferBytes = 4 << 10

// Pace says how a connection is opened.
type Pace struct {
	// Backoff is the time between two attempts.
	Backoff backoff.Config
	// Timeout bounds an attempt.
	Timeout time.Duration
}

// New returns a connection to a node at an address (IP:port). It is opened when it is
// first used. Nothing is looked up, configured or sent again by gRPC itself.
func New(address string, p Pace, calls ...grpc.CallOption) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(), grpc.WithNoProxy(),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: p.Backoff, MinConnectTimeout: p.Timeout}),
		grpc.WithDefaultCallOptions(calls...))
}
