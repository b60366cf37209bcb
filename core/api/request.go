package api

import "time"

// Operator is the comparison that a Condition makes between a field and a value.
type Operator uint8

// Comparison operators. Contains is a substring match; the others use the order
// of CompareValues, which is numerical if both values parse as numbers.
const (
	Equal Operator = iota + 1
	NotEqual
	Less
	LessOrEqual
	Greater
	GreaterOrEqual
	Contains
)

// Condition restricts the rows of a search. A row must satisfy all conditions.
type Condition struct {
	Field    string
	Operator Operator
	Value    string
}

// Query describes the rows that a search looks for, without the options for its
// execution.
type Query struct {
	Service    ServiceName
	Conditions []Condition
	// OrderBy is a field name; empty orders by row key.
	OrderBy    string
	Descending bool
	// Limit is the maximum number of rows in the answer; 0 selects the limit in
	// the service's rule.
	Limit int
}

// Search is a query with the caller's options for its execution. A zero value
// selects the setting in the service's rule.
type Search struct {
	Query Query
	// Coverage is the share of the index that the answer should cover; 0 selects
	// the rule's value.
	Coverage PPM
	// EarlyReturn overrides the rule's setting if not nil.
	EarlyReturn *bool
	// Pin restricts the search to some shards of a given snapshot. An entry
	// process sets it when it asks a peer to run parts of a query.
	Pin *Pin
}

// Pin selects the snapshot and the shards that a part of a query runs on.
type Pin struct {
	Snapshot Snapshot
	Shards   []ShardName
}

// Work is a work order: a non-idempotent request.
type Work struct {
	Service ServiceName
	Key     IdempotencyKey
	Payload []byte
}

// Field is one named value of a row.
type Field struct {
	Name  string
	Value string
}

// Row is one record found by a search. Key is unique within a service.
type Row struct {
	Key    string
	Fields []Field
}

// KeyField is the reserved field name that refers to the row key.
const KeyField = "key"

// Value returns the value of the named field and whether the row has it.
func (r *Row) Value(name string) (string, bool) {
	if name == KeyField {
		return r.Key, true
	}
	for _, f := range r.Fields {
		if f.Name == name {
			return f.Value, true
		}
	}
	return "", false
}

// Outcome is the result of a request as reported to its caller.
type Outcome uint8

const (
	// Answered means that the request ran and its answer follows.
	Answered Outcome = iota + 1
	// NotRun means that the request definitely did not run.
	NotRun
	// Failed means that the target ran the request and reported an error.
	Failed
	// Unknown means that the request may or may not have run.
	Unknown
)

// String returns the name of the outcome in answers and counters.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not_run"
	case Failed:
		return "failed"
	case Unknown:
		return "unknown"
	}
	return "invalid"
}

// Reason is the cause of a refusal, a failure or a missing shard. Counters also
// use it for their details.
type Reason string

// Reasons for refusals, failures and missing shards.
const (
	ReasonNone             Reason = ""
	ReasonDeadline         Reason = "deadline"
	ReasonNoReplica        Reason = "no_replica"
	ReasonNoConnection     Reason = "no_connection"
	ReasonVersionGone      Reason = "version_gone"
	ReasonVersionNotYet    Reason = "version_not_yet"
	ReasonWrongEpoch       Reason = "wrong_epoch"
	ReasonOverloaded       Reason = "overloaded"
	ReasonShed             Reason = "shed"
	ReasonRateLimited      Reason = "rate_limited"
	ReasonBackoff          Reason = "backoff"
	ReasonCrashed          Reason = "crashed"
	ReasonDraining         Reason = "draining"
	ReasonTruncated        Reason = "truncated"
	ReasonFailed           Reason = "failed"
	ReasonConnectionLost   Reason = "connection_lost"
	ReasonEarlyReturn      Reason = "early_return"
	ReasonQuarantined      Reason = "quarantined"
	ReasonRetryBudget      Reason = "retry_budget_spent"
	ReasonUnknownService   Reason = "unknown_service"
	ReasonNoConfiguration  Reason = "no_configuration"
	ReasonWrongKind        Reason = "wrong_service_kind"
	ReasonMalformed        Reason = "malformed"
	ReasonShuttingDown     Reason = "shutting_down"
	ReasonStoreUnavailable Reason = "store_unavailable"
	ReasonStoreRegressed   Reason = "config_store_regressed"
	ReasonConflict         Reason = "conflict"
	ReasonKeyInProgress    Reason = "key_in_progress"
	ReasonKeyClaimed       Reason = "key_claimed"
	ReasonKeyExpired       Reason = "key_expired"
	ReasonKeyFromFuture    Reason = "key_from_future"
	ReasonKeyReused        Reason = "key_reused_with_other_content"
	ReasonClaimsFull       Reason = "claim_record_full"
	ReasonCallerGone       Reason = "caller_gone"
	ReasonMismatched       Reason = "mismatched_answer"
	ReasonUnknownRoute     Reason = "unknown_route"
	ReasonUnknownKey       Reason = "unknown_key"
	ReasonKeysOutdated     Reason = "keys_outdated"
	ReasonOverQuota        Reason = "over_quota"
	ReasonQuotaUnknown     Reason = "quota_unknown"
	ReasonEvacuated        Reason = "evacuated"
	ReasonOutsideRegion    Reason = "outside_home_region"
	// ReasonPeerFull: another node, or this one, had no room for a call to it.
	ReasonPeerFull Reason = "peer_full"
)

// MissingShard is a shard that an answer does not cover, with the reason.
type MissingShard struct {
	Shard  ShardName
	Reason Reason
}

// Coverage lists which shards of the snapshot's partition map an answer covers
// and which it does not.
type Coverage struct {
	Snapshot Snapshot
	Covered  []ShardName
	Missing  []MissingShard
	// Share is the fraction of the hash range that belongs to the covered shards.
	Share PPM
}

// SearchAnswer is the final answer to a search. Rows and Coverage are valid
// only if Outcome is Answered.
type SearchAnswer struct {
	Outcome  Outcome
	Reason   Reason
	Rows     []Row
	Coverage Coverage
	// LimitReached reports that more rows match than the answer contains.
	LimitReached bool
	// RetryAfter is the time after which the caller may retry; 0 if the answer is
	// final.
	RetryAfter time.Duration
}

// WorkAnswer is the final answer to a work order.
type WorkAnswer struct {
	Outcome Outcome
	Reason  Reason
	// Result is the target's result, or its error text if Outcome is Failed.
	Result     []byte
	RetryAfter time.Duration
	// Replayed reports that the work order had already run and Result was recorded
	// then.
	Replayed bool
}
