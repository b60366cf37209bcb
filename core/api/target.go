package api

import "time"

// TargetOutcome is what a target says about one request.
type TargetOutcome uint8

const (
	// TargetOK means that the target ran the request.
	TargetOK TargetOutcome = iota + 1
	// TargetError means that the target ran the request and it failed.
	TargetError
	// TargetShed means that the target refused the request for load before running it.
	TargetShed
	// TargetDraining means that the target is leaving and did not run the request.
	TargetDraining
	// TargetVersionGone means that the target no longer holds the version; not run.
	TargetVersionGone
	// TargetVersionNotYet means that the target does not hold the version yet; not run.
	TargetVersionNotYet
	// TargetWrongEpoch means that the target does not serve the shard under the epoch; not run.
	TargetWrongEpoch
	// TargetExpired means that the deadline had passed before the target ran the request.
	TargetExpired
)

// Ran reports whether the target may have run the request.
func (o TargetOutcome) Ran() bool { return o == TargetOK || o == TargetError }

// Reason maps a refusal or error of a target to the reason given to callers.
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

// SearchRequest asks one target for one shard's part of a query.
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

// ShardVersions lists the index versions that a target holds of one shard, in
// ascending order.
type ShardVersions struct {
	Epoch    uint64
	Shard    ShardName
	Versions []uint64
}

// TargetLoad is the status that rides on every answer of a target.
type TargetLoad struct {
	Incarnation Incarnation
	Slots       int
	Running     int
	Queued      int
	Draining    bool
	// Held is set only when it differs from what the target sent before on
	// this connection, or when the target was asked for it.
	Held []ShardVersions
}

// SearchReply is a target's answer to a SearchRequest. Attempt, Shard and
// Snapshot echo the request and are checked against it.
type SearchReply struct {
	Attempt  AttemptID
	Shard    ShardName
	Snapshot Snapshot
	Outcome  TargetOutcome
	// RowCount is the announced number of rows; a different number of rows
	// means that the answer was cut.
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
