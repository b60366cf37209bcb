package forward

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/baobabsail/baobabsail/core/account"
	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/balance"
	"github.com/baobabsail/baobabsail/core/quota"
	"github.com/baobabsail/baobabsail/core/ratelimit"
	"github.com/baobabsail/baobabsail/core/routing"
)

func (h *harness) explain(path string) *Explanation {
	h.t.Helper()
	x, err := h.e.Explain(h.now, ExplainQuery{Host: "h", Path: path, Shards: true})
	if err != nil {
		h.t.Fatal(err)
	}
	return x
}

// replica returns what an explanation says of a replica.
func (x *Explanation) replica(name api.ReplicaName) ExplainedReplica {
	for _, p := range x.Parts {
		for _, r := range p.Replicas {
			if r.Replica == name {
				return r
			}
		}
	}
	return ExplainedReplica{}
}

// explainSetup is a state of the engine, and what an explanation is to say of it at first.
type explainSetup struct {
	name  string
	path  string
	setup func(t *testing.T) *harness
	// localReason is what is said of the local replica of the first shard.
	localReason    api.Reason
	localCandidate Candidate
}

var explainSetups = []explainSetup{
	{"plain local choice", "/all/x", func(t *testing.T) *harness { return twoCentres(t, 4) }, "", CandidateNow},
	{"an evacuated data centre", "/all/x", func(t *testing.T) *harness {
		h := twoCentres(t, 4)
		h.evacuate("dc-a", 1)
		return h
	}, api.ReasonEvacuated, ""},
	{"a cold replica", "/all/x", func(t *testing.T) *harness {
		h := newHarness(t, func(s *Settings) { s.ColdBounds = ratelimit.ColdBounds{Overage: 1.5, Slack: 5} })
		h.step(withColdLimit(h, 1, 4, coldPerSecond))
		for s := range 4 {
			cold := registration(s, 0)
			cold.ColdFor = coldTime
			h.step(ReplicaRegistered{Registration: cold})
			h.step(ReplicaRegistered{Registration: registration(s, 1).in("dc-b")})
		}
		h.step(StoreConfirmed{})
		return h
	}, "cold", CandidateWithPermit},
	{"a full local replica", "/one/x", func(t *testing.T) *harness {
		h := twoCentres(t, 1)
		for range 4 { // the quota for 2 slots
			h.request("/order/x")
		}
		h.advance(time.Millisecond)
		for _, s := range h.takeSends() {
			if s.Replica != replicaOf(0, 0) {
				t.Fatal("the local replica is not filled")
			}
		}
		return h
	}, "full", ""},
	{"a draining replica", "/all/x", func(t *testing.T) *harness {
		h := twoCentres(t, 4)
		for s := range 4 {
			draining := registration(s, 0)
			draining.Draining, draining.Sequence = true, 2
			h.step(ReplicaRegistered{Registration: draining})
		}
		return h
	}, "draining", ""},
}

// Guards against an explanation that does not say what the engine does: a replica that gets a
// request although it is said to be excluded or not to be a candidate, or a request that is sent or
// not sent against what is said.
func TestExplanationIsWhatTheEngineDoes(t *testing.T) {
	for _, c := range explainSetups {
		h := c.setup(t)
		if r := h.explain(c.path).replica(replicaOf(0, 0)); r.Reason != c.localReason || r.Candidate != c.localCandidate {
			t.Errorf("%s: the local replica is %+v", c.name, r)
		}
		for range 1000 {
			x := h.explain(c.path)
			h.request(c.path)
			sends := h.takeSends()
			checkSends(t, c.name, x, sends)
			h.now = h.now.Add(500 * time.Microsecond) // timers of waiting requests are not due
			for _, s := range sends {
				h.ok(s, "aa")
			}
			h.takeSends()
			if t.Failed() {
				break
			}
		}
	}
}

