package ratelimit

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

const (
	// permitTTL is how long a permit is valid. Permits that were granted and not used in time
	// must not add up with those granted later.
	permitTTL = 500 * time.Millisecond
	// requestInterval is the minimum time between two requests for permits while requests can
	// go to other replicas.
	requestInterval = 50 * time.Millisecond
	// maxWanted is the largest number of permits in one request.
	maxWanted = 64
)

// Change is how a response changed what is known about the rate limit of a replica.
type Change uint8

const (
	// Unchanged means that the response stated nothing new.
	Unchanged Change = iota
	// Named means that the replica named a limit, or another one than before.
	Named
	// Ended means that the replica no longer names a limit.
	Ended
)

// Limiter holds the rate limits that replicas have named to this node, the limits of cold
// replicas, and the permits of this node.
type Limiter struct {
	replicas map[api.ReplicaName]*limitedReplica
}

// limitedReplica is a replica that names a rate limit, is cold, or both.
type limitedReplica struct {
	// named is set if the replica names a rate limit, of perSecond.
	named     bool
	perSecond float64
	// statedAt is when the replica last named a limit; zero if it never did.
	statedAt time.Time
	// coldPerSecond is the limit of a cold replica; 0 if it is not cold.
	coldPerSecond float64
	// permits holds the expiry of each unused permit, in ascending order.
	permits []time.Time
	// missed counts the requests that were not sent to the replica for lack of a permit since
	// the last request for permits.
	missed int
	// missedAt is when the last of them was not sent.
	missedAt time.Time
	// requesting is set while a request for permits is unanswered.
	requesting  bool
	requestedAt time.Time
	// retryAt is when permits may be requested again after none were granted.
	retryAt time.Time
}

// NewLimiter returns a Limiter without limits.
func NewLimiter() *Limiter {
	return &Limiter{replicas: make(map[api.ReplicaName]*limitedReplica)}
}

// Observe records whether a replica named a limit in the response to a request sent at sentAt.
// A response without a limit ends the limit only if its request was sent after the limit was
// last named: responses of concurrent requests may arrive out of order.
func (l *Limiter) Observe(now time.Time, name api.ReplicaName, limited bool, perSecond float64, sentAt time.Time) Change {
	r := l.replicas[name]
	switch {
	case limited && r == nil:
		l.replicas[name] = &limitedReplica{named: true, perSecond: perSecond, statedAt: now}
		return Named
	case limited:
		changed := !r.named || r.perSecond != perSecond
		r.named, r.perSecond, r.statedAt = true, perSecond, now
		if changed {
			return Named
		}
	case r != nil && r.named && sentAt.After(r.statedAt):
		l.endNamed(name, r)
		return Ended
	}
	return Unchanged
}

// endNamed handles the end of the limit that a replica named.
func (l *Limiter) endNamed(name api.ReplicaName, r *limitedReplica) {
	if r.coldPerSecond <= 0 {
		delete(l.replicas, name)
		return
	}
	r.named = false
}

// SetCold records the limit of a replica that is cold; 0 means that it is not cold. Permits
// from before it was cold are dropped.
func (l *Limiter) SetCold(name api.ReplicaName, perSecond float64) {
	r := l.replicas[name]
	switch {
	case r == nil && perSecond > 0:
		l.replicas[name] = &limitedReplica{coldPerSecond: perSecond}
	case r == nil:
	case perSecond <= 0 && !r.named:
		delete(l.replicas, name)
	default:
		if r.coldPerSecond <= 0 && perSecond > 0 {
			r.permits = nil
		}
		r.coldPerSecond = max(perSecond, 0)
	}
}

// Cold reports whether a replica has the limit of a cold one.
func (l *Limiter) Cold(name api.ReplicaName) bool {
	r := l.replicas[name]
	return r != nil && r.coldPerSecond > 0
}

// Remove forgets a replica.
func (l *Limiter) Remove(name api.ReplicaName) { delete(l.replicas, name) }

// Limited reports whether requests to a replica need permits.
func (l *Limiter) Limited(name api.ReplicaName) bool { return l.replicas[name] != nil }

// Permitted reports whether a request may be sent to a replica: it has no limit, or there is
// a permit.
func (l *Limiter) Permitted(now time.Time, name api.ReplicaName) bool {
	if len(l.replicas) == 0 {
		return true
	}
	r := l.replicas[name]
	if r == nil {
		return true
	}
	r.dropExpired(now)
	return len(r.permits) > 0
}

// Use consumes a permit for a request that is sent to a replica, if it has a limit.
func (l *Limiter) Use(name api.ReplicaName) {
	if r := l.replicas[name]; r != nil && len(r.permits) > 0 {
		r.permits = r.permits[1:]
	}
}

