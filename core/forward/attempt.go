package forward

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

const (
	// stallFactor times the hedge delay is how long an attempt that nobody waits for any
	// more may continue. After that its connection is closed.
	stallFactor = 6
	// minStallTime keeps a replica that pauses for a moment from losing its connections.
	minStallTime = 250 * time.Millisecond
)

// attempt is one attempt to send a part to a replica.
type attempt struct {
	id      AttemptID
	request *request
	part    int
	service api.ServiceName
	replica api.ReplicaName
	sentAt  time.Time
	// repeat is set if the part was sent to this replica before.
	repeat bool
	// processStart identifies the process of the replica that the part was sent to.
	processStart int64
	// dialing is set until the connection is open.
	dialing bool
	// replicaUnresponsive is set if the replica had failed to answer other attempts in time, or
	// might have crashed, when this one was sent.
	replicaUnresponsive bool
	// detached is set once nobody waits for the answer any more.
	detached bool
	// stallTimerSet is set once a timer checks the attempt for a stall. countedAsLost is set
	// once the attempt is recorded as one that may have crashed its replica.
	stallTimerSet, countedAsLost bool
}

// dispatch sends a part for the first time, or again after an attempt that never reached
// a replica.
func (e *Engine) dispatch(now time.Time, r *request, i int) {
	p := &r.parts[i]
	if !now.Before(r.deadline) {
		e.giveUp(r, p, api.ReasonDeadline)
		return
	}
	name, reason := e.choose(now, r, p, firstAttempt)
	switch reason {
	case api.ReasonNone:
		e.send(now, r, i, name, firstAttempt)
	case api.ReasonOverloaded:
		e.enqueue(r, i, false)
	default:
		e.giveUp(r, p, reason)
	}
}

func (e *Engine) giveUp(r *request, p *part, reason api.Reason) {
	if p.state.settled() {
		return
	}
	p.state, p.reason = partMissing, reason
	r.missing++
	e.counts.Inc(count.Missing, reason)
}

// send sends a part to a replica.
func (e *Engine) send(now time.Time, r *request, i int, name api.ReplicaName, why purpose) {
	p := &r.parts[i]
	e.lastAttempt++
	entry := e.registry.entries[name]
	e.usePermit(name, why)
	a := &attempt{id: e.lastAttempt, request: r, part: i, service: p.service, replica: name, sentAt: now, processStart: entry.ProcessStart}
	e.attempts[a.id] = a
	p.state = partRunning
	p.inFlight = append(p.inFlight, a)
	if a.repeat = slices.Contains(p.tried, name); a.repeat {
		p.repeats++
	} else {
		p.tried = append(p.tried, name)
		p.sends++
	}
	p.hedgeAt = now.Add(r.hedgeAfter)
	r.hedgeAt = earliest(r.hedgeAt, p.hedgeAt)
	// An isolated request is written only once the replica has accepted a new connection
	// for it.
	a.replicaUnresponsive = !r.isolated && e.unresponsive(name)
	c := e.connections(name)
	a.dialing = r.isolated || c.used >= c.open
	c.used++
	e.replicas.Sent(now, name)
	e.counts.Inc(count.Sent, "")
	if r.isolated {
		e.quarantine.ProbationStarted(now, r.message.Fingerprint, name)
	}
	e.emit(Send{
		Attempt: a.id, Message: r.message, Replica: name, Address: entry.Address,
		ShortLived: entry.rank > e.preferredRank(p.service), NewConnection: r.isolated, Remaining: r.deadline.Sub(now),
	})
}

// sendExtra sends another attempt for a part if a replica has capacity and the budget
// allows it. Otherwise it returns the reason why not.
func (e *Engine) sendExtra(now time.Time, r *request, i int, why purpose) api.Reason {
	p := &r.parts[i]
	name, reason := e.choose(now, r, p, why)
	if reason == api.ReasonNone && !e.spend(now, r, p, why) {
		reason = api.ReasonRetryBudget
	}
	if reason != api.ReasonNone {
		r.extraDenied = reason
		e.counts.Inc(count.RetryDenied, reason)
		return reason
	}
	e.send(now, r, i, name, why)
	return api.ReasonNone
}

// spend charges an extra attempt to the budget and reports whether the budget allowed
// it.
func (e *Engine) spend(now time.Time, r *request, p *part, why purpose) bool {
	if !e.budget(now, p.service).Spend(now, why.budgetShare()) {
		return false
	}
	r.extraAttempts++
	return true
}

