// Package fanout executes one search across shards: it sends one part to each
// shard, hedges and retries within a budget, verifies the replies, restarts at
// another snapshot if needed, and merges the rows.
package fanout

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/snapshot"
)

// Limits for one search.
const (
	// maxAttempts is the maximum number of attempts per part, including hedges.
	maxAttempts = 3
	// maxRestarts is the maximum number of restarts at another snapshot.
	maxRestarts = 2
	// minRetryDelay is the shortest delay before a replica that refused a
	// request is tried again.
	minRetryDelay = 5 * time.Millisecond
)

// Canary is a part that is sent to a given replica before the other parts, to
// test whether the request crashes targets.
type Canary struct {
	Part    int
	Replica api.ReplicaName
}

// CanaryMode determines how many parts may be sent before a target has answered
// one of them.
type CanaryMode uint8

const (
	// NoCanary sends all parts at once, for a request known to be harmless.
	NoCanary CanaryMode = iota
	// CanaryFirst sends up to two canaries before the other parts.
	CanaryFirst
	// Probation sends a single canary, for a request suspected of having
	// crashed a target.
	Probation
)

// maxLost returns the number of lost canaries at which the search ends.
func (m CanaryMode) maxLost() int {
	if m == Probation {
		return 1
	}
	return 2
}

// SlowParts is the policy for a part that is not answered within the hedge
// delay. All policies but HedgeSlow are baselines for measurements.
type SlowParts uint8

const (
	// HedgeSlow sends a second attempt and uses the first reply that arrives.
	HedgeSlow SlowParts = iota
	// WaitForSlow waits until the deadline.
	WaitForSlow
	// ReplaceSlow cancels the attempt and sends another one, once per part.
	ReplaceSlow
)

// Plan holds the parameters of a search.
type Plan struct {
	Request     api.RequestID
	Query       api.Query
	Fingerprint api.Fingerprint
	Choice      snapshot.Choice
	// Shards has one entry per part: all shards of the partition map, or those
	// selected by a pinned search.
	Shards []config.Shard
	// Wanted is the share of coverage that suffices for an early return.
	Wanted      api.PPM
	EarlyReturn bool
	// Pinned forbids a restart at another snapshot.
	Pinned bool
	Limit  int
	Start  time.Time
	// Deadline is the time by which the answer must leave the node. The search
	// ends then with the parts it has.
	Deadline   time.Time
	HedgeDelay time.Duration
	SlowParts  SlowParts
	Mode       CanaryMode
	// Canaries are the candidates in the order in which they are tried; empty
	// with NoCanary.
	Canaries []Canary
}

// SentAttempt identifies an attempt that was sent, and the replica it went to.
type SentAttempt struct {
	Attempt api.AttemptID
	Replica api.ReplicaName
}

// Env provides the operations that a search needs from its node.
type Env interface {
	// Send sends a part to one of the shard's replicas that is not in exclude,
	// or, if only is not empty, to that replica. It returns ReasonNone if the
	// part was sent, and otherwise why not; after ReasonOverloaded a later call
	// may succeed.
	Send(now time.Time, q *Query, part int, exclude []api.ReplicaName, only api.ReplicaName) (SentAttempt, api.Reason)
	// Cancel cancels an attempt.
	Cancel(attempt api.AttemptID)
	// SpendRetryToken takes a token from the service's budget for retries and hedges.
	SpendRetryToken(now time.Time, service api.ServiceName) bool
	// RefundRetryToken returns a token taken for an attempt that could not be sent.
	RefundRetryToken(service api.ServiceName)
	// ReselectSnapshot returns the best snapshot known now and the canaries for it. It
	// reports false if there is none.
	ReselectSnapshot(now time.Time, q *Query) (snapshot.Choice, []Canary, bool)
	// MayRetryCanary reports whether a search that lost a canary may send another
	// one.
	MayRetryCanary(now time.Time, q *Query) bool
	// Count increments the counter for kind and detail.
	Count(kind count.Kind, detail api.Reason)
}
