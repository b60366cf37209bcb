package event

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// Action is an operation that the node asks its driver to perform.
type Action interface{ isAction() }

type action struct{}

func (action) isAction() {}

// SendSearch sends a search to a target. The driver answers with SearchReplied
// or AttemptFailed.
type SendSearch struct {
	action
	Conn    api.ConnID
	Request api.SearchRequest
}

// SendWork sends a work order to a target. The driver never sends it twice and
// answers with WorkReplied or AttemptFailed.
type SendWork struct {
	action
	Conn    api.ConnID
	Request api.WorkRequest
}

// CancelAttempt tells the target that the result of an attempt is no longer
// needed. The driver need not report anything.
type CancelAttempt struct {
	action
	Attempt api.AttemptID
}

// SendPart asks a peer to run a part of a query. The driver answers with
// PartReplied.
type SendPart struct {
	action
	Op       api.OpID
	Peer     api.EntryName
	Address  string
	Caller   api.CallerID
	Search   api.Search
	Deadline time.Time
}

// ForwardWork forwards a work order to a peer. The driver answers with
// WorkForwarded.
type ForwardWork struct {
	action
	Op       api.OpID
	Peer     api.EntryName
	Address  string
	Caller   api.CallerID
	Work     api.Work
	Deadline time.Time
}

// AnswerSearch answers a SearchArrived.
type AnswerSearch struct {
	action
	Request api.RequestID
	Answer  api.SearchAnswer
}

// AnswerWork answers a WorkArrived.
type AnswerWork struct {
	action
	Request api.RequestID
	Answer  api.WorkAnswer
}

// ChangeOutcome is the result of an operator's configuration change.
type ChangeOutcome uint8

const (
	// ChangeAccepted means that the change is confirmed to be in the store.
	ChangeAccepted ChangeOutcome = iota + 1
	// ChangeInvalid means that the change would make the configuration invalid.
	ChangeInvalid
	// ChangeConflict means that a conflicting change was applied first.
	ChangeConflict
	// ChangeRefused means that the change was not written.
	ChangeRefused
	// ChangeUnknown means that the change may or may not be in the store.
	ChangeUnknown
)

// AnswerChange answers a ChangeArrived.
type AnswerChange struct {
	action
	Request api.RequestID
	Outcome ChangeOutcome
	Reason  api.Reason
	// Message explains ChangeInvalid for the operator.
	Message string
	ID      config.ChangeID
	// Revision is the revision of the accepted change, or otherwise of the newest
	// known document.
	Revision uint64
	// Winner is the change that was applied first, for ChangeConflict; nil if
	// unknown.
	Winner     *config.Change
	RetryAfter time.Duration
}

// OpenConn opens a connection to a target. The driver answers with ConnOpened
// or ConnEnded.
type OpenConn struct {
	action
	Conn    api.ConnID
	Replica api.ReplicaName
	Address string
}

// CloseConn closes a connection. The driver reports AttemptFailed for each
// attempt on it, then ConnEnded.
type CloseConn struct {
	action
	Conn api.ConnID
}

// Probe asks the target for its load over a given connection. The driver reports
// ProbeReplied if the target answers.
type Probe struct {
	action
	Conn api.ConnID
}

// SendPeer sends a message to another entry process. The driver reports
// PeerFailed if the message could not be delivered.
type SendPeer struct {
	action
	Peer    api.EntryName
	Address string
	Message gossip.Message
}

// ReadStore reads a key from the store. With RevisionOnly, the driver need not
// transfer the value.
type ReadStore struct {
	action
	Op           api.OpID
	Key          string
	RevisionOnly bool
}

// WriteStore writes a key if the key is still at revision IfRevision; 0 means
// that the key must not exist. The driver never repeats a write.
type WriteStore struct {
	action
	Op         api.OpID
	Key        string
	Value      []byte
	IfRevision int64
}

// WatchStore watches a key for changes after the store revision After.
type WatchStore struct {
	action
	Op    api.OpID
	Key   string
	After int64
}

// CancelWatch ends a watch.
type CancelWatch struct {
	action
	Op api.OpID
}

// Log writes one log line of key=value pairs.
type Log struct {
	action
	Event  string
	Fields []api.Field
}

// Stopped reports that the shutdown is complete: no request is in flight.
type Stopped struct{ action }
