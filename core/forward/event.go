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
	"github.com/baobabsail/baobabsail/core/quota"
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

// CallerGone reports that the caller of a request no longer waits for the answer.
type CallerGone struct {
	event
	Request api.RequestID
}

// AnswerSent reports how long after its target time an answer that was due then was
// handed to the caller's connection.
type AnswerSent struct {
	event
	Late time.Duration
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

// BudgetChanged replaces BudgetShare and BudgetConstant of the settings.
type BudgetChanged struct {
	event
	Share    float64
	Constant float64
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

// Stopping reports that this process stops: other nodes can no longer call it.
type Stopping struct {
	event
	// AcceptFor is how long the load balancer may still send requests to this node.
	AcceptFor time.Duration
	// AnswerWithin is the time after which no more answers can be delivered; 0 means no limit.
	AnswerWithin time.Duration
}
