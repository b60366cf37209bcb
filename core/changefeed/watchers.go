package changefeed

import (
	"cmp"
	"slices"

	"github.com/baobabsail/baobabsail/core/api"
)

const (
	// nodesPerWatcher is the number of nodes of a data centre for each of which one
	// watches the store.
	nodesPerWatcher = 64
	// watchersLeast is the least number of nodes that watch the store, in all data
	// centres together, so that the loss of one of them leaves others.
	watchersLeast = 3
	// standInsPerDataCentre is the number of nodes of a data centre that watch the
	// store in place of those ranked before them, while none of these knows it: the
	// store may refuse some nodes and serve others.
	standInsPerDataCentre = 2
	// followLeast is the least number of nodes of which some follow others. Below
	// it the calls to the store are few.
	followLeast = 16
)

// Member is a node of the system.
type Member struct {
	Node       string
	DataCentre api.DataCentre
	// Address is where other nodes call it; empty if it takes no calls.
	Address string
	// Cores is its share of processor cores; 0 if it does not say.
	Cores float64
}

// compareMembers orders the nodes of a data centre: larger ones first, since to
// watch and to tell others is work.
func compareMembers(a, b Member) int {
	if a.Cores != b.Cores {
		return cmp.Compare(b.Cores, a.Cores)
	}
	return cmp.Compare(a.Node, b.Node)
}

// Ranking lists the nodes of a data centre that watch the store or may have to, in
// the order of compareMembers.
type Ranking struct {
	Nodes []Member
	// Watching is how many of them watch the store; the others stand in for them.
	Watching int
}

// Rankings returns who watches the store in each data centre; nil if each node
// watches it. It depends on the list alone.
func Rankings(members []Member) map[api.DataCentre]Ranking {
	if len(members) < followLeast {
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
		out[dc] = Ranking{Nodes: list[:min(len(list), watching+standInsPerDataCentre)], Watching: watching}
	}
	return out
}

// watchersIn returns how many nodes of a data centre watch the store.
func watchersIn(nodes, dataCentres int) int {
	return max(ceilDiv(nodes, nodesPerWatcher), ceilDiv(watchersLeast, dataCentres))
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
