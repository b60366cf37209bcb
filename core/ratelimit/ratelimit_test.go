package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func limited(perSecond float64) Statement { return Statement{Limited: true, PerSecond: perSecond} }

// Guards against an allocator that grants more than the limit in any span, or much less when
// there is enough demand.
func TestAllocatorGrantsTheLimit(t *testing.T) {
	for _, rate := range []float64{0.5, 1.1, 7, 60, 400} {
		a, rng, now := NewAllocator(), rand.New(rand.NewPCG(1, 1)), start
		type grant struct {
			at      time.Time
			permits int
		}
		var grants []grant
		total := 0
		for now.Sub(start) < 30*time.Second {
			now = now.Add(time.Duration(rng.Int64N(int64(40 * time.Millisecond))))
			g := a.Allocate(now, Request{Replica: "r", Statement: limited(rate), Wanted: 1 + rng.IntN(20)}, 1, ColdShare{})
			grants = append(grants, grant{now, g.Permits})
			total += g.Permits
		}
		for i := range grants {
			sum := 0
			for _, g := range grants[i:] {
				if g.at.Sub(grants[i].at) > 4*time.Second {
					break
				}
				sum += g.permits
			}
			if allowed := 4*rate + rate*burstTime.Seconds() + 1; float64(sum) > allowed {
				t.Fatalf("rate %v: %d permits in 4 s, allowed %.1f", rate, sum, allowed)
			}
		}
		if least := 0.8 * (30 - startTime.Seconds()) * rate; float64(total) < least {
			t.Errorf("rate %v: %d permits in 30 s, want %.0f at least", rate, total, least)
		}
	}
}

// Guards against a node that asks at the time named by the allocator and is refused again.
func TestRetryAfterLeadsToAPermit(t *testing.T) {
	for _, rate := range []float64{2, 5.9, 17.3} {
		a, now := NewAllocator(), start
		for range 50 {
			g := a.Allocate(now, Request{Replica: "r", Statement: limited(rate), Wanted: 1}, 1, ColdShare{})
			if g.Permits > 0 {
				continue
			}
			now = now.Add(g.RetryAfter)
			if g := a.Allocate(now, Request{Replica: "r", Statement: limited(rate), Wanted: 1}, 1, ColdShare{}); g.Permits != 1 {
				t.Fatalf("rate %v: no permit after the named time", rate)
			}
		}
	}
}

// Guards against a limit of 0 that is exceeded by the first permit of a bucket.
func TestLimitOfZeroGrantsNothing(t *testing.T) {
	a := NewAllocator()
	for s := range 10 {
		if g := a.Allocate(start.Add(time.Duration(s)*time.Second), Request{Replica: "r", Statement: limited(0), Wanted: 1}, 1, ColdShare{}); g.Permits != 0 || g.RetryAfter <= 0 {
			t.Fatalf("%+v", g)
		}
	}
}

// Guards against old statements that replace newer ones, at the allocator and at the node that
// asks.
func TestNewestStatementCounts(t *testing.T) {
	a, l := NewAllocator(), NewLimiter()
	l.Observe(start, "r", true, 5, start)
	now := start.Add(time.Second)
	a.Allocate(now, Request{Replica: "r", Statement: limited(8)}, 1, ColdShare{})
	r, ok := l.Miss(now, "r", 1)
	if !ok || r.Statement.Age != time.Second {
		t.Fatalf("request %+v", r)
	}
	g := a.Allocate(now, r, 1, ColdShare{})
	if g.Statement.PerSecond != 8 {
		t.Fatalf("the allocator replaced 8 by the older statement: %+v", g)
	}
	if l.Granted(now, g); l.replicas["r"].perSecond != 8 {
		t.Errorf("the node kept the older statement")
	}
	a.Allocate(now.Add(time.Second), Request{Replica: "r"}, 1, ColdShare{}) // the limit has ended
	r, _ = l.Miss(now.Add(2*time.Second), "r", 1)
	if !l.Granted(now.Add(2*time.Second), a.Allocate(now.Add(2*time.Second), r, 1, ColdShare{})) || l.Limited("r") {
		t.Error("the node does not learn that the limit has ended")
	}
}

// Guards against a limit that ends because an answer to an earlier request arrives late, and
// against one that never ends.
func TestLimitEndsWithALaterRequest(t *testing.T) {
	l := NewLimiter()
	if c := l.Observe(start, "r", true, 5, start.Add(-time.Second)); c != Named {
		t.Fatal(c)
	}
	if c := l.Observe(start, "r", true, 5, start); c != Unchanged {
		t.Fatal(c)
	}
	if c := l.Observe(start.Add(time.Second), "r", false, 0, start.Add(-time.Millisecond)); c != Unchanged || !l.Limited("r") {
		t.Errorf("an earlier request ended the limit")
	}
	if c := l.Observe(start.Add(time.Second), "r", false, 0, start.Add(time.Millisecond)); c != Ended || l.Limited("r") {
		t.Errorf("a later request did not end the limit")
	}
}

// Guards against permits that are saved up and used together later.
func TestPermitsExpire(t *testing.T) {
	l := NewLimiter()
	l.Observe(start, "r", true, 5, start)
	l.Miss(start, "r", 1)
	l.Granted(start, Grant{Replica: "r", Statement: limited(5), Permits: 3})
	if !l.Permitted(start.Add(permitTTL-1), "r") {
		t.Error("a permit expired early")
	}
	if l.Permitted(start.Add(permitTTL), "r") {
		t.Error("a permit did not expire")
	}
}

// Guards against a request for permits with each request of a caller: one is sent at a time,
// none before the time named by the allocator.
func TestPermitRequestsAreLimited(t *testing.T) {
	l := NewLimiter()
	l.Observe(start, "r", true, 5, start)
	if r, ok := l.Miss(start, "r", 4); !ok || r.Wanted != 4 {
		t.Fatalf("%+v %v, want a request for 4", r, ok)
	}
	if _, ok := l.Miss(start, "r", 4); ok || !l.Requesting("r") {
		t.Error("a second request is sent beside the first")
	}
	l.Granted(start, Grant{Replica: "r", Statement: limited(5), RetryAfter: time.Second})
	if _, ok := l.Miss(start.Add(time.Second-1), "r", 1); ok {
		t.Error("a request is sent before the named time")
	}
	if r, ok := l.Miss(start.Add(time.Second), "r", 0); !ok || r.Wanted != 3 {
		t.Errorf("%+v %v, want a request for the 3 missed since", r, ok)
	}
	l.Failed("r")
	if _, ok := l.Miss(start.Add(time.Second+time.Millisecond), "r", 0); ok {
		t.Error("a request that need not wait is sent too soon after the last one")
	}
}
