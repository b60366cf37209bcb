package forward

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// purpose is the reason why an attempt is sent.
type purpose uint8

const (
	// firstAttempt is the first attempt for a part.
	firstAttempt purpose = iota
	// retryAttempt replaces an attempt that failed.
	retryAttempt
	// hedgeAttempt runs in parallel with an attempt that is slow.
	hedgeAttempt
)

// slowLatencyFactor times the hedge delay is the expected latency above which a replica
// counts as slow. If all replicas that this node prefers are slow, those that other
// nodes prefer are used as well.
const slowLatencyFactor = 2

// choose returns a replica with capacity for a part, or the reason why there is none.
//
// Replicas that this node prefers come first. Those that other nodes prefer are used if
// there is no other or the preferred ones are slow, replicas with overdue attempts only
// if there is no other, and stalled ones only for a probe. A replica that failed the
// part before is used only if no other is left to replace the failed attempt. A hedge
// goes neither to a replica with overdue attempts nor to a suspect one: waiting for
// these would help nobody. A replica that names a rate limit is used only with a permit, and
// not for a hedge, which would take the permit of another request. One that asked for a pause
// is not used before its end.
func (e *Engine) choose(now time.Time, r *request, p *part, why purpose) (api.ReplicaName, api.Reason) {
	if e.tooLateToSend(now, r) {
		return "", api.ReasonShuttingDown
	}
	c := e.findCandidates(now, r, p, why)
	name, ok := e.pick(now, r, c.best())
	switch {
	case ok:
		e.missPermits(now, c.unpermitted, 0)
		return name, api.ReasonNone
	case len(c.unpermitted) == 0:
		return "", c.reason
	}
	return e.awaitPermit(now, p.service, c.unpermitted, c.reason)
}

// candidates holds the replicas that may get an attempt, by preference.
type candidates struct {
	preferred, notPreferred, overdue, failed []api.ReplicaName
	// slow is set if all preferred replicas are expected to be slow.
	slow bool
	// unpermitted holds those that lack only a permit.
	unpermitted []api.ReplicaName
	// reason is why the other replicas of the service may not get the attempt.
	reason api.Reason
}

// findCandidates returns the candidates for an attempt. They are valid until the next call.
func (e *Engine) findCandidates(now time.Time, r *request, p *part, why purpose) candidates {
	c := candidates{preferred: e.candidates[:0], slow: true, reason: api.ReasonNoReplica}
	preferredRank := e.preferredRank(p.service)
	for _, name := range e.registry.byService[p.service] {
		entry := e.registry.entries[name]
		e.suspectUnconfirmed(now, name)
		e.classify(now, &c, r, p, entry, e.exclusion(now, r, p, entry, why), preferredRank)
	}
	e.candidates = c.preferred
	return c
}

// classify adds a replica with the given exclusion to the candidates.
func (e *Engine) classify(now time.Time, c *candidates, r *request, p *part, entry *registryEntry, reason api.Reason, preferredRank float64) {
	name := entry.Replica
	switch {
	case reason == api.ReasonRateLimited:
		c.unpermitted = append(c.unpermitted, name)
	case reason != api.ReasonNone:
		c.exclude(reason)
	case slices.Contains(p.tried, name):
		c.failed = append(c.failed, name)
	case e.overdueReplicas[name] && !e.worthWaiting(now, r, name):
		c.overdue = append(c.overdue, name)
	case !e.prefers(entry, preferredRank):
		c.notPreferred = append(c.notPreferred, name)
	default:
		c.preferred = append(c.preferred, name)
		// While the preferred replicas return from an evacuation, the others keep their share.
		c.slow = c.slow && (e.returning(now, entry) || e.replicas.ExpectedLatency(now, name) > slowLatencyFactor*r.hedgeAfter)
	}
}

