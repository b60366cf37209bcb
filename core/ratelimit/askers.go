package ratelimit

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

const (
	// askedTime is how long a request of a node shows that it relies on this one. A node that needs
	// permits of a used-up limit asks every maxRetryAfter at least.
	askedTime = 3 * time.Second
	// reliedTime is how long a node does not rely on another node after a request to one. It exceeds
	// askedTime by the longest time for which a request is under way.
	reliedTime = askedTime + time.Second
)

// Askers holds which nodes rely on this one for the permits of each replica.
type Askers struct {
	askedAt map[api.ReplicaName]map[string]time.Time
}

// NewAskers returns Askers without nodes.
func NewAskers() *Askers { return &Askers{askedAt: make(map[api.ReplicaName]map[string]time.Time)} }

// Asked records a request for permits of a replica. The name is that of the node that asks if it
// relies on this one; a request without a name does not count.
func (a *Askers) Asked(now time.Time, replica api.ReplicaName, node string) {
	if node == "" {
		return
	}
	nodes := a.askedAt[replica]
	if nodes == nil {
		nodes = make(map[string]time.Time)
		a.askedAt[replica] = nodes
	}
	nodes[node] = now
}

// Count returns the number of nodes that rely on this one for a replica.
func (a *Askers) Count(now time.Time, replica api.ReplicaName) int {
	nodes := a.askedAt[replica]
	for node, at := range nodes {
		if now.Sub(at) >= askedTime {
			delete(nodes, node)
		}
	}
	if len(nodes) == 0 {
		delete(a.askedAt, replica)
	}
	return len(nodes)
}

// Tick forgets the nodes that ask no more.
func (a *Askers) Tick(now time.Time) {
	for replica := range a.askedAt {
		a.Count(now, replica)
	}
}

// Reliance holds on which node this one relies for the permits of each replica: on one at a time, so
// that no two nodes count it among their Askers.
type Reliance struct {
	on map[api.ReplicaName]reliedNode
}

// reliedNode is the node that this one last relied on, and when it last asked that node.
type reliedNode struct {
	node string
	at   time.Time
}

// NewReliance returns a Reliance on no node.
func NewReliance() *Reliance { return &Reliance{on: make(map[api.ReplicaName]reliedNode)} }

// Ask records that this node asks another one, or itself, for permits of a replica, and reports
// whether it relies on that node: it has relied on no other one for reliedTime.
func (r *Reliance) Ask(now time.Time, replica api.ReplicaName, node string) bool {
	if last, ok := r.on[replica]; ok && last.node != node && now.Sub(last.at) < reliedTime {
		return false
	}
	r.on[replica] = reliedNode{node: node, at: now}
	return true
}

// Tick forgets the nodes that were not asked for reliedTime.
func (r *Reliance) Tick(now time.Time) {
	for replica, last := range r.on {
		if now.Sub(last.at) >= reliedTime {
			delete(r.on, replica)
		}
	}
}
