// Package event defines what goes into a node and what comes out of it. A
// driver turns sockets and timers into events and carries out actions; a test
// or a simulation does the same without either.
package event

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// Event is something that happened outside the node.
type Event interface{ isEvent() }

type event struct{}

func (event) isEvent() {}

// Timer says that the time returned by Node.Wake has come.
type Timer struct{ event }

// SearchArrived is a search from a caller, or a part of a query from a peer if
// Search.Pin is set.
type SearchArrived struct {
	event
	Request  api.RequestID
	Caller   api.CallerID
	Search   api.Search
	Deadline time.Time // zero takes the rule's
}

// WorkArrived is a work order from a caller.
type WorkArrived struct {
	event
	Request  api.RequestID
	Caller   api.CallerID
	Work     api.Work
	Deadline time.Time // zero takes the rule's
	// Forwarded is set if a peer passed the work order on. It is not passed on
	// again.
	Forwarded bool
}

// CallerGone says that the caller of a request no longer waits.
type CallerGone struct {
	event
	Request api.RequestID
}

// ChangeArrived is a list of operations from an operator.
type ChangeArrived struct {
	event
	Request api.RequestID
	Ops     []config.Op
	Text    string
	Who     string
	Why     string
	// Expected is the revision the operator's change is based on; nil accepts any.
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

// AttemptFailed says that an attempt ended without an answer from the target.
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

// ForwardResult says what became of a work order passed on to a peer.
type ForwardResult uint8

const (
	// ForwardAnswered means that the peer answered.
	ForwardAnswered ForwardResult = iota + 1
	// ForwardNotSent means that the peer certainly did not get the work order.
	ForwardNotSent
	// ForwardLost means that the peer may have got the work order and run it.
	ForwardLost
)

// WorkForwarded is the result of ForwardWork. Answer is set for ForwardAnswered.
type WorkForwarded struct {
	event
	Op     api.OpID
	Result ForwardResult
	Answer api.WorkAnswer
}

// ConnOpened says that a connection asked for by OpenConn is usable.
type ConnOpened struct {
	event
	Conn api.ConnID
	Load api.TargetLoad
}

// ConnEnd says how a connection ended.
type ConnEnd uint8

const (
	// ConnClosed is an orderly end, by either side.
	ConnClosed ConnEnd = iota + 1
	// ConnReset is an end in the middle of the stream.
	ConnReset
	// ConnRefused means that nothing listens at the address.
	ConnRefused
	// ConnTimedOut means that the connection could not be opened in time.
	ConnTimedOut
	// ConnLimited means that the target accepts no more connections.
	ConnLimited
)

// ConnEnded says that a connection could not be opened or has ended. The driver
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

// PeerReceived is a message from another entry.
type PeerReceived struct {
	event
	Message gossip.Message
}

// PeerFailed says that a message to a peer was not delivered.
type PeerFailed struct {
	event
	Peer api.EntryName
}

// ReadResult says how a store read ended.
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
	// Value may be nil if only the revision was asked for.
	Value []byte
	// Revision is the store's revision of the key, for a later WriteStore.
	Revision int64
}

// WriteResult says how a compare-and-swap ended.
type WriteResult uint8

const (
	// WriteApplied means that the value is in the store.
	WriteApplied WriteResult = iota + 1
	// WriteConflict means that the key was at another revision; nothing was written.
	WriteConflict
	// WriteNotSent means that the write certainly did not reach the store.
	WriteNotSent
	// WriteUnknown means that the write may or may not be applied, now or later.
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

// StoreWatchEnded says that a watch ended or could not be started.
type StoreWatchEnded struct {
	event
	Op api.OpID
}

// VM is one row of the platform's VM list.
type VM struct {
	Name    api.VMName
	Leaving bool
}

// VMListRead is the newest VM list of the platform.
type VMListRead struct {
	event
	VMs []VM
}

// ShutdownStarted asks the node to finish what it has and accept no new work
// after the grace period.
type ShutdownStarted struct {
	event
	// AcceptFor is how long the balancer may still send new requests.
	AcceptFor time.Duration
}
