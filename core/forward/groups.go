package forward

import (
	"math"
	"slices"
	"strings"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/balance"
	"github.com/baobabsail/baobabsail/core/routing"
)

// Division of a route's shards among groups of nodes. It is used when there are so many nodes
// that each may hold less than one connection to each replica, sends a request to a replica
// only every few seconds, and may hedge only a few times per budget window. Each group then
// runs one range of the shards on behalf of all nodes.

const (
	// minNodesPerGroup is the minimum number of nodes per group, so that a range can still run
	// after the loss of several nodes of its group.
	minNodesPerGroup = 3
)

// Peer is a node that may take calls from other nodes.
type Peer struct {
	Node       string
	DataCentre api.DataCentre
	// Address is where the node accepts calls from other nodes; empty if it accepts none.
	Address string
	// Cores is the number of processor cores of the node; 0 if unknown.
	Cores float64
	// Missing holds the features that the node does not know.
	Missing Feature
}

// nodeGroups holds the nodes that accept calls and the shards that this node runs on behalf of
// all nodes.
type nodeGroups struct {
	node string
	// nodes lists the nodes of each data centre, including this one, sorted by name.
	nodes map[api.DataCentre][]Peer
	count int
	// addresses holds the call addresses of the other nodes by name.
	addresses map[string]string
	// balancer chooses among the other nodes by their observed load and failures.
	balancer *balance.Replicas
	// sharedShards holds the shards of divided routes.
	sharedShards map[api.ServiceName]sharedShard
}

// sharedShard says for a shard of a divided route how many groups there are and whether this
// node belongs to the group that runs the shard.
type sharedShard struct {
	groups int
	own    bool
}

// adopt replaces the list of nodes.
func (g *nodeGroups) adopt(peers []Peer) {
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

// members returns the nodes in a data centre that belong to one of n groups.
func (g *nodeGroups) members(dc api.DataCentre, group, n int) []Peer {
	var found []Peer
	for i, p := range g.nodes[dc] {
		if i%n == group {
			found = append(found, p)
		}
	}
	return found
}

// remoteMembers returns the nodes outside a data centre that belong to one of n groups.
func (g *nodeGroups) remoteMembers(dc api.DataCentre, group, n int) []Peer {
	var found []Peer
	for other := range g.nodes {
		if other != dc {
			found = append(found, g.members(other, group, n)...)
		}
	}
	slices.SortFunc(found, func(a, b Peer) int { return strings.Compare(a.Node, b.Node) })
	return found
}

// ownIndex returns the position of this node among the nodes of its data centre, or -1 if it
// is not listed yet.
func (g *nodeGroups) ownIndex(dc api.DataCentre) int {
	return slices.IndexFunc(g.nodes[dc], func(p Peer) bool { return p.Node == g.node })
}

// groupCount returns the number of groups among which the shards of a route are divided, or 1
// if each node runs all shards itself. A request costs one call per group on the dividing node
// and one part per shard of the range on each other node. The sum is lowest when the number of
// groups equals the number of shards in a range, hence the square root.
func (e *Engine) groupCount(route *routing.Route) int {
	if !route.Sharded() {
		return 1
	}
	accepted := e.maxConnections[route.Shards[0]]
	if accepted == 0 || preferredShare*float64(accepted) >= float64(e.nodeCount) {
		return 1
	}
	n := int(math.Round(math.Sqrt(float64(len(route.Shards)))))
	if n < 2 || e.groups.count < minNodesPerGroup*n {
		return 1
	}
	return n
}

// regroup recomputes which shards this node runs for all nodes after a change of the nodes or
// of the configuration.
func (e *Engine) regroup() {
	e.groups.sharedShards = make(map[api.ServiceName]sharedShard)
	if e.table == nil {
		return
	}
	// grouped holds the last grouped shards by the first one: many routes have the same shards.
	grouped := make(map[api.ServiceName][]api.ServiceName)
	for i := range e.table.Routes {
		route := &e.table.Routes[i]
		n := e.groupCount(route)
		if n == 1 || slices.Equal(grouped[route.Shards[0]], route.Shards) {
			continue
		}
		grouped[route.Shards[0]] = route.Shards
		index := e.groups.ownIndex(e.settings.DataCentre)
		for shard, service := range route.Shards {
			own := index >= 0 && groupOf(shard, len(route.Shards), n) == index%n
			e.groups.sharedShards[service] = sharedShard{groups: n, own: own}
		}
	}
	e.preparePeers()
}

// preparePeers requests connections to the allocators of the accounts that have a quota, and to
// the other nodes of this data centre if any shards are divided.
func (e *Engine) preparePeers() {
	addresses := e.allocatorAddresses()
	if len(e.groups.sharedShards) == 0 && len(addresses) == 0 {
		return
	}
	if len(e.groups.sharedShards) > 0 {
		for _, p := range e.groups.nodes[e.settings.DataCentre] {
			if p.Node != e.settings.Node && !slices.Contains(addresses, p.Address) {
				addresses = append(addresses, p.Address)
			}
		}
	}
	e.emit(PreparePeers{Addresses: addresses})
}

// rangeOf returns the shards of a group, with to excluded.
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

// sharingNodes returns the number of nodes that share the replicas of a service.
func (e *Engine) sharingNodes(service api.ServiceName) int {
	if s, ok := e.groups.sharedShards[service]; ok && s.own {
		return max((e.nodeCount+s.groups-1)/s.groups, 1)
	}
	return e.nodeCount
}
