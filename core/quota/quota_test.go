package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// deploymentBounds are the bounds that deployment A names.
var deploymentBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

func node(i int) Node { return Node{Name: fmt.Sprint("n", i), Cores: 0.2} }

func nodeList(n int) []Node {
	var out []Node
	for i := range n {
		out = append(out, node(i))
	}
	return out
}

// Guards against a list change that moves the accounts of nodes that did not change, against an
// update that differs from a new ranking of the same list, and against two roles of one node.
func TestRankingMovesFewAccounts(t *testing.T) {
	const accounts = 500
	name := func(i int) string { return fmt.Sprint("account-", i) }
	r := NewRanking("n0")
	r.SetNodes(start, nodeList(70))
	before := make(map[string]string)
	for i := range accounts {
		first, second := r.Of(name(i))
		if first == second || first == "" || second == "" {
			t.Fatalf("account %d: %q and %q", i, first, second)
		}
		before[name(i)] = first
	}
	for step, list := range [][]Node{nodeList(71), nodeList(71)[3:], nodeList(40), nodeList(1), nil, nodeList(71)} {
		r.SetNodes(start.Add(time.Second), list)
		fresh := NewRanking("n0")
		fresh.SetNodes(start, list)
		for i := range accounts {
			first, second := r.Of(name(i))
			if f, s := fresh.Of(name(i)); f != first || s != second {
				t.Fatalf("step %d account %d: %q and %q, a new ranking has %q and %q", step, i, first, second, f, s)
			}
			if step == 0 && first != before[name(i)] && first != "n70" {
				t.Errorf("account %d moved from %s to %s, which did not change", i, before[name(i)], first)
			}
		}
	}
}

// Guards against a small VM that decides for as many accounts as a large one, and against a
// node of unknown size that gets none or all of them.
func TestRankingPrefersLargeNodes(t *testing.T) {
	for name, c := range map[string]struct {
		list []Node
		// least and most are the bounds of the share of the first node.
		least, most float64
	}{
		"71 nodes of which 8 are large": {append([]Node{{Name: "large", Cores: 0.8}}, nodeList(16)...), 0.4, 0.6},
		"sizes unknown":                 {[]Node{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}, 0.2, 0.3},
		"one size unknown":              {append([]Node{{Name: "a"}}, nodeList(3)...), 0.2, 0.3},
	} {
		r := NewRanking("x")
		r.SetNodes(start, c.list)
		const accounts = 4000
		got := 0
		for i := range accounts {
			if first, _ := r.Of(fmt.Sprint("account-", i)); first == c.list[0].Name {
				got++
			}
		}
		if share := float64(got) / accounts; share < c.least || share > c.most {
			t.Errorf("%s: the first node has %.2f of the accounts, want %.2f to %.2f", name, share, c.least, c.most)
		}
	}
}

// allocatorOf returns an allocator with the given role for account "a" and full rights.
func allocatorOf(t *testing.T, bounds Bounds, role Role) *Allocator {
	t.Helper()
	list := nodeList(3)
	probe := NewRanking("")
	probe.SetNodes(start, list)
	first, second := probe.Of("a")
	self := map[Role]string{First: first, Second: second}[role]
	if role == None {
		for _, n := range list {
			if n.Name != first && n.Name != second {
				self = n.Name
			}
		}
	}
	ranking := NewRanking(self)
	ranking.SetNodes(start, list)
	a := NewAllocator(bounds, ranking, rand.New(rand.NewPCG(1, 1)))
	a.Settle(start, true, false)
	a.Confirm(start, start)
	return a
}

func wants(q Quota, wanted int) Request { return Request{Account: "a", Wanted: wanted, Quota: q} }

// Guards against an allocator that exceeds its part of the bound in a window, or leaves more than
// a twentieth of the quota unused although more is asked for.
func TestAllocatorUnderConstantOverload(t *testing.T) {
	quotas := []Quota{{1, 0.5, 0}, {1, 1, 0}, {1, 2, 4}, {1, 10, 20}, {1, 300, 50}}
	for _, bounds := range []Bounds{deploymentBounds, DefaultBounds, {Window: time.Second, Slack: 3}} {
		for _, q := range quotas {
			a := allocatorOf(t, bounds, First)
			rng := rand.New(rand.NewPCG(1, 1))
			var runs []run
			now := start
			for now.Sub(start) < time.Minute {
				now = now.Add(time.Duration(rng.Int64N(int64(30 * time.Millisecond))))
				a.Confirm(now, now)
				for range a.Allocate(now, wants(q, 1+rng.IntN(20))).Admitted {
					runs = append(runs, run{now, now})
				}
			}
			worst, at := largestExcess(runs, bounds.Window, func(_, _ time.Time) float64 { return bounds.Limit(q) })
			if worst > 0 {
				t.Errorf("%+v %+v: %.1f too many in the window before %v", bounds, q, worst, at.Sub(start))
			}
			if least := 0.95 * q.PerSecond * 60; float64(len(runs)) < least && (bounds.tolerance(q) >= 10 || q.Burst >= 1) {
				t.Errorf("%+v %+v: %d admitted in a minute, want %.0f", bounds, q, len(runs), least)
			}
		}
	}
}

