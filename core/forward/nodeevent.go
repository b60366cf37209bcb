package forward

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/core/quota"
	"github.com/baobabsail/baobabsail/core/ratelimit"
	"github.com/baobabsail/baobabsail/core/routing"
)

// This file has the events of calls between nodes.

// Subset is the range of a route's shards that one node runs for another. The other node
// may have a different configuration.
type Subset struct {
	Shards []api.ServiceName
	// MaxAttempts limits the attempts for each shard, according to the configuration of
	// the node that asks.
	MaxAttempts int
	// PriorAttempts is the number of attempts that another node may already have sent for each
	// shard of the range. If it is not 0, every attempt is an extra one and is charged
	// to the budget.
	PriorAttempts int
	// HomeRegions are the only regions that the request may reach, according to the node that
	// asks; empty for all regions.
	HomeRegions []api.Region
	// Merge is how the records are merged, according to the node that asks. It is zero if that
	// node is of a version that does not say so.
	Merge routing.Merge
}

// ExtraAttemptsAllowed reports that no other node will be asked for a range, so that each shard may
// now get more than one attempt.
type ExtraAttemptsAllowed struct {
	event
	Request api.RequestID
}

// CallID identifies a call that asks another node to run a range of shards.
type CallID uint64

// CallAccepted reports that a node has started to work on a range.
type CallAccepted struct {
	event
	Call CallID
}

// CallReplied holds the parts of a range that were answered since the previous reply.
type CallReplied struct {
	event
	Merged
	Call CallID
	// Last is set on the last reply.
	Last bool
	// Reason is why parts are missing from the last reply.
	Reason api.Reason
}

// CallLost reports that a call ended without its last reply.
type CallLost struct {
	event
	Call CallID
	// Unsent is set if the call never left this node.
	Unsent bool
	// Error describes the cause for the log.
	Error string
}

// CallUnanswered reports that a call was sent to its node, which has not responded yet.
type CallUnanswered struct {
	event
	Call CallID
}

// NoticesRead holds notices that another node published.
type NoticesRead struct {
	event
	Notices []gossip.Notice
	// PassOn is set if this node has to forward the notices to the other nodes of its
	// data centre.
	PassOn bool
}

// NoticesUndelivered reports that a node could not be reached by a SendNotices.
type NoticesUndelivered struct {
	event
	Address string
	// Notices is the number of undelivered notices.
	Notices int
	// Error describes the cause for the log.
	Error string
}

// Members reports the registered nodes, this one included.
type Members struct {
	event
	Nodes int
	// Peers are the nodes that accept calls from other nodes.
	Peers []Peer
	// ListedBefore is set if this node was listed for a while before this process started. It
	// counts in the first list only.
	ListedBefore bool
}

// AdmissionRequested reports that another node asks this one to admit requests of an account.
// The engine responds with GrantAdmissions.
type AdmissionRequested struct {
	event
	quota.Request
	// Call identifies the request of the other node.
	Call CallID
}

// AdmissionAnswered holds the response to an AdmitRequests.
type AdmissionAnswered struct {
	event
	Ask   quota.Ask
	Grant quota.Grant
}

// AdmissionFailed reports that a node did not respond to an AdmitRequests.
type AdmissionFailed struct {
	event
	Ask quota.Ask
	// Supported is unset if the node responded that it does not know such calls.
	Supported bool
	// Error describes the cause for the log.
	Error string
}

// PermitsRequested reports that another node asks this one, the allocator of a replica, for
// permits. The engine responds with GrantPermits.
type PermitsRequested struct {
	event
	ratelimit.Request
	// Call identifies the request of the other node.
	Call CallID
}

// PermitsGranted holds the response to a RequestPermits.
type PermitsGranted struct {
	event
	ratelimit.Grant
	// Node is the node that responded.
	Node string
	// Late is set if a PermitsDelayed came before, Recheck if it was set in the RequestPermits.
	Late, Recheck bool
}

// PermitsDelayed reports that a node has not responded to a RequestPermits in the time that
// requests of callers can wait. PermitsGranted or PermitsFailed follows.
type PermitsDelayed struct {
	event
	Node    string
	Replica api.ReplicaName
}

// PermitFailure says why a node did not respond to a RequestPermits with a grant.
type PermitFailure uint8

const (
	// PermitsUnanswered means that there was no response.
	PermitsUnanswered PermitFailure = iota
	// PermitsRefused means that no process listened at the address of the node when this node last
	// tried to connect.
	PermitsRefused
	// PermitsDeclined means that the node responded with an error.
	PermitsDeclined
)

func (f PermitFailure) String() string {
	return [...]string{"unanswered", "refused", "declined"}[f]
}

// PermitsFailed reports that a node granted nothing in response to a RequestPermits. Late and
// Recheck are those of PermitsGranted.
type PermitsFailed struct {
	event
	Node          string
	Replica       api.ReplicaName
	Failure       PermitFailure
	Late, Recheck bool
	// RefusedAgo is how long ago the address refused a connection, with PermitsRefused.
	RefusedAgo time.Duration
	// Error describes the cause for the log.
	Error string
}

// NodeConnReplaced reports that the connection to a node got no responses and was replaced by a
// new one.
type NodeConnReplaced struct {
	event
	Address string
}
