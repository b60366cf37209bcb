// Package event defines the inputs of a node, its events, and the outputs of a
// node, its actions. A driver turns network traffic and timers into events and
// carries out the actions; a test or a simulation does so without sockets or real
// timers.
package event

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// Event is an occurrence outside the node that is reported to it.
type Event interface{ isEvent() }

type event struct{}

func (event) isEvent() {}

// Timer reports that the time returned by Node.NextTick has been reached.
type Timer struct{ event }

// SearchArrived is a search from a caller, or a part of a query from a peer if
// Search.Pin is set.
type SearchArrived struct {
	event
	Request  api.RequestID
	Caller   api.CallerID
	Search   api.Search
	Deadline time.Time // the zero time selects the rule's deadline
}

// WorkArrived is a work order from a caller.
type WorkArrived struct {
	event
	Request  api.RequestID
	Caller   api.CallerID
	Work     api.Work
	Deadline time.Time // the zero time selects the rule's deadline
	// Forwarded is set if a peer forwarded the work order. It is not forwarded
	// again.
	Forwarded bool
}

// CallerGone reports that the caller of a request no longer waits for the answer.
type CallerGone struct {
	event
	Request api.RequestID
}

// ChangeArrived is a configuration change from an operator, as a list of
// operations.
type ChangeArrived struct {
	event
	Request api.RequestID
	Ops     []config.Op
	Text    string
	Who     string
	Why     string
	// Expected is the revision that the change is based on; nil accepts any.
	Expected *uint64
}

// SearchReplied is a target's answer to SendSearch.
type SearchReplied struct {
	event
	Conn api.ConnID
	// Attempt is the attempt that the call was made for; Reply.Attempt is what
	// the target echoed.
	Attempt api.AttemptID
	Reply   api.SearchReply
}

// WorkReplied is a target's answer to SendWork.
type WorkReplied struct {
	event
	Conn api.ConnID
	// Attempt is the attempt that the call was made for; Reply.Attempt is what
	// the target echoed.
	Attempt api.AttemptID
	Reply   api.WorkReply
}

// AttemptFailed reports that an attempt ended without an answer from the target.
type AttemptFailed struct {
	event
	Attempt api.AttemptID
	Conn    api.ConnID
	// NeverSent is true only if no byte of the request was handed to the
	// connection.
	NeverSent bool
}

// PartReplied is a peer's answer to SendPart; Answer.Outcome is Unknown if the
// peer could not be reached.
type PartReplied struct {
	event
	Op     api.OpID
	Answer api.SearchAnswer
}

// ForwardResult is the result of forwarding a work order to a peer.
type ForwardResult uint8

const (
	// ForwardAnswered means that the peer answered.
	ForwardAnswered ForwardResult = iota + 1
	// ForwardNotSent means that the peer definitely did not receive the work order.
	ForwardNotSent
	// ForwardLost means that the peer may have received the work order and run it.
	ForwardLost
)

// WorkForwarded is the result of ForwardWork. Answer is set for ForwardAnswered.
type WorkForwarded struct {
	event
	Op     api.OpID
	Result ForwardResult
	Answer api.WorkAnswer
}

// ConnOpened reports that a connection requested by OpenConn is usable.
type ConnOpened struct {
	event
	Conn api.ConnID
	Load api.TargetLoad
}

// ConnEnd is the way in which a connection ended.
type ConnEnd uint8

const (
	// ConnClosed means that either side closed the connection in an orderly way.
	ConnClosed ConnEnd = iota + 1
	// ConnReset means that the connection broke in the middle of the stream.
	ConnReset
	// ConnRefused means that no process listens at the address.
	ConnRefused
	// ConnTimedOut means that the connection could not be opened in time.
	ConnTimedOut
	// ConnLimited means that the target accepts no more connections.
	ConnLimited
)

// ConnEnded reports that a connection could not be opened or has ended. The driver
// reports AttemptFailed for each attempt on it before ConnEnded.
type ConnEnded struct {
	event
	Conn api.ConnID
	End  ConnEnd
}

// ProbeReplied is a target's answer to Probe.
type ProbeReplied struct {
	event
	Conn api.ConnID
	Load api.TargetLoad
}

// PeerReceived is a message from another entry process.
type PeerReceived struct {
	event
	Message gossip.Message
}

// PeerFailed reports that a message to a peer was not delivered.
type PeerFailed struct {
	event
	Peer api.EntryName
}

// ReadResult is the result of a store read.
type ReadResult uint8

const (
	// ReadFound means that the key has a value.
	ReadFound ReadResult = iota + 1
	// ReadAbsent means that the key does not exist.
	ReadAbsent
	// ReadFailed means that the store gave no answer.
	ReadFailed
)

// StoreRead is the result of ReadStore.
type StoreRead struct {
	event
	Op     api.OpID
	Result ReadResult
	// Value may be nil if only the revision was requested.
	Value []byte
	// Revision is the key's revision in the store, for a later WriteStore.
	Revision int64
}

// WriteResult is the result of a store write, which is a compare-and-swap.
type WriteResult uint8

const (
	// WriteApplied means that the value is in the store.
	WriteApplied WriteResult = iota + 1
	// WriteConflict means that the key was at another revision and nothing was
	// written.
	WriteConflict
	// WriteNotSent means that the write definitely did not reach the store.
	WriteNotSent
	// WriteUnknown means that the write may have been applied, may still be applied
	// later, or may never be applied.
	WriteUnknown
)

// StoreWritten is the result of WriteStore.
type StoreWritten struct {
	event
	Op       api.OpID
	Result   WriteResult
	Revision int64
}

// StoreChanged reports a new value of a watched key.
type StoreChanged struct {
	event
	Op       api.OpID
	Value    []byte
	Revision int64
}

// StoreWatchEnded reports that a watch ended or could not be started.
type StoreWatchEnded struct {
	event
	Op api.OpID
}

// VM is one entry of the platform's VM list; Leaving repeats the flag of that name in
// the list.
type VM struct {
	Name    api.VMName
	Leaving bool
}

// VMListRead is the newest VM list of the platform.
type VMListRead struct {
	event
	VMs []VM
}

// ShutdownStarted asks the node to finish its requests in flight and to refuse
// new ones after a grace period.
type ShutdownStarted struct {
	event
	// AcceptFor is the grace period, during which the load balancer may still send
	// new requests.
	AcceptFor time.Duration
}
