package forward

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/core/quota"
	"github.com/baobabsail/baobabsail/core/ratelimit"
	"github.com/baobabsail/baobabsail/core/routing"
)

// Action is an output of the engine, which the driver carries out.
type Action interface{ isAction() }

type action struct{}

func (action) isAction() {}

// Send sends a request to a replica. The driver responds with Replied or Lost.
type Send struct {
	action
	Attempt AttemptID
	Message *Message
	Replica api.ReplicaName
	Address string
	// ShortLived is set if the connection should soon be closed when idle, because other
	// nodes prefer the replica.
	ShortLived bool
	// NewConnection is set if the request needs a new connection: the replica may no longer
	// respond on the open ones.
	NewConnection bool
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// Part is set if the response is merged with others by the rule Merge: only the records that it
	// keeps, the proof and the status are needed of it.
	Part  bool
	Merge routing.Merge
}

// Cancel abandons an attempt. Closing the connection tells the replica. The driver
// reports nothing more about the attempt.
type Cancel struct {
	action
	Attempt AttemptID
}

// CheckReplica runs a liveness check: it opens a connection to a replica to find out whether
// its process still runs. The connection is kept for the next request. The driver responds with
// ReplicaChecked.
type CheckReplica struct {
	action
	Replica api.ReplicaName
	Address string
	// ShortLived is set if the connection should soon be closed when idle.
	ShortLived bool
}

// CloseIdle closes the idle connections to a replica.
type CloseIdle struct {
	action
	Replica api.ReplicaName
}

// Answer is the answer to an Arrived event.
type Answer struct {
	action
	Request api.RequestID
	// Route is the name of the matched route; empty if there is none.
	Route   string
	Outcome api.Outcome
	Reason  api.Reason
	// Reply is a replica's reply to pass on unchanged. It is nil for a sharded route and
	// for answers that this system generates itself.
	Reply *Reply
	// Merged is the answer of a sharded route; nil otherwise.
	Merged *Merged
	// RetryAfter is how long the caller should wait before it retries, if Outcome is
	// NotRun.
	RetryAfter time.Duration
	// More is set if another answer follows with further parts of a Subset.
	More bool
	// TargetTime is the target time of an answer that is sent then although parts are
	// missing; zero for other answers. The driver reports AnswerSent for it.
	TargetTime time.Time
}

// Merged is the combined answer of the parts of a sharded route.
type Merged struct {
	Proofs  []string
	Missing int
	Body    []byte
	// MayHaveRun and HalfAnsweredAfter are set for a Subset. MayHaveRun reports whether a
	// replica may have run the request; HalfAnsweredAfter is the time until half of the parts
	// were answered, or 0.
	MayHaveRun        bool
	HalfAnsweredAfter time.Duration
	// Rule is how Body was merged for a Subset. It is zero if the node that ran the Subset is of
	// a version that does not say so.
	Rule routing.Merge
}

// CallPeer asks another node to run a range of shards. The driver responds with
// CallAccepted, CallReplied and CallLost.
type CallPeer struct {
	action
	Call    CallID
	Node    string
	Address string
	Message *Message
	Subset  Subset
	// Remaining is how long the caller still waits. Target is the time within which the
	// answered parts are to be sent.
	Remaining time.Duration
	Target    time.Duration
}

// AllowExtraAttempts tells a node that no other node will be asked for its range, so that it may
// send more than one attempt for each shard.
type AllowExtraAttempts struct {
	action
	Call CallID
}

// CancelCall abandons a call. The driver reports nothing more about it.
type CancelCall struct {
	action
	Call CallID
}

// WithdrawCall abandons a call without any response if it has not been sent yet. The
// driver responds with CallLost, or with CallUnanswered if it was sent.
type WithdrawCall struct {
	action
	Call CallID
}

// PreparePeers opens connections to the listed nodes before they are needed and closes
// those to nodes that are no longer listed.
type PreparePeers struct {
	action
	Addresses []string
}

// SendNotices sends notices to other nodes directly. The driver responds with NoticesUndelivered for
// each node that it cannot reach.
type SendNotices struct {
	action
	Addresses []string
	Notices   []gossip.Notice
	// PassOn asks the receiving nodes to forward the notices to the other nodes of their
	// data centre.
	PassOn bool
}

// Publish writes notices to the store, for nodes that start later or cannot be reached
// directly.
type Publish struct {
	action
	Notices []gossip.Notice
}

// RequestPermits asks the node that is the allocator of a replica for permits. The driver
// responds with PermitsGranted or PermitsFailed, before which a PermitsDelayed may come.
type RequestPermits struct {
	action
	ratelimit.Request
	Node    string
	Address string
	// Recheck is set if no request of a caller waits for the response. There is no
	// PermitsDelayed then.
	Recheck bool
}

// GrantPermits is the response to a PermitsRequested.
type GrantPermits struct {
	action
	ratelimit.Grant
	Call CallID
}

// AdmitRequests asks a node to admit requests of an account. The driver responds with
// AdmissionAnswered or AdmissionFailed.
type AdmitRequests struct {
	action
	quota.Ask
	Address string
}

// GrantAdmissions is the response to an AdmissionRequested.
type GrantAdmissions struct {
	action
	quota.Grant
	Call CallID
}

// Log writes one log line of key=value pairs.
type Log struct {
	action
	Event  string
	Fields []any // alternating keys and values
}
