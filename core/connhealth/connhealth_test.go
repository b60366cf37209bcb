package connhealth

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
)

var start = time.Unix(1_000_000, 0)

// rig runs a Manager in simulated time and records its actions.
type rig struct {
	*Manager
	t       testing.TB
	now     time.Time
	opens   []event.OpenConn
	openAt  []time.Time
	closed  map[api.ConnID]bool
	probes  map[api.ConnID]int
	crashes []Crash
	seq     uint64
}

func newRig(t testing.TB, replicas, limit, nodes int) *rig {
	r := &rig{t: t, now: start, closed: map[api.ConnID]bool{}, probes: map[api.ConnID]int{}}
	var id api.ConnID
	newConn := func() api.ConnID { id++; return id }
	r.Manager = New(Settings{}, newConn, rand.New(rand.NewPCG(1, 2)), count.NewSet())
	doc := &config.Document{Replicas: map[api.ReplicaName]*config.Replica{}}
	for i := range replicas {
		doc.Replicas[name(i)] = &config.Replica{Address: fmt.Sprint("a", i), Slots: 2, Connections: limit}
	}
	r.do(r.Configure(r.now, doc, nodes), nil)
	return r
}

func name(i int) api.ReplicaName { return api.ReplicaName(fmt.Sprintf("r%03d", i)) }

func (r *rig) do(actions []event.Action, crashes []Crash) {
	r.crashes = append(r.crashes, crashes...)
	for _, a := range actions {
		switch a := a.(type) {
		case event.OpenConn:
			r.opens, r.openAt = append(r.opens, a), append(r.openAt, r.now)
		case event.CloseConn:
			r.closed[a.Conn] = true
		case event.Probe:
			r.probes[a.Conn]++
		}
	}
}

// run advances the time by d and calls Tick at the times that NextTick returns. It calls
// reply for each new connection.
func (r *rig) run(d time.Duration, reply func(event.OpenConn)) {
	end := r.now.Add(d)
	for answered := len(r.opens); ; {
		for ; answered < len(r.opens); answered++ {
			if reply != nil {
				reply(r.opens[answered])
			}
		}
		wake := r.NextTick()
		if wake.After(end) {
			r.now = end
			return
		}
		if wake.After(r.now) {
			r.now = wake
		}
		r.do(r.Tick(r.now))
	}
}

func (r *rig) accept(incarnation api.Incarnation) func(event.OpenConn) {
	return func(o event.OpenConn) {
		r.do(r.Opened(r.now, event.ConnOpened{Conn: o.Conn, Load: api.TargetLoad{Incarnation: incarnation}}))
	}
}

func (r *rig) refuse(end event.ConnEnd) func(event.OpenConn) {
	return func(o event.OpenConn) { r.do(r.Ended(r.now, event.ConnEnded{Conn: o.Conn, End: end})) }
}

func (r *rig) send(fp api.Fingerprint) (api.ConnID, api.AttemptID) {
	r.t.Helper()
	id, ok := r.Pick(r.now, name(0))
	if !ok {
		r.t.Fatal("no connection")
	}
	r.seq++
	attempt := api.AttemptID{Seq: r.seq}
	r.Sent(r.now, id, attempt, fp)
	return id, attempt
}

func connected(t testing.TB, limit int) *rig {
	r := newRig(t, 1, limit, 8)
	r.run(time.Second, r.accept(7))
	for _, o := range r.opens {
		if r.OpenCount(o.Replica) == 0 {
			r.accept(7)(o)
		}
	}
	if r.OpenCount(name(0)) != 1 {
		t.Fatal("not connected")
	}
	return r
}

// Guards against a silent connection that is detected late, or not at all because hedges
// answered and its attempts were cancelled.
func TestSilentConnectionReplacedWithinBound(t *testing.T) {
	for _, limit := range []int{25, 3, 0} {
		for _, cancel := range []bool{false, true} {
			r := connected(t, cmp.Or(limit, 25))
			reply := r.accept(7)
			if limit == 0 {
				// The target accepts no more connections.
				reply = r.refuse(event.ConnLimited)
			}
			sent := r.now
			old, attempt := r.send(1)
			if cancel {
				r.Finished(r.now, old, attempt, false)
			}
			for !r.closed[old] && r.now.Sub(sent) < 5*time.Second {
				r.run(10*time.Millisecond, reply)
			}
			took := r.now.Sub(sent)
			if took > 2*time.Second {
				t.Errorf("limit %d: closed after %v", limit, took)
			}
			r.run(5*time.Second, r.accept(7))
			if id, ok := r.Pick(r.now, name(0)); !ok || id == old {
				t.Errorf("limit %d: no replacement", limit)
			}
			if len(r.crashes) > 0 {
				t.Error("closing a silent connection was reported as a crash")
			}
			t.Logf("limit %d, attempts cancelled %v: closed after %v", limit, cancel, took)
		}
	}
}

