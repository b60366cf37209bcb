package forward

import (
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/account"
	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/routing"
)

// fewRecords and manyRecords are the numbers of records in the answers of two versions of a
// configuration. A range of the test fleet has four parts with one record each.
const (
	fewRecords  = 1
	manyRecords = 12
)

// tableWithRecords returns a configuration whose answers have the given number of records, on the
// route /all/ or on one below it.
func tableWithRecords(version uint64, records int, below bool) *routing.Table {
	h := &harness{accepted: defaultFleet.accepted}
	t := h.newTable(version, fleetShards)
	routes := t.Routes
	if below {
		routes[0].Merge.Records = fewRecords
		route := routes[0]
		route.Name, route.Prefix = "below", "/all/x"
		routes = append(routes, route)
		routes[len(routes)-1].Merge.Records = records
	} else {
		routes[0].Merge.Records = records
	}
	services := make([]routing.Service, 0, len(t.Services))
	for _, s := range t.Services {
		services = append(services, s)
	}
	return routing.NewTable(version, routes, services, routing.Limits{})
}

// checkRecords fails the test unless a success holds the greatest records of all its parts.
func (f *fleet) checkRecords(id string, records int) {
	f.t.Helper()
	covered := f.check(id)
	if covered == 0 {
		f.t.Fatalf("%s: %+v", id, f.answers[id])
	}
	if got, want := len(f.answers[id].Merged.Body)/2, min(records, covered); got != want {
		f.t.Errorf("%s: an answer of %d parts has %d records, want %d", id, covered, got, want)
	}
}

// Guards against a merged answer that lacks records of the parts that it names because a node that
// ran a range cut it by an older configuration: of a route whose number of records was raised, or
// of the route above one that was added.
func TestRangesAreMergedByTheRuleOfTheDividingNode(t *testing.T) {
	for name, below := range map[string]bool{"raised": false, "route added": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 11)
			f.noSlowReplies = true
			for i := range fleetNodes {
				f.step(i, TableRead{Table: tableWithRecords(2, fewRecords, false)})
			}
			for i := 0; i < fleetNodes; i += 3 {
				f.step(i, TableRead{Table: tableWithRecords(3, manyRecords, below)})
			}
			for i := range fleetNodes {
				id := f.request(i)
				f.run(150 * time.Millisecond)
				want := fewRecords
				if i%3 == 0 {
					want = manyRecords
				}
				f.checkRecords(id, want)
			}
			if f.calls == 0 {
				t.Error("no node ran a range for another one")
			}
		})
	}
}

// Guards against a local range that is merged by a configuration which this node adopted after it
// had divided the request.
func TestLocalRangeIsMergedByTheRuleOfTheRequest(t *testing.T) {
	h := newHarness(t, nil)
	h.accepted = defaultFleet.accepted
	h.step(TableRead{Table: tableWithRecords(1, fewRecords, false)})
	h.replicas(fleetShards, 1)
	rule := routing.Merge{RecordBytes: 2, Records: manyRecords}
	h.step(Arrived{
		Request: 1, CallerTimeout: 800 * time.Millisecond, Target: 200 * time.Millisecond,
		Message: &Message{Host: "h", Path: "/all/x", CallerRequest: "1"},
		Subset:  &Subset{Shards: h.e.table.Routes[0].Shards, MaxAttempts: 2, Merge: rule},
	})
	for i, s := range h.takeSends() {
		h.ok(s, string([]byte{'a' + byte(i), 'a'}))
	}
	a := h.answer(1)
	if a.Outcome != api.Answered || len(a.Merged.Body) != manyRecords*2 || a.Merged.Rule != rule {
		t.Errorf("%+v", a.Merged)
	}
}

// Guards against a range that is cut for a node of an older version, which does not say how many
// records it needs.
func TestRangeForAnOlderNodeIsNotCut(t *testing.T) {
	h := newHarness(t, nil)
	h.accepted = defaultFleet.accepted
	h.step(TableRead{Table: tableWithRecords(1, fewRecords, false)})
	h.replicas(fleetShards, 1)
	h.step(Arrived{
		Request: 1, CallerTimeout: 800 * time.Millisecond, Target: 200 * time.Millisecond,
		Message: &Message{Host: "h", Path: "/all/x", CallerRequest: "1"},
		Subset:  &Subset{Shards: h.e.table.Routes[0].Shards, MaxAttempts: 2},
	})
	for i, s := range h.takeSends() {
		h.ok(s, string([]byte{'a' + byte(i), 'a'}))
	}
	if got := len(h.answer(1).Merged.Body) / 2; got != fleetShards {
		t.Errorf("%d records of %d parts", got, fleetShards)
	}
}

// Guards against answers that lack records while nodes run of a version that merges by its own
// configuration: they get no ranges if the list of nodes says so, and their parts are not used if
// the list is out of date.
func TestOlderNodesThatIgnoreMergeRules(t *testing.T) {
	for name, listed := range map[string]bool{"listed as older": true, "list out of date": false} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 12)
			f.noSlowReplies, f.ignoresMergeRules = true, map[string]bool{}
			peers := f.peers()
			for i := range fleetNodes {
				if i%2 == 0 {
					continue
				}
				f.ignoresMergeRules[nodeName(i)] = true
				if listed {
					peers[i].Missing = FeatureMergeRule
				}
			}
			for i := range fleetNodes {
				records := manyRecords
				if f.ignoresMergeRules[nodeName(i)] {
					records = fewRecords
				}
				f.step(i, TableRead{Table: tableWithRecords(2, records, false)})
				f.step(i, Members{Nodes: fleetNodes, Peers: peers})
			}
			full := 0
			for i := 0; i < fleetNodes; i += 2 {
				id := f.request(i)
				f.run(900 * time.Millisecond)
				if a := f.answers[id]; a.Merged == nil {
					if listed {
						t.Errorf("node %d: %+v", i, a)
					}
					continue
				}
				f.checkRecords(id, manyRecords)
				if f.check(id) == fleetShards {
					full++
				}
			}
			if listed && full != fleetNodes/2 {
				t.Errorf("%d of %d answers are complete", full, fleetNodes/2)
			}
			for key, c := range f.deliveredCalls {
				if listed && f.ignoresMergeRules[nodeName(c.node)] {
					t.Errorf("call %s goes to an older node", key)
				}
			}
		})
	}
}

// Guards against shards that are missing from an answer because the node that runs them has an older
// configuration, in which the route is not public yet or has home regions that it has lost since:
// another node can run them.
func TestRangesRefusedByAnOlderConfigurationRunElsewhere(t *testing.T) {
	for name, older := range map[string]func(*routing.Table){
		"route not public":  func(t *routing.Table) { t.Routes[0].Public = false },
		"with home regions": func(t *routing.Table) { t.Routes[0].HomeRegions = []api.Region{"west"} },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 13)
			f.noSlowReplies = true
			for i := range fleetNodes {
				table := tableWithRecords(2, fewRecords, false)
				table.Accounts = account.NewDirectory(nil)
				table.Routes[0].Public = true
				if i%3 != 0 {
					older(table)
				}
				f.step(i, TableRead{Table: table})
			}
			for i := 0; i < fleetNodes; i += 3 {
				id := f.request(i)
				f.run(150 * time.Millisecond)
				if covered := f.check(id); covered != fleetShards {
					t.Errorf("node %d: %d of %d shards, %+v", i, covered, fleetShards, f.answers[id])
				}
			}
		})
	}
}