// Miss records that a request cannot be sent to a limited replica for lack of a permit, and
// returns the request for permits that is to be sent now, if any. It must not be called for a
// replica without a limit. waiting is the number of requests that can only go to this replica;
// it is 0 if this one can go elsewhere.
func (l *Limiter) Miss(now time.Time, name api.ReplicaName, waiting int) (Request, bool) {
	r := l.replicas[name]
	r.missed++
	tooSoon := waiting == 0 && now.Sub(r.requestedAt) < requestInterval
	if r.coldPerSecond > 0 && waiting == 0 && now.Sub(r.missedAt) >= coldPermitTTL {
		tooSoon = true // the permit would expire before the next request for this replica
	}
	r.missedAt = now
	if r.requesting || tooSoon || now.Before(r.retryAt) {
		return Request{}, false
	}
	wanted := min(max(r.missed, waiting), maxWanted)
	r.requesting, r.requestedAt, r.missed = true, now, 0
	return Request{Replica: name, Wanted: wanted, Statement: r.statement(now), ColdPerSecond: r.coldPerSecond}, true
}

// Query returns a request to another node that asks for no permits.
func (l *Limiter) Query(now time.Time, name api.ReplicaName) Request {
	r := l.replicas[name]
	if r == nil {
		return Request{Replica: name, Statement: Statement{Age: unstatedAge}}
	}
	return Request{Replica: name, Statement: r.statement(now)}
}

// statement returns what the replica last stated about its rate limit.
func (r *limitedReplica) statement(now time.Time) Statement {
	if r.statedAt.IsZero() {
		return Statement{Age: unstatedAge}
	}
	return Statement{Limited: r.named, PerSecond: r.perSecond, Age: now.Sub(r.statedAt)}
}

// Requesting reports whether a request for permits for a replica is unanswered.
func (l *Limiter) Requesting(name api.ReplicaName) bool {
	r := l.replicas[name]
	return r != nil && r.requesting
}

// Granted handles the response to a request for permits. It reports whether the allocator
// knows that the limit has ended.
func (l *Limiter) Granted(now time.Time, g Grant) (ended bool) {
	r := l.replicas[g.Replica]
	if r == nil {
		return false // the limit has ended in the meantime
	}
	awaited := r.requesting
	r.requesting = false
	if ended = l.learn(now, r, g); ended && r.coldPerSecond <= 0 {
		return true
	}
	expiresAt := now.Add(permitTTL)
	if r.coldPerSecond > 0 {
		expiresAt = r.requestedAt.Add(coldPermitTTL)
		if !g.Cold || !awaited {
			// The request was sent before the replica was cold or is no longer awaited, or the
			// allocator is of an older version that knows no cold limits.
			g.Permits, g.RetryAfter = 0, max(g.RetryAfter, minRetryAfter)
		}
	}
	r.add(now, g.Permits, expiresAt)
	if g.Permits == 0 {
		r.retryAt = now.Add(g.RetryAfter)
	}
	return ended
}

// GrantedLate handles a response that is not waited for: another node may have been asked in the
// meantime. Permits for a cold replica are dropped, as they are valid only for a short time after
// their request.
func (l *Limiter) GrantedLate(now time.Time, g Grant) (ended bool) {
	r := l.replicas[g.Replica]
	if r == nil {
		return false
	}
	if ended = l.learn(now, r, g); !ended && r.coldPerSecond <= 0 {
		r.add(now, g.Permits, now.Add(permitTTL))
	}
	return ended
}

// learn adopts the statement of a replica in a response if it is newer than the known one. It
// reports whether it ended the limit.
func (l *Limiter) learn(now time.Time, r *limitedReplica, g Grant) (ended bool) {
	statedAt := now.Add(-g.Statement.Age)
	if !statedAt.After(r.statedAt) {
		return false
	}
	switch {
	case g.Statement.Limited:
		r.named, r.perSecond, r.statedAt = true, g.Statement.PerSecond, statedAt
	case r.named:
		l.endNamed(g.Replica, r)
		return true
	}
	return false
}

// add adds permits that expire at the given time, which is not before that of the others.
func (r *limitedReplica) add(now time.Time, permits int, expiresAt time.Time) {
	r.dropExpired(now)
	for range permits {
		r.permits = append(r.permits, expiresAt)
	}
}

// Failed handles a request for permits that got no response.
func (l *Limiter) Failed(name api.ReplicaName) {
	if r := l.replicas[name]; r != nil {
		r.requesting = false
	}
}

func (r *limitedReplica) dropExpired(now time.Time) {
	for len(r.permits) > 0 && !now.Before(r.permits[0]) {
		r.permits = r.permits[1:]
	}
}
