package forward

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// This file ends the requests of a process that stops, so that each caller gets an answer before
// the process ends and each request that no replica got can be sent to another node.

const (
	// sendMarginFactor times the usual latency of a route is the time that an attempt needs
	// before the last answers of a stopping process: one that is cut off costs the caller more
	// than a refusal.
	sendMarginFactor = 2
	// usualLatencyQuantile is the quantile that counts as the usual latency.
	usualLatencyQuantile = 0.95
	// unknownLatencyDivisor sets the same time for a route without any answer so far, as a
	// fraction of the whole shutdown.
	unknownLatencyDivisor = 2
)

// shutdown holds the times of a graceful shutdown; all are zero before it.
type shutdown struct {
	// acceptUntil is when the load balancer no longer sends requests to this node.
	acceptUntil time.Time
	// answerBy is when all requests that are still open are answered. It is zero if the
	// requests need not be answered by a certain time.
	answerBy time.Time
	// duration is the time from the start of the shutdown to answerBy.
	duration time.Duration
}

// stop starts a graceful shutdown.
func (e *Engine) stop(now time.Time, ev Stopping) {
	e.limits.stopping = true
	e.quotas.allocator.Stop()
	if ev.AnswerWithin == 0 {
		return
	}
	e.shutdown = shutdown{acceptUntil: now.Add(ev.AcceptFor), answerBy: now.Add(ev.AnswerWithin), duration: ev.AnswerWithin}
	e.timers.Add(e.shutdown.answerBy, timer{shutdown: true})
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		if r := e.requests[id]; r != nil {
			e.progress(now, r)
		}
	}
}

// sendBy returns the latest time at which an attempt for a request may be sent during a shutdown,
// or the zero time if there is no such limit.
func (e *Engine) sendBy(r *request) time.Time {
	answerBy := e.shutdown.answerBy
	if answerBy.IsZero() || !r.deadline.After(answerBy) {
		return time.Time{}
	}
	if usual, ok := e.delays.Usual(delayKey(r.route), usualLatencyQuantile); ok {
		return answerBy.Add(-sendMarginFactor * usual)
	}
	return answerBy.Add(-e.shutdown.duration / unknownLatencyDivisor)
}

// tooLateToSend reports whether an attempt for a request would probably not be answered before
// this process ends.
func (e *Engine) tooLateToSend(now time.Time, r *request) bool {
	by := e.sendBy(r)
	return !by.IsZero() && now.After(by)
}

// giveUpLateParts gives up the waiting parts of a request that can no longer be sent, and returns
// when that is due otherwise.
func (e *Engine) giveUpLateParts(now time.Time, r *request) time.Time {
	by := e.sendBy(r)
	if by.IsZero() {
		return time.Time{}
	}
	waiting := false
	for i := range r.parts {
		p := &r.parts[i]
		switch {
		case p.state != partWaiting:
		case now.After(by):
			e.giveUp(r, p, api.ReasonShuttingDown)
		default:
			waiting = true
		}
	}
	if !waiting {
		return time.Time{}
	}
	return by.Add(time.Nanosecond) // the first moment after it
}

// endOpenRequests answers all requests at the end of a shutdown: those that no replica got as not
// run, the others with the parts that are in or as unknown. Attempts in flight go on, as a
// replica may still complete them.
func (e *Engine) endOpenRequests(now time.Time) {
	e.log("shutdown_answers", "requests", len(e.requests), "divided", len(e.divided), "awaiting_admission", len(e.quotas.waiting))
	for _, id := range slices.Sorted(maps.Keys(e.quotas.waiting)) {
		w := e.quotas.waiting[id]
		delete(e.quotas.waiting, id)
		e.quotas.requester.Remove(w.request.message.Account, id)
		e.refuseWaiting(now, w, api.ReasonShuttingDown, e.shutdownRetryAfter(now))
	}
	for _, id := range slices.Sorted(maps.Keys(e.divided)) {
		e.finishDivided(now, e.divided[id], api.ReasonShuttingDown)
	}
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		if r := e.requests[id]; r != nil { // otherwise it was a range of a divided request
			e.finish(now, r, api.ReasonShuttingDown)
		}
	}
}

// shutdownRetryAfter returns how long a caller that is refused because of the shutdown should
// wait: until the load balancer has taken this node out.
func (e *Engine) shutdownRetryAfter(now time.Time) time.Duration {
	return max(e.shutdown.acceptUntil.Sub(now), shortRetryAfter)
}
