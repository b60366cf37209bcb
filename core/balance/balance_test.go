package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

func newReplicas(n int) *Replicas {
	r := New(rand.New(rand.NewPCG(1, 2)), "")
	r.Configure(start, document(n))
	return r
}

func load(incarnation api.Incarnation) api.TargetLoad {
	return api.TargetLoad{Incarnation: incarnation, Slots: 2}
}

// share returns the part of picks that go to replica 0 while each is answered
// with a latency of 2.5 to 7.5 ms if ok, or else lost.
func share(r *Replicas, n int, from time.Time, span time.Duration, ok func(i int) bool) float64 {
	const picks = 2000
	got := 0
	rng := rand.New(rand.NewPCG(5, 6))
	for k := range picks {
		now := from.Add(span * time.Duration(k) / picks)
		name0, _ := r.Pick(now, names(n), nil)
		i := 0
		for name(i) != name0 {
			i++
		}
		if i == 0 {
			got++
		}
		r.Sent(now, name0)
		if ok(i) {
			latency := time.Duration((0.5 + rng.Float64()) * float64(5*time.Millisecond))
			r.Done(now, name0, api.TargetOK, latency, api.TargetLoad{})
		} else {
			r.Lost(now, name0)
		}
	}
	return float64(got) / picks
}

func always(int) bool { return true }

// Guards against work for a drained incarnation, against a drained target that
// never returns, and against a late answer or notice that undoes either.
func TestDrainAndReturn(t *testing.T) {
	r := newReplicas(2)
	usable := func(want bool) {
		t.Helper()
		if ok, reason := r.Usable(start, name(0)); ok != want || !ok && reason != api.ReasonDraining {
			t.Fatalf("usable %v (%q), want %v", ok, reason, want)
		}
		if got, _ := r.Pick(start, names(1), nil); (got == name(0)) != want {
			t.Fatalf("picked %q", got)
		}
	}
	draining := load(7)
	draining.Draining = true
	if !r.Done(start, name(0), api.TargetOK, time.Millisecond, draining) || r.ObserveLoad(start, name(0), draining) {
		t.Error("the first sign must be news, the second must not")
	}
	usable(false)
	r.ObserveLoad(start, name(0), load(8))
	usable(true)
	r.ObserveLoad(start, name(0), draining)
	r.SetDraining(start, name(0), 7)
	usable(true)
	r.SetDraining(start, name(0), 9)
	usable(true)
	r.ObserveLoad(start, name(0), load(9))
	usable(false)
	r.ClearDraining(name(0))
	usable(true)
	r.SetDraining(start, name(0), 0)
	usable(false)
	r.ObserveLoad(start, name(0), load(10))
	usable(true)
	doc := document(2)
	doc.Replicas[name(0)].Drained = true
	r.Configure(start, doc)
	r.ObserveLoad(start, name(0), load(11))
	usable(false)
	r.Configure(start, document(2))
	usable(true)
	if other := New(rand.New(rand.NewPCG(1, 2)), ""); true {
		other.Configure(start, document(1))
		other.SetDraining(start, name(0), 0)
		other.ObserveLoad(start, name(0), load(1))
		if ok, _ := other.Usable(start, name(0)); ok {
			t.Error("drained before its incarnation was known, but used")
		}
	}
}

// Guards against full load on a cold target, and against one that stays cold.
func TestColdStartRampsUp(t *testing.T) {
	r := newReplicas(2)
	for i := range 2 {
		r.Done(start, name(i), api.TargetOK, 5*time.Millisecond, load(1))
	}
	r.ObserveLoad(start, name(0), load(2))
	var got []float64
	for s := range 12 {
		got = append(got, share(r, 2, start.Add(time.Duration(s)*time.Second), time.Second, always))
	}
	t.Logf("share of the cold replica in each second: %.2f", got)
	if got[0] > 0.15 || got[4] < 0.15 || got[4] > 0.35 || got[11] < 0.4 {
		t.Error("no ramp over 10 s")
	}
	if newReplicas(2).Held(name(0)) != nil {
		t.Error("unknown replica holds versions")
	}
}

