package forward

import (
	"math"
	"slices"
	"strings"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/balance"
	"github.com/baobabsail/baobabsail/core/routing"
)

// The pattern: so many nodes serve callers that each of them may hold less than
// one connection to each replica, sends a replica a request every few seconds,
// and may hedge a few times in a window. Nodes then divide the shards of a route:
// each group of nodes runs one range of them, for all nodes.

const (
	// nodesPerGroup is the least number of nodes for each group: a range is still
	// run if several nodes of its group are lost.
	nodesPerGroup = 3
	// ownShare is the part of the constant of the budget of a shard that the nodes
	// of its group share; the rest is for nodes that run it in their stead.
	ownShare = 0.85
)

// Peer is a node of the system.
type Peer struct {
	Node       string
	DataCentre api.DataCentre
	// Address is where it takes calls from other nodes.
	Address string
}

// groups knows the nodes that take calls, and which shards this node runs for
// all of them.
type groups struct {
	node string
	// nodes lists the nodes of each data centre, this one included, by name.
	nodes map[api.DataCentre][]Peer
	count int
	// addresses and load are those of the other nodes.
	addresses map[string]string
	load      *balance.Replicas
	// shared holds the shards of the routes that are divided: the number of
	// groups and whether this node is in the shard's group.
	shared map[api.ServiceName]sharedShard
}

// sharedShard is a shard that the nodes of one group run.
type sharedShard struct {
	groups int
	own    bool
}

// adopt takes over a list of nodes.
func (g *groups) adopt(peers []Peer) {
	g.nodes = make(map[api.DataCentre][]Peer)
	g.addresses = make(map[string]string)
	g.count = 0
	for _, p := range peers {
		if p.Address == "" {
			continue
		}
		g.count++
		g.nodes[p.DataCentre] = append(g.nodes[p.DataCentre], p)
		if p.Node != g.node {
			g.addresses[p.Node] = p.Address
		}
	}
	for _, list := range g.nodes {
		slices.SortFunc(list, func(a, b Peer) int { return strings.Compare(a.Node, b.Node) })
	}
}

// members returns the nodes of one of n groups in a data centre.
func (g *groups) members(dc api.DataCentre, group, n int) []Peer {
	var found []Peer
	for i, p := range g.nodes[dc] {
		if i%n == group {
			found = append(found, p)
		}
	}
	return found
}

// elsewhere returns the nodes of one of n groups in the other data centres.
func (g *groups) elsewhere(dc api.DataCentre, group, n int) []Peer {
	var found []Peer
	for other := range g.nodes {
		if other != dc {
			found = append(found, g.members(other, group, n)...)
		}
	}
	slices.SortFunc(found, func(a, b Peer) int { return strings.Compare(a.Node, b.Node) })
	return found
}

// index returns the place of this node in its data centre; -1 before its entry is
// read.
func (g *groups) index(dc api.DataCentre) int {
	return slices.IndexFunc(g.nodes[dc], func(p Peer) bool { return p.Node == g.node })
}

// groupCount returns into how many groups the nodes are divided for a route; 1
// if each node runs all shards itself. A request costs the node that divides it a
// call for each group, and the others a part for each shard of a range: both are
// least together if the groups are as many as the shards of a range.
func (e *Engine) groupCount(route *routing.Route) int {
	if !route.Sharded() {
		return 1
	}
	most := e.accepted[route.Shards[0]]
	if most == 0 || preferredShare*float64(most) >= float64(e.nodes) {
		return 1
	}
	n := int(math.Round(math.Sqrt(float64(len(route.Shards)))))
	if n < 2 || e.groups.count < nodesPerGroup*n {
		return 1
	}
	return n
}

// regroup finds out which shards this node runs for all nodes, after a change of
// the nodes or of the configuration.
func (e *Engine) regroup() {
	e.groups.shared = make(map[api.ServiceName]sharedShard)
	if e.table == nil {
		return
	}
	for i := range e.table.Routes {
		route := &e.table.Routes[i]
		n := e.groupCount(route)
		if n == 1 {
			continue
		}
		place := e.groups.index(e.settings.DataCentre)
		for shard, service := range route.Shards {
			own := place >= 0 && groupOf(shard, len(route.Shards), n) == place%n
			e.groups.shared[service] = sharedShard{groups: n, own: own}
		}
	}
	e.preparePeers()
}

// preparePeers asks for connections to the nodes of this data centre, if shards
// are divided.
func (e *Engine) preparePeers() {
	if len(e.groups.shared) == 0 {
		return
	}
	var addresses []string
	for _, p := range e.groups.nodes[e.settings.DataCentre] {
		if p.Node != e.settings.Node {
			addresses = append(addresses, p.Address)
		}
	}
	e.act(PreparePeers{Addresses: addresses})
}

// rangeOf returns the shards that a group runs, the last one excluded.
func rangeOf(group, shards, groups int) (from, to int) {
	return group * shards / groups, (group + 1) * shards / groups
}

// groupOf returns the group that runs a shard.
func groupOf(shard, shards, groups int) int {
	group := shard * groups / shards
	for from, to := rangeOf(group, shards, groups); shard < from || shard >= to; from, to = rangeOf(group, shards, groups) {
		if shard < from {
			group--
		} else {
			group++
		}
	}
	return group
}

// sharers returns how many nodes use the replicas of a service beside each other.
func (e *Engine) sharers(service api.ServiceName) int {
	if s, ok := e.groups.shared[service]; ok && s.own {
		return max((e.nodes+s.groups-1)/s.groups, 1)
	}
	return e.nodes
}

// constantPart returns this node's part of the constant of a service's budget.
func (e *Engine) constantPart(service api.ServiceName) float64 {
	s, ok := e.groups.shared[service]
	switch {
	case !ok:
		return 1 / float64(e.nodes)
	case s.own:
		return ownShare / float64(e.sharers(service))
	}
	return (1 - ownShare) / float64(e.nodes)
}
