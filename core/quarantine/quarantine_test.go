package quarantine

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/gossip"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid; -rapid.seed on the command line overrides
// it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var (
	epoch  = time.UnixMilli(1_800_000_000_000)
	search = Options{Canary: true}
)

const fp api.Fingerprint = 42

func newRegistry() *Registry { return New(count.NewSet()) }

// expectKind fails the test unless Admit returns the given kind for a search
// with fingerprint fp.
func expectKind(t *testing.T, r *Registry, now time.Time, kind Kind) {
	t.Helper()
	if v := r.Admit(now, fp, search); v.Kind != kind {
		t.Fatalf("Admit returned kind %d, want %d", v.Kind, kind)
	}
}

// crashOf records a crash of the replica's process with incarnation 1.
func crashOf(r *Registry, now time.Time, replica api.ReplicaName, fps ...api.Fingerprint) []gossip.Notice {
	return r.Crashed(now, replica, 1, fps)
}

// Guards against a fatal request that does not go through canary and probation,
// or that is not refused for an hour after it was last received.
func TestFatalRequestIsConvicted(t *testing.T) {
	r := newRegistry()
	expectKind(t, r, epoch, RunCanary)
	if n := crashOf(r, epoch, "a", fp, fp); len(n) != 1 || n[0].Kind != gossip.NoticeSuspect || n[0].Replica != "a" {
		t.Fatalf("notices %+v, want one suspicion because of the crash of a", n)
	}
	expectKind(t, r, epoch, RunProbation)
	expectKind(t, r, epoch, Wait)
	r.ProbationStarted(epoch, fp, "b")
	if n := crashOf(r, epoch, "b", fp); len(n) != 1 || n[0].Kind != gossip.NoticeConvicted || n[0].Crashes != 2 {
		t.Fatalf("notices %+v, want one conviction after two crashes", n)
	}
	r.ProbationEnded(epoch, fp)
	expectKind(t, r, epoch.Add(59*time.Minute), Refuse)
	expectKind(t, r, epoch.Add(118*time.Minute), Refuse)
	expectKind(t, r, epoch.Add(179*time.Minute), RunCanary)
}

// Guards against refusing a frequent harmless request that was in flight at
// several crashes, also when another target crashes during its probation run.
func TestAnsweredRequestIsNotConvicted(t *testing.T) {
	r := newRegistry()
	r.Answered(epoch, fp)
	expectKind(t, r, epoch, Run)
	crashOf(r, epoch, "a", fp)
	expectKind(t, r, epoch, RunProbation)
	r.ProbationStarted(epoch, fp, "c")
	crashOf(r, epoch, "b", fp)
	expectKind(t, r, epoch, Wait)
	if n := r.Answered(epoch, fp); len(n) != 1 || n[0].Kind != gossip.NoticeCleared {
		t.Fatalf("notices %+v, want one clearing", n)
	}
	r.ProbationEnded(epoch, fp)
	expectKind(t, r, epoch, Run)
}

// Guards against counting one crash twice when several connections or nodes
// report it, and against ending a probation run because of such a report.
func TestRepeatedCrashReportCountsOnce(t *testing.T) {
	r := newRegistry()
	r.Learn(epoch, crashOf(newRegistry(), epoch, "a", fp)[0])
	if n := crashOf(r, epoch, "a", fp); n != nil {
		t.Fatalf("a repeated report returned notices: %+v", n)
	}
	expectKind(t, r, epoch, RunProbation)
	crashOf(r, epoch, "a", fp)
	expectKind(t, r, epoch, Wait)
}

// Guards against a probation run that clears or convicts although it ended with
// neither an answer nor a crash.
func TestProbationWithoutResultChangesNothing(t *testing.T) {
	r := newRegistry()
	crashOf(r, epoch, "a", fp)
	if n := r.Answered(epoch, fp); n != nil {
		t.Fatalf("an answer outside of a probation run cleared the suspect: %+v", n)
	}
	for range 3 {
		expectKind(t, r, epoch, RunProbation)
		r.ProbationEnded(epoch, fp)
	}
	expectKind(t, r, epoch, RunProbation)
}

// Guards against a canary for work orders and for services that have it
// disabled, and against work orders that skip the probation run.
func TestWorkAndDisabledCanary(t *testing.T) {
	r := newRegistry()
	if v := r.Admit(epoch, fp, Options{Work: true, Canary: true}); v.Kind != Run {
		t.Error("a work order ran as a canary or was held back")
	}
	if v := r.Admit(epoch, fp, Options{}); v.Kind != Run {
		t.Error("a search ran as a canary or was held back although the canary is disabled")
	}
	crashOf(r, epoch, "a", fp)
	if v := r.Admit(epoch, fp, Options{Work: true}); v.Kind != RunProbation {
		t.Error("a suspect work order got no probation run")
	}
}

