package quota

import (
	"math/rand/v2"
	"time"
)

const (
	// allocatorShare of the tolerance enlarges the bucket of the allocator: with a burst of 0 or 1,
	// tokens would be lost between two requests of one node. initialShare is in the bucket of a
	// process that starts, so that accounts are served in the first seconds after a loss of all
	// nodes, although the previous process may have emptied its bucket.
	allocatorShare = 0.45
	initialShare   = 0.1
	// standbyShare of the tolerance is granted by the standby in a window.
	standbyShare = 0.25
	// transitionShare of the tolerance is granted in a window by a node that is first in its
	// list but may not be the only one that grants. Two such nodes, the standby and the
	// enlarged bucket together stay within the tolerance.
	transitionShare = 0.15
	// maxListAge is how old the list of a node may be that uses all of its rights. It exceeds the
	// age of the list at a node that follows the store, and is well below the 40 s after which
	// the entry of a node that lost the store expires.
	maxListAge = 7 * time.Second
	// HoldTime is how long a node must have had its role before it uses all of its rights. It
	// exceeds maxListAge by the time that a response of the store may take to be read.
	HoldTime = 10 * time.Second
	// firstStartTime is how long the nodes may take to register at their first start.
	firstStartTime = 5 * time.Second
	// minRetryAfter and maxRetryAfter bound RetryAfter. Each node asks at most once for each
	// account in maxRetryAfter after a refusal.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = time.Second
	// askersPerToken is how many refused nodes are told to ask again for each token that will
	// be free: not all of them have a request then.
	askersPerToken = 2
	// bucketTTL is how long a bucket is kept after the last request for it.
	bucketTTL = time.Minute
)

// Allocator grants admissions for the accounts for which this node is first or second.
type Allocator struct {
	bounds  Bounds
	ranking *Ranking
	rng     *rand.Rand
	buckets map[string]*bucket
	// known holds the quotas of this node's configuration.
	known map[string]Quota
	// settled is set if this node has been listed for longer than HoldTime, counted over
	// previous processes, or if no node was started before; its roles in the first list count as
	// held.
	settled bool
	// settledUntil is the time until which new roles need not be held: at the first start of
	// all nodes, their lists become complete within seconds, and no bucket holds a burst yet.
	settledUntil time.Time
	// startedAt is when the first list was read; confirmedAt is the time up to which the list
	// is known to be current, and regainedAt when it became current again after it was not.
	startedAt, confirmedAt, regainedAt time.Time
	stopped                            bool
}

// bucket is the state of one account at this node.
type bucket struct {
	quota  Quota
	rights rights
	tokens float64
	// updatedAt is the time up to which tokens has been computed.
	updatedAt time.Time
	// nextSlot is the earliest time that the next refused node is told to ask again.
	nextSlot time.Time
	usage    usage
}

// rights says from what a node may grant.
type rights uint8

const (
	noRights rights = iota
	// fullRights is the whole quota.
	fullRights
	// transitionRights and standbyRights are parts of the tolerance.
	transitionRights
	standbyRights
)

// NewAllocator returns an Allocator without accounts.
func NewAllocator(bounds Bounds, ranking *Ranking, rng *rand.Rand) *Allocator {
	return &Allocator{bounds: bounds, ranking: ranking, rng: rng, buckets: make(map[string]*bucket)}
}

// SetBounds replaces the bounds.
func (a *Allocator) SetBounds(b Bounds) { a.bounds = b }

// Window returns the time over which the quotas hold.
func (a *Allocator) Window() time.Duration { return a.bounds.Window }

// SetQuotas replaces the quotas of this node's configuration.
func (a *Allocator) SetQuotas(quotas map[string]Quota) { a.known = quotas }

// Settle is called with the first list of nodes. settled is set if this node has been listed for
// longer than HoldTime, counted over previous processes; firstStart if no node was started
// before.
func (a *Allocator) Settle(now time.Time, settled, firstStart bool) {
	a.startedAt, a.settled = now, settled || firstStart
	if firstStart {
		a.settledUntil = now.Add(firstStartTime)
	}
}

