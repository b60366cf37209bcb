package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/account"
	"github.com/baobabsail/baobabsail/core/api"
)

var testRegions = map[api.DataCentre]api.Region{"dc-a": "west", "dc-b": "east", "dc-c": "north"}

// regional returns a harness with four shards. Each has a replica in dc-a (west), dc-b (east),
// dc-c (north) and dc-d, whose region is not known. The route and the account "one" have the given
// home regions.
func regional(t *testing.T, route, accountHomes []api.Region) *harness {
	h := newHarness(t, func(s *Settings) { s.Regions = testRegions })
	table := h.newTable(1, 4)
	for i := range table.Routes {
		table.Routes[i].HomeRegions = route
	}
	table.Accounts = account.NewDirectory([]account.Account{{Name: "one", Keys: []string{"k1"}, HomeRegions: accountHomes}})
	h.step(TableRead{Table: table})
	for s := range 4 {
		for i, dc := range []api.DataCentre{"dc-a", "dc-b", "dc-c", "dc-d"} {
			h.step(ReplicaRegistered{Registration: registration(s, i).in(dc)})
		}
	}
	return h
}

// Guards against a request that reaches a replica outside its home regions on the first attempt, a
// retry or a hedge, and against one that is not refused at once although no replica is inside.
func TestRequestsStayInTheirHomeRegions(t *testing.T) {
	type regions = []api.Region
	for name, c := range map[string]struct {
		route, account regions
		// allowed holds the data centres that may be reached; nil if the request is refused.
		allowed []api.DataCentre
		reason  api.Reason
	}{
		"none":                    {nil, nil, []api.DataCentre{"dc-a", "dc-b", "dc-c", "dc-d"}, ""},
		"route":                   {regions{"east"}, nil, []api.DataCentre{"dc-b"}, ""},
		"account":                 {nil, regions{"east", "north"}, []api.DataCentre{"dc-b", "dc-c"}, ""},
		"both":                    {regions{"west", "east"}, regions{"east", "north"}, []api.DataCentre{"dc-b"}, ""},
		"both, nothing in common": {regions{"west"}, regions{"east"}, nil, api.ReasonOutsideRegion},
		"region without replicas": {regions{"south"}, nil, nil, api.ReasonOutsideRegion},
	} {
		for _, path := range []string{"/one/x", "/all/x", "/order/x"} {
			h := regional(t, c.route, c.account)
			for range 20 {
				id, _ := h.requestWithKey(path, "k1")
				if c.allowed == nil {
					if a := h.answer(id); a.Outcome != api.NotRun || a.Reason != c.reason || a.RetryAfter <= 0 {
						t.Errorf("%s %s: answer %+v", name, path, a)
					}
				}
				for range 3 {
					for _, s := range h.takeSends() {
						dc, ok := h.e.registry.entries[s.Replica].DataCentre, false
						for _, allowed := range c.allowed {
							ok = ok || dc == allowed
						}
						if !ok {
							t.Fatalf("%s %s: sent to %s", name, path, dc)
						}
						if s.Attempt%2 == 0 {
							h.reply(s, Reply{Kind: ReplyRefused})
						}
					}
					h.advance(200 * time.Millisecond) // hedges are due
				}
				h.advance(time.Second)
				h.takeSends()
			}
		}
	}
}

// Guards against a refusal for the wrong reason where the home region is evacuated, and against
// requests that leave it for that reason.
func TestEvacuatedHomeRegion(t *testing.T) {
	h := regional(t, []api.Region{"east"}, nil)
	h.evacuate("dc-b", 1)
	id, _ := h.requestWithKey("/one/x", "k1")
	if a := h.answer(id); a.Reason != api.ReasonEvacuated || len(h.takeSends()) > 0 {
		t.Errorf("answer %+v", a)
	}
}

// Guards against a range that a node runs outside the home regions, which the asking node's
// configuration, its own one or both may name.
func TestRangesStayInTheirHomeRegions(t *testing.T) {
	for name, c := range map[string]struct {
		route, account, asked []api.Region
		want                  int
	}{
		"asking node": {nil, nil, []api.Region{"east"}, 2},
		"own route":   {[]api.Region{"east"}, nil, nil, 2},
		"own account": {nil, []api.Region{"east"}, nil, 2},
		"disjoint":    {[]api.Region{"west"}, nil, []api.Region{"east"}, 0},
	} {
		h := regional(t, c.route, c.account)
		h.step(Arrived{
			Request: 1, CallerTimeout: time.Second, Target: time.Second, Message: &Message{Host: "h", Path: "/all/x", Account: "one"},
			Subset: &Subset{Shards: []api.ServiceName{shard(0), shard(1)}, MaxAttempts: 2, HomeRegions: c.asked},
		})
		sends := h.takeSends()
		if len(sends) != c.want {
			t.Errorf("%s: %d parts are sent, want %d", name, len(sends), c.want)
		}
		for _, s := range sends {
			if dc := h.e.registry.entries[s.Replica].DataCentre; dc != "dc-b" {
				t.Errorf("%s: sent to %s", name, dc)
			}
		}
	}
}

// Guards against a body that reaches a node outside its home regions: the nodes of the other data
// centres are not asked to run a range, also after the failure of all nodes inside, and not by a
// node that is outside itself.
func TestBodiesReachNoNodeOutsideTheHomeRegions(t *testing.T) {
	for _, own := range []int{0, 1} { // a node of dc-a, which is inside, and one of dc-b
		f := newFleetIn(t, 1, func(node int) api.DataCentre { return []api.DataCentre{"dc-a", "dc-b"}[node%2] })
		e := New(Settings{
			Node: nodeName(own), DataCentre: f.dataCentre(own), Seed: 1, Regions: testRegions, BudgetWindow: 10 * time.Second,
			BudgetShare: 0.2, BudgetConstant: 200, FirstStart: true,
		})
		var calls []CallPeer
		step := func(ev Event) {
			for _, a := range e.Step(f.now, ev) {
				if call, ok := a.(CallPeer); ok && call.Message.Path != "" {
					calls = append(calls, call)
				}
			}
		}
		h := &harness{accepted: 2}
		table := h.newTable(1, fleetShards)
		table.Routes[0].HomeRegions = []api.Region{"west"}
		step(TableRead{Table: table})
		for s := range fleetShards {
			step(ReplicaRegistered{Registration: registration(s, 0)})
		}
		step(Members{Nodes: f.size.nodes, Peers: f.peers()})
		step(Arrived{Request: 1, CallerTimeout: time.Second, Message: &Message{Host: "h", Path: "/all/x", CallerRequest: "1"}})
		if len(calls) == 0 {
			t.Fatal("the request is not divided")
		}
		for i := 0; i < len(calls) && i < 100; i++ {
			var node int
			if _, err := fmt.Sscanf(calls[i].Node, "n%d", &node); err != nil {
				t.Fatal(err)
			}
			if f.dataCentre(node) != "dc-a" {
				t.Errorf("from %s: %s in %s is asked", f.dataCentre(own), calls[i].Node, f.dataCentre(node))
			}
			if got := calls[i].Subset.HomeRegions; len(got) != 1 || got[0] != "west" {
				t.Errorf("the call names the regions %v", got)
			}
			step(CallLost{Call: calls[i].Call, Unsent: true})
		}
	}
}