// Guards against closing a connection whose target answers requests slowly but replies
// to probes.
func TestSlowRequestKeepsConnection(t *testing.T) {
	r := connected(t, 25)
	id, _ := r.send(1)
	for range 100 {
		r.run(50*time.Millisecond, r.accept(7))
		if r.probes[id] > 0 {
			r.probes[id] = 0
			r.do(r.ProbeReplied(r.now, event.ProbeReplied{Conn: id, Load: api.TargetLoad{Incarnation: 7}}))
		}
	}
	if r.closed[id] {
		t.Error("a connection that replies to probes was closed")
	}
	if r.OpenCount(name(0)) > 2 {
		t.Error("more connections than the quota")
	}
}

// Guards against a missed crash, and against a network failure or the reset of an idle
// connection that is reported as a crash.
func TestCrashAndNetworkFailure(t *testing.T) {
	cases := []struct {
		name  string
		idle  bool
		next  func(*rig) func(event.OpenConn)
		crash bool
	}{
		{"refused", false, func(r *rig) func(event.OpenConn) { return r.refuse(event.ConnRefused) }, true},
		{"restarted", false, func(r *rig) func(event.OpenConn) { return r.accept(8) }, true},
		{"network failure", false, func(r *rig) func(event.OpenConn) { return r.accept(7) }, false},
		{"limited", false, func(r *rig) func(event.OpenConn) { return r.refuse(event.ConnLimited) }, false},
		{"idle", true, func(r *rig) func(event.OpenConn) { return r.refuse(event.ConnRefused) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := connected(t, 25)
			id := r.opens[0].Conn
			if !c.idle {
				var attempt api.AttemptID
				_, attempt = r.send(1)
				r.send(2)
				r.Finished(r.now, id, attempt, false)
			}
			r.do(r.Ended(r.now, event.ConnEnded{Conn: id, End: event.ConnReset}))
			if len(r.crashes) > 0 {
				t.Fatal("a reset was reported as a crash before the next connection")
			}
			r.run(time.Second, c.next(r))
			if (len(r.crashes) == 1) != c.crash {
				t.Fatalf("crashes: %v", r.crashes)
			}
			if c.crash && (r.crashes[0].Incarnation != 7 || len(r.crashes[0].InFlight) != 2) {
				t.Errorf("crash: %+v", r.crashes[0])
			}
			r.run(time.Minute, r.accept(8))
			if len(r.crashes) > 1 {
				t.Error("the crash was reported twice")
			}
		})
	}
}

// Guards against a reconnect storm when targets refuse connections or reach their
// connection limit, and against replicas that refuse connections and so keep the node
// from connecting to others.
func TestReconnectRates(t *testing.T) {
	for _, end := range []event.ConnEnd{event.ConnRefused, event.ConnLimited, event.ConnTimedOut} {
		r := newRig(t, 200, 25, 8)
		r.run(time.Second, nil)
		if len(r.opens) != 200 {
			t.Fatalf("%d first connections", len(r.opens))
		}
		for _, o := range append([]event.OpenConn(nil), r.opens...) {
			r.accept(7)(o)
		}
		r.opens, r.openAt = nil, nil
		for id := api.ConnID(1); id <= 200; id++ {
			r.do(r.Ended(r.now, event.ConnEnded{Conn: id, End: event.ConnReset}))
		}
		up := map[api.ReplicaName]bool{}
		r.run(60*time.Second, func(o event.OpenConn) {
			if o.Replica < name(150) {
				r.refuse(end)(o)
				return
			}
			up[o.Replica] = true
			r.accept(7)(o)
		})
		if len(up) != 50 {
			t.Errorf("end %d: only %d of 50 replicas connected after a minute", end, len(up))
		}
		for i := 20; i < len(r.openAt); i++ {
			if r.openAt[i].Sub(r.openAt[i-20]) < time.Second {
				t.Fatalf("end %d: more than 20 reconnects in a second", end)
			}
		}
		of := map[api.ReplicaName][]time.Time{}
		for i, o := range r.opens {
			of[o.Replica] = append(of[o.Replica], r.openAt[i])
		}
		for replica, at := range of {
			for i := 2; i < len(at); i++ {
				if at[i].Sub(at[i-2]) < time.Second {
					t.Fatalf("end %d: more than 2 reconnects in a second to %s", end, replica)
				}
			}
		}
		t.Logf("end %d: %d reconnects in 60 s", end, len(r.opens))
	}
}

