// Package node composes the decision packages into one entry node. A node is
// a deterministic state machine: the same settings, seed and events produce
// the same actions. It is not safe for concurrent use.
package node

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
)

// Peer is another entry node named in the settings.
type Peer struct {
	Name    api.EntryName
	Address string
}

// Settings describe one node.
type Settings struct {
	Name       api.EntryName
	Life       api.Life
	Address    string // where peers reach the node: IP:port
	DataCentre api.DataCentre
	VM         api.VMName
	Peers      []Peer
	Seed       uint64
}

// Node is one entry node.
type Node struct {
	settings Settings
	counts   *count.Set
}

// New returns a node that has not started; the first Step may be any event.
func New(settings Settings) *Node {
	return &Node{settings: settings, counts: count.NewSet()}
}

// Step feeds one event to the node and returns what the driver has to do, in
// order. The slice is valid until the next call of Step.
func (n *Node) Step(now time.Time, ev event.Event) []event.Action {
	return nil
}

// Wake returns the time at which the node wants a Timer event; the zero time
// if it wants none.
func (n *Node) Wake() time.Time { return time.Time{} }

// Counts returns the node's counters.
func (n *Node) Counts() *count.Set { return n.counts }

// Document returns the adopted configuration, or nil if there is none yet. It
// must not be changed.
func (n *Node) Document() *config.Document { return nil }

// ReplicaStatus is what a node knows about one replica.
type ReplicaStatus struct {
	Name        api.ReplicaName
	Service     api.ServiceName
	Usable      bool
	Draining    bool
	Connections int
	InFlight    int
	Latency     time.Duration // smoothed
	Held        []api.ShardVersions
}

// Status is a report for operators.
type Status struct {
	Name       api.EntryName
	Life       api.Life
	Generation uint64
	Revision   uint64
	// ConfigAge is the time since the document was last confirmed by the store
	// or a peer.
	ConfigAge    time.Duration
	ConfigAlarm  api.Reason // ReasonStoreRegressed, or ReasonNone
	Members      []api.EntryName
	Replicas     []ReplicaStatus
	InFlight     int
	ShuttingDown bool
}

// Status returns a report of the node's state.
func (n *Node) Status(now time.Time) Status {
	return Status{Name: n.settings.Name, Life: n.settings.Life}
}

// PlanShard is one shard of a Plan with the replicas that could serve it,
// best first.
type PlanShard struct {
	Shard    api.ShardName
	Replicas []api.ReplicaName
	Missing  api.Reason // why no replica could serve it; ReasonNone if one could
}

// Plan says how a search would run now, without running it.
type Plan struct {
	Refused      api.Reason
	Snapshot     api.Snapshot
	Expected     api.PPM // coverage expected from what replicas are known to hold
	Shards       []PlanShard
	Deadline     time.Duration
	HedgeDelay   time.Duration
	BudgetTokens float64
	Connections  int // open connections to the replicas of the service
	Canary       bool
}

// Explain returns the plan of a search.
func (n *Node) Explain(now time.Time, search api.Search) Plan { return Plan{} }
