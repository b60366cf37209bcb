package forward

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/ratelimit"
)

// This file keeps the attempts of all nodes at a replica within the rate limit that the replica
// names. Each attempt needs a permit, which the allocator of the replica grants (permits.go).

// rateLimits is the state of an engine that concerns the rate limits of replicas.
type rateLimits struct {
	// limiter holds the limits that replicas name and the permits of this node; allocator
	// grants permits for the replicas that this node is the allocator of.
	limiter   *ratelimit.Limiter
	allocator *ratelimit.Allocator
	// ranks says what this node may grant for cold replicas.
	ranks *ratelimit.Ranks
	// health holds which nodes do not respond to requests for permits, askers which of them rely on
	// this one, and reliance on which this one does.
	health   *ratelimit.Health
	askers   *ratelimit.Askers
	reliance *ratelimit.Reliance
	// stopping is set once this process stops, so that other nodes have another allocator.
	stopping bool
}

func newRateLimits(node string, listAge time.Duration) rateLimits {
	return rateLimits{
		limiter: ratelimit.NewLimiter(), allocator: ratelimit.NewAllocator(), health: ratelimit.NewHealth(),
		askers: ratelimit.NewAskers(), reliance: ratelimit.NewReliance(),
		ranks: ratelimit.NewRanks(node, listAge),
	}
}

// observeRateLimit records whether a replica names a rate limit in the response to a request
// sent at sentAt.
func (e *Engine) observeRateLimit(now time.Time, entry *registryEntry, sentAt time.Time, s *ReplicaStatus) {
	if s.Invalid != "" && !s.HasRateLimit {
		return // the invalid field may be the limit
	}
	switch e.limits.limiter.Observe(now, entry.Replica, s.HasRateLimit, s.RateLimit, sentAt) {
	case ratelimit.Named:
		e.counts.Inc(count.ReplicaStatus, statusRateLimit)
		e.log("replica_rate_limit", "replica", entry.Replica, "service", entry.Service, "per_second", s.RateLimit)
	case ratelimit.Ended:
		e.rateLimitEnded(entry.Replica, entry.Service)
		// The other nodes learn of it from the allocator when they next ask for permits.
		e.requestPermits(now, ratelimit.Request{Replica: entry.Replica})
	}
}

// rateLimitEnded counts and logs the end of a limit.
func (e *Engine) rateLimitEnded(name api.ReplicaName, service api.ServiceName) {
	e.counts.Inc(count.ReplicaStatus, statusRateLimitEnded)
	e.log("replica_rate_limit_ended", "replica", name, "service", service)
}

// usePermit consumes and counts the permit of an attempt if its replica names a rate limit.
func (e *Engine) usePermit(name api.ReplicaName, why purpose) {
	if !e.limits.limiter.Limited(name) {
		return
	}
	e.limits.limiter.Use(name)
	if why == retryAttempt {
		e.counts.Inc(count.RateLimit, "sent_retry")
		return
	}
	e.counts.Inc(count.RateLimit, "sent_first")
}

// awaitPermit handles a part that can only be sent to replicas for which there is no permit. It
// returns a replica if permits were granted at once, ReasonOverloaded if the part should wait,
// and ReasonRateLimited if the allocators granted none. otherwise is the reason why the other
// replicas cannot be used.
func (e *Engine) awaitPermit(now time.Time, service api.ServiceName, unpermitted []api.ReplicaName, otherwise api.Reason) (api.ReplicaName, api.Reason) {
	e.missPermits(now, unpermitted, 1+len(e.waiting[service]))
	requesting := false
	for _, name := range unpermitted {
		if e.limits.limiter.Permitted(now, name) {
			return name, api.ReasonNone
		}
		requesting = requesting || e.limits.limiter.Requesting(name)
	}
	if requesting || otherwise == api.ReasonOverloaded {
		return "", api.ReasonOverloaded
	}
	return "", api.ReasonRateLimited
}

// missPermits requests permits for replicas that could not be used for lack of one. waiting is
// the number of parts that can only go to these replicas.
func (e *Engine) missPermits(now time.Time, names []api.ReplicaName, waiting int) {
	for _, name := range names {
		if r, ok := e.limits.limiter.Miss(now, name, waiting); ok {
			e.counts.Inc(count.RateLimit, "permits_requested")
			e.requestPermits(now, r)
		}
	}
}
