// Package forward runs requests without looking at their content. It sends a request to
// one replica of the service that its route names, or a copy to one replica of each
// shard, retries and hedges within a budget, and merges the replies. In a large system,
// groups of nodes run ranges of shards for each other (groups.go, divide.go, calls.go).
//
// Like node.Node, the Engine is a state machine without goroutines, clocks or sockets. A
// driver turns network input and timers into events and carries out the actions that the
// engine returns.
package forward

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/core/quota"
	"github.com/baobabsail/baobabsail/core/ratelimit"
	"github.com/baobabsail/baobabsail/core/routing"
)

// AttemptID identifies one attempt to send a part of a request. It is unique within one
// run of a process.
type AttemptID uint64

// Message is a caller's request as the driver received it. The engine reads the fields
// that its decisions depend on; the driver forwards the rest unchanged.
type Message struct {
	Host string
	// Path is the path without the query.
	Path string
	// CallerRequest is the ID that the caller gave to this request. It appears in logs,
	// and replicas must echo it.
	CallerRequest string
	// Fingerprint is equal for requests with the same content.
	Fingerprint api.Fingerprint
	// Credential is the key that the request carries; empty if it carries none. It must not
	// appear in logs.
	Credential []byte
	// Identified is set by the engine if the configuration has accounts. The driver then
	// replaces what the caller sent about its account by Account.
	Identified bool
	// Account is the name of the account that the request is for; empty if it is for none.
	// AccountPriority is the account's priority.
	Account         string
	AccountPriority int
	// Wire is the driver's representation of the request.
	Wire any
}

// Event is an input to the engine.
type Event interface{ isEvent() }

type event struct{}

func (event) isEvent() {}

// Timer reports that the time returned by Engine.NextTick has come.
type Timer struct{ event }

// Arrived reports a new request of a caller, or of another node if Subset is set.
type Arrived struct {
	event
	Request api.RequestID
	Message *Message
	// CallerTimeout is how long the caller waits; 0 if unknown.
	CallerTimeout time.Duration
	// Transit is how long the request took to arrive, including the time to open its
	// connection, and how long the answer is expected to take back.
	Transit time.Duration
	// Subset is set if the request came from another node; Target is then the time
	// within which the answered parts are to be sent. A message without a path is a
	// ping: the other node only asks whether this one can run the range.
	Subset *Subset
	Target time.Duration
}

// ping reports whether another node only asks whether this one can run a range.
func (ev *Arrived) ping() bool { return ev.Subset != nil && ev.Message.Path == "" }

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

// CallerGone reports that the caller of a request no longer waits for the answer.
type CallerGone struct {
	event
	Request api.RequestID
}

// ReplyKind classifies the reply of a replica.
type ReplyKind uint8

const (
	// ReplyOK is a success with proof that the replica ran the request.
	ReplyOK ReplyKind = iota + 1
	// ReplyError means that the replica ran the request and the request failed.
	ReplyError
	// ReplyRefused means that the replica states that it did not run the request.
	ReplyRefused
	// ReplyMisdirected means that a different replica now listens at the address and did
	// not run the request.
	ReplyMisdirected
	// ReplyInvalid is a reply without valid proof: the request may have run.
	ReplyInvalid
)

// Reply is a replica's answer to one attempt.
type Reply struct {
	Kind ReplyKind
	// Proof is the replica's evidence that it ran the request.
	Proof string
	Body  []byte
	// PromisesNotRun is set if callers read the status as a promise that the request has
	// not run. For a ReplyError the promise is false, so the reply must not reach
	// callers.
	PromisesNotRun bool
	// Wire is the driver's representation of the reply.
	Wire any
}

// AnswerSent reports how long after its target time an answer that was due then was
// handed to the caller's connection.
type AnswerSent struct {
	event
	Late time.Duration
}

// Replied reports a replica's reply to a Send.
type Replied struct {
	event
	Attempt AttemptID
	Reply   Reply
	// Status is what the replica states about itself.
	Status ReplicaStatus
}

// StatusReported holds what a replica states about itself in a response that no Replied event
// is reported for, since no attempt waits for it or its body is invalid.
type StatusReported struct {
	event
	Replica api.ReplicaName
	Status  ReplicaStatus
}

// CheckResult is the result of a CheckReplica.
type CheckResult uint8

const (
	// CheckAccepted means that a process at the address accepted a connection.
	CheckAccepted CheckResult = iota + 1
	// CheckRefused means that no process listens at the address.
	CheckRefused
	// CheckUnanswered means that there was no response.
	CheckUnanswered
)

