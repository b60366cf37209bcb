package forward

import (
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// Guards against accounts that no node can admit requests of while older nodes run: their
// allocator and its standby are chosen among the nodes that know quotas.
func TestOlderNodesAreNoAllocators(t *testing.T) {
	h := newQuotaHarness(t, nil)
	peers := quotaPeers(40)
	for i := range peers {
		if i%4 != 0 {
			peers[i].Missing = FeatureQuota
		}
	}
	h.step(Members{Nodes: len(peers), Peers: peers, ListedBefore: true})
	if got := h.e.quotas.ranking.Len(); got != 10 {
		t.Errorf("%d nodes may be allocators, want 10", got)
	}
	first, second := h.e.quotas.ranking.Of("one")
	for _, p := range peers {
		if p.lacks(FeatureQuota) && (p.Node == first || p.Node == second) {
			t.Errorf("%s does not know quotas and is asked", p.Node)
		}
	}
}

// Guards against parts that an older node sends to an evacuated data centre for a newer one, and
// against older nodes that are not used at other times.
func TestOlderNodesRunNoRangesDuringAnEvacuation(t *testing.T) {
	f := newFleet(t, 1)
	peers := f.peers()
	for i := range peers {
		peers[i].Missing = FeatureExclusion
	}
	for _, evacuated := range []bool{false, true} {
		h := newHarness(t, func(s *Settings) { s.Node, s.BudgetConstant = nodeName(0), 200 })
		var calls int
		step := func(ev Event) {
			for _, a := range h.e.Step(h.now, ev) {
				if call, ok := a.(CallPeer); ok && call.Message.Path != "" {
					calls++
				}
			}
		}
		h.accepted = 2
		step(TableRead{Table: h.newTable(1, fleetShards)})
		for s := range fleetShards {
			step(ReplicaRegistered{Registration: registration(s, 0)})
			step(ReplicaRegistered{Registration: registration(s, 1).in("dc-b")})
		}
		step(Members{Nodes: f.size.nodes, Peers: peers})
		if evacuated {
			step(DataCentreEvacuated{Evacuation: Evacuation{DataCentre: api.DataCentre("dc-b"), Revision: 1}})
		}
		step(Arrived{Request: 1, CallerTimeout: time.Second, Message: &Message{Host: "h", Path: "/all/x", CallerRequest: "1"}})
		if (calls > 0) == evacuated {
			t.Errorf("evacuated %v: %d calls to older nodes", evacuated, calls)
		}
	}
}