// exclusion returns why a replica may not get an attempt now, or ReasonNone. ReasonRateLimited
// means that it lacks only a permit.
func (e *Engine) exclusion(now time.Time, r *request, p *part, entry *registryEntry, why purpose) api.Reason {
	name := entry.Replica
	switch {
	case !e.mayReach(r.homeRegions, entry.DataCentre):
		return api.ReasonOutsideRegion
	case !entry.draining() && e.evacuated(entry):
		return api.ReasonEvacuated
	case entry.draining() || !e.mayUseReplica(r, p, name, why):
		return api.ReasonNoReplica
	case now.Before(entry.stated.backoffUntil):
		return api.ReasonBackoff
	case !e.hasCapacity(now, entry):
		return api.ReasonOverloaded
	case e.stalledReplicas[name] && !e.replicas.ProbeDue(now, name):
		return api.ReasonNoReplica
	case why == hedgeAttempt && (e.overdueReplicas[name] || e.replicas.Suspect(name) || e.limits.limiter.Limited(name)):
		return api.ReasonNoReplica
	case !e.limits.limiter.Permitted(now, name):
		return api.ReasonRateLimited
	}
	return api.ReasonNone
}

// exclude records why a replica may not get the attempt. A reason that will pass, and soonest,
// takes precedence.
func (c *candidates) exclude(reason api.Reason) {
	if exclusionRank(reason) < exclusionRank(c.reason) {
		c.reason = reason
	}
}

// exclusionRank orders the reasons of an exclusion by how soon they pass.
func exclusionRank(reason api.Reason) int {
	switch reason {
	case api.ReasonOverloaded:
		return 0
	case api.ReasonBackoff:
		return 1
	case api.ReasonEvacuated:
		return 2
	case api.ReasonOutsideRegion:
		return 3
	}
	return 4
}

// best returns the candidates of the highest preference.
func (c *candidates) best() []api.ReplicaName {
	best := c.preferred
	if c.slow {
		best = append(best, c.notPreferred...)
	}
	if len(best) == 0 {
		best = c.overdue
	}
	if len(best) == 0 {
		best = c.failed
	}
	return best
}

// mayUseReplica reports whether an attempt for a part may go to a replica, considering
// the earlier attempts for the part.
func (e *Engine) mayUseReplica(r *request, p *part, name api.ReplicaName, why purpose) bool {
	if !slices.Contains(p.tried, name) {
		return why == firstAttempt || p.mayTryNewReplica(r)
	}
	return why == retryAttempt && p.mayRetryFailedReplica(r) && slices.Contains(p.failed, name)
}

// markOverdue marks the replicas of a part's attempts as overdue unless they have
// answered anything since. While no replica has answered the request, the request itself
// may be the cause, so a timer checks each attempt for a stall.
func (e *Engine) markOverdue(p *part) {
	for _, a := range p.inFlight {
		if !e.answeredSince(a) {
			if !e.overdueReplicas[a.replica] {
				e.overdueSince[a.replica] = a.sentAt
			}
			e.overdueReplicas[a.replica] = true
		}
		if !a.stallTimerSet && !a.request.replicaAnswered {
			a.stallTimerSet = true
			e.timers.Add(a.sentAt.Add(a.request.stallTime()), timer{attempt: a.id})
		}
	}
}

// recordAnswer records an answer of a replica. If the replica had stalled, the cause may
// have been on the side of this node, so all stalled replicas are probed soon.
func (e *Engine) recordAnswer(now time.Time, name api.ReplicaName) {
	if e.registry.entries[name] == nil {
		return // it was removed in the meantime
	}
	e.lastReplyAt[name] = now
	delete(e.overdueReplicas, name)
	if !e.stalledReplicas[name] {
		return
	}
	delete(e.stalledReplicas, name)
	e.log("replica_heard_again", "replica", name, "silent", len(e.stalledReplicas))
	for other := range e.stalledReplicas {
		e.replicas.ProbeSoon(now, other)
	}
}

// answeredSince reports whether the replica has answered anything since the attempt was
// sent.
func (e *Engine) answeredSince(a *attempt) bool {
	at, ok := e.lastReplyAt[a.replica]
	return ok && at.After(a.sentAt)
}
