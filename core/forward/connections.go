package forward

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/routing"
)

const (
	// connectionShare is the part of a replica's connections that the nodes
	// use; the rest covers connections that lost nodes left behind.
	connectionShare = 0.85
	// preferredShare is the part of a replica's connections that nodes use which
	// prefer it. If all nodes lose power, those connections stay open for some
	// seconds beside the new ones, so that less than half may be in use.
	preferredShare = 0.45
	// pauseFirst and pauseMost bound the wait before another connection is
	// opened to a replica that accepts no more; it doubles.
	pauseFirst = 50 * time.Millisecond
	pauseMost  = time.Second
)

// connections is what is known of the connections to one replica. Each carries
// one request at a time.
type connections struct {
	// open is the number of connections that the driver reported as open.
	open int
	// used is the number of attempts on their way, each on its own connection,
	// which may still be opening.
	used int
	// opensAt is when the next connection may be opened, after one was not accepted.
	opensAt time.Time
	// wait is the time between that and opensAt.
	wait time.Duration
}

func (e *Engine) connections(name api.ReplicaName) *connections {
	c := e.conns[name]
	if c == nil {
		c = &connections{}
		e.conns[name] = c
	}
	return c
}

// adoptLimits takes the numbers of connections from a configuration. That of a
// service which it no longer names holds while there are replicas: requests of
// the former configuration still go there.
func (e *Engine) adoptLimits(t *routing.Table) {
	for service := range e.accepted {
		if len(e.registry.byService[service]) == 0 {
			delete(e.accepted, service)
		}
	}
	for name, service := range t.Services {
		e.accepted[name] = service.MaxConnections
	}
}

// quota returns how many connections this node may use at one replica: its
// part of what the replica accepts, and no more than keeps its slots busy.
func (e *Engine) quota(service api.ServiceName, slots int) int {
	quota := 2 * max(slots, 1)
	if most := e.accepted[service]; most > 0 {
		quota = min(quota, int(connectionShare*float64(most)/float64(e.sharers(service))))
	}
	return max(quota, 1)
}

// preferredRank returns the rank up to which a node prefers the replicas of a
// service. If the preferred share is less than one connection for each node, the
// nodes share the replicas: a node prefers those of low rank, a hash of both
// names, and at least the one of the lowest rank. No exchange is needed.
func (e *Engine) preferredRank(service api.ServiceName) float64 {
	most := e.accepted[service]
	part := preferredShare * float64(most) / float64(e.sharers(service))
	if most == 0 || part >= 1 {
		return 1
	}
	lowest := 1.0
	for _, name := range e.registry.byService[service] {
		if entry := e.registry.entries[name]; !entry.Draining {
			lowest = min(lowest, entry.rank)
		}
	}
	return max(part, lowest)
}

// rank returns a number from 0 to 1 for this node and a replica, evenly spread
// over nodes.
func (e *Engine) rank(name api.ReplicaName) float64 {
	return float64(xxhash.Sum64String(e.settings.Node+"/"+string(name))) / math.MaxUint64
}

// hasRoom reports whether an attempt may go to a replica now: over an idle
// connection, or over a new one if that is within the quota and the replica has
// not just ended one.
func (c *connections) hasRoom(now time.Time, quota int) bool {
	if c.used >= quota {
		return false
	}
	return c.used < c.open || !now.Before(c.opensAt)
}

// limited handles a replica that accepts no more connections: those of nodes
// that were lost count until it notices.
func (e *Engine) limited(now time.Time, a *attempt) {
	c := e.connections(a.replica)
	if now.Before(c.opensAt) {
		return // one of several at the same time
	}
	c.wait = min(max(2*c.wait, pauseFirst), pauseMost)
	c.opensAt = now.Add(c.wait)
	e.timers.Set(c.opensAt, timer{service: a.service})
}

func (e *Engine) connOpened(ev ConnOpened) {
	e.connections(ev.Replica).open++
	if a := e.attempts[ev.Attempt]; a != nil {
		a.dialing = false
	}
}

func (e *Engine) connEnded(name api.ReplicaName) {
	c := e.connections(name)
	c.open = max(c.open-1, 0)
	e.dropConnections(name)
}

// dropConnections forgets a replica that is gone and has no connections.
func (e *Engine) dropConnections(name api.ReplicaName) {
	c := e.conns[name]
	if c != nil && c.open == 0 && c.used == 0 && e.registry.entries[name] == nil {
		delete(e.conns, name)
	}
}