// Confirm records that the list of nodes was current at a time.
func (a *Allocator) Confirm(now, at time.Time) {
	if at.After(a.confirmedAt) {
		if !a.current(now) {
			a.regainedAt = now
		}
		a.confirmedAt = at
	}
}

// Stop makes the allocator grant nothing more: the other nodes will soon choose another one.
func (a *Allocator) Stop() { a.stopped = true }

// current reports whether the list of nodes is recent.
func (a *Allocator) current(now time.Time) bool {
	return !a.confirmedAt.IsZero() && now.Sub(a.confirmedAt) <= maxListAge
}

// rightsFor returns the rights of this node for an account and since when it has had them.
//
// At any time at most one node has full rights: its list is at most maxListAge old, and it was
// first in its lists for HoldTime before. Within that time, any node that was first by an older
// list has either read the newer one or found its own to be too old. The same holds for the
// standby.
func (a *Allocator) rightsFor(now time.Time, account string) (rights, time.Time) {
	if a.stopped || a.startedAt.IsZero() {
		return noRights, now
	}
	role, since := a.ranking.RoleOf(account)
	from := since.Add(HoldTime)
	if a.settled && !since.After(a.startedAt) {
		from = a.startedAt
	} else if !since.After(a.settledUntil) {
		from = since
	}
	if a.regainedAt.After(from) {
		from = a.regainedAt
	}
	held := a.current(now) && !now.Before(from)
	switch {
	case role == First && held:
		return fullRights, from
	case role == First:
		return transitionRights, since
	case role == Second && held:
		return standbyRights, from
	}
	return noRights, now
}

// Allocate handles a request of this or another node.
func (a *Allocator) Allocate(now time.Time, r Request) Grant {
	have, since := a.rightsFor(now, r.Account)
	quota := a.newest(r)
	if have == noRights {
		return Grant{NotAllocator: true, Quota: quota}
	}
	return a.grant(now, r, quota, have, since, 1)
}

// AllocateLocally handles a request of this node if no node accepts calls: each of them then
// has the given share of each quota.
func (a *Allocator) AllocateLocally(now time.Time, r Request, share float64) Grant {
	q := a.newest(r)
	since := a.startedAt
	if since.IsZero() {
		since = now
	}
	return a.grant(now, r, q, fullRights, since, share)
}

// newest returns the newest quota of an account that this node knows, including that of the
// request.
func (a *Allocator) newest(r Request) Quota {
	q := r.Quota
	if known, ok := a.known[r.Account]; ok && known.Version > q.Version {
		q = known
	}
	if b := a.buckets[r.Account]; b != nil && b.quota.Version > q.Version {
		q = b.quota
	}
	return q
}

// grant admits requests from this node's bucket for an account. since is when the node got the
// rights that it has, and share the part of the quota that it may grant.
func (a *Allocator) grant(now time.Time, r Request, quota Quota, have rights, since time.Time, share float64) Grant {
	g := Grant{Quota: quota, Reduced: have != fullRights}
	if quota.PerSecond <= 0 {
		g.Admitted, g.Reduced = r.Wanted, false
		return g
	}
	rate, capacity, initial := a.parameters(quota, have, share)
	b := a.buckets[r.Account]
	switch {
	case b == nil:
		b = &bucket{}
		a.buckets[r.Account] = b
		b.start(since, initial)
	case b.rights != have || since.After(b.updatedAt):
		// Rights that were lost and regained may have been another node's in between.
		b.start(since, 0)
	}
	b.rights, b.quota = have, quota
	b.refill(now, rate, capacity)
	g.Admitted = max(min(r.Wanted, int(b.tokens)), 0)
	b.tokens -= float64(g.Admitted)
	b.usage.add(now, a.bounds.Window, g.Admitted)
	g.Used = b.usage.count(now, a.bounds.Window) / (quota.PerSecond * share * a.bounds.Window.Seconds())
	if g.Admitted < r.Wanted {
		g.RetryAfter = b.retryAfter(now, rate, a.rng)
	}
	return g
}