// removeAttempt removes an attempt that has ended, whose connection is idle again or
// closed.
func (e *Engine) removeAttempt(id AttemptID) *attempt {
	a := e.attempts[id]
	if a == nil {
		return nil
	}
	delete(e.attempts, id)
	c := e.connections(a.replica)
	if c.used--; c.used == 0 {
		delete(e.overdueReplicas, a.replica)
		e.dropConnections(a.replica)
	}
	if !a.detached {
		p := &a.request.parts[a.part]
		p.inFlight = slices.DeleteFunc(p.inFlight, func(other *attempt) bool { return other == a })
	}
	return a
}

// replied handles a replica's reply.
func (e *Engine) replied(now time.Time, ev *Replied) {
	a := e.removeAttempt(ev.Attempt)
	if a == nil {
		e.counts.Inc(count.Discarded, "late")
		return
	}
	e.recordAnswer(now, a.replica)
	if ev.Reply.Kind != ReplyMisdirected && e.sameProcess(a) {
		e.observeStatus(now, a.replica, a.sentAt, &ev.Reply.Status)
	}
	e.connections(a.replica).backoff = 0
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
	case ReplyRefused:
		outcome = api.TargetShed
	case ReplyMisdirected:
		if e.registry.entries[a.replica] != nil {
			e.removeReplica(now, a.replica, "address_reused")
		}
		return
	}
	e.replicas.Done(now, a.replica, outcome, latency, api.TargetLoad{})
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
	if !safe || r.isolated || !p.mayTryNewReplica(r) && !p.mayRetryFailedReplica(r) || !now.Before(r.deadline) {
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

// lost handles an attempt that ended without an answer.
func (e *Engine) lost(now time.Time, ev Lost) {
	a := e.removeAttempt(ev.Attempt)
	if a == nil {
		return
	}
	switch ev.Loss {
	case LostStale:
		e.replicas.Unsent(a.replica) // says nothing about the replica
		e.recordLostAttempt(now, a, false)
	case LostLimited:
		e.replicas.Unsent(a.replica)
		e.connectionLimitReached(now, a)
	case LostBroken:
		e.replicas.Lost(now, a.replica)
		e.recordLostAttempt(now, a, false)
	case LostRefused:
		e.replicas.Lost(now, a.replica)
		e.replicaCrashed(now, a.replica)
	default:
		e.replicas.Lost(now, a.replica)
	}
	loss := e.countLoss(ev.Loss)
	e.log("attempt_lost", "id", a.request.message.CallerRequest, "replica", a.replica, "service", a.service,
		"loss", loss, "after_ms", now.Sub(a.sentAt).Milliseconds(), "awaited", !a.detached,
		"fingerprint", a.request.message.Fingerprint)
	if !a.detached {
		e.applyLoss(now, a, ev.Loss)
		e.progress(now, a.request)
	}
	e.resume(now, a.service)
}

// countLoss increments the counter of a loss and returns its name for the log.
func (e *Engine) countLoss(l Loss) string {
	switch l {
	case LostRefused:
		e.counts.Inc(count.Connection, "refused")
		return "refused"
	case LostUnsent:
		e.counts.Inc(count.Connection, "unsent")
		return "unsent"
	case LostLimited:
		e.counts.Inc(count.Connection, "limited")
		return "limited"
	case LostStale:
		e.counts.Inc(count.Connection, "stale")
		return "stale"
	case LostOversized:
		e.counts.Inc(count.Connection, "oversized")
		return "oversized"
	}
	e.counts.Inc(count.Connection, "broken")
	return "broken"
}

func (e *Engine) applyLoss(now time.Time, a *attempt, loss Loss) {
	r := a.request
	p := &r.parts[a.part]
	if loss == LostBroken || loss == LostStale || loss == LostOversized {
		r.mayHaveRun = true
		r.brokenAttempts++
		p.failed = append(p.failed, a.replica)
		if r.route.Sharded() && !r.replicaAnswered && r.brokenAttempts > maxRetriesBeforeAnswer && len(p.inFlight) == 0 {
			p.state, r.hasHeldParts = partHeld, true
			return
		}
		e.retryPart(now, r, a.part, api.ReasonConnectionLost)
		return
	}
	if a.repeat {
		e.giveUp(r, p, api.ReasonConnectionLost)
		return
	}
	// Nothing reached the replica, so another one may be tried without charging an extra
	// attempt, and a replica at its connection limit may be tried again later.
	p.sends--
	if loss == LostLimited {
		p.tried = slices.DeleteFunc(p.tried, func(name api.ReplicaName) bool { return name == a.replica })
	}
	if len(p.inFlight) == 0 {
		e.dispatch(now, r, a.part)
	}
}

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
