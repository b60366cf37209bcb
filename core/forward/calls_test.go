package forward

import (
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/routing"
)

// The pattern of these tests: nodes with little processor time. A node runs late
// for some ten milliseconds, a caller's node or one that runs a range, and nearly
// all shards are needed for an answer.

// needAllShards makes an answer without one whole range worthless.
func (f *fleet) needAllShards() {
	table := (&harness{accepted: 6}).newTable(2, fleetShards)
	routes := append([]routing.Route(nil), table.Routes...)
	routes[0].MinCoverage = 0.95
	var services []routing.Service
	for _, s := range table.Services {
		services = append(services, s)
	}
	for i := range f.engines {
		f.step(i, TableRead{Table: routing.NewTable(2, routes, services, table.Limits)})
	}
}

// Guards against requests that fail since one group of nodes is slow to say that
// it works on a range: no other node has the budget to run it, and its answer is
// on the way (SHORT of alarm-sweep).
func TestRangeOfSlowNodesIsWaitedFor(t *testing.T) {
	f := newFleet(t, 3)
	f.needAllShards()
	for i := range f.engines {
		f.step(i, BudgetChanged{})
	}
	for i := 1; i < fleetNodes; i += 4 {
		f.slow[nodeName(i)] = 60 * time.Millisecond
	}
	for i := 0; i < fleetNodes; i += 4 {
		id := f.request(i)
		f.run(400 * time.Millisecond)
		if a := f.answers[id]; a.Outcome != api.Answered || f.check(id) != fleetShards {
			t.Errorf("node %d: %v %q with %d shards", i, a.Outcome, a.Reason, f.check(id))
		}
	}
}

// Guards against a node that takes all others for slow after a pause of its own,
// and has every range run a second time.
func TestPausedNodeReadsRepliesFirst(t *testing.T) {
	f := newFleet(t, 4)
	f.needAllShards()
	f.calls = 0
	id := f.request(0)
	f.pausedUntil[0] = f.now.Add(60 * time.Millisecond)
	f.run(300 * time.Millisecond)
	if a := f.answers[id]; a.Outcome != api.Answered || f.check(id) != fleetShards {
		t.Errorf("%v %q with %d shards", a.Outcome, a.Reason, f.check(id))
	}
	if f.calls != 3 {
		t.Errorf("%d calls to other nodes, want one for each of 3 ranges", f.calls)
	}
}

// Guards against ranges that go again and again to nodes which cannot run them:
// they are cut off from the store and have not heard of a new set of shards, but
// answer pings.
func TestNodesWithoutTheNewShardsAreLeftOut(t *testing.T) {
	f := newFleet(t, 6)
	cut := func(i int) bool { return i%3 == 0 }
	table := (&harness{accepted: 6}).newTable(2, 2*fleetShards)
	routes := append([]routing.Route(nil), table.Routes...)
	routes[0].Shards = routes[0].Shards[fleetShards:]
	var services []routing.Service
	for _, s := range table.Services {
		services = append(services, s)
	}
	for i := range f.engines {
		if cut(i) {
			continue
		}
		for s := range fleetShards {
			for r := range fleetReplicas {
				f.step(i, ReplicaSeen{Registration: registration(fleetShards+s, r)})
			}
		}
		f.step(i, TableRead{Table: routing.NewTable(2, routes, services, table.Limits)})
	}
	const rounds = 12
	for round := range rounds {
		if round == rounds/2 {
			f.refused = 0
		}
		for i := range f.engines {
			if cut(i) {
				continue
			}
			id := f.request(i)
			f.run(100 * time.Millisecond)
			if a := f.answers[id]; a.Outcome != api.Answered {
				t.Errorf("round %d, node %d: %v %q", round, i, a.Outcome, a.Reason)
			}
		}
	}
	if f.refused > 0 {
		t.Errorf("%d ranges are refused after %d requests of each node", f.refused, rounds/2)
	}
}

// Guards against requests that miss their target as long as a lost node is listed
// which is the only one of its group in a data centre: the same group of another
// data centre runs its range.
func TestRangeOfALoneLostNodeIsRunElsewhere(t *testing.T) {
	const local = 4 // as many nodes as groups
	f := newFleetIn(t, 8, func(node int) api.DataCentre {
		if node < local {
			return "dc-b"
		}
		return "dc-a"
	})
	f.needAllShards()
	f.steady = true
	f.mute[nodeName(2)] = true
	inTime := 0
	const asked = 10
	for range asked {
		id := f.request(0)
		f.run(80 * time.Millisecond)
		if a, ok := f.answers[id]; ok && a.Outcome == api.Answered && f.check(id) == fleetShards {
			inTime++
		}
		f.run(time.Second)
	}
	if inTime < asked-2 {
		t.Errorf("%d of %d requests have their answer in time", inTime, asked)
	}
}
