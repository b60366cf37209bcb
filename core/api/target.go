package api

import "time"

// TargetOutcome is the result of a request as reported by a target.
type TargetOutcome uint8

const (
	// TargetOK means that the target ran the request.
	TargetOK TargetOutcome = iota + 1
	// TargetError means that the target ran the request and the request failed.
	TargetError
	// TargetShed means that the target refused the request because of its load and
	// did not run it.
	TargetShed
	// TargetDraining means that the target is about to shut down, accepts no more
	// requests and did not run the request.
	TargetDraining
	// TargetVersionGone means that the target no longer holds the index version and
	// did not run the request.
	TargetVersionGone
	// TargetVersionNotYet means that the target does not hold the index version yet
	// and did not run the request.
	TargetVersionNotYet
	// TargetWrongEpoch means that the target does not serve the shard in the
	// requested epoch and did not run the request.
	TargetWrongEpoch
	// TargetExpired means that the deadline had passed before the target ran the request.
	TargetExpired
)

// Ran reports whether the target may have run the request.
func (o TargetOutcome) Ran() bool { return o == TargetOK || o == TargetError }

// Reason returns the reason that callers are given for a target's refusal or
// error.
func (o TargetOutcome) Reason() Reason {
	switch o {
	case TargetOK:
		return ReasonNone
	case TargetShed:
		return ReasonShed
	case TargetDraining:
		return ReasonDraining
	case TargetVersionGone:
		return ReasonVersionGone
	case TargetVersionNotYet:
		return ReasonVersionNotYet
	case TargetWrongEpoch:
		return ReasonWrongEpoch
	case TargetExpired:
		return ReasonDeadline
	}
	return ReasonFailed
}

// SearchRequest asks one target to run a query on one shard.
type SearchRequest struct {
	Attempt  AttemptID
	Shard    ShardName
	Snapshot Snapshot
	Query    Query
	Deadline time.Time
}

// WorkRequest asks one target to run a work order.
type WorkRequest struct {
	Attempt  AttemptID
	Service  ServiceName
	Key      IdempotencyKey
	Payload  []byte
	Deadline time.Time
}

// ShardVersions lists the index versions of one shard that a target holds, in
// ascending order.
type ShardVersions struct {
	Epoch    uint64
	Shard    ShardName
	Versions []uint64
}

// TargetLoad is the status that a target includes in each of its answers.
type TargetLoad struct {
	Incarnation Incarnation
	Slots       int
	Running     int
	Queued      int
	Draining    bool
	// Held lists the index versions that the target holds. It is set only if it
	// differs from the list sent before on this connection, or if the target was
	// asked for it.
	Held []ShardVersions
}

// SearchReply is a target's answer to a SearchRequest. Attempt, Shard and
// Snapshot repeat the values of the request and are checked against them.
type SearchReply struct {
	Attempt  AttemptID
	Shard    ShardName
	Snapshot Snapshot
	Outcome  TargetOutcome
	// RowCount is the number of rows that the target announced. If Rows has a
	// different length, the answer was truncated.
	RowCount     int
	Rows         []Row
	LimitReached bool
	Load         TargetLoad
	RetryAfter   time.Duration
}

// WorkReply is a target's answer to a WorkRequest.
type WorkReply struct {
	Attempt    AttemptID
	Outcome    TargetOutcome
	Result     []byte
	Load       TargetLoad
	RetryAfter time.Duration
}
