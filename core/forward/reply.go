package forward

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// replied handles a replica's reply.
func (e *Engine) replied(now time.Time, ev *Replied) {
	a := e.removeAttempt(ev.Attempt)
	if a == nil {
		e.counts.Inc(count.Discarded, "late")
		return
	}
	e.recordAnswer(now, a.replica)
	if ev.Reply.Kind != ReplyMisdirected && e.sameProcess(a) {
		e.observeStatus(now, a.replica, a.sentAt, &ev.Status)
	}
	e.connections(a.replica).backoff = 0
	e.closeIfEvacuated(a.replica)
	e.observeReply(now, a, ev.Reply.Kind)
	if !a.detached {
		e.applyReply(now, a, &ev.Reply)
		e.progress(now, a.request)
	}
	e.resume(now, a.service)
}

// sameProcess reports whether the process that an attempt was sent to is still registered.
func (e *Engine) sameProcess(a *attempt) bool {
	entry := e.registry.entries[a.replica]
	return entry != nil && entry.ProcessStart == a.processStart
}

// observeReply updates the health and latency records of the replica.
func (e *Engine) observeReply(now time.Time, a *attempt, kind ReplyKind) {
	latency := now.Sub(a.sentAt)
	outcome := api.TargetError
	switch kind {
	case ReplyOK:
		outcome = api.TargetOK
		e.delays.Observe(now, delayKey(a.request.route), latency)
		e.observeLatency(now, a.request.route, a.replica, latency)
	case ReplyRefused:
		outcome = api.TargetShed
	case ReplyMisdirected:
		if e.registry.entries[a.replica] != nil {
			e.removeReplica(now, a.replica, "address_reused")
		}
		return
	}
	_, wasSlow := e.replicas.SlowAfterStart(now, a.replica)
	e.replicas.Done(now, a.replica, outcome, latency, api.TargetLoad{})
	if share, slow := e.replicas.SlowAfterStart(now, a.replica); slow && !wasSlow {
		e.counts.Inc(count.Connection, "slow_start")
		e.log("replica_slow_start", "replica", a.replica, "service", a.service, "latency_ms", latency.Milliseconds(), "share", share)
	}
}

// applyReply applies a reply to the part that it belongs to.
func (e *Engine) applyReply(now time.Time, a *attempt, reply *Reply) {
	r := a.request
	p := &r.parts[a.part]
	switch reply.Kind {
	case ReplyOK:
		p.state, p.reply = partAnswered, *reply
		r.answered++
		if r.halfAnsweredAt.IsZero() && 2*r.answered >= len(r.parts) {
			r.halfAnsweredAt = now
		}
		r.recordMinCoverage(now, r.answered)
		r.mayHaveRun = true
		e.releaseAttempts(now, r, p, false)
		e.recordFirstAnswer(now, r)
		e.sendHeldParts(now, r)
	case ReplyError:
		r.mayHaveRun = true
		if !reply.PromisesNotRun {
			r.errorReply = reply
		}
		e.recordFirstAnswer(now, r)
		p.failed = append(p.failed, a.replica)
		e.retryPart(now, r, a.part, api.ReasonFailed)
	case ReplyRefused:
		e.retryPart(now, r, a.part, api.ReasonShed)
	case ReplyMisdirected:
		e.retryPart(now, r, a.part, api.ReasonNoReplica)
	default:
		r.mayHaveRun = true
		p.failed = append(p.failed, a.replica)
		e.retryPart(now, r, a.part, api.ReasonMismatched)
	}
}

// retryPart sends a part once more after a failed attempt if that is safe and within the
// limits; otherwise it gives the part up.
func (e *Engine) retryPart(now time.Time, r *request, i int, reason api.Reason) {
	p := &r.parts[i]
	ended := e.requests[r.id] != r // a part sent after an answer may have ended the request
	if ended || p.state.settled() || len(p.inFlight) > 0 {
		return
	}
	safe := r.route.Idempotent || !r.mayHaveRun
	if !safe || r.onProbation || !p.mayTryNewReplica(r) && !p.mayRetryFailedReplica(r) || !now.Before(r.deadline) {
		e.giveUp(r, p, reason)
		return
	}
	if r.singleAttempt && len(p.tried) > 0 {
		e.enqueue(r, i, true)
		return
	}
	switch denied := e.sendExtra(now, r, i, retryAttempt); denied {
	case api.ReasonNone:
		e.counts.Inc(count.Retried, reason)
	case api.ReasonOverloaded:
		e.enqueue(r, i, true)
	default:
		e.giveUp(r, p, reason)
	}
}
