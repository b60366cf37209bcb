package forward

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/routing"
)

// The pattern: the replicas of a route's shards are in some data centres only, and
// callers reach nodes in all of them. A node far from the replicas has each part cross
// between data centres; a node beside them sends the merged records of a range. And the
// fewer nodes run a range, the sooner they know which replicas are slow.

const (
	// homeShare is the part of the shards of a range that have a replica in the data
	// centre that runs it.
	homeShare = 0.5
	// homesInterval is how often it is looked at again where the replicas are.
	homesInterval = 5 * time.Second
)

// homes holds which data centre runs the ranges of routes for this node.
type homes struct {
	ranges map[rangeKey]api.DataCentre
	at     time.Time
}

// rangeKey identifies a range by its route's first shard, its number and how many there
// are.
type rangeKey struct {
	first  api.ServiceName
	group  int
	groups int
}

// homeOf returns the data centre whose nodes run a range for this node: its own if
// replicas are there, or else one of those with replicas, not the same for all ranges.
func (e *Engine) homeOf(now time.Time, route *routing.Route, group, groups int) api.DataCentre {
	if now.Sub(e.homes.at) >= homesInterval {
		e.homes.at = now
		e.updateHomes()
	}
	if dc, ok := e.homes.ranges[rangeKey{route.Shards[0], group, groups}]; ok {
		return dc
	}
	return e.settings.DataCentre
}

// updateHomes finds out where the ranges of all divided routes are run, and asks for
// connections to these nodes.
func (e *Engine) updateHomes() {
	before := e.homes.ranges
	e.homes.ranges = make(map[rangeKey]api.DataCentre)
	if e.table == nil {
		return
	}
	for i := range e.table.Routes {
		route := &e.table.Routes[i]
		n := e.groupCount(route)
		for group := 0; n > 1 && group < n; group++ {
			key := rangeKey{route.Shards[0], group, n}
			e.homes.ranges[key] = e.findHome(route, group, n, before[key])
		}
	}
	e.preparePeers()
}

// findHome returns the data centre that runs a range, the former one if it still can.
func (e *Engine) findHome(route *routing.Route, group, n int, former api.DataCentre) api.DataCentre {
	from, to := rangeOf(group, len(route.Shards), n)
	here := make(map[api.DataCentre]int)
	for _, shard := range route.Shards[from:to] {
		for dc := range e.replicaCentres(shard) {
			here[dc]++
		}
	}
	own := e.settings.DataCentre
	enough := func(dc api.DataCentre) bool {
		return float64(here[dc]) >= homeShare*float64(to-from) && len(e.groups.members(dc, group, n)) > 0
	}
	if enough(own) {
		return own
	}
	if former != "" && former != own && enough(former) {
		return former
	}
	var able []api.DataCentre
	for dc := range here {
		if enough(dc) {
			able = append(able, dc)
		}
	}
	if len(able) == 0 {
		return own
	}
	slices.Sort(able)
	return able[(group+e.groups.centreIndex(own))%len(able)]
}

// replicaCentres returns where the replicas of a shard are.
func (e *Engine) replicaCentres(shard api.ServiceName) map[api.DataCentre]bool {
	out := make(map[api.DataCentre]bool)
	for _, name := range e.registry.byService[shard] {
		if entry := e.registry.entries[name]; !entry.Draining {
			out[entry.DataCentre] = true
		}
	}
	return out
}

// homePeers returns the nodes that run ranges for this one.
func (e *Engine) homePeers() []string {
	seen := make(map[string]bool)
	var addresses []string
	add := func(p Peer) {
		if p.Node != e.settings.Node && !seen[p.Address] {
			seen[p.Address] = true
			addresses = append(addresses, p.Address)
		}
	}
	local := len(e.homes.ranges) == 0
	for key, dc := range e.homes.ranges {
		if dc == e.settings.DataCentre {
			local = true
			continue
		}
		for _, p := range e.groups.members(dc, key.group, key.groups) {
			add(p)
		}
	}
	if local {
		for _, p := range e.groups.nodes[e.settings.DataCentre] {
			add(p)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// centreIndex returns the place of a data centre among those with nodes.
func (g *groups) centreIndex(dc api.DataCentre) int {
	index := 0
	for other := range g.nodes {
		if other < dc {
			index++
		}
	}
	return index
}
