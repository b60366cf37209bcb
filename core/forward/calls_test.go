package forward

import (
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/routing"
)

// These tests simulate nodes that are short of CPU time: a node, either the one that a
// caller reached or one that runs a range, is tens of milliseconds late while nearly all
// shards are needed for an answer.

// needAllShards requires 95 % coverage, so that no whole range may be missing from an
// answer.
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

// Guards against giving up a range because its nodes are slow to accept it while no budget
// is left to run it elsewhere: the answer of the slow node is still on its way (SHORT of
// alarm-sweep).
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

// Guards against a node that, after a pause of its own, takes all other nodes for slow and
// has every range run a second time.
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

// Guards against repeatedly sending ranges to nodes that cannot run them: they are cut off
// from the store and do not know a new set of shards, but still answer pings.
func TestNodesWithoutTheNewShardsAreLeftOut(t *testing.T) {
	f := newFleet(t, 6)
	cutOff := func(i int) bool { return i%3 == 0 }
	table := (&harness{accepted: 6}).newTable(2, 2*fleetShards)
	routes := append([]routing.Route(nil), table.Routes...)
	routes[0].Shards = routes[0].Shards[fleetShards:]
	var services []routing.Service
	for _, s := range table.Services {
		services = append(services, s)
	}
	for i := range f.engines {
		if cutOff(i) {
			continue
		}
		for s := range fleetShards {
			for r := range fleetReplicas {
				f.step(i, ReplicaRegistered{Registration: registration(fleetShards+s, r)})
			}
		}
		f.step(i, TableRead{Table: routing.NewTable(2, routes, services, table.Limits)})
	}
	const rounds = 12
	for round := range rounds {
		if round == rounds/2 {
			f.refusedRanges = 0
		}
		for i := range f.engines {
			if cutOff(i) {
				continue
			}
			id := f.request(i)
			f.run(100 * time.Millisecond)
			if a := f.answers[id]; a.Outcome != api.Answered {
				t.Errorf("round %d, node %d: %v %q", round, i, a.Outcome, a.Reason)
			}
		}
	}
	if f.refusedRanges > 0 {
		t.Errorf("%d ranges are refused after %d requests of each node", f.refusedRanges, rounds/2)
	}
}

// Guards against answers that lack the ranges of nodes without room for calls, and against nodes
// that get no ranges any more because they had no room for one of a large request.
func TestRangesOfFullNodesRunElsewhere(t *testing.T) {
	f := newFleet(t, 7)
	f.needAllShards()
	f.full = map[string]bool{}
	for i := 1; i < f.size.nodes; i++ {
		f.full[nodeName(i)] = true
	}
	id := f.request(0)
	f.run(time.Second)
	if a := f.answers[id]; a.Outcome != api.Answered || f.check(id) != fleetShards {
		t.Errorf("all others full: %v %q with %d shards", a.Outcome, a.Reason, f.check(id))
	}
	f.full, f.calls = nil, 0
	f.pings = map[string]bool{}
	id = f.request(0)
	f.run(time.Second)
	if a := f.answers[id]; a.Outcome != api.Answered || f.check(id) != fleetShards {
		t.Errorf("afterwards: %v %q with %d shards", a.Outcome, a.Reason, f.check(id))
	}
	for key, ping := range f.pings {
		if ping {
			t.Errorf("call %s is a ping to a node that is in order", key)
		}
	}
	if f.calls < 3 {
		t.Errorf("%d calls to other nodes, want one for each of 3 ranges", f.calls)
	}
}

// Guards against requests that miss their target while a lost node that is the only one of
// its group in a data centre is still listed: the same group in another data centre must
// run its range.
func TestRangeOfALoneLostNodeIsRunElsewhere(t *testing.T) {
	const local = 4 // as many nodes as groups
	f := newFleetIn(t, 8, func(node int) api.DataCentre {
		if node < local {
			return "dc-b"
		}
		return "dc-a"
	})
	f.needAllShards()
	f.noSlowReplies = true
	f.unresponsive[nodeName(2)] = true
	inTime := 0
	const requests = 10
	for range requests {
		id := f.request(0)
		f.run(80 * time.Millisecond)
		if a, ok := f.answers[id]; ok && a.Outcome == api.Answered && f.check(id) == fleetShards {
			inTime++
		}
		f.run(time.Second)
	}
	if inTime < requests-2 {
		t.Errorf("%d of %d requests have their answer in time", inTime, requests)
	}
}
