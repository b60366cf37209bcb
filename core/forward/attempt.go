package forward

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

const (
	// stallFactor times the hedge delay is how long an attempt that nobody waits
	// for may go on; afterwards its connection is closed.
	stallFactor = 6
	// stallLeast keeps a replica that pauses for a moment from losing its
	// connections.
	stallLeast = 250 * time.Millisecond
)

// attempt is one sending of a part.
type attempt struct {
	id      AttemptID
	request *request
	part    int
	service api.ServiceName
	replica api.ReplicaName
	sentAt  time.Time
	// repeat is set if the replica had the part before.
	repeat bool
	// born identifies the process of the replica that it was sent to.
	born int64
	// dialing is set until its connection is open.
	dialing bool
	// unanswering is set if the replica did not answer others when it was sent.
	unanswering bool
	// detached is set once nobody waits for the answer.
	detached bool
	// watched is set once a timer looks at it, doubted once it counts as lost.
	watched, doubted bool
}

// dispatch sends a part for the first time, or again after an attempt that
// never reached a replica.
func (e *Engine) dispatch(now time.Time, r *request, i int) {
	p := &r.parts[i]
	if !now.Before(r.deadline) {
		e.giveUp(r, p, api.ReasonDeadline)
		return
	}
	name, reason := e.choose(now, r, p, first)
	switch reason {
	case api.ReasonNone:
		e.send(now, r, i, name)
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

// send hands a part to a replica.
func (e *Engine) send(now time.Time, r *request, i int, name api.ReplicaName) {
	p := &r.parts[i]
	e.newest++
	entry := e.registry.entries[name]
	a := &attempt{id: e.newest, request: r, part: i, service: p.service, replica: name, sentAt: now, born: entry.Born}
	e.attempts[a.id] = a
	p.state = partRunning
	p.live = append(p.live, a)
	if a.repeat = slices.Contains(p.tried, name); a.repeat {
		p.repeats++
	} else {
		p.tried = append(p.tried, name)
		p.sends++
	}
	p.hedgeAt = now.Add(r.hedgeAfter)
	r.hedgeAt = earliest(r.hedgeAt, p.hedgeAt)
	// A request alone is written only once the replica has accepted a connection for it.
	a.unanswering = !r.alone && e.notAnswering(name)
	c := e.connections(name)
	a.dialing = r.alone || c.used >= c.open
	c.used++
	e.replicas.Sent(now, name)
	e.counts.Inc(count.Sent, "")
	if r.alone {
		e.quarantine.Placed(now, r.message.Fingerprint, name)
	}
	e.act(Send{
		Attempt: a.id, Message: r.message, Replica: name, Address: entry.Address,
		Brief: entry.rank > e.preferredRank(p.service), Fresh: r.alone, Left: r.deadline.Sub(now),
	})
}

// sendExtra sends another attempt of a part if the budget allows it and a
// replica has room, or returns why not.
func (e *Engine) sendExtra(now time.Time, r *request, i int, why purpose) api.Reason {
	p := &r.parts[i]
	name, reason := e.choose(now, r, p, why)
	if reason == api.ReasonNone && !e.spend(now, r, p, why) {
		reason = api.ReasonBudget
	}
	if reason != api.ReasonNone {
		r.denied = reason
		e.counts.Inc(count.RetryDenied, reason)
		return reason
	}
	e.send(now, r, i, name)
	return api.ReasonNone
}

// spend takes an extra attempt from the budget.
func (e *Engine) spend(now time.Time, r *request, p *part, why purpose) bool {
	if !e.budget(now, p.service).Spend(now, why.budgetPart()) {
		return false
	}
	r.extras++
	return true
}

// take ends an attempt: its connection is free again or closed.
func (e *Engine) take(id AttemptID) *attempt {
	a := e.attempts[id]
	if a == nil {
		return nil
	}
	delete(e.attempts, id)
	c := e.connections(a.replica)
	if c.used--; c.used == 0 {
		delete(e.quiet, a.replica)
		e.dropConnections(a.replica)
	}
	if !a.detached {
		p := &a.request.parts[a.part]
		p.live = slices.DeleteFunc(p.live, func(other *attempt) bool { return other == a })
	}
	return a
}

// replied handles a replica's answer.
func (e *Engine) replied(now time.Time, ev *Replied) {
	a := e.take(ev.Attempt)
	if a == nil {
		e.counts.Inc(count.Discarded, "late")
		return
	}
	e.heard(now, a.replica)
	e.connections(a.replica).wait = 0
	e.learn(now, a, ev.Reply.Kind)
	if !a.detached {
		e.settle(now, a, &ev.Reply)
		e.progress(now, a.request)
	}
	e.resume(now, a.service)
}

// learn updates what is known of the replica.
func (e *Engine) learn(now time.Time, a *attempt, kind ReplyKind) {
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

// settle applies an answer to its part.
func (e *Engine) settle(now time.Time, a *attempt, reply *Reply) {
	r := a.request
	p := &r.parts[a.part]
	switch reply.Kind {
	case ReplyOK:
		p.state, p.reply = partCovered, *reply
		r.covered++
		if r.halfAt.IsZero() && 2*r.covered >= len(r.parts) {
			r.halfAt = now
		}
		r.noteEnough(now, r.covered)
		r.mayHaveRun = true
		e.release(now, r, p, false)
		e.survived(now, r)
		e.releaseHeld(now, r)
	case ReplyError:
		r.mayHaveRun = true
		if !reply.PromisesNotRun {
			r.failure = reply
		}
		e.survived(now, r)
		p.failed = append(p.failed, a.replica)
		e.again(now, r, a.part, api.ReasonFailed)
	case ReplyRefused:
		e.again(now, r, a.part, api.ReasonShed)
	case ReplyMisdirected:
		e.again(now, r, a.part, api.ReasonNoReplica)
	default:
		r.mayHaveRun = true
		p.failed = append(p.failed, a.replica)
		e.again(now, r, a.part, api.ReasonMismatched)
	}
}

// again sends a part once more after a failed attempt, if that is safe and
// within its bounds, or gives it up.
func (e *Engine) again(now time.Time, r *request, i int, reason api.Reason) {
	p := &r.parts[i]
	ended := e.requests[r.id] != r // what an answer set free may have ended the request
	if ended || p.state.settled() || len(p.live) > 0 {
		return
	}
	safe := r.route.Idempotent || !r.mayHaveRun
	if !safe || r.alone || !p.mayMove(r) && !p.mayRepeat(r) || !now.Before(r.deadline) {
		e.giveUp(r, p, reason)
		return
	}
	if r.uncleared && len(p.tried) > 0 {
		e.enqueue(r, i, true)
		return
	}
	switch denied := e.sendExtra(now, r, i, replacing); denied {
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
	a := e.take(ev.Attempt)
	if a == nil {
		return
	}
	switch ev.Loss {
	case LostStale:
		e.replicas.Unsent(a.replica) // says nothing about the replica
		e.lostOn(now, a, false)
	case LostLimited:
		e.replicas.Unsent(a.replica)
		e.limited(now, a)
	case LostBroken:
		e.replicas.Lost(now, a.replica)
		e.lostOn(now, a, false)
	case LostRefused:
		e.replicas.Lost(now, a.replica)
		e.crashed(now, a.replica)
	default:
		e.replicas.Lost(now, a.replica)
	}
	loss := e.countLoss(ev.Loss)
	e.log("attempt_lost", "id", a.request.message.CallerRequest, "replica", a.replica, "service", a.service,
		"loss", loss, "after_ms", now.Sub(a.sentAt).Milliseconds(), "awaited", !a.detached,
		"fingerprint", a.request.message.Fingerprint)
	if !a.detached {
		e.settleLoss(now, a, ev.Loss)
		e.progress(now, a.request)
	}
	e.resume(now, a.service)
}

// countLoss counts a loss and returns its name for the log.
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
	}
	e.counts.Inc(count.Connection, "broken")
	return "broken"
}

func (e *Engine) settleLoss(now time.Time, a *attempt, loss Loss) {
	r := a.request
	p := &r.parts[a.part]
	if loss == LostBroken || loss == LostStale {
		r.mayHaveRun = true
		r.lost++
		p.failed = append(p.failed, a.replica)
		if r.route.Sharded() && !r.survived && r.lost > freeRetries && len(p.live) == 0 {
			p.state, r.holds = partHeld, true
			return
		}
		e.again(now, r, a.part, api.ReasonConnectionLost)
		return
	}
	if a.repeat {
		e.giveUp(r, p, api.ReasonConnectionLost)
		return
	}
	// Nothing arrived at the replica, so that another one may be tried without
	// an extra attempt being spent, and a full one later.
	p.sends--
	if loss == LostLimited {
		p.tried = slices.DeleteFunc(p.tried, func(name api.ReplicaName) bool { return name == a.replica })
	}
	if len(p.live) == 0 {
		e.dispatch(now, r, a.part)
	}
}

// release ends the interest in the attempts of a part. They are cancelled at
// once, or else later if they stall. Parts that wait take the room of cancelled
// ones.
func (e *Engine) release(now time.Time, r *request, p *part, cancel bool) {
	live := slices.Clone(p.live)
	for _, a := range live {
		if cancel {
			e.cancel(now, a)
			continue
		}
		a.detached = true
		e.timers.Set(a.sentAt.Add(r.stallTime()), timer{attempt: a.id})
	}
	p.live = nil
	if cancel && len(live) > 0 {
		e.resume(now, p.service)
	}
}

// stallTime is how long an attempt may go on without a sign of its replica.
func (r *request) stallTime() time.Duration {
	return max(stallFactor*r.hedgeAfter, stallLeast)
}

// cancel gives up an attempt whose caller is gone or has its final answer.
func (e *Engine) cancel(now time.Time, a *attempt) {
	e.take(a.id)
	if now.Sub(a.sentAt) >= a.request.stallTime() {
		e.noAnswer(now, a)
	} else {
		if !now.Before(a.request.deadline) {
			e.silentOn(now, a)
		}
		e.replicas.Cancelled(now, a.replica, now.Sub(a.sentAt))
	}
	e.act(Cancel{Attempt: a.id})
}

// stalled handles an attempt that goes on for long: it may have ended its replica's
// process. It is given up if nobody waits for it.
func (e *Engine) stalled(now time.Time, id AttemptID) {
	a := e.attempts[id]
	switch {
	case a == nil:
		return
	case !a.detached:
		e.silentOn(now, a)
		return
	}
	e.take(id)
	e.noAnswer(now, a)
	// Idle connections may have gone silent for the same reason.
	e.act(Cancel{Attempt: id})
	e.act(CloseIdle{Replica: a.replica})
	e.resume(now, a.service)
}

// noAnswer handles an attempt that went on for longer than it should. Its
// replica is silent if it has answered nothing else since.
func (e *Engine) noAnswer(now time.Time, a *attempt) {
	e.replicas.Lost(now, a.replica)
	e.silentOn(now, a)
	if !e.heardSince(a) && e.registry.entries[a.replica] != nil {
		e.silent[a.replica] = true
		e.replicas.MarkSuspect(now, a.replica)
	}
	e.counts.Inc(count.Discarded, "stalled")
	e.log("attempt_stalled", "id", a.request.message.CallerRequest, "replica", a.replica, "service", a.service,
		"after_ms", now.Sub(a.sentAt).Milliseconds(), "fingerprint", a.request.message.Fingerprint)
}