// Guards against a standby that serves more than its part of the tolerance, or nothing while the
// allocator is gone.
func TestStandbyServesFromItsPart(t *testing.T) {
	q := Quota{Version: 1, PerSecond: 4, Burst: 10}
	a := allocatorOf(t, deploymentBounds, Second)
	var runs []run
	for now := start; now.Sub(start) < time.Minute; now = now.Add(10 * time.Millisecond) {
		a.Confirm(now, now)
		g := a.Allocate(now, wants(q, 5))
		if g.NotAllocator || !g.Reduced {
			t.Fatalf("%+v", g)
		}
		for range g.Admitted {
			runs = append(runs, run{now, now})
		}
	}
	most := 0.4 * deploymentBounds.tolerance(q)
	if worst, _ := largestExcess(runs, deploymentBounds.Window, func(_, _ time.Time) float64 { return most }); worst > 0 {
		t.Errorf("%.1f more than the standby may grant", worst)
	}
	if float64(len(runs)) < most/2*12/2 {
		t.Errorf("%d admitted in a minute, the standby's part is %.1f in %v", len(runs), most, deploymentBounds.Window)
	}
}

// Guards against nodes that grant although they may not: the third in the list, one whose list
// is old, one that has not read a list, and one that stops.
func TestNodesWithoutRightsGrantNothingOrLittle(t *testing.T) {
	q := Quota{Version: 1, PerSecond: 100, Burst: 100}
	total := func(a *Allocator, from time.Time) int {
		n := 0
		for now := from; now.Sub(from) < deploymentBounds.Window; now = now.Add(10 * time.Millisecond) {
			n += a.Allocate(now, wants(q, 50)).Admitted
		}
		return n
	}
	if n := total(allocatorOf(t, deploymentBounds, None), start); n != 0 {
		t.Errorf("the third node granted %d", n)
	}
	stopped := allocatorOf(t, deploymentBounds, First)
	stopped.Stop()
	if n := total(stopped, start); n != 0 {
		t.Errorf("a stopping node granted %d", n)
	}
	if n := total(allocatorOf(t, deploymentBounds, Second), start.Add(maxListAge+1)); n != 0 {
		t.Errorf("a standby with an old list granted %d", n)
	}
	if n, most := total(allocatorOf(t, deploymentBounds, First), start.Add(maxListAge+1)), 0.2*deploymentBounds.tolerance(q); float64(n) > most || n == 0 {
		t.Errorf("an allocator with an old list granted %d, want at most %.0f", n, most)
	}
	unread := NewAllocator(deploymentBounds, NewRanking("n0"), rand.New(rand.NewPCG(1, 1)))
	if n := total(unread, start); n != 0 {
		t.Errorf("a node without a list granted %d", n)
	}
}

// Guards against accounts that are hardly served in the first seconds of a new deployment, while
// the nodes register one after the other, and against the same at a node that is added later.
func TestNodesMayGrantAtTheirFirstStart(t *testing.T) {
	q := Quota{Version: 1, PerSecond: 100, Burst: 100}
	for firstStart, bounds := range map[bool][2]float64{true: {190, 220}, false: {0, 0.2 * deploymentBounds.tolerance(q)}} {
		probe := NewRanking("")
		probe.SetNodes(start, nodeList(3))
		self, _ := probe.Of("a")
		ranking := NewRanking(self)
		a := NewAllocator(deploymentBounds, ranking, rand.New(rand.NewPCG(1, 1)))
		ranking.SetNodes(start, []Node{{Name: "other"}})
		a.Settle(start, false, firstStart)
		a.Confirm(start, start)
		ranking.SetNodes(start.Add(time.Second), nodeList(3))
		n := 0
		for now := start.Add(time.Second); now.Sub(start) < 3*time.Second; now = now.Add(10 * time.Millisecond) {
			n += a.Allocate(now, wants(q, 50)).Admitted
		}
		if float64(n) < bounds[0] || float64(n) > bounds[1] {
			t.Errorf("first start %v: %d admitted in 2 s, want %.0f to %.0f", firstStart, n, bounds[0], bounds[1])
		}
	}
}

