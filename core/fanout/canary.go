package fanout

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// sendCanary sends the next candidate that can be sent and reports whether it
// sent one. If no candidate is left and no canary is in flight, it schedules
// another try when replicas were overloaded, and otherwise ends the search.
func (q *Query) sendCanary(now time.Time) bool {
	for q.nextCanary < len(q.Canaries) {
		c := q.Canaries[q.nextCanary]
		q.nextCanary++
		if q.parts[c.Part].state != partAwaitingCanary {
			continue
		}
		sent, reason := q.env.Send(now, q, c.Part, nil, c.Replica)
		if reason != api.ReasonNone {
			q.lastCanaryReason = reason
			continue
		}
		q.canariesInFlight++
		q.lastCanarySentAt = now
		q.recordAttempt(now, c.Part, sent, true)
		return true
	}
	switch {
	case q.canariesInFlight > 0:
	case q.lastCanaryReason == api.ReasonOverloaded && q.canariesLost == 0:
		// No candidate has capacity now; try all of them again after a delay.
		q.nextCanary = 0
		q.scheduleScan(now.Add(minRetryDelay))
	default:
		q.finishWithoutCanary(now)
	}
	return false
}

// canaryFailed handles a canary that was rejected, or whose attempt was lost:
// it restarts at another snapshot, sends the next canary, or ends the search.
func (q *Query) canaryFailed(now time.Time, i int, reason api.Reason, lost bool) {
	q.canariesInFlight--
	q.lastCanaryReason = reason
	p := &q.parts[i]
	p.state = partAwaitingCanary
	p.reason = reason
	if lost {
		q.canariesLost++
	}
	if q.canariesLost >= q.Mode.maxLost() {
		if q.canariesInFlight == 0 {
			q.finishWithoutCanary(now)
		}
		return
	}
	if q.canariesInFlight > 0 {
		return
	}
	if isVersionReason(reason) && q.tryRestart(now) {
		return
	}
	if lost && !q.env.MayRetryCanary(now, q) {
		q.finishWithoutCanary(now)
		return
	}
	if !isFreeRetry(reason) && !q.env.SpendRetryToken(now, q.Query.Service) {
		q.env.Count(count.RetryDenied, api.ReasonRetryBudget)
		q.finishWithoutCanary(now)
		return
	}
	q.env.Count(count.Retried, reason)
	q.sendCanary(now)
}

// hedgeCanary sends a second canary if the first one is slow. Canaries in flight
// and lost ones together are limited to two, so that a request that crashes
// targets reaches at most two of them before one has answered it.
func (q *Query) hedgeCanary(now time.Time) {
	if q.canariesInFlight == 0 {
		q.sendCanary(now)
		return
	}
	due := q.lastCanarySentAt.Add(q.HedgeDelay)
	if now.Before(due) {
		q.scheduleScan(due)
		return
	}
	if q.Mode == Probation || q.canariesInFlight+q.canariesLost >= q.Mode.maxLost() {
		return
	}
	if q.nextCanary >= len(q.Canaries) || !q.env.SpendRetryToken(now, q.Query.Service) {
		return
	}
	if !q.sendCanary(now) {
		q.env.RefundRetryToken(q.Query.Service)
		return
	}
	q.env.Count(count.Hedged, "canary")
}

// convertCanaries turns the other canaries in flight into ordinary attempts,
// after one canary was answered.
func (q *Query) convertCanaries() {
	for i := range q.parts {
		for j := range q.parts[i].inFlight {
			q.parts[i].inFlight[j].canary = false
		}
	}
	q.canariesInFlight = 0
}

// finishWithoutCanary ends a search none of whose canaries was answered.
func (q *Query) finishWithoutCanary(now time.Time) {
	reason := q.lastCanaryReason
	if reason == api.ReasonNone {
		reason = api.ReasonNoReplica
	}
	q.finish(now, reason)
}