// checkSends checks the first attempts of a request against the explanation from before it.
func checkSends(t *testing.T, name string, x *Explanation, sends []Send) {
	t.Helper()
	sure, possible := 0, 0
	for _, p := range x.Parts {
		if p.Decision == DecisionSent {
			sure++
		}
		if p.Decision == DecisionSent || p.Decision == DecisionNeedsPermit {
			possible++
		}
	}
	if x.Decision == DecisionRefused && len(sends) > 0 || x.Decision == DecisionSent && (len(sends) < sure || len(sends) > possible) {
		t.Errorf("%s: %d sends, but %s (%s) with %d parts sent", name, len(sends), x.Decision, x.Reason, sure)
	}
	for _, s := range sends {
		if r := x.replica(s.Replica); r.Candidate == "" || !r.Eligible && r.Candidate != CandidateWithPermit {
			t.Errorf("%s: a request goes to %+v", name, r)
		}
	}
}

// Guards against an explanation that names all traffic local while a part of it leaves, or the other
// way round: the share of previewed choices is that of the requests.
func TestExplainedShareIsThatOfTheRequests(t *testing.T) {
	h := ready(t, 1)
	for range 50 {
		h.request("/one/x")
		h.advance(5 * time.Millisecond)
		for _, s := range h.takeSends() {
			h.ok(s, "")
		}
	}
	explained, sent := 0.0, 0
	const requests = 1000
	for range requests {
		explained += h.explain("/one/x").replica(replicaOf(0, 0)).Share / requests
		h.request("/one/x")
		sends := h.takeSends()
		h.advance(5 * time.Millisecond)
		for _, s := range sends {
			if s.Replica == replicaOf(0, 0) {
				sent++
			}
			h.ok(s, "")
		}
	}
	// The standard deviation of the share of 1,000 requests is at most 0.016.
	if got := float64(sent) / requests; got < explained-0.06 || got > explained+0.06 {
		t.Errorf("%.3f of the requests go to a replica whose share is said to be %.3f", got, explained)
	}
}

// Guards against a request without a key, or with one of an unknown account, that is said to be
// served, and against names that give an explanation of something else.
func TestExplainUnknownNames(t *testing.T) {
	h := newHarness(t, nil)
	query := ExplainQuery{Host: "h", Path: "/one/x"}
	if _, err := h.e.Explain(h.now, query); !errorx.IsOfType(err, ErrNoConfiguration) {
		t.Errorf("without a configuration: %v", err)
	}
	h.withAccounts(1, account.Account{Name: "one", Priority: 3, PerSecond: 7, Burst: 9, Keys: []string{"secret-1"}})
	h.replicas(1, 2)
	h.advance(time.Second) // the account's bucket starts empty
	for _, c := range []struct {
		query ExplainQuery
		want  *errorx.Type
	}{
		{ExplainQuery{Host: "other", Path: "/one/x"}, ErrUnknownRoute},
		{ExplainQuery{Host: "h", Path: "/none"}, ErrUnknownRoute},
		{ExplainQuery{Host: "h", Path: "/one/x", Account: "two"}, ErrUnknownAccount},
		{ExplainQuery{Host: "h", Path: "/one/x", Account: "secret-1"}, ErrUnknownAccount},
		{ExplainQuery{Host: "h", Path: "/one/x", DataCentre: "dc-q"}, ErrUnknownDataCentre},
	} {
		if _, err := h.e.Explain(h.now, c.query); !errorx.IsOfType(err, c.want) || strings.Contains(err.Error(), "secret-1") {
			t.Errorf("%+v: %v", c.query, err)
		}
	}
	if x := h.explain("/one/x"); x.Decision != DecisionRefused || x.Reason != api.ReasonUnknownKey {
		t.Errorf("without a key: %s, %s", x.Decision, x.Reason)
	}
	id, _ := h.requestWithKey("/one/x", "")
	if a := h.answer(id); a.Reason != api.ReasonUnknownKey || len(h.takeSends()) != 0 {
		t.Errorf("a request without a key: %+v", a)
	}
	query.Account = "one"
	x, err := h.e.Explain(h.now, query)
	if err != nil || x.Decision != DecisionSent || x.Account.PerSecond != 7 || x.Account.Burst != 9 || x.Account.Priority != 3 {
		t.Fatalf("with an account: %+v, %v", x, err)
	}
	if text, err := json.Marshal(x); err != nil || strings.Contains(string(text), "secret-1") {
		t.Errorf("the explanation holds a key: %s, %v", text, err)
	}
	h.requestWithKey("/one/x", "secret-1")
	checkSends(t, "with an account", x, h.takeSends())
}

