package forward

import (
	"fmt"
	"strings"
	"testing"

	"github.com/baobabsail/baobabsail/core/api"
)

// The pattern of these tests: a few nodes have several times the processor time of the
// others, on which the work of one range takes long.

// sizedPeers returns 36 nodes of one data centre, of which four have four times the
// cores of the others.
func sizedPeers() []Peer {
	var peers []Peer
	for i := range 32 {
		peers = append(peers, Peer{Node: fmt.Sprintf("small-%02d", i), DataCentre: "dc-a", Address: fmt.Sprint("s:", i), Cores: 0.2})
	}
	for i := range 4 {
		peers = append(peers, Peer{Node: fmt.Sprintf("large-%d", i), DataCentre: "dc-a", Address: fmt.Sprint("l:", i), Cores: 0.8})
	}
	return peers
}

// sizedEngine returns the engine of one of these nodes, with 16 shards in four ranges.
func sizedEngine(t *testing.T, node string) *harness {
	h := newHarness(t, func(s *Settings) { s.Node = node })
	h.accepted = 6
	h.table(1, 16)
	h.replicas(16, 2)
	h.step(Members{Nodes: 36, Peers: sizedPeers()})
	return h
}

// runners returns the nodes that run the ranges of a request.
func runners(h *harness, id api.RequestID) []string {
	var out []string
	for _, s := range h.e.divided[id].ranges {
		out = append(out, s.newest().node)
	}
	return out
}

// Guards against ranges that are late since small nodes run them while large ones are
// idle, and against a large node that runs all ranges of its own requests itself.
func TestRangesRunOnLargeNodes(t *testing.T) {
	h := sizedEngine(t, "small-05")
	used := map[string]bool{}
	for _, node := range runners(h, h.request("/all/x")) {
		if node != "" && !strings.HasPrefix(node, "large-") {
			t.Errorf("%s runs a range", node)
		}
		if node != "" && used[node] {
			t.Errorf("%s runs two ranges of a request while others are idle", node)
		}
		used[node] = true
	}
	here := 0
	h = sizedEngine(t, "large-1")
	for _, node := range runners(h, h.request("/all/x")) {
		if node == "" {
			here++
		}
	}
	if here > 1 {
		t.Errorf("a large node runs %d ranges of its own request", here)
	}
}

// Guards against nodes that exceed the budget of a shard together, or the connections
// of its replicas, since large nodes run all shards.
func TestLargeNodesShareTheBudget(t *testing.T) {
	sum := 0.0
	for _, p := range sizedPeers() {
		sum += sizedEngine(t, p.Node).e.constantPart(shard(3))
	}
	if sum > 1.001 {
		t.Errorf("the nodes have %.3f of the budget of a shard together", sum)
	}
	if got, want := sizedEngine(t, "large-0").e.sharers(shard(3)), 32/4+4; got != want {
		t.Errorf("%d nodes share a shard, want %d", got, want)
	}
}

// Guards against nodes that count as large where all are alike or none says its size.
func TestNoNodeIsLargeAmongEquals(t *testing.T) {
	for _, cores := range []float64{0, 0.4} {
		h := sizedEngine(t, "small-05")
		peers := sizedPeers()
		for i := range peers {
			peers[i].Cores = cores
		}
		h.step(Members{Nodes: 36, Peers: peers})
		if len(h.e.groups.large) > 0 {
			t.Errorf("%d nodes of %v cores are large", len(h.e.groups.large), cores)
		}
	}
}
