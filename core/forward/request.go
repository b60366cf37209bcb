package forward

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/routing"
)

const (
	// shortRetryAfter is how long a caller should wait after a refusal for lack of
	// capacity.
	shortRetryAfter = 50 * time.Millisecond
	// longRetryAfter is how long a caller should wait after a refusal for a reason that
	// another node may not have or that may pass after a short time.
	longRetryAfter = 250 * time.Millisecond
)

type partState uint8

const (
	// partHeld is not sent, or not sent again, until another part has been answered.
	partHeld partState = iota
	// partWaiting waits for a replica with capacity.
	partWaiting
	// partRunning has at least one attempt in flight.
	partRunning
	// partAnswered has been answered.
	partAnswered
	// partMissing was given up.
	partMissing
)

// maxRepeats is how many times a part is sent again to replicas that it was sent to
// before.
const maxRepeats = 2

// mayTryNewReplica reports whether the part may be sent to one more replica that it was
// not sent to before.
func (p *part) mayTryNewReplica(r *request) bool { return p.sends < r.maxAttempts }

// mayRetryFailedReplica reports whether the part of a sharded request may be sent again to a replica
// that failed it before. Some part of the request must have been answered: a request
// without any answer may be one that crashes replicas.
func (p *part) mayRetryFailedReplica(r *request) bool {
	return r.route.Sharded() && r.replicaAnswered && p.repeats < maxRepeats && len(p.failed) > 0
}

func (s partState) settled() bool { return s == partAnswered || s == partMissing }

// part is one shard's share of a request, or the whole request of a route to a
// single replica.
type part struct {
	service  api.ServiceName
	state    partState
	inFlight []*attempt
	// tried lists the replicas that the part was sent to. sends is their number without
	// those that the part did not reach.
	tried []api.ReplicaName
	sends int
	// failed lists the tried replicas that the part reached but that returned no result.
	// They may be asked again; repeats counts these attempts.
	failed  []api.ReplicaName
	repeats int
	hedgeAt time.Time
	reply   Reply
	reason  api.Reason
	// delivered is set once the reply was sent to the node that asked for the part.
	delivered bool
}

// request is one request of a caller.
type request struct {
	id      api.RequestID
	message *Message
	route   *routing.Route
	version uint64 // of the configuration
	start   time.Time
	// homeRegions are the regions that the request may reach.
	homeRegions homeRegions
	// deadline is the latest time for the final answer. targetTime is the preferred time, at
	// which an answer may be sent with parts missing.
	deadline   time.Time
	targetTime time.Time
	parts      []part
	answered   int
	// subset is set if the request came from another node. That node then checks the
	// minimum coverage.
	subset *Subset
	// singleAttempt is set while the node that asked for a subset may still ask another node
	// for it. Until then each shard gets one attempt only.
	singleAttempt bool
	// maxAttempts limits the number of replicas that each part is sent to.
	maxAttempts int
	// partialSent is set once the parts answered by the target time were sent to the node
	// that asked for the subset.
	partialSent bool
	// halfAnsweredAt is when half of the parts had been answered.
	halfAnsweredAt time.Time
	// minCoverageAt is when the minimum coverage was reached.
	minCoverageAt time.Time
	missing       int
	// onProbation is set while the request is suspected of crashing replicas: one part is sent
	// once, and the others only after it has been answered.
	onProbation bool
	// replicaAnswered is set once a replica has answered any part.
	replicaAnswered bool
	// brokenAttempts is the number of attempts whose connection ended without an answer
	// after the request was sent.
	brokenAttempts int
	// livenessChecks is the number of lost attempts of this request for which a liveness check
	// of the replica was scheduled. unresolvedLosses is the number of those whose replica may
	// still turn out to have crashed.
	livenessChecks, unresolvedLosses int
	// crashAttributed is set once the crash of a replica was attributed to the request.
	crashAttributed bool
	// mayHaveRun is set once a replica may have started to run the request.
	mayHaveRun    bool
	extraAttempts int
	// extraDenied is the reason why the last denied extra attempt was not sent.
	extraDenied api.Reason
	hedgeAfter  time.Duration
	// hedgeAt is the time at which the first running part is due for a hedge, or an
	// earlier time.
	hedgeAt time.Time
	// hasHeldParts is set once a part is held until another one has been answered.
	hasHeldParts bool
	// errorReply is the last error reply of a replica, except replies whose status promises
	// that the request has not run.
	errorReply *Reply
	wakeAt     time.Time
}

// hasMinCoverage reports whether an answer with the given number of parts is valid, which for a
// sharded route means that it has the minimum coverage.
func (r *request) hasMinCoverage(parts int) bool {
	switch {
	case r.subset != nil:
		return true
	case !r.route.Sharded():
		return parts > 0
	}
	return parts > 0 && float64(parts) >= r.route.MinCoverage*float64(len(r.route.Shards))-1e-9
}

// recordMinCoverage records when the minimum coverage was first reached.
func (r *request) recordMinCoverage(now time.Time, parts int) {
	if r.minCoverageAt.IsZero() && r.hasMinCoverage(parts) {
		r.minCoverageAt = now
	}
}

