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

// share returns the fraction of picks that select replica 0. An attempt on replica i
// is answered after 2.5 to 7.5 ms if ok(i), and lost otherwise.
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

// Guards against work sent to a drained incarnation, against a replica that stays
// unused after its drained process was replaced, and against a late answer or drain
// notice that reverts either.
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
		t.Error("the first drain report must change the drain state, the second must not")
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
			t.Error("replica drained before its incarnation was known is still usable")
		}
	}
}

// coldReplicas returns two replicas of which the first one has just restarted.
func coldReplicas() *Replicas {
	r := newReplicas(2)
	for i := range 2 {
		r.Done(start, name(i), api.TargetOK, 5*time.Millisecond, load(1))
	}
	r.ObserveLoad(start, name(0), load(2))
	return r
}

// Guards against full load on a cold replica, and against a replica that never leaves
// the ramp-up, if no answers tell how fast it is.
func TestColdStartRampsUp(t *testing.T) {
	r := coldReplicas()
	var got []float64
	for s := range 12 {
		picked := 0
		for k := range 2000 {
			if p, _ := r.Pick(start.Add(time.Duration(s)*time.Second+time.Duration(k)*time.Second/2000), names(2), nil); p == name(0) {
				picked++
			}
		}
		got = append(got, float64(picked)/2000)
	}
	t.Logf("share of the cold replica in each second: %.2f", got)
	if got[0] > 0.15 || got[3] < 0.15 || got[3] > 0.35 || got[11] < 0.4 {
		t.Error("the share of the cold replica does not ramp up")
	}
	if newReplicas(2).HeldVersions(name(0)) != nil {
		t.Error("unknown replica holds versions")
	}
}

// Guards against a cold replica that is left idle although it answers as fast as the others.
func TestFastColdReplicaIsSoonFullyUsed(t *testing.T) {
	r := coldReplicas()
	if first := share(r, 2, start, 10*time.Millisecond, func(i int) bool { return i == 1 }); first > 0.15 {
		t.Errorf("share %.2f before it has answered", first)
	}
	r = coldReplicas()
	share(r, 2, start, time.Second, always)
	if got := share(r, 2, start.Add(time.Second), time.Second, always); got < 0.4 {
		t.Errorf("share %.2f in the second after the first", got)
	}
}

// Guards against trust in wrong load reports: a replica that reports no load although
// its answers are slow, and one that reports a huge load although they are fast.
func TestFalseReportedLoad(t *testing.T) {
	r := newReplicas(2)
	now := start
	for range 100 {
		now = now.Add(time.Millisecond)
		r.Done(now, name(0), api.TargetOK, 50*time.Millisecond, load(1))
		r.Done(now, name(1), api.TargetOK, 5*time.Millisecond, api.TargetLoad{Incarnation: 1, Running: 2, Queued: 2})
	}
	if got, _ := r.Pick(now, names(2), nil); got != name(1) {
		t.Error("a slow replica that reports no load is preferred")
	}
	for range 30 {
		r.Sent(now, name(1))
	}
	for range 100 {
		r.Done(now, name(0), api.TargetOK, 5*time.Millisecond, api.TargetLoad{Incarnation: 1, Running: 1 << 40})
	}
	if got, _ := r.Pick(now, names(2), nil); got != name(0) {
		t.Error("a replica that reports a huge load gets no traffic")
	}
}

// Guards against a failing replica that keeps its share or is never tried again,
// against a shard without any candidate when all its replicas fail, and against a
// replica that is preferred because it sheds requests quickly.
func TestFailures(t *testing.T) {
	r := newReplicas(2)
	failing := share(r, 2, start, 10*time.Second, func(i int) bool { return i != 0 })
	after := start.Add(20 * time.Second)
	recovered := share(r, 2, after, 10*time.Second, always)
	t.Logf("share while failing %.4f, after %.2f", failing, recovered)
	if failing > 0.02 || failing < 0.001 || recovered < 0.2 {
		t.Error("the share of the failing replica is out of bounds while it fails or after its recovery")
	}
	all := newReplicas(3)
	share(all, 3, start, time.Second, func(int) bool { return false })
	if _, ok := all.Pick(start.Add(time.Second), names(3), nil); !ok {
		t.Error("no replica picked when all replicas of a shard fail")
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

// Guards against counting one broken connection with many attempts as many failures,
// which would delay the next probe of the replica by seconds.
func TestOneBreakIsOneFailure(t *testing.T) {
	r := newReplicas(1)
	for range 100 {
		r.Sent(start, name(0))
	}
	for range 100 {
		r.Lost(start, name(0))
	}
	if at := r.replicas[name(0)].nextProbeAt; at.Sub(start) > minProbeInterval {
		t.Errorf("next probe after %v", at.Sub(start))
	}
}

// Guards against state lost on a change of the configuration document, and against
// state kept for a replica whose address changed.
func TestConfigureKeepsUnchanged(t *testing.T) {
	r := newReplicas(2)
	held := api.TargetLoad{Incarnation: 1, Held: []api.ShardVersions{{Shard: "s", Versions: []uint64{4}}}}
	for i := range 2 {
		r.Done(start, name(i), api.TargetOK, 5*time.Millisecond, held)
	}
	doc := document(3)
	doc.Replicas[name(1)].Address = "elsewhere"
	r.Configure(start, doc)
	if smoothed, tail := r.Latency(name(0)); smoothed != 5*time.Millisecond || tail == 0 || len(r.HeldVersions(name(0))) != 1 {
		t.Error("state of an unchanged replica lost")
	}
	if r.Incarnation(name(1)) != 0 || len(r.HeldVersions(name(1))) != 0 {
		t.Error("state of a replica with a new address kept")
	}
	if _, ok := r.Pick(start, []api.ReplicaName{"none"}, nil); ok {
		t.Error("unknown replica picked")
	}
}
