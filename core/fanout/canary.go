package fanout

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// sendCanary sends the next canary that can be sent. Without a candidate left
// and without a canary on its way, the search ends.
func (q *Query) sendCanary(now time.Time) bool {
	for q.canaryNext < len(q.Canaries) {
		c := q.Canaries[q.canaryNext]
		q.canaryNext++
		if q.parts[c.Part].state != partHeld {
			continue
		}
		sent, reason := q.env.Send(now, q, c.Part, nil, c.Replica)
		if reason != api.ReasonNone {
			q.canaryReason = reason
			continue
		}
		q.canaryLive++
		q.canaryAt = now
		q.started(now, c.Part, sent, true)
		return true
	}
	switch {
	case q.canaryLive > 0:
	case q.canaryReason == api.ReasonOverloaded && q.canaryLost == 0:
		// No candidate has room now; all of them are tried again in a moment.
		q.canaryNext = 0
		q.scanBy(now.Add(retryPause))
	default:
		q.finishUnreleased(now)
	}
	return false
}

// canaryEnded handles a canary that was refused or lost.
func (q *Query) canaryEnded(now time.Time, i int, reason api.Reason, lost bool) {
	q.canaryLive--
	q.canaryReason = reason
	p := &q.parts[i]
	p.state = partHeld
	p.reason = reason
	if lost {
		q.canaryLost++
	}
	if q.canaryLost >= q.Mode.maxLost() {
		if q.canaryLive == 0 {
			q.finishUnreleased(now)
		}
		return
	}
	if q.canaryLive > 0 {
		return
	}
	if isVersionReason(reason) && q.tryRestart(now) {
		return
	}
	if lost && !q.env.MayTryAgain(now, q) {
		q.finishUnreleased(now)
		return
	}
	if !ranNothing(reason) && !q.env.SpendExtra(now, q.Query.Service) {
		q.env.Count(count.RetryDenied, api.ReasonBudget)
		q.finishUnreleased(now)
		return
	}
	q.env.Count(count.Retried, reason)
	q.sendCanary(now)
}

// hedgeCanary sends a second canary if the first is slow. At most two are on
// their way at a time, so that the request reaches at most two targets before
// one has answered it.
func (q *Query) hedgeCanary(now time.Time) {
	if q.canaryLive == 0 {
		q.sendCanary(now)
		return
	}
	due := q.canaryAt.Add(q.HedgeDelay)
	if now.Before(due) {
		q.scanBy(due)
		return
	}
	if q.Mode == Probation || q.canaryLive+q.canaryLost >= q.Mode.maxLost() {
		return
	}
	if q.canaryNext >= len(q.Canaries) || !q.env.SpendExtra(now, q.Query.Service) {
		return
	}
	if !q.sendCanary(now) {
		q.env.RefundExtra(q.Query.Service)
		return
	}
	q.env.Count(count.Hedged, "canary")
}

// keepCanaries turns the other canaries on their way into ordinary attempts.
func (q *Query) keepCanaries() {
	for i := range q.parts {
		for j := range q.parts[i].live {
			q.parts[i].live[j].canary = false
		}
	}
	q.canaryLive = 0
}

// finishUnreleased ends a search of which no canary was answered.
func (q *Query) finishUnreleased(now time.Time) {
	reason := q.canaryReason
	if reason == api.ReasonNone {
		reason = api.ReasonNoReplica
	}
	q.finish(now, reason)
}
