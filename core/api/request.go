package api

import "time"

// Operator compares a field with a value in a Condition.
type Operator uint8

// Comparison operators. Values compare as numbers if both sides parse as
// numbers, else as strings; Contains is a substring match.
const (
	Equal Operator = iota + 1
	NotEqual
	Less
	LessOrEqual
	Greater
	GreaterOrEqual
	Contains
)

// Condition restricts the rows of a search. All conditions must hold.
type Condition struct {
	Field    string
	Operator Operator
	Value    string
}

// Query is the content of a search: what to look for, independent of how long
// it may take.
type Query struct {
	Service    ServiceName
	Conditions []Condition
	// OrderBy is a field name; empty orders by row key.
	OrderBy    string
	Descending bool
	// Limit is the largest number of rows in the answer; 0 takes the limit of
	// the service's rule.
	Limit int
}

// Search is a query with the caller's wishes for its execution. Zero values
// take the service's rule.
type Search struct {
	Query Query
	// Coverage is the share of the index that the caller wants; 0 takes the rule.
	Coverage PPM
	// EarlyReturn overrides the rule if not nil.
	EarlyReturn *bool
	// Pin restricts the search to some shards of a given snapshot. An entry
	// sets it when it asks a peer to run parts of a query.
	Pin *Pin
}

// Pin names the snapshot and the shards of a part of a query.
type Pin struct {
	Snapshot Snapshot
	Shards   []ShardName
}

// Work is a non-idempotent request.
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

// KeyField is the field name that stands for the row key.
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

// Outcome is what a caller is told about its request.
type Outcome uint8

const (
	// Answered means that the request ran and its answer follows.
	Answered Outcome = iota + 1
	// NotRun means that the request certainly did not run.
	NotRun
	// Failed means that the target ran the request and reported an error.
	Failed
	// Unknown means that the request may or may not have run.
	Unknown
)

// String returns the name of the outcome used in answers and counters.
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

// Reason says why a request was refused, failed, or left a shard missing.
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
	ReasonCrashed          Reason = "crashed"
	ReasonDraining         Reason = "draining"
	ReasonTruncated        Reason = "truncated"
	ReasonFailed           Reason = "failed"
	ReasonConnectionLost   Reason = "connection_lost"
	ReasonEarlyReturn      Reason = "early_return"
	ReasonQuarantined      Reason = "quarantined"
	ReasonBudget           Reason = "retry_budget_spent"
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
)

// MissingShard is a shard that an answer does not cover, with the reason.
type MissingShard struct {
	Shard  ShardName
	Reason Reason
}

// Coverage states which shards of the snapshot's partition map an answer
// covers.
type Coverage struct {
	Snapshot Snapshot
	Covered  []ShardName
	Missing  []MissingShard
	// Share is the covered part of the hash range.
	Share PPM
}

// SearchAnswer is the final answer to a search. Rows and Coverage are valid
// only if Outcome is Answered.
type SearchAnswer struct {
	Outcome  Outcome
	Reason   Reason
	Rows     []Row
	Coverage Coverage
	// LimitReached says that more rows match than the answer holds.
	LimitReached bool
	// RetryAfter is the time after which the caller may come back; 0 if the
	// answer is final.
	RetryAfter time.Duration
}

// WorkAnswer is the final answer to a work order.
type WorkAnswer struct {
	Outcome Outcome
	Reason  Reason
	// Result is the target's result, or its error text if Outcome is Failed.
	Result     []byte
	RetryAfter time.Duration
	// Replayed says that the work order had run before and Result was recorded
	// at that time.
	Replayed bool
}
