package node

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/fanout"
	"github.com/baobabsail/baobabsail/core/quarantine"
)

// maxReadyDelay bounds how long a node with a configuration waits for its
// connections before it reports ready: targets that are down must not keep every
// node out of service.
const maxReadyDelay = 2 * time.Second

// NotReady returns the reason why the balancer should not send requests to this
// node yet, or ReasonNone. Once ready, a node stays ready until its shutdown.
func (n *Node) NotReady(now time.Time) api.Reason {
	switch {
	case n.shutdown.started:
		return api.ReasonShuttingDown
	case n.ready:
		return api.ReasonNone
	case n.document == nil:
		return api.ReasonNoConfiguration
	case now.Sub(n.configuredAt) < maxReadyDelay && !n.allConnected():
		return api.ReasonNoConnection
	}
	n.ready = true
	return api.ReasonNone
}

// allConnected reports whether each replica has an open connection.
func (n *Node) allConnected() bool {
	for name := range n.document.Replicas {
		if n.conns.OpenCount(name) == 0 {
			return false
		}
	}
	return true
}

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

// Status is a status report for operators.
type Status struct {
	Name       api.EntryName
	Life       api.Life
	Generation uint64
	Revision   uint64
	// ConfigAge is the time since the store or a peer last confirmed the document.
	ConfigAge    time.Duration
	ConfigAlarm  api.Reason // ReasonStoreRegressed, or ReasonNone
	Members      []api.EntryName
	Replicas     []ReplicaStatus
	InFlight     int
	ShuttingDown bool
}

// Status returns a report of the node's state.
func (n *Node) Status(now time.Time) Status {
	s := Status{
		Name: n.settings.Name, Life: n.settings.Life,
		ConfigAlarm:  n.config.Alarm(),
		InFlight:     len(n.searches) + len(n.works),
		ShuttingDown: n.shutdown.started,
	}
	for _, m := range n.peers.Members(now) {
		s.Members = append(s.Members, m.Name)
	}
	if n.document == nil {
		return s
	}
	s.Generation, s.Revision = n.document.Generation, n.document.Revision
	s.ConfigAge = now.Sub(n.config.ConfirmedAt())
	for _, name := range n.document.ReplicaNames() {
		s.Replicas = append(s.Replicas, n.replicaStatus(now, name))
	}
	return s
}

func (n *Node) replicaStatus(now time.Time, name api.ReplicaName) ReplicaStatus {
	usable, reason := n.replicas.Usable(now, name)
	latency, _ := n.replicas.Latency(name)
	return ReplicaStatus{
		Name: name, Service: n.document.Replicas[name].Service,
		Usable: usable, Draining: reason == api.ReasonDraining,
		Connections: n.conns.OpenCount(name), InFlight: n.replicas.InFlight(name),
		Latency: latency, Held: n.versions.Held(name),
	}
}

// PlanShard is one shard of a Plan and the replicas that can serve it.
type PlanShard struct {
	Shard    api.ShardName
	Replicas []api.ReplicaName
	Missing  api.Reason // why no replica could serve it; ReasonNone if one could
}

// Plan describes how a search would run now.
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

// Explain returns the plan of a search without running it.
func (n *Node) Explain(now time.Time, query api.Search) Plan {
	name := query.Query.Service
	rule, refusal := n.ruleFor(now, name, config.KindSearch)
	if refusal != api.ReasonNone {
		return Plan{Refused: refusal}
	}
	s := &search{
		arrived:     event.SearchArrived{Search: query},
		rule:        rule,
		fingerprint: quarantine.Fingerprint(query.Query),
		start:       now,
		deadline:    now.Add(rule.Deadline),
	}
	plan := Plan{
		Deadline:     rule.Deadline,
		HedgeDelay:   n.hedgeDelay(name, rule.Deadline),
		BudgetTokens: n.budget.Tokens(name),
		Canary:       rule.Canary && !n.quarantine.WasAnswered(s.fingerprint),
	}
	for _, r := range n.document.ReplicasOf(name) {
		plan.Connections += n.conns.OpenCount(r)
	}
	choice, shards, ok := n.chooseSnapshot(now, s)
	if !ok {
		plan.Refused = n.noSnapshotReason(now, name)
		return plan
	}
	plan.Snapshot, plan.Expected = choice.Snapshot, choice.Share
	for i := range shards {
		plan.Shards = append(plan.Shards, n.planShard(now, &shards[i], choice.Snapshot))
	}
	return plan
}

func (n *Node) planShard(now time.Time, shard *config.Shard, at api.Snapshot) PlanShard {
	candidates, reason := n.candidates(now, shard.Replicas, nil, "", at, shard.Name)
	return PlanShard{Shard: shard.Name, Replicas: slices.Clone(candidates), Missing: reason}
}

var _ fanout.Env = (*Node)(nil)
