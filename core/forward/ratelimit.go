package forward

import (
	"math"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/ratelimit"
)

// This file keeps the attempts of all nodes at a replica within the rate limit that the replica
// names. Each attempt needs a permit, which the allocator of the replica grants. All nodes
// choose the same allocator by a hash, so that they need not agree on it.

const (
	// allocatorFailedTime is how long a node that did not respond to a request for permits is
	// not asked again.
	allocatorFailedTime = 2 * time.Second
	// maxAllocatorFailures is the number of unanswered requests in a row after which this node
	// takes itself for disconnected from the others. For allocatorFailedTime, it then grants
	// itself its share of each limit.
	maxAllocatorFailures = 3
)

// rateLimits is the state of an engine that concerns the rate limits of replicas.
type rateLimits struct {
	// limiter holds the limits that replicas name and the permits of this node; allocator
	// grants permits for the replicas that this node is the allocator of.
	limiter   *ratelimit.Limiter
	allocator *ratelimit.Allocator
	// ranks says what this node may grant for cold replicas.
	ranks *ratelimit.Ranks
	// failedAllocators holds the nodes that did not respond to a request for permits, and
	// until when other nodes are asked. failures counts such requests in a row.
	failedAllocators map[string]time.Time
	failures         int
	// disconnectedUntil is the time until which this node takes itself for disconnected from
	// the others.
	disconnectedUntil time.Time
	// stopping is set once this process stops, so that other nodes have another allocator.
	stopping bool
}

func newRateLimits(node string, listAge time.Duration) rateLimits {
	return rateLimits{
		limiter: ratelimit.NewLimiter(), allocator: ratelimit.NewAllocator(), failedAllocators: make(map[string]time.Time),
		ranks: ratelimit.NewRanks(node, listAge),
	}
}

// tick drops unused buckets, and the nodes that may be asked for permits again.
func (l *rateLimits) tick(now time.Time) {
	l.allocator.Tick(now)
	for node, until := range l.failedAllocators {
		if !now.Before(until) {
			delete(l.failedAllocators, node)
		}
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

// requestPermits sends a request to the allocator of a replica, or handles it if that is this
// node.
func (e *Engine) requestPermits(now time.Time, r ratelimit.Request) {
	node, share := e.allocatorOf(now, r.Replica)
	if node == e.settings.Node {
		e.applyGrant(now, e.allocate(now, r, share))
		return
	}
	e.emit(RequestPermits{Request: r, Node: node, Address: e.groups.addresses[node]})
}

// allocatorOf returns the node that is the allocator of a replica and the share of the limit
// that it may grant: the reachable node with the lowest hash of both names, or this node with
// its own share of the limit if no other node accepts calls or responds.
func (e *Engine) allocatorOf(now time.Time, replica api.ReplicaName) (node string, share float64) {
	if now.Before(e.limits.disconnectedUntil) {
		return e.settings.Node, 1 / float64(e.nodeCount)
	}
	lowest := uint64(math.MaxUint64)
	for _, peers := range e.groups.nodes {
		for _, p := range peers {
			if now.Before(e.limits.failedAllocators[p.Node]) || e.limits.stopping && p.Node == e.settings.Node {
				continue
			}
			if h := ratelimit.AllocatorHash(p.Node, replica); h < lowest {
				node, lowest = p.Node, h
			}
		}
	}
	if node == "" {
		return e.settings.Node, 1 / float64(e.nodeCount)
	}
	return node, 1
}

// allocate grants permits as the allocator of a replica. Of a named limit, it grants at most the
// given share; of a cold limit, what no other node can grant at the same time.
func (e *Engine) allocate(now time.Time, r ratelimit.Request, share float64) ratelimit.Grant {
	if entry := e.registry.entries[r.Replica]; entry != nil && (r.ColdPerSecond > 0 || e.limits.limiter.Cold(r.Replica)) {
		if own := e.coldPerSecond(entry.Service); own > 0 {
			r.ColdPerSecond = own
		}
	}
	var cold ratelimit.ColdShare
	if r.ColdPerSecond > 0 && !e.limits.stopping {
		cold = e.settings.ColdBounds.Share(r.ColdPerSecond, e.limits.ranks.Of(now, r.Replica))
	}
	return e.limits.allocator.Allocate(now, r, share, cold)
}

// allocators returns the nodes that can be the allocator of a replica, sorted by name.
func (e *Engine) allocators() []string {
	var nodes []string
	for _, peers := range e.groups.nodes {
		for _, p := range peers {
			nodes = append(nodes, p.Node)
		}
	}
	if len(nodes) == 0 && e.nodeCount == 1 {
		nodes = append(nodes, e.settings.Node) // the only node accepts no calls
	}
	slices.Sort(nodes)
	return nodes
}

// permitsRequested grants permits to another node.
func (e *Engine) permitsRequested(now time.Time, ev PermitsRequested) {
	g := e.allocate(now, ev.Request, 1)
	e.counts.Add(count.RateLimit, "permits_granted", uint64(g.Permits))
	e.emit(GrantPermits{Grant: g, Call: ev.Call})
}

// permitsGranted applies a response of an allocator and resumes the parts that wait for it.
func (e *Engine) permitsGranted(now time.Time, ev PermitsGranted) {
	e.limits.failures = 0
	e.applyGrant(now, ev.Grant)
	if entry := e.registry.entries[ev.Replica]; entry != nil {
		e.resume(now, entry.Service)
	}
}

// applyGrant adds granted permits to those of this node.
func (e *Engine) applyGrant(now time.Time, g ratelimit.Grant) {
	entry := e.registry.entries[g.Replica]
	if e.limits.limiter.Granted(now, g) && entry != nil {
		e.rateLimitEnded(g.Replica, entry.Service)
	}
}

// permitsFailed handles an allocator that did not respond. Parts that wait for a permit ask the
// next one.
func (e *Engine) permitsFailed(now time.Time, ev PermitsFailed) {
	e.counts.Inc(count.RateLimit, "permits_failed")
	e.log("permits_failed", "node", ev.Node, "replica", ev.Replica, "error", ev.Error)
	e.limits.failedAllocators[ev.Node] = now.Add(allocatorFailedTime)
	if e.limits.failures++; e.limits.failures >= maxAllocatorFailures {
		e.limits.failures, e.limits.disconnectedUntil = 0, now.Add(allocatorFailedTime)
	}
	e.limits.limiter.Failed(ev.Replica)
	if entry := e.registry.entries[ev.Replica]; entry != nil {
		e.resume(now, entry.Service)
	}
}
