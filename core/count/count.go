// Package count implements the counters of the decision core: one total for each
// kind and detail. The driver reads the totals and passes them to the metrics
// library.
package count

import (
	"sort"

	"github.com/baobabsail/baobabsail/core/api"
)

// Name identifies a counter in metrics and reports.
type Name string

// Kind groups counters that differ in their detail.
type Kind string

// Counter kinds.
const (
	// Refused counts requests answered with NotRun.
	Refused Kind = "refused"
	// Retried counts attempts made after an earlier one failed.
	Retried Kind = "retried"
	// RetryDenied counts retries that were not made.
	RetryDenied Kind = "retry_denied"
	// Hedged counts attempts sent while an earlier one is still unanswered.
	Hedged Kind = "hedged"
	// Missing counts shards missing from answers.
	Missing Kind = "missing"
	// Discarded counts replies from targets and peers that were not used.
	Discarded Kind = "discarded"
	// WorkEnded counts work orders by how they ended.
	WorkEnded Kind = "work_ended"
	// SearchEnded counts searches by how they ended.
	SearchEnded Kind = "search_ended"
	// Connection counts connection events.
	Connection Kind = "connection"
	// Config counts events in the handling of configuration changes and documents.
	Config Kind = "config"
	// Store counts store calls and their results.
	Store Kind = "store"
	// Peer counts messages between entry processes and membership changes.
	Peer Kind = "peer"
	// Quarantine counts quarantine events, such as requests that become suspect, are
	// cleared or are convicted.
	Quarantine Kind = "quarantine"
	// Sent counts requests sent to targets.
	Sent Kind = "sent"
	// Late counts answers to sharded requests that were built after the request's
	// target time.
	Late Kind = "late"
	// Loss counts lost attempts, which may have crashed their replica, by how each
	// case was resolved.
	Loss Kind = "loss"
	// ReplicaStatus counts what replicas state about themselves in their responses.
	ReplicaStatus Kind = "replica_status"
	// Attempt counts attempts at replicas by purpose (first, retry, hedge) and by whether
	// the replica is in the data centre of the node (local) or not (remote).
	Attempt Kind = "attempt"
	// Crossing counts first attempts that left the data centre, by the reason why no local
	// replica got them.
	Crossing Kind = "crossing"
	// RateLimit counts attempts at replicas that name a rate limit, and the permits for them.
	RateLimit Kind = "rate_limit"
	// Evacuation counts evacuations of data centres that began, ended or were held.
	Evacuation Kind = "evacuation"
	// Quota counts requests for admissions of accounts with a quota, and the responses.
	Quota Kind = "quota"
	// ClientConnection counts connections of clients that were closed or refused because of the
	// limits of the process, by reason.
	ClientConnection Kind = "client_connection"
	// PeerCall counts calls of other nodes that were refused because of those limits.
	PeerCall Kind = "peer_call"
	// AccountAdmitted counts the requests of callers that were sent, by account. The others
	// count those that were refused: because the account was over its quota, because its quota
	// could not be determined, for lack of capacity, and for other reasons.
	AccountAdmitted     Kind = "account_admitted"
	AccountOverQuota    Kind = "account_over_quota"
	AccountQuotaUnknown Kind = "account_quota_unknown"
	AccountNoRoom       Kind = "account_no_room"
	AccountRefused      Kind = "account_refused"
)

// Key identifies a counter: a kind and a reason or other detail within it.
type Key struct {
	Kind   Kind
	Detail api.Reason
}

// Set holds the totals since the start of the node. The zero value is not usable;
// use NewSet.
type Set struct {
	totals map[Key]uint64
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{totals: make(map[Key]uint64)} }

// Inc adds one to a counter.
func (s *Set) Inc(kind Kind, detail api.Reason) { s.Add(kind, detail, 1) }

// Add adds n to a counter.
func (s *Set) Add(kind Kind, detail api.Reason, n uint64) {
	s.totals[Key{Kind: kind, Detail: detail}] += n
}

// Get returns the total of a counter.
func (s *Set) Get(kind Kind, detail api.Reason) uint64 {
	return s.totals[Key{Kind: kind, Detail: detail}]
}

// Total is a counter with its value.
type Total struct {
	Key   Key
	Value uint64
}

// Totals returns all counters that are not zero, ordered by kind and detail.
func (s *Set) Totals() []Total {
	out := make([]Total, 0, len(s.totals))
	for k, v := range s.totals {
		out = append(out, Total{Key: k, Value: v})
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i].Key, out[j].Key
		if a.Kind != b.Kind {
			return a.Kind < b.Kind
		}
		return a.Detail < b.Detail
	})
	return out
}