// Guards against an explanation that lists replicas of other data centres than the one asked for, or
// changes its decision by it, and against details of 90 shards that were not asked for.
func TestExplainRestrictsTheDetails(t *testing.T) {
	h := twoCentres(t, 4)
	h.evacuate("dc-a", 1)
	x, err := h.e.Explain(h.now, ExplainQuery{Host: "h", Path: "/all/x"})
	if err != nil || len(x.Parts) != 0 || x.Summary.Parts != 4 || len(x.Summary.NoLocal) != 4 || len(x.Summary.NoReplica) != 0 || x.Summary.DataCentres["dc-b"] < 0.99 {
		t.Errorf("summary %+v, %v", x, err)
	}
	x, err = h.e.Explain(h.now, ExplainQuery{Host: "h", Path: "/all/x", DataCentre: "dc-a", Shards: true})
	if err != nil || len(x.Parts) != 4 || x.Decision != DecisionSent {
		t.Fatalf("%+v, %v", x, err)
	}
	for _, p := range x.Parts {
		if len(p.Replicas) != 1 || p.Replicas[0].DataCentre != "dc-a" || !p.Replicas[0].Evacuated || p.Decision != DecisionSent {
			t.Errorf("part %+v", p)
		}
	}
	h.evacuate("dc-b", 2)
	if x := h.explain("/all/x"); x.Decision != DecisionRefused || x.Reason != api.ReasonEvacuated {
		t.Errorf("with both evacuated: %s, %s", x.Decision, x.Reason)
	}
}

// explainedStream runs a random stream of events and returns what the engine did. With explain,
// explanations are asked for between the events.
func explainedStream(t *testing.T, seed uint64, nodes int, explain bool) string {
	var log strings.Builder
	rng := rand.New(rand.NewPCG(seed, 7))
	h := newHarness(t, func(s *Settings) {
		s.Node, s.Seed, s.ColdBounds = "n00", seed, ratelimit.ColdBounds{Overage: 1.5, Slack: 5}
	})
	const shards = 9
	table := withColdLimit(h, 1, shards, coldPerSecond).Table
	services := make([]routing.Service, 0, shards)
	for _, s := range table.Services {
		services = append(services, s)
	}
	routes := append(table.Routes, routing.Route{
		Name: "split", Host: "h", Prefix: "/split/", Idempotent: true, Timeout: time.Second, MaxAttempts: 2,
		Services: []routing.WeightedService{{Service: shard(0), Weight: 2}, {Service: shard(1), Weight: 1}},
	})
	h.step(TableRead{Table: routing.NewTable(1, routes, services, routing.Limits{})})
	if nodes > 1 {
		var peers []Peer
		for i := range nodes {
			peers = append(peers, Peer{Node: nodeName(i), DataCentre: api.DataCentre("dc-" + string(rune('a'+i%2))), Address: fmt.Sprint("a:", i)})
		}
		h.step(Members{Nodes: nodes, Peers: peers})
	}
	for s := range shards {
		for i := range 3 {
			r := registration(s, i).in(api.DataCentre("dc-" + string(rune('a'+i%2))))
			if rng.IntN(4) == 0 {
				r.ColdFor = time.Second
			}
			h.step(ReplicaRegistered{Registration: r})
		}
	}
	h.step(StoreConfirmed{})
	paths := []string{"/all/x", "/one/x", "/order/x", "/split/x"}
	var open []Send
	for i := range 3000 {
		if explain && i%8 == 0 {
			for _, path := range paths {
				x := h.explain(path)
				if x.Summary.Parts == 0 {
					t.Fatalf("nothing is explained: %+v", x)
				}
			}
		}
		switch n := rng.IntN(100); {
		case n < 40:
			h.request(paths[rng.IntN(len(paths))])
		case n < 85 && len(open) > 0:
			k := rng.IntN(len(open))
			s := open[k]
			open = slices.Delete(open, k, k+1)
			switch rng.IntN(8) {
			case 0:
				h.step(Lost{Attempt: s.Attempt, Loss: LostRefused})
			case 1:
				h.reply(s, Reply{Kind: ReplyError})
			default:
				h.replyWith(s, Reply{Kind: ReplyOK, Proof: "p", Body: []byte("aa")}, ReplicaStatus{
					HasLoad: true, Load: balance.Report{Running: float64(rng.IntN(4)), Waiting: float64(rng.IntN(6)), Slots: 2, DurationPercent: 100},
				})
			}
		case n == 85:
			h.evacuate("dc-a", int64(i))
		case n < 88:
			h.endEvacuation("dc-a", int64(i))
		case n == 88:
			h.step(StoreLost{})
		case n < 91:
			h.step(StoreBack{})
		default:
			h.advance(time.Duration(rng.IntN(20)) * time.Millisecond)
		}
		for _, s := range h.takeSends() {
			fmt.Fprintln(&log, i, "send", s.Attempt, s.Replica)
			open = append(open, s)
		}
		for _, c := range h.calls {
			fmt.Fprintln(&log, i, "call", c.Call, c.Node)
		}
		h.calls = nil
		fmt.Fprintln(&log, i, "timer", h.e.NextTick().UnixNano())
	}
	fmt.Fprintln(&log, h.e.Counts().Totals())
	return log.String()
}