// Guards against interrupting requests because their replica was removed from the
// configuration.
func TestRemovedReplicaFinishesAttempts(t *testing.T) {
	r := connected(t, 25)
	id, attempt := r.send(1)
	r.do(r.Configure(r.now, &config.Document{}, 8), nil)
	if r.closed[id] {
		t.Fatal("closed with an attempt in flight")
	}
	if _, ok := r.Pick(r.now, name(0)); ok {
		t.Error("a removed replica is still picked")
	}
	r.Finished(r.now, id, attempt, true)
	r.run(time.Millisecond, nil)
	if !r.closed[id] {
		t.Error("not closed when idle")
	}
}

func BenchmarkSentFinished(b *testing.B) {
	for _, n := range []int{1, 32, 256} {
		b.Run(fmt.Sprint("inflight=", n), func(b *testing.B) {
			r := connected(b, 25)
			id := r.opens[0].Conn
			now := r.now
			for i := range n {
				r.Sent(now, id, api.AttemptID{Seq: uint64(i)}, 1)
			}
			b.ReportAllocs()
			seq := uint64(n)
			for b.Loop() {
				r.Finished(now, id, api.AttemptID{Seq: seq - uint64(n)}, true)
				r.Sent(now, id, api.AttemptID{Seq: seq}, 1)
				seq++
				now = now.Add(10 * time.Microsecond)
			}
		})
	}
}

func BenchmarkPickConn(b *testing.B) {
	r := connected(b, 25)
	b.ReportAllocs()
	replica := name(0)
	for b.Loop() {
		r.Pick(r.now, replica)
	}
}

// BenchmarkTick measures a Tick that checks all replicas, at the planned number of
// replicas.
func BenchmarkTick(b *testing.B) {
	r := newRig(b, 2500, 25, 8)
	r.run(2*time.Second, r.accept(7))
	for id := api.ConnID(1); id <= 2500; id++ {
		r.Sent(r.now, id, api.AttemptID{Seq: uint64(id)}, 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		r.nextTick = r.now
		r.Tick(r.now)
	}
}

// Guards against a silence limit that grows without bound with the latency of a slow
// replica.
func TestSilenceBoundOfSlowReplica(t *testing.T) {
	r := connected(t, 25)
	for range 100 {
		id, attempt := r.send(1)
		r.now = r.now.Add(450 * time.Millisecond)
		r.Finished(r.now, id, attempt, true)
	}
	sent := r.now
	old, _ := r.send(1)
	r.run(1400*time.Millisecond, r.accept(7))
	if r.closed[old] {
		t.Errorf("closed %v after the last answer, before 1 s + 0.5 s", r.now.Sub(sent))
	}
	r.run(200*time.Millisecond, r.accept(7))
	if !r.closed[old] {
		t.Errorf("not closed after %v", r.now.Sub(sent))
	}
}

// Guards against actions whose order depends on map iteration.
func TestSameSeedSameActions(t *testing.T) {
	a, b := newRig(t, 300, 25, 8), newRig(t, 300, 25, 8)
	for _, r := range []*rig{a, b} {
		r.run(20*time.Second, r.refuse(event.ConnTimedOut))
	}
	if !slices.Equal(a.opens, b.opens) || !slices.Equal(a.openAt, b.openAt) {
		t.Error("two runs with the same seed differ")
	}
}

// Guards against a crash that is detected late, so that other nodes run the request that
// caused it. The connection that shows whether a reset was a crash must not wait for the
// backoff, for the reconnect rate of the replica, or for a connection that was requested
// before the reset.
func TestPendingResetIsResolvedImmediately(t *testing.T) {
	const soon = 2 * reconnectJitter
	restarted := func(reply func(*rig) func(event.OpenConn)) *rig {
		r := connected(t, 25)
		id, _ := r.send(1)
		r.do(r.Ended(r.now, event.ConnEnded{Conn: id, End: event.ConnReset}))
		r.run(900*time.Millisecond, r.refuse(event.ConnRefused))
		for len(r.crashes) == 0 || r.OpenCount(name(0)) == 0 {
			r.run(100*time.Millisecond, reply(r))
		}
		r.crashes = nil
		return r
	}
	accept := func(r *rig) func(event.OpenConn) { return r.accept(8) }
	for what, prepare := range map[string]func() (*rig, api.ConnID){
		"after failures": func() (*rig, api.ConnID) {
			r := restarted(accept)
			id, _ := r.send(2)
			return r, id
		},
		"with a hanging connection": func() (*rig, api.ConnID) {
			r := connected(t, 25)
			id, _ := r.send(2)
			r.run(time.Second, nil) // probed; its replacement hangs
			return r, id
		},
	} {
		r, id := prepare()
		r.do(r.Ended(r.now, event.ConnEnded{Conn: id, End: event.ConnReset}))
		r.run(soon, r.refuse(event.ConnRefused))
		if len(r.crashes) != 1 {
			t.Errorf("%s: %d crashes detected within %v", what, len(r.crashes), soon)
		}
	}
}