// Guards against notices that arrive late, twice or out of order and overwrite
// a newer state.
func TestLateAndRepeatedNoticesAreIgnored(t *testing.T) {
	a, b, c := newRegistry(), newRegistry(), newRegistry()
	first := crashOf(a, epoch, "a", fp)[0]
	b.Learn(epoch, first)
	expectKind(t, b, epoch, RunProbation)
	cleared := b.Answered(epoch.Add(-5*time.Minute), fp)[0] // b's clock is 5 min behind
	if !c.Learn(epoch, cleared) || c.Learn(epoch, first) || c.Learn(epoch, cleared) {
		t.Error("an older or repeated notice changed something")
	}
	expectKind(t, c, epoch, Run)
	if !a.Learn(epoch, cleared) {
		t.Error("the clearing did not reach the node that saw the crash")
	}
	expectKind(t, a, epoch, Run)
	crashOf(c, epoch, "b", fp)
	c.Learn(epoch, first)
	if n := c.Active(epoch); len(n) != 1 || n[0].Crashes != 1 {
		t.Errorf("a crash from before the clearing counts: %+v", n)
	}
	expired := first
	expired.Version, expired.TimeToLive = expired.Version+100, 0
	if c.Learn(epoch, expired) {
		t.Error("an expired notice was applied")
	}
}

// Guards against nodes that could not communicate ending up in different
// states: of two notices with equal versions the conviction wins in either
// order of arrival.
func TestConvictionWinsAmongEqualVersions(t *testing.T) {
	conviction := gossip.Notice{Kind: gossip.NoticeConvicted, Fingerprint: fp, Version: 9, Crashes: 2, TimeToLive: time.Hour}
	clearing := gossip.Notice{Kind: gossip.NoticeCleared, Fingerprint: fp, Version: 9, TimeToLive: time.Hour}
	for _, order := range [][]gossip.Notice{{conviction, clearing}, {clearing, conviction}} {
		r := newRegistry()
		for _, n := range order {
			r.Learn(epoch, n)
		}
		expectKind(t, r, epoch.Add(refusalDelay), Refuse)
	}
}

// Guards against a conviction that never expires because two nodes repeat each
// other's notices, each time extended by the transit time.
func TestRepeatedNoticesDoNotKeepConvictionAlive(t *testing.T) {
	a, b := newRegistry(), newRegistry()
	crashOf(a, epoch, "a", fp)
	expectKind(t, a, epoch, RunProbation)
	crashOf(a, epoch, "b", fp)
	now := epoch
	for range 8000 {
		for _, pair := range [][2]*Registry{{a, b}, {b, a}} {
			ns := pair[0].Active(now)
			now = now.Add(250 * time.Millisecond) // transit time
			for _, n := range ns {
				pair[1].Learn(now, n)
			}
		}
		now = now.Add(250 * time.Millisecond)
	}
	if len(a.Active(now))+len(b.Active(now)) != 0 {
		t.Errorf("the conviction is still active after %s", now.Sub(epoch))
	}
}

// Guards against unbounded memory, and against evicting a recently used
// fingerprint or a conviction before less important ones.
func TestMemoryLimitsAndEviction(t *testing.T) {
	r := newRegistry()
	r.Answered(epoch, fp)
	for i := range api.Fingerprint(maxAnswered + 10) {
		r.Answered(epoch, 1000+i)
		r.Admit(epoch, fp, search)
	}
	if !r.answered.has(fp) || r.answered.has(1000) || r.answered.order.Len() != maxAnswered {
		t.Error("the least recently used answered fingerprint was not evicted, or the limit is not kept")
	}
	crashOf(r, epoch, "a", fp)
	expectKind(t, r, epoch, RunProbation)
	r.ProbationStarted(epoch, fp, "b")
	crashOf(r, epoch, "b", fp)
	for i := range api.Fingerprint(maxRecords + 10) {
		crashOf(r, epoch.Add(time.Minute), "c", 1_000_000+i)
	}
	if len(r.records) != maxRecords {
		t.Errorf("wrong number of records: %d", len(r.records))
	}
	expectKind(t, r, epoch.Add(time.Minute), Refuse)
	r.Tick(r.NextTick().Add(2 * time.Hour))
	if len(r.records) != 0 || !r.NextTick().IsZero() {
		t.Error("expired records remain, or NextTick returns a time without records")
	}
}

