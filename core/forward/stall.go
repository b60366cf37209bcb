package forward

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/count"
)

const (
	// stallFactor times the hedge delay is how long an attempt that nobody waits for any
	// more may continue. After that its connection is closed.
	stallFactor = 6
	// minStallTime keeps a replica that pauses for a moment from losing its connections.
	minStallTime = 250 * time.Millisecond
)

// releaseAttempts stops waiting for the attempts of a part. With cancel they are cancelled at
// once, which gives their capacity to waiting parts; otherwise they are cancelled later
// if they stall.
func (e *Engine) releaseAttempts(now time.Time, r *request, p *part, cancel bool) {
	inFlight := slices.Clone(p.inFlight)
	for _, a := range inFlight {
		if cancel {
			e.cancel(now, a)
			continue
		}
		a.detached = true
		e.timers.Add(a.sentAt.Add(r.stallTime()), timer{attempt: a.id})
	}
	p.inFlight = nil
	if cancel && len(inFlight) > 0 {
		e.resume(now, p.service)
	}
}

// stallTime is how long an attempt may go without an answer before it counts as stalled.
func (r *request) stallTime() time.Duration {
	return max(stallFactor*r.hedgeAfter, minStallTime)
}

// cancel cancels an attempt of a request whose caller no longer waits or has its final answer.
func (e *Engine) cancel(now time.Time, a *attempt) {
	e.removeAttempt(a.id)
	if now.Sub(a.sentAt) >= a.request.stallTime() {
		e.recordStall(now, a)
	} else {
		if !now.Before(a.request.deadline) {
			e.recordTimedOutAttempt(now, a)
		}
		e.replicas.Cancelled(now, a.replica, now.Sub(a.sentAt))
	}
	e.emit(Cancel{Attempt: a.id})
}

// stalled handles an attempt that has taken longer than stallTime: it may have crashed its
// replica. The attempt is cancelled if nobody waits for it.
func (e *Engine) stalled(now time.Time, id AttemptID) {
	a := e.attempts[id]
	switch {
	case a == nil:
		return
	case !a.detached:
		e.recordTimedOutAttempt(now, a)
		return
	}
	e.removeAttempt(id)
	e.recordStall(now, a)
	// Idle connections may no longer respond for the same reason.
	e.emit(Cancel{Attempt: id})
	e.emit(CloseIdle{Replica: a.replica})
	e.resume(now, a.service)
}

// recordStall records an attempt that took longer than stallTime. If its replica has
// answered nothing else since, the replica counts as stalled, too.
func (e *Engine) recordStall(now time.Time, a *attempt) {
	e.replicas.Lost(now, a.replica)
	e.recordTimedOutAttempt(now, a)
	if !e.answeredSince(a) && e.registry.entries[a.replica] != nil {
		e.stalledReplicas[a.replica] = true
		e.replicas.MarkSuspect(now, a.replica)
	}
	e.counts.Inc(count.Discarded, "stalled")
	e.log("attempt_stalled", "id", a.request.message.CallerRequest, "replica", a.replica, "service", a.service,
		"after_ms", now.Sub(a.sentAt).Milliseconds(), "fingerprint", a.request.message.Fingerprint)
}
