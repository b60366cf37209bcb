package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
)

// Guards against quotas whose sum exceeds what a target accepts, and against a node
// that may not open any connection.
func TestQuota(t *testing.T) {
	for _, c := range []struct{ limit, nodes, want int }{
		{25, 8, 2}, {25, 6, 2}, {25, 1, 2}, {45, 8, 2}, {100, 8, 2},
		{25, 12, 1}, {25, 570, 1}, {1, 1, 1}, {0, 0, 1}, {17, 8, 1}, {18, 8, 2},
	} {
		if got := Quota(c.limit, c.nodes); got != c.want {
			t.Errorf("Quota(%d, %d) = %d, want %d", c.limit, c.nodes, got, c.want)
		}
	}
}

// Guards against queries that are queued although they cannot be answered in time,
// against refused callers that all retry at once, and against a large query refused
// by an idle node.
func TestQueryThatCannotBeAnsweredInTimeIsRefused(t *testing.T) {
	a := NewAdmission(rand.New(rand.NewPCG(1, 2)))
	if ok, _ := a.Admit(start, "s", 620, start.Add(time.Second)); !ok {
		t.Fatal("idle service refused a query")
	}
	a.Done(start, "s", 620, api.TargetOK, time.Millisecond)
	now := start
	for range 100 {
		a.Admit(now, "s", 1, now.Add(time.Hour))
	}
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		a.Done(now, "s", 1, api.TargetOK, time.Second)
		a.Admit(now, "s", 1, now.Add(time.Hour))
	}
	seen := map[time.Duration]bool{}
	for range 20 {
		ok, after := a.Admit(now, "s", 1, now.Add(50*time.Millisecond))
		if ok || after < minRetryAfter || after > 2*maxRetryAfter {
			t.Fatalf("admitted %v, retry after %v, with %d in flight and 100 ended per second", ok, after, a.InFlight("s"))
		}
		seen[after] = true
	}
	if len(seen) < 10 {
		t.Error("retry-after times are not spread")
	}
	for a.InFlight("s") > 0 {
		a.Done(now, "s", 1, 0, 0)
	}
	if ok, _ := a.Admit(now, "s", 1, now.Add(50*time.Millisecond)); !ok {
		t.Error("refused though nothing is in flight")
	}
}

// Guards against a node that keeps sending to a replica that sheds, and against
// a limit that stays low when the replica recovers.
func TestConcurrencyFollowsSheds(t *testing.T) {
	c := NewConcurrency()
	c.Configure(&config.Document{Replicas: map[api.ReplicaName]*config.Replica{"r": {Slots: 2}}})
	now := start
	run := func(d time.Duration, outcome api.TargetOutcome) (sent int) {
		for end := now.Add(d); now.Before(end); now = now.Add(time.Millisecond) {
			if ok, _ := c.Acquire(now, "r"); ok {
				sent++
				c.Release(now, "r", outcome, 5*time.Millisecond, api.TargetLoad{Slots: 2, Running: 2})
			}
		}
		return sent
	}
	run(time.Second, api.TargetShed)
	if sent := run(time.Second, api.TargetShed); sent > 30 {
		t.Errorf("%d attempts sent in a second to a replica that sheds", sent)
	}
	run(5*time.Second, api.TargetOK)
	if c.Limit("r") < 1 {
		t.Errorf("limit %.2f 5 s after the replica recovered", c.Limit("r"))
	}
	if ok, _ := c.Acquire(now, "unknown"); ok {
		t.Error("acquired capacity on an unknown replica")
	}
}

func BenchmarkAdmitDone(b *testing.B) {
	a := NewAdmission(rand.New(rand.NewPCG(1, 2)))
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		a.Admit(now, "alarm-console-01", 1, now.Add(time.Second))
		a.Done(now, "alarm-console-01", 1, api.TargetOK, 5*time.Millisecond)
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	c := NewConcurrency()
	c.Configure(&config.Document{Replicas: map[api.ReplicaName]*config.Replica{"r": {Slots: 2}}})
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		c.Acquire(now, "r")
		c.Release(now, "r", api.TargetOK, 5*time.Millisecond, api.TargetLoad{Slots: 2, Running: 1})
	}
}