// Guards against an explanation that changes the state of the engine: random numbers, the credits of
// weighted services and of the admission control, permits, probes, pings, counters or timers. With 40
// nodes, groups of them run ranges.
func TestExplainChangesNothing(t *testing.T) {
	for _, nodes := range []int{1, 40} {
		for seed := range uint64(5) {
			without, with := explainedStream(t, seed, nodes, false), explainedStream(t, seed, nodes, true)
			if without == with {
				continue
			}
			a, b := strings.Split(without, "\n"), strings.Split(with, "\n")
			for i := range min(len(a), len(b)) {
				if a[i] != b[i] {
					t.Errorf("%d nodes, seed %d: %q with explanations, %q without", nodes, seed, b[i], a[i])
					break
				}
			}
		}
	}
}

// Guards against an explanation of a route that is divided among groups of nodes that names other
// nodes than those that are then asked, or leaves out who runs a range.
func TestExplainNamesTheNodesOfARange(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Node = "n00" })
	h.table(1, 9)
	h.replicas(9, 2)
	var peers []Peer
	for i := range 40 {
		peers = append(peers, Peer{Node: nodeName(i), DataCentre: "dc-a", Address: "a:1"})
	}
	peers[0].Node = "n00"
	h.step(Members{Nodes: len(peers), Peers: peers})
	x := h.explain("/all/x")
	if len(x.Groups) != 3 {
		t.Fatalf("groups: %+v", x.Groups)
	}
	own := 0
	for range 100 {
		h.request("/all/x")
		for _, c := range h.calls {
			if !slices.ContainsFunc(x.Groups, func(g ExplainedGroup) bool {
				return g.First == c.Subset.Shards[0] && g.Shards == len(c.Subset.Shards) && slices.Contains(g.Nodes, c.Node)
			}) {
				t.Fatalf("%s gets the range from %s; groups: %+v", c.Node, c.Subset.Shards[0], x.Groups)
			}
		}
		h.calls = nil
	}
	for _, g := range x.Groups {
		if g.OwnRange {
			own++
		}
	}
	if own != 1 {
		t.Errorf("%d ranges run here: %+v", own, x.Groups)
	}
}

