package forward

import (
	"math"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/ratelimit"
)

// The nodes that accept calls are ordered by a hash for each replica, so that they need not agree on
// an order. This file has the order and the place of this node in it.

// orderedNode is a node in the order for a replica. The node is empty after the last one.
type orderedNode struct {
	node string
	hash uint64
}

// firstInOrder returns the first node in the order for a replica.
func (e *Engine) firstInOrder(replica api.ReplicaName) orderedNode {
	return e.nextInOrder(replica, orderedNode{})
}

// nextInOrder returns the node after a given one.
func (e *Engine) nextInOrder(replica api.ReplicaName, after orderedNode) orderedNode {
	next := orderedNode{hash: math.MaxUint64}
	for _, peers := range e.groups.nodes {
		for _, p := range peers {
			h := ratelimit.AllocatorHash(p.Node, replica)
			if h < next.hash && (after.node == "" || h > after.hash) {
				next = orderedNode{node: p.Node, hash: h}
			}
		}
	}
	return next
}

// place returns the place of this node in the order for a replica.
func (e *Engine) place(now time.Time, replica api.ReplicaName) ratelimit.Place {
	p := ratelimit.Place{Askers: e.askers(now, replica)}
	for _, peers := range e.groups.nodes {
		for _, other := range peers {
			if other.Node == e.settings.Node {
				continue
			}
			if ratelimit.AllocatorHash(other.Node, replica) > ratelimit.AllocatorHash(e.settings.Node, replica) {
				continue
			}
			gone, ended := e.limits.health.Gone(now, other.Node)
			switch {
			case ended:
				p.Ended++
			case gone:
				p.Position++
			default:
				p.Position++
				p.Live++
			}
		}
	}
	return p
}

// askers returns the fraction of the nodes, without the allocator, that rely on this one for the
// permits of a replica. Nodes that have just left the list count, since it may lack them by mistake.
func (e *Engine) askers(now time.Time, replica api.ReplicaName) float64 {
	nodes := max(e.groups.count, e.nodeCount)
	return float64(e.limits.askers.Count(now, replica)) / float64(max(nodes-1, 1))
}

// allocators returns the nodes that can be the allocator of a replica, sorted by name.
func (e *Engine) allocators() []string {
	var nodes []string
	for _, peers := range e.groups.nodes {
		for _, p := range peers {
			nodes = append(nodes, p.Node)
		}
	}
	if len(nodes) == 0 && e.nodeCount == 1 {
		nodes = append(nodes, e.settings.Node) // the only node accepts no calls
	}
	slices.Sort(nodes)
	return nodes
}
