package forward

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/locality"
	"github.com/baobabsail/baobabsail/core/quantile"
	"github.com/baobabsail/baobabsail/core/routing"
)

// Details of count.Attempt.
const (
	firstLocal  api.Reason = "first_local"
	firstRemote api.Reason = "first_remote"
	retryLocal  api.Reason = "retry_local"
	retryRemote api.Reason = "retry_remote"
	hedgeLocal  api.Reason = "hedge_local"
	hedgeRemote api.Reason = "hedge_remote"
)

// attemptDetails holds the details for a local and a remote replica by purpose.
var attemptDetails = [...]struct{ local, remote api.Reason }{
	firstAttempt: {firstLocal, firstRemote},
	retryAttempt: {retryLocal, retryRemote},
	hedgeAttempt: {hedgeLocal, hedgeRemote},
}

// Details of count.Crossing: why no local replica got a first attempt.
const (
	localAbsent      api.Reason = "absent"
	localDraining    api.Reason = "draining"
	localBackoff     api.Reason = "backoff"
	localStalled     api.Reason = "stalled"
	localFull        api.Reason = "full"
	localRateLimited api.Reason = "rate_limited"
	localOverdue     api.Reason = "overdue"
	localTried       api.Reason = "tried"
	localSuspect     api.Reason = "suspect"
	localRank        api.Reason = "rank"
	localCold        api.Reason = "cold"
	localSlow        api.Reason = "slow"
)

// minMedianSamples is the number of latencies of a route after which their median is used.
const minMedianSamples = 20

// isLocal reports whether a replica is in the data centre of this node.
func (e *Engine) isLocal(name api.ReplicaName) bool {
	entry := e.registry.entries[name]
	return entry != nil && entry.DataCentre == e.settings.DataCentre
}

// hasLocalAndRemote reports whether a service has replicas both in the data centre of this node
// and elsewhere that are not draining. Only then is there a choice to make.
func (e *Engine) hasLocalAndRemote(service api.ServiceName) bool {
	local, remote := false, false
	for _, name := range e.registry.byService[service] {
		if entry := e.registry.entries[name]; !entry.draining() {
			local = local || entry.DataCentre == e.settings.DataCentre
			remote = remote || entry.DataCentre != e.settings.DataCentre
		}
	}
	return local && remote
}

// prefers reports whether this node prefers a replica: by rank, or because it is local, there
// are remote ones as well, and it has connections for all nodes of this data centre. The nodes
// of other data centres rarely use it then.
func (e *Engine) prefers(entry *registryEntry, preferredRank float64) bool {
	if entry.rank <= preferredRank {
		return true
	}
	nodes := len(e.groups.nodes[e.settings.DataCentre])
	return entry.DataCentre == e.settings.DataCentre && nodes > 0 && e.hasLocalAndRemote(entry.Service) &&
		preferredShare*float64(e.maxConnections[entry.Service]) >= float64(nodes)
}

// pick returns one of the candidates of the highest preference. If there are local and remote
// ones, a remote one is used if no local one is ready for an ordinary request, and for the share
// of the attempts that the local ones are too slow for.
func (e *Engine) pick(now time.Time, r *request, candidates []api.ReplicaName) (api.ReplicaName, bool) {
	e.local, e.remote = e.local[:0], e.remote[:0]
	for _, name := range candidates {
		if e.isLocal(name) {
			e.local = append(e.local, name)
		} else {
			e.remote = append(e.remote, name)
		}
	}
	if len(e.local) == 0 || len(e.remote) == 0 {
		return e.replicas.Pick(now, candidates, nil)
	}
	localName, ok := e.replicas.PickReady(now, e.local, candidates)
	if !ok {
		return e.replicas.Pick(now, candidates, nil)
	}
	remoteName, ok := e.replicas.PickReady(now, e.remote, candidates)
	if !ok {
		return localName, true
	}
	median := e.medianLatency(r.route)
	share := locality.RemoteShare(e.expected(now, localName, median), e.expected(now, remoteName, median), median)
	if share > 0 && e.rng.Float64() < share {
		return remoteName, true
	}
	return localName, true
}

// countCrossing counts a first attempt that leaves the data centre by the reason why no local
// replica got it. Services without a local replica count as absent.
func (e *Engine) countCrossing(now time.Time, r *request, p *part) {
	reason := localAbsent
	for _, name := range e.registry.byService[p.service] {
		entry := e.registry.entries[name]
		if entry.DataCentre != e.settings.DataCentre {
			continue
		}
		reason = e.unusedReason(now, r, p, entry)
		if reason == localSlow {
			break
		}
	}
	e.counts.Inc(count.Crossing, reason)
}

