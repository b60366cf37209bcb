package ratelimit

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

const (
	// usableShare is the fraction of a limit that is granted. The rest covers the bursts of the
	// buckets and the permits that are used late.
	usableShare = 0.9
	// burstTime is the time whose permits a bucket can hold; it holds at least one.
	burstTime = 250 * time.Millisecond
	// An allocator grants startShare of its rate for startTime after it became one: some nodes
	// may still get permits from the previous one, which they give up one after the other.
	startShare = 0.4
	startTime  = 2 * time.Second
	// noShareRetryAfter is the RetryAfter of a node that may grant nothing for a replica. By then,
	// it knows more of the nodes before it, or the asking node waits for another one.
	noShareRetryAfter = 250 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound RetryAfter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// retryMargin is added to the time until the next token, so that rounding does not make
	// the next request come too early.
	retryMargin = time.Millisecond
	// bucketTTL is how long a bucket is kept after the last request for it.
	bucketTTL = time.Minute
)

// Allocator grants permits for the replicas that this node is the allocator of.
type Allocator struct {
	buckets map[api.ReplicaName]*bucket
}

// bucket is the token bucket of one replica.
type bucket struct {
	limited   bool
	perSecond float64
	statedAt  time.Time
	// share is the part of the limit that this node last could grant, and raisedAt when it
	// became the whole of it.
	share    float64
	raisedAt time.Time
	tokens   float64
	// updatedAt is the time of the last request, up to which tokens has been computed.
	updatedAt time.Time
	// cold holds the grants for the replica while it is cold.
	cold coldBucket
}

// NewAllocator returns an Allocator without buckets.
func NewAllocator() *Allocator {
	return &Allocator{buckets: make(map[api.ReplicaName]*bucket)}
}

// Allocate handles a request for permits. The allocator grants at most the given share, from
// 0 to 1, of the limit that the replica names, and the given share of its cold limit.
func (a *Allocator) Allocate(now time.Time, r Request, share float64, cold ColdShare) Grant {
	b := a.buckets[r.Replica]
	if b == nil {
		b = &bucket{tokens: share, updatedAt: now, cold: coldBucket{updatedAt: now}}
		a.buckets[r.Replica] = b
	}
	if statedAt := now.Add(-r.Statement.Age); statedAt.After(b.statedAt) {
		b.limited, b.perSecond, b.statedAt = r.Statement.Limited, r.Statement.PerSecond, statedAt
	}
	rate := b.rate(now, share)
	b.refill(now, rate)
	g := Grant{Replica: r.Replica, Statement: Statement{Limited: b.limited, PerSecond: b.perSecond, Age: now.Sub(b.statedAt)}}
	if !b.limited && r.ColdPerSecond <= 0 {
		return g
	}
	g.Permits, g.Cold = r.Wanted, r.ColdPerSecond > 0
	if b.limited {
		if g.Permits = min(g.Permits, int(b.tokens)); g.Permits == 0 {
			g.RetryAfter = b.timeToToken(rate)
		}
		if share < standbyShare {
			g.RetryAfter = min(g.RetryAfter, noShareRetryAfter)
		}
	}
	if g.Cold {
		permits, retryAfter := b.cold.available(now, r.Wanted, cold)
		g.Permits, g.RetryAfter = min(g.Permits, permits), max(g.RetryAfter, retryAfter)
		b.cold.take(now, g.Permits)
	}
	if b.limited {
		b.tokens -= float64(g.Permits)
	}
	return g
}

// rate returns the tokens per second of a bucket for a share of the limit.
func (b *bucket) rate(now time.Time, share float64) float64 {
	if share == fullShare && b.share != fullShare {
		b.raisedAt = now
	}
	b.share = share
	rate := share * usableShare * b.perSecond
	if share == fullShare && now.Sub(b.raisedAt) < startTime {
		rate *= startShare
	}
	return rate
}

// refill adds the tokens since the last update, at a rate in tokens per second.
func (b *bucket) refill(now time.Time, rate float64) {
	b.tokens = min(b.tokens+rate*now.Sub(b.updatedAt).Seconds(), max(rate*burstTime.Seconds(), 1))
	if rate == 0 {
		b.tokens = 0
	}
	b.updatedAt = now
}

// timeToToken returns the time until the bucket holds a token, within the bounds of
// RetryAfter.
func (b *bucket) timeToToken(rate float64) time.Duration {
	seconds := (1 - b.tokens) / rate
	if !(seconds < maxRetryAfter.Seconds()) { // also if the rate is 0
		return maxRetryAfter
	}
	return max(time.Duration(seconds*float64(time.Second))+retryMargin, minRetryAfter)
}

// Tick drops the buckets that have not been used for bucketTTL.
func (a *Allocator) Tick(now time.Time) {
	for name, b := range a.buckets {
		if now.Sub(b.updatedAt) >= bucketTTL {
			delete(a.buckets, name)
		}
	}
}
