package changefeed

import (
	"cmp"
	"slices"

	"github.com/baobabsail/baobabsail/core/api"
)

const (
	// nodesPerWatcher is the number of nodes of a data centre per node that watches the
	// store.
	nodesPerWatcher = 64
	// minWatchers is the minimum number of nodes that watch the store, over all data centres,
	// so that others remain after one of them is lost.
	minWatchers = 3
	// standbysPerDataCentre is the number of nodes of a data centre that watch the
	// store while no node ranked before them is usable: the store may refuse some nodes
	// and serve others.
	standbysPerDataCentre = 2
	// minNodesForFollowing is the number of nodes below which each node watches the store,
	// since so few nodes make few calls.
	minNodesForFollowing = 16
)

// Member describes a node of the system.
type Member struct {
	Node       string
	DataCentre api.DataCentre
	// Address is the address at which other nodes call it; empty if it accepts no calls.
	Address string
	// Cores is its share of processor cores; 0 if unknown.
	Cores float64
}

// compareMembers orders the nodes of a data centre: larger ones first, since
// watching the store and serving followers costs processor time.
func compareMembers(a, b Member) int {
	if a.Cores != b.Cores {
		return cmp.Compare(b.Cores, a.Cores)
	}
	return cmp.Compare(a.Node, b.Node)
}

// Ranking lists the nodes of a data centre that watch the store and their standbys, in
// the order of compareMembers.
type Ranking struct {
	Nodes []Member
	// Watching is the number of nodes, from the first, that watch the store; the rest are
	// standbys.
	Watching int
}

// Rankings returns which nodes of each data centre watch the store, or nil if every node
// does. The result depends only on the list, not on its order, so that all nodes agree.
func Rankings(members []Member) map[api.DataCentre]Ranking {
	if len(members) < minNodesForFollowing {
		return nil
	}
	byDC := make(map[api.DataCentre][]Member)
	for _, m := range members {
		if m.Address != "" {
			byDC[m.DataCentre] = append(byDC[m.DataCentre], m)
		}
	}
	out := make(map[api.DataCentre]Ranking)
	for dc, list := range byDC {
		slices.SortFunc(list, compareMembers)
		watching := min(len(list), watchersIn(len(list), len(byDC)))
		out[dc] = Ranking{Nodes: list[:min(len(list), watching+standbysPerDataCentre)], Watching: watching}
	}
	return out
}

// watchersIn returns how many nodes of a data centre watch the store.
func watchersIn(nodes, dataCentres int) int {
	return max(ceilDiv(nodes, nodesPerWatcher), ceilDiv(minWatchers, dataCentres))
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