// unusedReason returns why a local replica did not get a first attempt.
func (e *Engine) unusedReason(now time.Time, r *request, p *part, entry *registryEntry) api.Reason {
	name := entry.Replica
	switch {
	case entry.draining():
		return localDraining
	case now.Before(entry.stated.backoffUntil):
		return localBackoff
	case e.stalledReplicas[name]:
		return localStalled
	case !e.connections(name).hasCapacity(now, e.quota(p.service, entry.Slots)):
		return localFull
	case !e.limits.limiter.Permitted(now, name):
		return localRateLimited
	case e.overdueReplicas[name] && !e.worthWaiting(now, r, name):
		return localOverdue
	case slices.Contains(p.tried, name):
		return localTried
	case e.replicas.Suspect(name):
		return localSuspect
	case !e.prefers(entry, e.preferredRank(p.service)):
		return localRank
	case e.replicas.Cold(now, name):
		return localCold
	}
	return localSlow
}

// expected returns what this node knows of how long a replica takes to answer, for the comparison
// of local and remote ones. median stands for the latency of a replica that has not answered yet.
func (e *Engine) expected(now time.Time, name api.ReplicaName, median time.Duration) locality.Expected {
	return locality.Expected{
		Latency: e.latencies[name].Value(now, median), InFlight: e.replicas.InFlight(name), Slots: e.registry.entries[name].Slots,
		FailureFactor: e.replicas.FailureFactor(now, name),
	}
}

// mayWait reports whether an attempt of a request at a local replica may be waited for longer
// than usual, because a hedge replaces it in time and only one of many parts depends on it.
func (r *request) mayWait() bool {
	return r.route.Sharded() && r.route.Idempotent && !r.onProbation && r.maxAttempts > 1
}

// remoteHedgeDelay returns how long an attempt at a local replica may take before a hedge in
// another data centre is worth its cost: the usual delay if the replica may have become slow.
func (e *Engine) remoteHedgeDelay(sentAt time.Time, r *request, local api.ReplicaName) time.Duration {
	if e.latencies[local].LastLong() {
		return r.hedgeAfter
	}
	return locality.HedgeDelay(r.hedgeAfter, r.targetTime.Sub(sentAt), e.medianLatency(r.route))
}

// remoteHedgeAt returns the earliest time of a hedge for a part: a later one than p.hedgeAt if
// its attempt is at a local replica and only remote replicas are left.
func (e *Engine) remoteHedgeAt(r *request, p *part) time.Time {
	a := p.inFlight[0]
	if !r.mayWait() || !e.isLocal(a.replica) || !e.hasLocalAndRemote(p.service) {
		return p.hedgeAt
	}
	for _, name := range e.registry.byService[p.service] {
		if name != a.replica && e.isLocal(name) && !e.registry.entries[name].draining() && !e.overdueReplicas[name] {
			return p.hedgeAt
		}
	}
	return a.sentAt.Add(e.remoteHedgeDelay(a.sentAt, r, a.replica))
}

// worthWaiting reports whether a first attempt may go to a local replica with an overdue attempt
// rather than leave the data centre: it may answer soon, and a hedge leaves if it does not.
func (e *Engine) worthWaiting(now time.Time, r *request, name api.ReplicaName) bool {
	entry := e.registry.entries[name]
	return r.mayWait() && e.isLocal(name) && !e.stalledReplicas[name] && e.hasLocalAndRemote(entry.Service) &&
		now.Sub(e.overdueSince[name]) < e.remoteHedgeDelay(now, r, name)
}

// routeLatencyKey returns the key under which the latencies of the replicas of a route are recorded.
// Routes over the same shards share one, as the latency of a replica is that of all its requests.
func routeLatencyKey(route *routing.Route) api.ServiceName {
	if route.Sharded() {
		return route.Shards[0]
	}
	return route.Services[0].Service
}

// observeLatency records the latency of an answered attempt.
func (e *Engine) observeLatency(now time.Time, route *routing.Route, name api.ReplicaName, latency time.Duration) {
	if e.registry.entries[name] == nil {
		return
	}
	l := e.latencies[name]
	if l == nil {
		l = &locality.Latency{}
		e.latencies[name] = l
	}
	l.Observe(now, latency, e.medianLatency(route))
	key := routeLatencyKey(route)
	q := e.routeLatencies[key]
	if q == nil {
		q = &quantile.Estimator{}
		e.routeLatencies[key] = q
	}
	q.Add(now, latency)
}

// medianLatency returns the median latency of the replicas of a route; 0 if it is unknown.
func (e *Engine) medianLatency(route *routing.Route) time.Duration {
	q := e.routeLatencies[routeLatencyKey(route)]
	if q == nil || q.Count() < minMedianSamples {
		return 0
	}
	return q.Value(0.5)
}

// countAttempt counts an attempt by its purpose and by whether it leaves the data centre.
func (e *Engine) countAttempt(why purpose, name api.ReplicaName) {
	detail := attemptDetails[why].local
	if !e.isLocal(name) {
		detail = attemptDetails[why].remote
	}
	e.counts.Inc(count.Attempt, detail)
}