// BenchmarkExplain measures how long the engine is blocked: 90 shards of 3 replicas.
func BenchmarkExplain(b *testing.B) {
	h := newHarness(&testing.T{}, nil)
	h.table(1, 90)
	h.replicas(90, 3)
	for b.Loop() {
		h.explain("/all/x")
	}
}

// Guards against an explanation that spends the credit of an overloaded route, or does not foresee
// which requests are refused on arrival.
func TestExplainForeseesTheAdmission(t *testing.T) {
	h := ready(t, 4)
	route := h.e.table.Match("h", "/all/x")
	c := h.e.admissionControlFor(h.now, route)
	admitted := 0
	const requests = 200
	for range requests {
		c.admitted, c.adjustedAt = 0.6, h.now // stays overloaded
		x := h.explain("/all/x")
		if y := h.explain("/all/x"); x.Admission.Next != y.Admission.Next || x.Admission.Share != 0.6 {
			t.Fatalf("%+v, then %+v", x.Admission, y.Admission)
		}
		id := h.request("/all/x")
		sends := h.takeSends()
		checkSends(t, "overload", x, sends)
		if len(sends) > 0 {
			admitted++
		} else if x.Reason != api.ReasonOverloaded || h.answer(id).Reason != api.ReasonOverloaded {
			t.Fatalf("refused with %s, said to be %s", h.answer(id).Reason, x.Reason)
		}
		for _, s := range sends {
			h.ok(s, "aa")
		}
		h.advance(time.Millisecond)
	}
	if admitted < requests*59/100 || admitted > requests*61/100 {
		t.Errorf("%d of %d requests are admitted, want 0.6", admitted, requests)
	}
}

// Guards against an explanation that moves the time at which a cached quantile is computed again.
func TestExplainLeavesQuantilesAlone(t *testing.T) {
	h := twoCentres(t, 4)
	for range 100 {
		h.request("/all/x")
		h.advance(time.Millisecond)
		for _, s := range h.takeSends() {
			h.ok(s, "aa")
		}
	}
	route := h.e.table.Match("h", "/all/x")
	for range 40 { // more than a value may lag behind
		h.e.sendDelay.Add(h.now, time.Millisecond)
		h.e.routeLatencies[routeLatencyKey(route)].Add(h.now, time.Millisecond)
		h.e.delays.Observe(h.now, delayKey(route), time.Millisecond)
	}
	routeLatency, sendDelay := *h.e.routeLatencies[routeLatencyKey(route)], h.e.sendDelay
	h.explain("/all/x")
	if !reflect.DeepEqual(routeLatency, *h.e.routeLatencies[routeLatencyKey(route)]) || !reflect.DeepEqual(sendDelay, h.e.sendDelay) {
		t.Error("an estimator has changed")
	}
}

// Guards against an explanation that hides what the node knows of a quota, or that asks for an
// admission.
func TestExplanationShowsTheQuota(t *testing.T) {
	h := newQuotaHarness(t, nil)
	explain := func() ExplainedAccount {
		out, err := h.e.Explain(h.now, ExplainQuery{Host: "h", Path: "/one/x", Account: "one"})
		if err != nil {
			t.Fatal(err)
		}
		return *out.Account
	}
	if a := explain(); a.Remaining != nil || a.OverQuota {
		t.Errorf("before the first answer: %+v", a)
	}
	h.send("/one/x", "k1", time.Second, 1)
	if a := explain(); a.Remaining != nil {
		t.Errorf("while the allocator is asked: %+v", a)
	}
	ask := h.takeAsks()[0]
	h.step(AdmissionAnswered{Ask: ask.Ask, Grant: quota.Grant{Used: 0.75, RetryAfter: 250 * time.Millisecond}})
	a := explain()
	if a.Remaining == nil || *a.Remaining != 0.25*limitedAccount.PerSecond*5 || !a.OverQuota {
		t.Errorf("after a refusal: %+v", a)
	}
	if asks := h.takeAsks(); len(asks) != 0 {
		t.Errorf("%d admissions asked for", len(asks))
	}
}
