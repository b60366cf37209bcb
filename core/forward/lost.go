package forward

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// Names of the ways in which an attempt is lost, as counted and logged.
const (
	lossRefused   api.Reason = "refused"
	lossUnsent    api.Reason = "unsent"
	lossBroken    api.Reason = "broken"
	lossLimited   api.Reason = "limited"
	lossStale     api.Reason = "stale"
	lossOversized api.Reason = "oversized"
)

var lossNames = map[Loss]api.Reason{
	LostRefused: lossRefused, LostUnsent: lossUnsent, LostBroken: lossBroken,
	LostLimited: lossLimited, LostStale: lossStale, LostOversized: lossOversized,
}

// lost handles an attempt that ended without an answer.
func (e *Engine) lost(now time.Time, ev Lost) {
	a := e.removeAttempt(ev.Attempt)
	if a == nil {
		return
	}
	switch ev.Loss {
	case LostStale:
		e.replicas.Unsent(a.replica) // says nothing about the replica's health
		e.suspectCold(now, a.replica)
		e.recordLostAttempt(now, a, false)
	case LostLimited:
		e.replicas.Unsent(a.replica)
		e.connectionLimitReached(now, a)
	case LostBroken:
		e.replicas.Lost(now, a.replica)
		e.suspectCold(now, a.replica)
		e.recordLostAttempt(now, a, false)
	case LostRefused:
		e.replicas.Lost(now, a.replica)
		e.replicaRefused(now, a.replica)
		e.replicaCrashed(now, a.replica)
	default:
		e.replicas.Lost(now, a.replica)
	}
	loss := lossNames[ev.Loss]
	e.counts.Inc(count.Connection, loss)
	e.log("attempt_lost", "id", a.request.message.CallerRequest, "replica", a.replica, "service", a.service,
		"loss", loss, "after_ms", now.Sub(a.sentAt).Milliseconds(), "awaited", !a.detached,
		"fingerprint", a.request.message.Fingerprint)
	if !a.detached {
		e.applyLoss(now, a, ev.Loss)
		e.progress(now, a.request)
	}
	e.resume(now, a.service)
}

// applyLoss applies a lost attempt to its part, which is sent again if that is safe.
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
