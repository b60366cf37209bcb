// Package fanout runs the life of one search: it sends a part to each shard,
// hedges and retries inside a budget, checks the answers, restarts at another
// snapshot if needed, and merges the rows.
package fanout

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/snapshot"
)

// Limits on what one search may do.
const (
	// maxAttempts bounds the sendings of one part.
	maxAttempts = 3
	// maxRestarts bounds the changes of snapshot within one search.
	maxRestarts = 2
	// retryPause is the shortest wait before a replica that refused is asked again.
	retryPause = 5 * time.Millisecond
)

// Canary is a part sent ahead of all others, to a given replica.
type Canary struct {
	Part    int
	Replica api.ReplicaName
}

// CanaryMode says how far a search may go before a target has answered it.
type CanaryMode uint8

const (
	// NoCanary sends all parts at once: the request is known to be harmless.
	NoCanary CanaryMode = iota
	// CanaryFirst sends up to two canaries before the rest.
	CanaryFirst
	// Probation sends a single canary: the request is suspected of having
	// crashed a target.
	Probation
)

// maxLost returns how many canaries may be lost before the search ends.
func (m CanaryMode) maxLost() int {
	if m == Probation {
		return 1
	}
	return 2
}

// SlowParts says what a search does about a part that is not answered within the
// hedge delay. All but HedgeSlow are baselines to measure against.
type SlowParts uint8

const (
	// HedgeSlow sends a second attempt and takes the first answer.
	HedgeSlow SlowParts = iota
	// WaitForSlow waits until the deadline.
	WaitForSlow
	// ReplaceSlow gives the attempt up and sends another one, once.
	ReplaceSlow
)

// Plan fixes what a search runs with.
type Plan struct {
	Request     api.RequestID
	Query       api.Query
	Fingerprint api.Fingerprint
	Choice      snapshot.Choice
	// Shards are the parts: all shards of the map, or those of a pinned search.
	Shards      []config.Shard
	Wanted      api.PPM
	EarlyReturn bool
	// Pinned forbids a restart at another snapshot.
	Pinned bool
	Limit  int
	Start  time.Time
	// Deadline is when the answer must leave the node.
	Deadline   time.Time
	HedgeDelay time.Duration
	SlowParts  SlowParts
	Mode       CanaryMode
	// Canaries are the candidates in order; empty with NoCanary.
	Canaries []Canary
}

// Sent is an attempt that is on its way.
type Sent struct {
	Attempt api.AttemptID
	Replica api.ReplicaName
}

// Env is what a search needs from its node.
type Env interface {
	// Send sends a part to one of the shard's replicas that is not excluded, or
	// to the given one if only is not empty. The reason says why nothing was
	// sent: ReasonOverloaded means that it may succeed later.
	Send(now time.Time, q *Query, part int, exclude []api.ReplicaName, only api.ReplicaName) (Sent, api.Reason)
	// Cancel gives up an attempt.
	Cancel(attempt api.AttemptID)
	// SpendExtra takes a token from the service's budget for retries and hedges.
	SpendExtra(now time.Time, service api.ServiceName) bool
	// RefundExtra returns a token taken for an attempt that could not be sent.
	RefundExtra(service api.ServiceName)
	// Rechoose returns the best snapshot known now, with canaries for it.
	Rechoose(now time.Time, q *Query) (snapshot.Choice, []Canary, bool)
	// MayTryAgain reports whether a search whose canary was lost may send
	// another one.
	MayTryAgain(now time.Time, q *Query) bool
	// Count adds one to a counter.
	Count(kind count.Kind, detail api.Reason)
}
