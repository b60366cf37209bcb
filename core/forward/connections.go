package forward

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/routing"
)

const (
	// connectionShare is the fraction of a replica's connections that all nodes together
	// use. The rest covers connections left open by nodes that were lost.
	connectionShare = 0.85
	// preferredShare is the fraction of a replica's connections used by the nodes that
	// prefer it. If all nodes lose power, their old connections stay open for some
	// seconds beside the new ones, so less than half may be in use.
	preferredShare = 0.45
	// minConnectBackoff and maxConnectBackoff limit the time before another connection
	// is opened to a replica that has reached its connection limit. The time doubles
	// with each further rejection.
	minConnectBackoff = 50 * time.Millisecond
	maxConnectBackoff = time.Second
)

// connections tracks the connections to one replica. Each connection carries one request
// at a time.
type connections struct {
	// open is the number of connections that the driver has reported as open.
	open int
	// used is the number of attempts in flight. Each has its own connection, which may
	// still be opening.
	used int
	// nextOpenAt is when the next connection may be opened after the replica rejected
	// one.
	nextOpenAt time.Time
	// backoff is the time from that rejection to nextOpenAt.
	backoff time.Duration
}

func (e *Engine) connections(name api.ReplicaName) *connections {
	c := e.conns[name]
	if c == nil {
		c = &connections{}
		e.conns[name] = c
	}
	return c
}

// adoptLimits takes the connection limits from a configuration. The limit of a service
// that the configuration no longer contains stays in force while the service has
// replicas: requests of the previous configuration still go there.
func (e *Engine) adoptLimits(t *routing.Table) {
	for service := range e.maxConnections {
		if len(e.registry.byService[service]) == 0 {
			delete(e.maxConnections, service)
		}
	}
	for name, service := range t.Services {
		e.maxConnections[name] = service.MaxConnections
	}
}

// quota returns how many connections this node may use at one replica: its share of what
// the replica accepts, but no more than are needed to keep the replica's slots busy.
func (e *Engine) quota(service api.ServiceName, slots int) int {
	quota := 2 * max(slots, 1)
	if limit := e.maxConnections[service]; limit > 0 {
		quota = min(quota, int(connectionShare*float64(limit)/float64(e.sharingNodes(service))))
	}
	return max(quota, 1)
}

// preferredRank returns the highest rank at which this node prefers a replica of a
// service. If preferredShare is less than one connection for each node, the nodes divide
// the replicas among them: a node prefers those of low rank, and at least the one of
// lowest rank. The rank is a hash of both names, so the nodes need not communicate.
func (e *Engine) preferredRank(service api.ServiceName) float64 {
	limit := e.maxConnections[service]
	share := preferredShare * float64(limit) / float64(e.sharingNodes(service))
	if limit == 0 || share >= 1 {
		return 1
	}
	lowest := 1.0
	for _, name := range e.registry.byService[service] {
		if entry := e.registry.entries[name]; !entry.draining() && !e.evacuated(entry) {
			lowest = min(lowest, entry.rank)
		}
	}
	return max(share, lowest)
}

// rank returns a number from 0 to 1 for this node and a replica. The ranks of a replica
// are spread evenly over the nodes.
func (e *Engine) rank(name api.ReplicaName) float64 {
	return float64(xxhash.Sum64String(e.settings.Node+"/"+string(name))) / math.MaxUint64
}

// hasCapacity reports whether an attempt may go to a replica now: over an idle connection,
// or over a new one if the quota allows it and the replica has not recently rejected
// one.
func (c *connections) hasCapacity(now time.Time, quota int) bool {
	if c.used >= quota {
		return false
	}
	return c.used < c.open || !now.Before(c.nextOpenAt)
}

// hasCapacity reports whether an attempt of this node may go to a replica now.
func (e *Engine) hasCapacity(now time.Time, entry *registryEntry) bool {
	quota := e.quota(entry.Service, entry.Slots)
	if c := e.conns[entry.Replica]; c != nil {
		return c.hasCapacity(now, quota)
	}
	return quota > 0
}

// connectionLimitReached handles a replica that accepts no more connections. Connections
// of lost nodes count towards its limit until it notices their loss.
func (e *Engine) connectionLimitReached(now time.Time, a *attempt) {
	c := e.connections(a.replica)
	if now.Before(c.nextOpenAt) {
		return // another connection was rejected at the same time
	}
	c.backoff = min(max(2*c.backoff, minConnectBackoff), maxConnectBackoff)
	c.nextOpenAt = now.Add(c.backoff)
	e.timers.Add(c.nextOpenAt, timer{service: a.service})
}

func (e *Engine) connOpened(ev ConnOpened) {
	e.connections(ev.Replica).open++
	if a := e.attempts[ev.Attempt]; a != nil {
		a.dialing = false
	} else {
		e.closeIfEvacuated(ev.Replica) // opened by a check, or for an attempt that was cancelled
	}
}

func (e *Engine) connEnded(now time.Time, ev ConnEnded) {
	c := e.connections(ev.Replica)
	c.open = max(c.open-1, 0)
	if ev.ByReplica {
		e.suspectCold(now, ev.Replica)
	}
	e.dropConnections(ev.Replica)
}

// dropConnections removes the record of a replica that is no longer registered and has
// no connections.
func (e *Engine) dropConnections(name api.ReplicaName) {
	c := e.conns[name]
	if c != nil && c.open == 0 && c.used == 0 && e.registry.entries[name] == nil {
		delete(e.conns, name)
	}
}