// Guards against nodes that together send so many attempts at once that a replica
// sheds although it is not overloaded, and against a node that cannot use all slots,
// whether it is the only node or one of very many.
func TestNodesShareAReplica(t *testing.T) {
	for _, k := range []struct {
		nodes int
		want  int // attempts in flight after many good answers
	}{{1, 8}, {2, 4}, {4, 2}, {8, 2}, {570, 2}} {
		c := NewConcurrency()
		c.Configure(&config.Document{Replicas: map[api.ReplicaName]*config.Replica{"r": {Slots: 2}}})
		c.SetNodes(k.nodes)
		most := 0
		for i := range 1000 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			got := 0
			for ok, _ := c.Acquire(now, "r"); ok; ok, _ = c.Acquire(now, "r") {
				got++
			}
			for range got {
				c.Release(now, "r", api.TargetOK, time.Millisecond, api.TargetLoad{})
			}
			most = max(most, got)
		}
		if most != k.want {
			t.Errorf("%d nodes: %d attempts in flight, want %d", k.nodes, most, k.want)
		}
	}
}

// Guards against refusing the second of two simultaneous wide queries of a service
// that is idle most of the time, after its limit has fallen: the pauses between
// queries must not lower the measured rate.
func TestRareWideQueriesAreNotRefused(t *testing.T) {
	const parts = 40
	a := NewAdmission(rand.New(rand.NewPCG(1, 2)))
	now := start
	run := func(outcome api.TargetOutcome) {
		a.Admit(now, "s", parts, now.Add(time.Second))
		for i := range parts {
			now = now.Add(5 * time.Millisecond)
			a.Done(now, "s", 1, outcome, time.Duration(i)*5*time.Millisecond)
		}
		now = now.Add(700 * time.Millisecond)
	}
	for range 30 {
		run(api.TargetShed)
	}
	for range 30 {
		run(api.TargetOK)
	}
	a.Admit(now, "s", parts, now.Add(500*time.Millisecond))
	if ok, after := a.Admit(now, "s", parts, now.Add(500*time.Millisecond)); !ok {
		t.Errorf("refused for %v with %d parts in flight, limit %d", after, a.InFlight("s"), a.Limit("s"))
	}
}

// Guards against refusals long after an overload because the rate measured during it
// is still used: the rate is not measured again while the limit is not reached.
func TestRateMeasuredUnderOverloadIsForgotten(t *testing.T) {
	a := NewAdmission(rand.New(rand.NewPCG(1, 2)))
	now := start
	for range 20 { // all but one are refused after a while
		a.Admit(now, "s", 1, now.Add(time.Second))
	}
	for range 100 { // 20 parts end per second, all shed
		now = now.Add(50 * time.Millisecond)
		a.Done(now, "s", 1, api.TargetShed, 400*time.Millisecond)
		a.Admit(now, "s", 1, now.Add(10*time.Second))
	}
	for a.InFlight("s") > 0 {
		now = now.Add(time.Millisecond)
		a.Done(now, "s", 1, api.TargetOK, 2*time.Millisecond)
	}
	for range 300 { // three seconds of low load
		a.Admit(now, "s", 1, now.Add(time.Second))
		now = now.Add(10 * time.Millisecond)
		a.Done(now, "s", 1, api.TargetOK, 2*time.Millisecond)
	}
	for i := range 8 {
		if ok, after := a.Admit(now, "s", 1, now.Add(time.Second)); !ok {
			t.Fatalf("query %d of 8 at once is refused for %v, limit %d", i+1, after, a.Limit("s"))
		}
	}
}
