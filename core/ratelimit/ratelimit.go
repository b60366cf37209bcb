// Package ratelimit keeps the requests that all nodes together send to a replica within the
// rate limit that the replica names in its responses.
//
// A limit is too small to be divided among the nodes: some nodes would leave their shares
// unused, and one request of burst for each node would already exceed the limit. Instead, one
// node runs a token bucket for each limited replica (Allocator) and grants permits to the nodes
// that ask for them (Limiter). A permit allows one request and expires soon. Any node can be
// the allocator of a replica; it keeps no state that the next one needs.
//
// The limit of a cold replica (cold.go) uses the same permits. It must never be exceeded, so
// that a node grants it only if no other node can do so at the same time.
package ratelimit

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// Statement is what a replica last stated about its rate limit.
type Statement struct {
	// Limited is set if the replica named a limit. PerSecond is then the number of requests
	// per second that it accepts from all nodes together.
	Limited   bool
	PerSecond float64
	// Age is the time since the replica stated it.
	Age time.Duration
}

// Request asks the allocator of a replica for permits. With Wanted 0 it only passes on a
// statement of the replica.
type Request struct {
	// Node is the node that asks if it relies on the one that it asks (Reliance); empty if it does
	// not, or is of a version that does not say so.
	Node      string
	Replica   api.ReplicaName
	Statement Statement
	Wanted    int
	// ColdPerSecond is the number of requests per second that the replica can take from all
	// nodes together because it is cold; 0 if it is not cold.
	ColdPerSecond float64
}

// Grant is the allocator's response to a Request.
type Grant struct {
	Replica api.ReplicaName
	// Statement is the newest statement of the replica that the allocator knows.
	Statement Statement
	Permits   int
	// Cold is set if the permits are within the limit of a cold replica.
	Cold bool
	// RetryAfter is how long to wait before the next Request if Permits is 0.
	RetryAfter time.Duration
}
