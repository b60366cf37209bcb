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

// budgetShare returns the fraction of the budget that an extra attempt may use.
func (p purpose) budgetShare() float64 {
	if p == hedgeAttempt {
		return hedgeBudgetShare
	}
	return 1
}

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
	e.candidates = e.candidates[:0]
	slow, backoff := true, false
	reason := api.ReasonNoReplica
	preferred := e.preferredRank(p.service)
	var overdue, notPreferred, failed, unpermitted []api.ReplicaName
	for _, name := range e.registry.byService[p.service] {
		entry := e.registry.entries[name]
		if entry.draining() || !e.mayUseReplica(r, p, name, why) {
			continue
		}
		if now.Before(entry.stated.backoffUntil) {
			backoff = true
			continue
		}
		if !e.connections(name).hasCapacity(now, e.quota(p.service, entry.Slots)) {
			reason = api.ReasonOverloaded
			continue
		}
		if e.stalledReplicas[name] && !e.replicas.ProbeDue(now, name) {
			continue
		}
		if why == hedgeAttempt && (e.overdueReplicas[name] || e.replicas.Suspect(name) || e.limiter.Limited(name)) {
			continue
		}
		if !e.limiter.Permitted(now, name) {
			unpermitted = append(unpermitted, name)
			continue
		}
		switch {
		case slices.Contains(p.tried, name):
			failed = append(failed, name)
		case e.overdueReplicas[name]:
			overdue = append(overdue, name)
		case entry.rank > preferred:
			notPreferred = append(notPreferred, name)
		default:
			e.candidates = append(e.candidates, name)
			slow = slow && e.replicas.ExpectedLatency(now, name) > slowLatencyFactor*r.hedgeAfter
		}
	}
	if slow {
		e.candidates = append(e.candidates, notPreferred...)
	}
	if len(e.candidates) == 0 {
		e.candidates = append(e.candidates, overdue...)
	}
	if len(e.candidates) == 0 {
		e.candidates = append(e.candidates, failed...)
	}
	name, ok := e.replicas.Pick(now, e.candidates, nil)
	if ok {
		e.missPermits(now, unpermitted, 0)
		return name, api.ReasonNone
	}
	if backoff && reason == api.ReasonNoReplica {
		reason = api.ReasonBackoff
	}
	if len(unpermitted) == 0 {
		return "", reason
	}
	return e.awaitPermit(now, p.service, unpermitted, reason)
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
