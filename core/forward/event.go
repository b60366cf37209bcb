// Package forward runs opaque requests: it sends a request to a replica of its
// route's service, or a copy to one replica of each shard, retries and hedges
// within a budget, and merges the parts. Where there are many nodes, groups of
// them run ranges of shards for each other (groups.go, divide.go, calls.go). Like
// node.Node it is a state machine without goroutines, clocks or sockets; a driver
// turns sockets and timers into events and carries out actions.
package forward

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/core/routing"
)

// AttemptID identifies one sending of a request within one life of a process.
type AttemptID uint64

// Message is a caller's request as the driver received it. The engine reads
// the fields that decide; the driver sends the rest unchanged.
type Message struct {
	Host string
	// Path is the path without the query.
	Path string
	// CallerRequest is the identity that the caller gave to this request; it
	// appears in logs and must be echoed by replicas.
	CallerRequest string
	// Fingerprint is the same for requests with the same content.
	Fingerprint api.Fingerprint
	// Wire is the driver's own form of the request.
	Wire any
}

// Event is something that happened outside the engine.
type Event interface{ isEvent() }

type event struct{}

func (event) isEvent() {}

// Timer says that the time returned by Engine.Wake has come.
type Timer struct{ event }

// Arrived is a request of a caller.
type Arrived struct {
	event
	Request api.RequestID
	Message *Message
	// Patience is how long the caller waits; 0 if it did not say.
	Patience time.Duration
	// Transit is how long the request travelled, with the opening of its
	// connection, and how long the answer will.
	Transit time.Duration
	// Subset is set if the request came from another node; Target is then the
	// time in which the answered parts are to be sent. With a message that has no
	// path, the other node only asks whether this one can run the range.
	Subset *Subset
	Target time.Duration
}

// ping reports whether another node only asks whether this one can run a range.
func (ev *Arrived) ping() bool { return ev.Subset != nil && ev.Message.Path == "" }

// Subset is the range of a route's shards that one node runs for another, which
// may know another configuration.
type Subset struct {
	Shards []api.ServiceName
	// MaxAttempts bounds the attempts for each shard, by the route that the other
	// node knows.
	MaxAttempts int
	// Used is the number of attempts that another node may have sent for each shard
	// of the range; if it is not 0, all attempts are extra ones.
	Used int
}

// Cleared says that no other node will be asked for a range: from now on a shard
// may get more than one attempt.
type Cleared struct {
	event
	Request api.RequestID
}

// CallID identifies a range that another node was asked to run.
type CallID uint64

// CallAccepted says that a node works on a range.
type CallAccepted struct {
	event
	Call CallID
}

// CallReplied holds the parts of a range that were answered since the last reply.
type CallReplied struct {
	event
	Merged
	Call CallID
	// Last is set on the last reply.
	Last bool
	// Reason says why parts are missing from the last reply.
	Reason api.Reason
}

// CallLost says that a call ended without its last reply.
type CallLost struct {
	event
	Call CallID
	// Unsent is set if the call never left this node.
	Unsent bool
	// Error describes the cause, for the log.
	Error string
}

// CallUnheard says that a call was sent to its node, which has not answered yet.
type CallUnheard struct {
	event
	Call CallID
}

// CallerGone says that the caller of a request no longer waits.
type CallerGone struct {
	event
	Request api.RequestID
}

// ReplyKind says what a replica's reply means.
type ReplyKind uint8

const (
	// ReplyOK is a success with the replica's proof that it ran the request.
	ReplyOK ReplyKind = iota + 1
	// ReplyError means that the replica ran the request and it failed.
	ReplyError
	// ReplyRefused means that the replica states that it did not run the request.
	ReplyRefused
	// ReplyMisdirected means that another replica has the address; it did not
	// run the request.
	ReplyMisdirected
	// ReplyInvalid is an answer that proves nothing: the request may have run.
	ReplyInvalid
)