// Guards against different requests with the same fingerprint, and against a
// canary order that depends on the order of the replicas.
func TestFingerprintAndOrder(t *testing.T) {
	queries := []api.Query{
		{Service: "a"}, {Service: "a", OrderBy: "x"}, {Service: "ax"}, {Service: "a", Limit: 1}, {Service: "a", Descending: true},
		{Service: "a", Conditions: []api.Condition{{Field: "b", Operator: api.Equal, Value: "c"}}},
		{Service: "a", Conditions: []api.Condition{{Field: "bc", Operator: api.Equal}}},
		{Service: "a", Conditions: []api.Condition{{Field: "b", Operator: api.Less, Value: "c"}}},
	}
	seen := map[api.Fingerprint]bool{WorkFingerprint(api.Work{Service: "a"}): true}
	for _, q := range queries {
		seen[Fingerprint(q)] = true
	}
	if len(seen) != len(queries)+1 {
		t.Error("two different requests have the same fingerprint")
	}
	replicas := []api.ReplicaName{"r1", "r2", "r3", "r4"}
	order := CanaryOrder(fp, replicas)
	slices.Reverse(replicas)
	if !slices.Equal(order, CanaryOrder(fp, replicas)) {
		t.Error("the canary order depends on the order of the input")
	}
	if got := CanaryOrder(fp, slices.DeleteFunc(replicas, func(n api.ReplicaName) bool { return n == order[0] })); !slices.Equal(got, order[1:]) {
		t.Error("removing a replica changes the order of the others")
	}
}

// Guards property P9 with several nodes that communicate: a request that
// crashes every target crashes at most two, and a harmless one is never
// refused. The check uses only which targets crashed and which requests were
// refused. Each run ends, and its notices arrive, before another node starts a
// run.
func TestFatalAndHarmlessRequestsOnSeveralNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const fatal, harmless api.Fingerprint = 1, 2
		nodes := []*Registry{newRegistry(), newRegistry(), newRegistry()}
		now := epoch
		incarnations := map[api.ReplicaName]api.Incarnation{}
		replicas := []api.ReplicaName{"a", "b", "c", "d"}
		crashes := 0
		var sent []gossip.Notice
		broadcast := func(from int, ns []gossip.Notice) {
			sent = append(sent, ns...)
			for i, r := range nodes {
				for _, n := range ns {
					if i != from {
						r.Learn(now, n)
					}
				}
			}
		}
		run := func(node int, fp api.Fingerprint) Kind {
			r := nodes[node]
			v := r.Admit(now, fp, search)
			if v.Kind == Refuse || v.Kind == Wait {
				return v.Kind
			}
			target := CanaryOrder(fp, replicas)[0]
			if v.Kind == RunProbation {
				r.ProbationStarted(now, fp, target)
			}
			if fp == fatal {
				crashes++
				inFlight := []api.Fingerprint{fatal}
				// A normal run of the harmless request is in flight at the same target.
				if nodes[node].Admit(now, harmless, search).Kind == Run {
					inFlight = append(inFlight, harmless)
				}
				broadcast(node, r.Crashed(now, target, incarnations[target], inFlight))
				incarnations[target]++
			} else {
				broadcast(node, r.Answered(now, fp))
			}
			r.ProbationEnded(now, fp)
			r.ProbationEnded(now, harmless)
			return v.Kind
		}
		t.Repeat(map[string]func(*rapid.T){
			"fatal": func(t *rapid.T) { run(rapid.IntRange(0, 2).Draw(t, "node"), fatal) },
			"innocent": func(t *rapid.T) {
				// Runs end immediately here, so only a conviction can refuse or delay it.
				if kind := run(rapid.IntRange(0, 2).Draw(t, "node"), harmless); kind == Refuse || kind == Wait {
					t.Fatalf("a harmless request is refused or has to wait: kind %d", kind)
				}
			},
			"repeat": func(t *rapid.T) {
				if len(sent) > 0 {
					n := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "notice")]
					nodes[rapid.IntRange(0, 2).Draw(t, "node")].Learn(now, n)
				}
			},
			"advance": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "s")) * time.Second) },
			"": func(t *rapid.T) {
				if crashes > 2 {
					t.Fatalf("%d targets crashed", crashes)
				}
			},
		})
	})
}