// Guards against the use of an outdated quota: the newest version counts, and tokens are cut to
// a lower burst at once.
func TestNewestQuotaCounts(t *testing.T) {
	bounds := Bounds{Window: 5 * time.Second}
	a := allocatorOf(t, bounds, First)
	high, low := Quota{Version: 3, PerSecond: 100, Burst: 100}, Quota{Version: 4, PerSecond: 1, Burst: 2}
	now := start.Add(3 * time.Second)
	if g := a.Allocate(now, wants(high, 10)); g.Admitted != 10 {
		t.Fatalf("%+v", g)
	}
	if g := a.Allocate(now, wants(low, 10)); g.Admitted != 2 || g.Quota != low {
		t.Errorf("after the change %+v, want the 2 of the lower burst", g)
	}
	if g := a.Allocate(now, wants(high, 10)); g.Admitted != 0 || g.Quota != low {
		t.Errorf("a node with the former quota got %+v", g)
	}
	a.SetQuotas(map[string]Quota{"a": {Version: 5}})
	if g := a.Allocate(now, wants(high, 10)); g.Admitted != 10 {
		t.Errorf("without a quota %+v", g)
	}
}

// Guards against nodes that together admit more than the quota because each decides alone.
func TestNodesThatAcceptNoCallsShareTheQuota(t *testing.T) {
	q := Quota{Version: 1, PerSecond: 40, Burst: 8}
	sum := 0
	for range 4 {
		a := NewAllocator(DefaultBounds, NewRanking("n"), rand.New(rand.NewPCG(1, 1)))
		a.Settle(start, true, false)
		for now := start; now.Sub(start) <= DefaultBounds.Window; now = now.Add(10 * time.Millisecond) {
			sum += a.AllocateLocally(now, wants(q, 10), 0.25).Admitted
		}
	}
	if limit := DefaultBounds.Limit(q); float64(sum) > limit || float64(sum) < 0.9*40*5 {
		t.Errorf("%d admitted, want at most %.0f", sum, limit)
	}
}

// requesterOf returns a requester that is neither first nor second for account "a".
func requesterOf() (r *Requester, first, second string) {
	ranking := NewRanking("caller")
	ranking.SetNodes(start, nodeList(3))
	first, second = ranking.Of("a")
	return NewRequester(ranking), first, second
}

var testQuota = Quota{Version: 1, PerSecond: 5, Burst: 5}

func add(r *Requester, now time.Time, id api.RequestID, priority int) {
	r.Add(now, "a", testQuota, Waiting{Request: id, Priority: priority, Deadline: now.Add(time.Second)})
}

func takeOne(t *testing.T, r *Requester) Ask {
	t.Helper()
	d, asks := r.Take()
	if len(d) != 0 || len(asks) != 1 {
		t.Fatalf("decisions %+v, asks %+v; want one ask", d, asks)
	}
	return asks[0]
}

// Guards against a message for each request of a burst, and against one of low priority that is
// admitted before one of high priority that arrived later.
func TestBurstIsAskedForInOneMessage(t *testing.T) {
	r, first, _ := requesterOf()
	add(r, start, 1, 2)
	one := takeOne(t, r)
	if one.Node != first || one.Wanted != 1 {
		t.Fatalf("%+v", one)
	}
	for id := api.RequestID(2); id <= 9; id++ {
		add(r, start, id, 2)
	}
	add(r, start, 10, 0) // an alarm
	if r.Pending() {
		t.Fatal("a second message beside the first")
	}
	r.Answered(start.Add(time.Millisecond), one.ID, Grant{Admitted: 1})
	d, asks := r.Take()
	if len(d) != 1 || d[0] != (Decision{Request: 10, Verdict: Admitted}) || len(asks) != 1 || asks[0].Wanted != 9 {
		t.Fatalf("decisions %+v, asks %+v", d, asks)
	}
}

// Guards against a request that waits for an allocator which does not answer: the standby is
// asked after 15 ms, the first admission counts, and a late or duplicated answer admits nobody
// who has not waited.
func TestStandbyIsAskedAfter15ms(t *testing.T) {
	r, first, second := requesterOf()
	add(r, start, 1, 0)
	toFirst := takeOne(t, r)
	if next := r.Next("a"); next.Sub(start) != 15*time.Millisecond {
		t.Fatalf("due after %v", next.Sub(start))
	}
	r.Tick(start.Add(15*time.Millisecond), "a")
	toSecond := takeOne(t, r)
	if toFirst.Node != first || toSecond.Node != second {
		t.Fatalf("asked %s and %s", toFirst.Node, toSecond.Node)
	}
	r.Answered(start.Add(17*time.Millisecond), toSecond.ID, Grant{Admitted: 1})
	if d, _ := r.Take(); len(d) != 1 || d[0].Verdict != Admitted {
		t.Fatalf("%+v", d)
	}
	r.Answered(start.Add(18*time.Millisecond), toSecond.ID, Grant{Admitted: 1})
	r.Answered(start.Add(30*time.Millisecond), toFirst.ID, Grant{Admitted: 1})
	if r.Pending() {
		t.Error("an answer had an effect that nobody waits for")
	}
	add(r, start.Add(31*time.Millisecond), 2, 0)
	r.Answered(start.Add(32*time.Millisecond), toFirst.ID, Grant{Admitted: 1})
	if d, _ := r.Take(); len(d) != 0 {
		t.Errorf("a duplicated answer admitted %+v", d)
	}
}