// parameters returns the rate of a bucket, its capacity and its content at the start. In any
// window it grants at most rate x window + capacity.
func (a *Allocator) parameters(q Quota, have rights, share float64) (rate, capacity, initial float64) {
	window := a.bounds.Window.Seconds()
	tolerance := a.bounds.tolerance(q) * share
	switch have {
	case fullRights:
		rate, capacity = q.PerSecond*share, q.Burst*share+allocatorShare*tolerance
		initial = initialShare * tolerance
		if capacity < 1 { // a bucket has to hold a whole token
			rate, capacity = rate-(1-capacity)/window, 1
		}
	case standbyRights:
		total := standbyShare * tolerance
		capacity = max(total/2, 1)
		rate = (total - capacity) / window
	case transitionRights:
		total := transitionShare * tolerance
		capacity = 1
		rate = (total - capacity) / window
		if total >= 2 {
			initial = 1
		}
	}
	if rate <= 0 {
		return 0, 0, 0
	}
	return rate, capacity, initial
}

// start sets the number of tokens at a time; refill adds those of the time after it.
func (b *bucket) start(at time.Time, tokens float64) {
	b.tokens, b.updatedAt = tokens, at
}

// refill adds the tokens since the last update, at a rate in tokens per second.
func (b *bucket) refill(now time.Time, rate, capacity float64) {
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.tokens += rate * elapsed
		b.updatedAt = now
	}
	b.tokens = min(b.tokens, capacity)
}

// retryAfter returns when a refused node should ask again. Nodes that are refused one after the
// other get different times, as many for each token as askersPerToken.
func (b *bucket) retryAfter(now time.Time, rate float64, rng *rand.Rand) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	interval := min(1/rate, maxRetryAfter.Seconds()) // of tokens
	next := now.Add(time.Duration(min((1-b.tokens)/rate, maxRetryAfter.Seconds()) * float64(time.Second)))
	if next.Before(b.nextSlot) {
		next = b.nextSlot
	}
	spread := time.Duration(interval / askersPerToken * float64(time.Second))
	b.nextSlot = next.Add(spread)
	if limit := now.Add(maxRetryAfter); b.nextSlot.After(limit) {
		b.nextSlot = limit
	}
	wait := next.Sub(now) + time.Duration(rng.Float64()*float64(spread))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Tick drops the buckets that have not been used for bucketTTL. By then a bucket is full or
// the account has a quota so low that an empty one admits less.
func (a *Allocator) Tick(now time.Time) {
	for account, b := range a.buckets {
		if now.Sub(b.updatedAt) >= bucketTTL+a.bounds.Window {
			delete(a.buckets, account)
		}
	}
}

// usage counts the admissions of an account in the present and the last window.
type usage struct {
	start         time.Time
	last, present float64
}

// roll moves on to the window that contains now.
func (u *usage) roll(now time.Time, window time.Duration) {
	switch elapsed := now.Sub(u.start); {
	case elapsed >= 2*window:
		u.start, u.last, u.present = now, 0, 0
	case elapsed >= window:
		u.start, u.last, u.present = u.start.Add(window), u.present, 0
	}
}

// add counts n admissions.
func (u *usage) add(now time.Time, window time.Duration, n int) {
	u.roll(now, window)
	u.present += float64(n)
}

// count estimates the number of admissions in the window that ends now. Those of the last fixed
// window count by the part of it that overlaps.
func (u *usage) count(now time.Time, window time.Duration) float64 {
	u.roll(now, window)
	overlap := 1 - float64(now.Sub(u.start))/float64(window)
	return u.present + u.last*max(overlap, 0)
}