// Reply is a replica's answer to one attempt.
type Reply struct {
	Kind ReplyKind
	// Proof is the replica's evidence that it ran the request.
	Proof string
	Body  []byte
	// PromisesNotRun is set if callers take the status for a promise that the
	// request has not run. It is false of a ReplyError, which must not reach them.
	PromisesNotRun bool
	// Wire is the driver's own form of the reply.
	Wire any
}

// AnswerSent says how long after its target time an answer that left then was
// handed to the caller's connection.
type AnswerSent struct {
	event
	Late time.Duration
}

// Replied is a replica's answer to Send.
type Replied struct {
	event
	Attempt AttemptID
	Reply   Reply
}

// CheckResult says what came of a check.
type CheckResult uint8

const (
	// CheckAccepted means that a process at the address accepted a connection.
	CheckAccepted CheckResult = iota + 1
	// CheckRefused means that no process listens at the address.
	CheckRefused
	// CheckUnanswered means that nothing was heard.
	CheckUnanswered
)

// ReplicaChecked is the result of a CheckReplica.
type ReplicaChecked struct {
	event
	Replica api.ReplicaName
	Result  CheckResult
}

// Loss says how an attempt ended without an answer.
type Loss uint8

const (
	// LostRefused means that nothing listens at the address; nothing was sent.
	LostRefused Loss = iota + 1
	// LostUnsent means that the connection could not be opened or ended before
	// any byte of the request was handed to it.
	LostUnsent
	// LostBroken means that the connection ended after the request was sent.
	LostBroken
	// LostLimited means that the replica ended a new connection before anything
	// was sent: it accepts no more.
	LostLimited
	// LostStale is LostBroken on a connection that had been used before, with no
	// byte of an answer: the replica had probably closed it while idle.
	LostStale
)

// Lost says that an attempt ended without an answer.
type Lost struct {
	event
	Attempt AttemptID
	Loss    Loss
}

// ConnOpened says that a connection to a replica is open, and for which attempt it was
// opened; 0 if for none.
type ConnOpened struct {
	event
	Replica api.ReplicaName
	Attempt AttemptID
}

// ConnEnded says that an open connection to a replica has ended. It is reported
// before the loss of a request on it.
type ConnEnded struct {
	event
	Replica api.ReplicaName
}

// TableRead is a configuration read from the store.
type TableRead struct {
	event
	Table *routing.Table
}

// Registration is what a replica says of itself in the store.
type Registration struct {
	Replica    api.ReplicaName
	Service    api.ServiceName
	Address    string
	DataCentre api.DataCentre
	Slots      int
	Draining   bool
	// ColdFor is how long the replica expects to stay slow.
	ColdFor time.Duration
	// Born is the Unix time in milliseconds at which the process started; 0 if
	// it does not say. A change means that the replica was restarted.
	Born int64
	// Sequence counts the replica's reports since its start.
	Sequence int64
}

// ReplicaSeen is a registration read from the store.
type ReplicaSeen struct {
	event
	Registration Registration
}

// ReplicaGone says that a registration was removed or cannot be used.
type ReplicaGone struct {
	event
	Replica api.ReplicaName
}

// ReplicasGone says how many registrations one answer of the store removes that
// came after a silence. Their ReplicaGone events follow.
type ReplicasGone struct {
	event
	Count int
}

// RegistryRead is the list of all registrations.
type RegistryRead struct {
	event
	Registrations []Registration
	// Restored is set if the store has come back from an older copy: registrations
	// may be older than those known, or not there yet.
	Restored bool
}

// StoreLost says that the store gives no answers.
type StoreLost struct{ event }

// StoreBack says that the store answers again.
type StoreBack struct{ event }

// NoticesRead holds what another node published.
type NoticesRead struct {
	event
	Notices []gossip.Notice
	// PassOn is set if the nodes of this data centre are to be told as well.
	PassOn bool
}

// NotTold says that a node was not reached by a TellNodes.
type NotTold struct {
	event
	Address string
	// Notices is the number of notices.
	Notices int
	// Error describes the cause, for the log.
	Error string
}