// ReplicaChecked reports the result of a CheckReplica.
type ReplicaChecked struct {
	event
	Replica api.ReplicaName
	Result  CheckResult
}

// Loss classifies how an attempt ended without an answer.
type Loss uint8

const (
	// LostRefused means that no process listens at the address; nothing was sent.
	LostRefused Loss = iota + 1
	// LostUnsent means that the connection could not be opened, or ended before any byte
	// of the request was written to it.
	LostUnsent
	// LostBroken means that the connection ended after the request was sent.
	LostBroken
	// LostLimited means that the replica closed a new connection before anything was
	// sent because it has reached its connection limit.
	LostLimited
	// LostStale is LostBroken on a reused connection without any byte of an answer: the
	// replica had probably closed the idle connection.
	LostStale
	// LostOversized means that the replica sent more bytes than a response may have. The
	// request may have run.
	LostOversized
)

// Lost reports that an attempt ended without an answer.
type Lost struct {
	event
	Attempt AttemptID
	Loss    Loss
}

// ConnOpened reports that a connection to a replica is open. Attempt is the attempt that
// it was opened for, or 0.
type ConnOpened struct {
	event
	Replica api.ReplicaName
	Attempt AttemptID
}

// ConnEnded reports that an open connection to a replica has ended. It precedes the Lost
// event of a request on that connection.
type ConnEnded struct {
	event
	Replica api.ReplicaName
	// ByReplica is set if this node did not close the connection: the process of the replica
	// may have ended.
	ByReplica bool
}

// TableRead reports a configuration that was read from the store.
type TableRead struct {
	event
	Table *routing.Table
}

// Registration is a replica's entry in the store, written by the replica.
type Registration struct {
	Replica    api.ReplicaName
	Service    api.ServiceName
	Address    string
	DataCentre api.DataCentre
	Slots      int
	Draining   bool
	// ColdFor is how long the replica expects to be slow after its start.
	ColdFor time.Duration
	// ProcessStart is the start time of the process in Unix milliseconds; 0 if unknown. A
	// different value means that the replica was restarted.
	ProcessStart int64
	// Sequence counts the updates of the registration since the process started.
	Sequence int64
}

// ReplicaRegistered reports a registration that was read from the store.
type ReplicaRegistered struct {
	event
	Registration Registration
}

// ReplicaUnregistered reports that a registration was removed or is invalid.
type ReplicaUnregistered struct {
	event
	Replica api.ReplicaName
}

// ReplicasUnregistered reports how many registrations are removed by a response of the store
// that came after a period without responses. A ReplicaUnregistered event for each of them
// follows.
type ReplicasUnregistered struct {
	event
	Count int
}

// RegistryRead holds the complete lists of registrations and of evacuated data centres.
type RegistryRead struct {
	event
	Registrations []Registration
	Evacuations   []Evacuation
	// Restored is set if the store was restored from an older copy: registrations and
	// evacuations may be older than those already known, or missing.
	Restored bool
}

// DataCentreEvacuated reports that an operator has evacuated a data centre.
type DataCentreEvacuated struct {
	event
	Evacuation
}

// DataCentreRestored reports that an operator has ended the evacuation of a data centre.
type DataCentreRestored struct {
	event
	DataCentre api.DataCentre
	// Revision is the store's revision at which the evacuation was removed.
	Revision int64
}

// StoreLost reports that the store does not respond.
type StoreLost struct{ event }

// StoreBack reports that the store responds again.
type StoreBack struct{ event }

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

// BudgetChanged replaces BudgetShare and BudgetConstant of the settings.
type BudgetChanged struct {
	event
	Share    float64
	Constant float64
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

// StoreConfirmed reports how long ago a response of the store last confirmed what this node
// knows of its contents.
type StoreConfirmed struct {
	event
	Age time.Duration
}

// AccountSettingsChanged replaces Quota and RevokeAfter of the settings. Quota.Window must not
// be 0.
type AccountSettingsChanged struct {
	event
	Quota       quota.Bounds
	RevokeAfter time.Duration
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
	// PermitsRefused means that no process listens at the address of the node.
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
	// Error describes the cause for the log.
	Error string
}

// NodeConnReplaced reports that the connection to a node got no responses and was replaced by a
// new one.
type NodeConnReplaced struct {
	event
	Address string
}

// Stopping reports that this process stops: other nodes can no longer call it.
type Stopping struct {
	event
	// AcceptFor is how long the load balancer may still send requests to this node.
	AcceptFor time.Duration
	// AnswerWithin is the time after which no more answers can be delivered; 0 means no limit.
	AnswerWithin time.Duration
}
