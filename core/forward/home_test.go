package forward

import (
	"fmt"
	"slices"
	"testing"

	"github.com/baobabsail/baobabsail/core/api"
)

// homeEngine returns an engine of a data centre: 36 nodes in four of them, 16 shards,
// each with a replica in dc-a and one in dc-b. It divides shards into four ranges.
func homeEngine(dc api.DataCentre) *harness {
	h := newHarness(nil, func(s *Settings) { s.Node, s.DataCentre = nodeIn(dc, 0), dc })
	h.accepted = 6
	h.table(1, 16)
	for shard := range 16 {
		for i, place := range []api.DataCentre{"dc-a", "dc-b"} {
			r := registration(shard, i)
			r.DataCentre = place
			h.step(ReplicaSeen{Registration: r})
		}
	}
	h.step(Members{Nodes: 36, Peers: homePeers()})
	return h
}

func nodeIn(dc api.DataCentre, i int) string { return fmt.Sprintf("%s-%d", dc, i) }

func homePeers() []Peer {
	var peers []Peer
	for _, dc := range []api.DataCentre{"dc-a", "dc-b", "dc-c", "dc-d"} {
		for i := range 9 {
			peers = append(peers, Peer{Node: nodeIn(dc, i), DataCentre: dc, Address: nodeIn(dc, i) + ":1"})
		}
	}
	return peers
}

// rangeCentres returns the data centres of the nodes that run the ranges of a request.
func rangeCentres(h *harness, id api.RequestID) []api.DataCentre {
	var out []api.DataCentre
	for _, s := range h.e.divided[id].ranges {
		dc := h.e.settings.DataCentre
		if node := s.newest().node; node != "" {
			dc = api.DataCentre(node[:4])
		}
		out = append(out, dc)
	}
	return out
}

// Guards against parts that all cross between data centres since a node without
// replicas beside it lets its neighbours run the ranges: 295 nodes in six data centres,
// replicas in three of them.
func TestRangesRunBesideTheReplicas(t *testing.T) {
	for dc, want := range map[api.DataCentre][]api.DataCentre{
		"dc-a": {"dc-a"}, "dc-b": {"dc-b"}, "dc-c": {"dc-a", "dc-b"}, "dc-d": {"dc-a", "dc-b"},
	} {
		h := homeEngine(dc)
		got := rangeCentres(h, h.request("/all/x"))
		slices.Sort(got)
		if distinct := slices.Compact(got); !slices.Equal(distinct, want) {
			t.Errorf("%s: ranges run in %v, want %v", dc, distinct, want)
		}
	}
}

// Guards against ranges that wait for connections to nodes of another data centre:
// they are opened before they are needed, and not again while the list stays.
func TestConnectionsToTheNodesBesideTheReplicas(t *testing.T) {
	h := homeEngine("dc-c")
	for _, address := range h.e.prepared {
		if dc := address[:4]; dc != "dc-a" && dc != "dc-b" {
			t.Errorf("a connection to %s, which runs nothing for dc-c", address)
		}
	}
	if len(h.e.prepared) == 0 {
		t.Fatal("no connection is prepared")
	}
	for _, a := range h.e.Step(h.now, Members{Nodes: 36, Peers: homePeers()}) {
		if _, ok := a.(PreparePeers); ok {
			t.Error("the same connections are asked for again")
		}
	}
}

// Guards against ranges that fail since the nodes beside the replicas are gone: the
// node's own data centre and the others stand in.
func TestRangesRunElsewhereIfTheNodesBesideTheReplicasAreGone(t *testing.T) {
	h := homeEngine("dc-c")
	left := slices.DeleteFunc(homePeers(), func(p Peer) bool { return p.DataCentre == "dc-a" })
	h.step(Members{Nodes: 27, Peers: left})
	for _, dc := range rangeCentres(h, h.request("/all/x")) {
		if dc != "dc-b" {
			t.Errorf("a range runs in %s", dc)
		}
	}
	left = slices.DeleteFunc(left, func(p Peer) bool { return p.DataCentre == "dc-b" })
	h.step(Members{Nodes: 18, Peers: left})
	for _, dc := range rangeCentres(h, h.request("/all/x")) {
		if dc != "dc-c" {
			t.Errorf("a range runs in %s", dc)
		}
	}
}