// BudgetChanged replaces the bound on extra attempts in the settings.
type BudgetChanged struct {
	event
	Share    float64
	Constant float64
}

// Members lists the nodes that are registered, this one included.
type Members struct {
	event
	Nodes int
	// Peers are those of them that take calls from other nodes.
	Peers []Peer
}

// Action is something that the engine asks its driver to do.
type Action interface{ isAction() }

type action struct{}

func (action) isAction() {}

// Send sends a request to a replica. The driver answers with Replied or Lost.
type Send struct {
	action
	Attempt AttemptID
	Message *Message
	Replica api.ReplicaName
	Address string
	// Brief is set if the connection should not be kept long: other nodes
	// prefer the replica.
	Brief bool
	// Fresh is set if the request needs a connection of its own: a replica may have fallen
	// silent on the open ones.
	Fresh bool
	// Left is how long the caller still waits.
	Left time.Duration
}

// Cancel gives up an attempt: the replica is told by the end of the connection.
// The driver reports nothing more about the attempt.
type Cancel struct {
	action
	Attempt AttemptID
}

// CheckReplica opens a connection to a replica, to see whether its process goes on. The
// connection is kept for the next request. The driver answers with ReplicaChecked.
type CheckReplica struct {
	action
	Replica api.ReplicaName
	Address string
	// Brief is set if the connection should not be kept long.
	Brief bool
}

// CloseIdle closes the idle connections to a replica.
type CloseIdle struct {
	action
	Replica api.ReplicaName
}

// Answer answers an Arrived.
type Answer struct {
	action
	Request api.RequestID
	// Route is the name of the route; empty if there is none.
	Route   string
	Outcome api.Outcome
	Reason  api.Reason
	// Reply is a replica's answer to be passed on unchanged; nil for a sharded
	// route and for answers of the tier's own.
	Reply *Reply
	// Merged is the answer of a sharded route; nil otherwise.
	Merged *Merged
	// RetryAfter is when the caller may come back, if Outcome is NotRun.
	RetryAfter time.Duration
	// More is set if another answer follows with further parts of a Subset.
	More bool
	// DueAt is the target time at which an answer leaves that lacks parts; zero
	// for others. The driver reports AnswerSent for it.
	DueAt time.Time
}

// Merged is the answer of a sharded route.
type Merged struct {
	Proofs  []string
	Missing int
	Body    []byte
	// Ran and Half are set for a Subset: whether a replica may have run the
	// request, and the time until half of the parts were answered, or 0.
	Ran  bool
	Half time.Duration
}

// CallPeer asks another node to run a range of shards. The driver answers with
// CallAccepted, CallReplied and CallLost.
type CallPeer struct {
	action
	Call    CallID
	Node    string
	Address string
	Message *Message
	Subset  Subset
	// Left is how long the caller still waits, Target when the answered parts are
	// to be sent.
	Left   time.Duration
	Target time.Duration
}

// ClearCall tells a node that no other one will be asked for its range.
type ClearCall struct {
	action
	Call CallID
}

// CancelCall gives up a call. The driver reports nothing more about it.
type CancelCall struct {
	action
	Call CallID
}

// WithdrawCall gives up a call of which nothing was heard, if it has not been sent
// yet. The driver answers with CallLost, or with CallUnheard if it was sent.
type WithdrawCall struct {
	action
	Call CallID
}

// PreparePeers opens connections to other nodes before they are needed, and
// closes those to nodes that are not listed any more.
type PreparePeers struct {
	action
	Addresses []string
}

// TellNodes tells notices to other nodes directly. The driver answers with NotTold for
// each that it does not reach.
type TellNodes struct {
	action
	Addresses []string
	Notices   []gossip.Notice
	// PassOn asks the nodes to tell those of their data centre.
	PassOn bool
}

// Publish makes notices known to the other nodes.
type Publish struct {
	action
	Notices []gossip.Notice
}

// Log writes one line of key=value pairs.
type Log struct {
	action
	Event  string
	Fields []any // keys and values in turn
}
