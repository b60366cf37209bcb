package forward

import "github.com/baobabsail/baobabsail/core/api"

// This file has the events of attempts at replicas and of the connections to them.

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