// Guards against trust in a reported load: idle though answers are slow, and
// busy though answers are fast.
func TestLyingLoad(t *testing.T) {
	r := newReplicas(2)
	now := start
	for range 100 {
		now = now.Add(time.Millisecond)
		r.Done(now, name(0), api.TargetOK, 50*time.Millisecond, load(1))
		r.Done(now, name(1), api.TargetOK, 5*time.Millisecond, api.TargetLoad{Incarnation: 1, Running: 2, Queued: 2})
	}
	if got, _ := r.Pick(now, names(2), nil); got != name(1) {
		t.Error("a slow replica that claims to be idle is preferred")
	}
	for range 30 {
		r.Sent(now, name(1))
	}
	for range 100 {
		r.Done(now, name(0), api.TargetOK, 5*time.Millisecond, api.TargetLoad{Incarnation: 1, Running: 1 << 40})
	}
	if got, _ := r.Pick(now, names(2), nil); got != name(0) {
		t.Error("a replica that claims a huge load gets nothing")
	}
}

// Guards against a failing replica that keeps its share, is never tried again,
// or shuts out a shard when all replicas fail; and against a replica that sheds
// fast and looks fast.
func TestFailures(t *testing.T) {
	r := newReplicas(2)
	failing := share(r, 2, start, 10*time.Second, func(i int) bool { return i != 0 })
	after := start.Add(20 * time.Second)
	healed := share(r, 2, after, 10*time.Second, always)
	t.Logf("share while failing %.4f, after %.2f", failing, healed)
	if failing > 0.02 || failing < 0.001 || healed < 0.2 {
		t.Error("failing replica")
	}
	all := newReplicas(3)
	share(all, 3, start, time.Second, func(int) bool { return false })
	if _, ok := all.Pick(start.Add(time.Second), names(3), nil); !ok {
		t.Error("all replicas of a shard shut out")
	}
	if got, ok := all.Pick(start.Add(time.Second), names(3), []api.ReplicaName{name(0), name(1)}); !ok || got != name(2) {
		t.Error("the only replica that is not excluded must be picked")
	}
	shedding := newReplicas(2)
	for range 100 {
		shedding.Done(start, name(0), api.TargetShed, 100*time.Microsecond, load(1))
		shedding.Done(start, name(1), api.TargetOK, 5*time.Millisecond, load(1))
	}
	if got, _ := shedding.Pick(start, names(2), nil); got != name(1) {
		t.Error("a replica that sheds is preferred")
	}
}

// Guards against one broken connection with many attempts that counts as many
// failures and keeps the replica from being probed for seconds.
func TestOneBreakIsOneFailure(t *testing.T) {
	r := newReplicas(1)
	for range 100 {
		r.Sent(start, name(0))
	}
	for range 100 {
		r.Lost(start, name(0))
	}
	if at := r.replicas[name(0)].probeAt; at.Sub(start) > probeFirst {
		t.Errorf("probed after %v", at.Sub(start))
	}
}

// Guards against state lost on a change of the document, and state kept for a
// replica that moved.
func TestConfigureKeepsUnchanged(t *testing.T) {
	r := newReplicas(2)
	held := api.TargetLoad{Incarnation: 1, Held: []api.ShardVersions{{Shard: "s", Versions: []uint64{4}}}}
	for i := range 2 {
		r.Done(start, name(i), api.TargetOK, 5*time.Millisecond, held)
	}
	doc := document(3)
	doc.Replicas[name(1)].Address = "elsewhere"
	r.Configure(start, doc)
	if smoothed, high := r.Latency(name(0)); smoothed != 5*time.Millisecond || high == 0 || len(r.Held(name(0))) != 1 {
		t.Error("unchanged replica forgotten")
	}
	if r.Incarnation(name(1)) != 0 || len(r.Held(name(1))) != 0 {
		t.Error("moved replica remembered")
	}
	if _, ok := r.Pick(start, []api.ReplicaName{"none"}, nil); ok {
		t.Error("unknown replica picked")
	}
}