func (e *Engine) version() uint64 {
	if e.table == nil {
		return 0
	}
	return e.table.Version
}

// progress sends the hedges that are due, ends the request if possible, and sets its
// next timer.
func (e *Engine) progress(now time.Time, r *request) {
	if e.requests[r.id] != r {
		return
	}
	giveUpAt := e.giveUpLateParts(now, r)
	if e.finishIfDue(now, r) {
		return
	}
	if r.subset != nil && !r.partialSent && !now.Before(r.targetTime) {
		e.sendPartial(now, r)
	}
	wake := r.deadline
	if r.targetTime.After(now) && r.targetTime.Before(wake) {
		wake = r.targetTime
	}
	if !r.hedgeAt.IsZero() && !now.Before(r.hedgeAt) {
		r.hedgeAt = e.hedge(now, r)
	}
	wake = earliest(earliest(wake, giveUpAt), r.hedgeAt)
	if r.wakeAt.IsZero() || wake.Before(r.wakeAt) {
		r.wakeAt = wake
		e.timers.Add(wake, timer{request: r.id})
	}
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// hedge sends a second attempt for each part whose only attempt is slow, if the request
// may run more than once. It returns when the next part is due for a hedge.
func (e *Engine) hedge(now time.Time, r *request) time.Time {
	var next time.Time
	for i := range r.parts {
		p := &r.parts[i]
		if p.state != partRunning || len(p.inFlight) == 0 {
			continue
		}
		if now.Before(p.hedgeAt) {
			next = earliest(next, p.hedgeAt)
			continue
		}
		e.markOverdue(p)
		if r.singleAttempt || !r.route.Idempotent || r.onProbation || len(p.inFlight) != 1 || p.sends >= r.maxAttempts {
			continue
		}
		if at := e.remoteHedgeAt(r, p); now.Before(at) {
			p.hedgeAt = at
			next = earliest(next, at)
			continue
		}
		if e.sendExtra(now, r, i, hedgeAttempt) == api.ReasonNone {
			e.counts.Inc(count.Hedged, "slow")
			continue
		}
		p.hedgeAt = now.Add(max(r.hedgeAfter, time.Millisecond))
		next = earliest(next, p.hedgeAt)
	}
	return next
}

// extraAttemptsAllowed allows more than one attempt for each part of a subset.
func (e *Engine) extraAttemptsAllowed(now time.Time, id api.RequestID) {
	r := e.requests[id]
	if r == nil || !r.singleAttempt {
		return
	}
	r.singleAttempt = false
	r.hedgeAt = now // hedges may be due by now
	for i := range r.parts {
		if p := &r.parts[i]; p.state == partWaiting {
			e.resume(now, p.service)
		}
	}
	e.progress(now, r)
}

// finishIfDue ends a request that has its answer, can no longer get one, or has run out
// of time. It reports whether the request has ended.
func (e *Engine) finishIfDue(now time.Time, r *request) bool {
	e.giveUpHeldParts(r)
	open := len(r.parts) - r.answered - r.missing
	switch {
	case open == 0:
		e.finish(now, r, r.missingReason())
	case !r.hasMinCoverage(r.answered + open):
		e.finish(now, r, r.missingReason())
	case !now.Before(r.deadline):
		e.finish(now, r, api.ReasonDeadline)
	case r.subset == nil && !now.Before(r.targetTime) && r.answered > 0 && r.hasMinCoverage(r.answered):
		e.finish(now, r, api.ReasonEarlyReturn)
	default:
		return false
	}
	return true
}

// giveUpHeldParts gives up the parts that are held until another part is answered, if no
// other part can be answered any more.
func (e *Engine) giveUpHeldParts(r *request) {
	if !r.hasHeldParts {
		return
	}
	for i := range r.parts {
		if s := r.parts[i].state; s == partRunning || s == partWaiting {
			return
		}
	}
	for i := range r.parts {
		if p := &r.parts[i]; p.state == partHeld {
			e.giveUp(r, p, api.ReasonCrashed)
		}
	}
}

// callerGone ends a request whose caller no longer waits.
func (e *Engine) callerGone(now time.Time, id api.RequestID) {
	if d := e.divided[id]; d != nil {
		e.dividedCallerGone(now, d)
		return
	}
	if w := e.quotas.waiting[id]; w != nil {
		e.awaitingCallerGone(now, w)
		return
	}
	r := e.requests[id]
	if r == nil {
		return
	}
	delete(e.requests, id)
	for i := range r.parts {
		// Another node that no longer needs the rest of a subset usually has its answer,
		// so the attempts of a subset may finish.
		e.releaseAttempts(now, r, &r.parts[i], r.subset == nil)
	}
	e.endProbation(now, r)
	e.counts.Inc(count.SearchEnded, api.ReasonCallerGone)
	e.log("request_abandoned", "id", r.message.CallerRequest, "route", r.route.Name,
		"after_ms", now.Sub(r.start).Milliseconds(), "covered", r.answered)
}
