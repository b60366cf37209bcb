package fanout

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// removeAttempt removes and returns the attempt with the given id, if it is in
// flight.
func (p *part) removeAttempt(id api.AttemptID) (attempt, bool) {
	for i, a := range p.inFlight {
		if a.id == id {
			p.inFlight = append(p.inFlight[:i], p.inFlight[i+1:]...)
			return a, true
		}
	}
	return attempt{}, false
}

// Replied handles a target's reply to an attempt of part i. The caller must have
// checked that the reply carries the attempt's ID.
func (q *Query) Replied(now time.Time, i int, id api.AttemptID, reply *api.SearchReply) {
	if q.done || i >= len(q.parts) {
		return
	}
	p := &q.parts[i]
	a, ok := p.removeAttempt(id)
	if !ok {
		return // cancelled earlier, for example by a restart
	}
	if reply.Outcome.Ran() {
		p.possiblyRan = true
	}
	reason := q.verify(i, reply)
	if reason == api.ReasonNone {
		q.acceptReply(now, i, a, reply)
	} else {
		q.env.Count(count.Discarded, reason)
		q.rejectReply(now, i, a, reason, reply.RetryAfter)
	}
	q.finishIfComplete(now)
}

// verify returns ReasonNone for a valid reply, and otherwise why the reply must
// be discarded.
func (q *Query) verify(i int, reply *api.SearchReply) api.Reason {
	if reply.Shard != q.Shards[i].Name || reply.Snapshot != q.Choice.Snapshot {
		return api.ReasonMismatched
	}
	if reply.Outcome != api.TargetOK {
		return reply.Outcome.Reason()
	}
	if reply.RowCount != len(reply.Rows) {
		return api.ReasonTruncated
	}
	return api.ReasonNone
}

// acceptReply marks a part as covered by a verified reply. If the attempt was a
// canary, the parts that wait for it are sent.
func (q *Query) acceptReply(now time.Time, i int, a attempt, reply *api.SearchReply) {
	p := &q.parts[i]
	if a.canary {
		q.canariesInFlight--
	}
	q.cancelPart(p) // a hedge or the original attempt, whichever lost
	p.state = partCovered
	p.rows = reply.Rows
	p.limitReached = reply.LimitReached
	q.covered += q.Shards[i].Width()
	q.unsettled--
	if a.canary && !q.released {
		q.convertCanaries()
		q.release(now)
	}
}

// Lost handles an attempt of part i that ended without a reply. sent is false
// only if it is certain that the request was never handed to a connection.
func (q *Query) Lost(now time.Time, i int, id api.AttemptID, sent bool) {
	if q.done || i >= len(q.parts) {
		return
	}
	p := &q.parts[i]
	a, ok := p.removeAttempt(id)
	if !ok {
		return
	}
	if sent {
		p.possiblyRan = true
	}
	if a.canary && !q.released {
		q.canaryFailed(now, i, api.ReasonConnectionLost, sent)
	} else {
		q.afterFailure(now, i, failure{reason: api.ReasonConnectionLost, freeRetry: !sent})
	}
	q.finishIfComplete(now)
}

// rejectReply handles a reply that verify did not accept.
func (q *Query) rejectReply(now time.Time, i int, a attempt, reason api.Reason, retryAfter time.Duration) {
	if a.canary && !q.released {
		q.canaryFailed(now, i, reason, false)
		return
	}
	q.afterFailure(now, i, failure{reason: reason, retryAfter: retryAfter, freeRetry: isFreeRetry(reason)})
}

// isFreeRetry reports whether a retry after this reason needs no token because it
// adds no load: a draining target refuses before running a part and receives no
// further parts. If such retries cost tokens, a drain with many parts in flight
// would exhaust the budget and leave shards out of the answer.
func isFreeRetry(reason api.Reason) bool { return reason == api.ReasonDraining }

// reasonNearDeadline returns the reason to report for a part that failed too late
// to be sent again. An attempt reaches its deadline shortly before the search's
// own timer fires, which looks like a lost connection.
func reasonNearDeadline(reason api.Reason) api.Reason {
	if reason == api.ReasonConnectionLost {
		return api.ReasonDeadline
	}
	return reason
}

// failure describes an attempt that did not cover its part.
type failure struct {
	reason     api.Reason
	retryAfter time.Duration
	// freeRetry is set if the attempt put no load on a target, so that a retry
	// costs no token.
	freeRetry bool
}

// afterFailure resends a part, backs off, or gives the part up.
func (q *Query) afterFailure(now time.Time, i int, f failure) {
	p := &q.parts[i]
	p.reason = f.reason
	if len(p.inFlight) > 0 {
		return // another attempt is still in flight
	}
	if q.Deadline.Sub(now) < minRetryDelay {
		q.giveUp(i, reasonNearDeadline(f.reason))
		return
	}
	if p.attempts >= maxAttempts {
		q.giveUp(i, f.reason)
		return
	}
	if !f.freeRetry && !q.env.SpendRetryToken(now, q.Query.Service) {
		q.env.Count(count.RetryDenied, api.ReasonRetryBudget)
		q.giveUp(i, f.reason)
		return
	}
	q.env.Count(count.Retried, f.reason)
	if len(p.tried) >= len(q.Shards[i].Replicas) {
		q.backOff(now, i, f.retryAfter)
		return
	}
	q.dispatch(now, i)
}

// giveUpOrBackOff handles a part that could not be sent to any replica.
func (q *Query) giveUpOrBackOff(now time.Time, i int, reason api.Reason) {
	p := &q.parts[i]
	if p.reason == api.ReasonNone || reason != api.ReasonNoReplica {
		p.reason = reason
	}
	if reason == api.ReasonNoConnection {
		q.backOff(now, i, 0) // a connection may open before the deadline
		return
	}
	q.giveUp(i, p.reason)
}

// backOff delays a part before it is sent again, or gives it up if the delay
// reaches the deadline.
func (q *Query) backOff(now time.Time, i int, wait time.Duration) {
	p := &q.parts[i]
	p.state = partBackingOff
	p.retryAt = now.Add(max(wait, minRetryDelay))
	if !p.retryAt.Before(q.Deadline) {
		q.giveUp(i, p.reason)
		return
	}
	q.scheduleScan(p.retryAt)
}

// giveUp cancels the attempts of a part and marks it as missing.
func (q *Query) giveUp(i int, reason api.Reason) {
	p := &q.parts[i]
	if p.state.settled() {
		return
	}
	q.cancelPart(p)
	p.state = partMissing
	p.reason = reason
	q.unsettled--
	if isVersionReason(reason) {
		q.versionMisses++
	}
}

// isVersionReason reports whether a replica failed because it does not have the
// requested snapshot.
func isVersionReason(r api.Reason) bool {
	return r == api.ReasonVersionGone || r == api.ReasonVersionNotYet || r == api.ReasonWrongEpoch
}
