package fanout

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// take removes a live attempt of a part.
func (p *part) take(id api.AttemptID) (attempt, bool) {
	for i, a := range p.live {
		if a.id == id {
			p.live = append(p.live[:i], p.live[i+1:]...)
			return a, true
		}
	}
	return attempt{}, false
}

// Replied handles a target's answer to an attempt of a part. The caller has
// checked that the reply echoes the attempt.
func (q *Query) Replied(now time.Time, i int, id api.AttemptID, reply *api.SearchReply) {
	if q.done || i >= len(q.parts) {
		return
	}
	p := &q.parts[i]
	a, ok := p.take(id)
	if !ok {
		return // given up before, for example by a restart
	}
	if reply.Outcome.Ran() {
		p.ran = true
	}
	reason := q.verify(i, reply)
	if reason == api.ReasonNone {
		q.cover(now, i, a, reply)
	} else {
		q.env.Count(count.Discarded, reason)
		q.refused(now, i, a, reason, reply.RetryAfter)
	}
	q.evaluate(now)
}

// verify returns why an answer does not count, or ReasonNone.
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

// cover accepts a verified answer.
func (q *Query) cover(now time.Time, i int, a attempt, reply *api.SearchReply) {
	p := &q.parts[i]
	if a.canary {
		q.canaryLive--
	}
	q.cancelPart(p) // hedges that lost
	p.state = partCovered
	p.rows = reply.Rows
	p.limitHit = reply.LimitReached
	q.covered += q.Shards[i].Width()
	q.unsettled--
	if a.canary && !q.released {
		q.keepCanaries()
		q.release(now)
	}
}

// Lost handles an attempt that ended without an answer. sent is false only if
// the request was certainly never handed to a connection.
func (q *Query) Lost(now time.Time, i int, id api.AttemptID, sent bool) {
	if q.done || i >= len(q.parts) {
		return
	}
	p := &q.parts[i]
	a, ok := p.take(id)
	if !ok {
		return
	}
	if sent {
		p.ran = true
	}
	if a.canary && !q.released {
		q.canaryEnded(now, i, api.ReasonConnectionLost, sent)
	} else {
		q.afterFailure(now, i, failure{reason: api.ReasonConnectionLost, free: !sent})
	}
	q.evaluate(now)
}

// refused handles an answer that does not cover the part.
func (q *Query) refused(now time.Time, i int, a attempt, reason api.Reason, retryAfter time.Duration) {
	if a.canary && !q.released {
		q.canaryEnded(now, i, reason, false)
		return
	}
	q.afterFailure(now, i, failure{reason: reason, retryAfter: retryAfter, free: ranNothing(reason)})
}

// ranNothing says that sending the part again adds no load: a draining target
// refuses before running and gets no further part. Otherwise a drain with many
// parts on their way would spend the budget and leave shards out.
func ranNothing(reason api.Reason) bool { return reason == api.ReasonDraining }

// lateReason is the reason of a part that failed too late to be sent again. The
// deadline of an attempt ends it a little before the search's own timer does,
// and looks like a lost connection.
func lateReason(reason api.Reason) api.Reason {
	if reason == api.ReasonConnectionLost {
		return api.ReasonDeadline
	}
	return reason
}

// failure describes an attempt that did not cover its part.
type failure struct {
	reason     api.Reason
	retryAfter time.Duration
	// free says that no target was loaded, so that a retry costs no token.
	free bool
}

// afterFailure retries a part, waits, or gives it up.
func (q *Query) afterFailure(now time.Time, i int, f failure) {
	p := &q.parts[i]
	p.reason = f.reason
	if len(p.live) > 0 {
		return // a hedge is still on its way
	}
	if q.Deadline.Sub(now) < retryPause {
		q.giveUp(i, lateReason(f.reason))
		return
	}
	if p.sent >= maxAttempts {
		q.giveUp(i, f.reason)
		return
	}
	if !f.free && !q.env.SpendExtra(now, q.Query.Service) {
		q.env.Count(count.RetryDenied, api.ReasonBudget)
		q.giveUp(i, f.reason)
		return
	}
	q.env.Count(count.Retried, f.reason)
	if len(p.tried) >= len(q.Shards[i].Replicas) {
		q.pause(now, i, f.retryAfter)
		return
	}
	q.dispatch(now, i)
}

// giveUpOrPause handles a part that could not be sent anywhere now.
func (q *Query) giveUpOrPause(now time.Time, i int, reason api.Reason) {
	p := &q.parts[i]
	if p.reason == api.ReasonNone || reason != api.ReasonNoReplica {
		p.reason = reason
	}
	if reason == api.ReasonNoConnection {
		q.pause(now, i, 0) // a connection may open before the deadline
		return
	}
	q.giveUp(i, p.reason)
}

// pause lets a part wait before it is sent again.
func (q *Query) pause(now time.Time, i int, wait time.Duration) {
	p := &q.parts[i]
	p.state = partPaused
	p.retryAt = now.Add(max(wait, retryPause))
	if !p.retryAt.Before(q.Deadline) {
		q.giveUp(i, p.reason)
		return
	}
	q.scanBy(p.retryAt)
}

// giveUp records a part as missing.
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
		q.versionGaps++
	}
}

func isVersionReason(r api.Reason) bool {
	return r == api.ReasonVersionGone || r == api.ReasonVersionNotYet || r == api.ReasonWrongEpoch
}