// Guards against callers that retry at once and cause a message each: after a refusal the node
// refuses by itself until the time that the allocator named.
func TestInstantRepeatsAreRefusedLocally(t *testing.T) {
	r, _, _ := requesterOf()
	add(r, start, 1, 0)
	r.Answered(start, takeOne(t, r).ID, Grant{RetryAfter: 300 * time.Millisecond})
	if d, _ := r.Take(); len(d) != 1 || d[0].Verdict != OverQuota || d[0].RetryAfter != 300*time.Millisecond {
		t.Fatalf("%+v", d)
	}
	for i := range 299 {
		add(r, start.Add(time.Duration(i)*time.Millisecond), api.RequestID(i+2), 0)
		d, asks := r.Take()
		if len(asks) != 0 || len(d) != 1 || d[0].Verdict != OverQuota || d[0].RetryAfter < time.Millisecond {
			t.Fatalf("after %d ms: %+v %+v", i, d, asks)
		}
	}
	add(r, start.Add(300*time.Millisecond), 1000, 0)
	takeOne(t, r)
}

// Guards against requests that wait until their deadline because no node can answer: each
// failure is noticed at once, and the caller learns that the quota is unknown.
func TestUnreachableNodesMakeTheQuotaUnknown(t *testing.T) {
	for name, answer := range map[string]func(r *Requester, now time.Time, id uint64){
		"failed":        func(r *Requester, now time.Time, id uint64) { r.Failed(now, id, true) },
		"older version": func(r *Requester, now time.Time, id uint64) { r.Failed(now, id, false) },
		"not allocator": func(r *Requester, now time.Time, id uint64) { r.Answered(now, id, Grant{NotAllocator: true}) },
		"no answer":     func(r *Requester, now time.Time, id uint64) { r.Tick(now.Add(askTimeout), "a") },
	} {
		r, first, second := requesterOf()
		add(r, start, 1, 0)
		q := takeOne(t, r)
		answer(r, start, q.ID)
		q2 := takeOne(t, r)
		if q.Node != first || q2.Node != second {
			t.Errorf("%s: asked %s and %s", name, q.Node, q2.Node)
		}
		answer(r, start.Add(askTimeout), q2.ID)
		if d, _ := r.Take(); len(d) != 1 || d[0].Verdict != Unknown || d[0].RetryAfter <= 0 || d[0].RetryAfter > time.Second {
			t.Errorf("%s: %+v", name, d)
		}
		add(r, start.Add(2*askTimeout), 2, 0)
		if d, asks := r.Take(); len(d) != 1 || d[0].Verdict != Unknown || len(asks) != 0 {
			t.Errorf("%s: the next request got %+v %+v", name, d, asks)
		}
		add(r, start.Add(11*time.Second), 3, 0)
		if a := takeOne(t, r); a.Node != first {
			t.Errorf("%s: %s is asked later, want the allocator", name, a.Node)
		}
	}
}

// Guards against requests that are sent after their deadline, and against callers that are gone
// and use up a permit.
func TestExpiredAndAbandonedRequestsAreDropped(t *testing.T) {
	r, _, _ := requesterOf()
	r.Add(start, "a", testQuota, Waiting{Request: 1, Deadline: start.Add(5 * time.Millisecond)})
	add(r, start, 2, 0)
	add(r, start, 3, 0)
	q := takeOne(t, r)
	if next := r.Next("a"); next.Sub(start) != 5*time.Millisecond {
		t.Fatalf("due after %v", next.Sub(start))
	}
	r.Tick(start.Add(5*time.Millisecond), "a")
	if d, _ := r.Take(); len(d) != 1 || d[0] != (Decision{Request: 1, Verdict: Expired}) {
		t.Fatalf("%+v", d)
	}
	r.Remove("a", 2)
	r.Answered(start.Add(6*time.Millisecond), q.ID, Grant{Admitted: 1})
	if d, _ := r.Take(); !slices.Equal(d, []Decision{{Request: 3, Verdict: Admitted}}) || r.Waiting("a") != 0 {
		t.Errorf("%+v", d)
	}
}
