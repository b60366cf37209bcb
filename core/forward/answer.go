package forward

import (
	"math"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/routing"
)

// finish ends a request and delivers its answer. Attempts still in flight may run
// to completion for a while if their replica is likely to finish soon, because that
// costs the replica less than a new connection.
func (e *Engine) finish(now time.Time, r *request, reason api.Reason) {
	delete(e.requests, r.id)
	e.observeLoad(now, r)
	answer := e.answer(now, r, reason)
	for i := range r.parts {
		e.releaseAttempts(now, r, &r.parts[i], reason == api.ReasonDeadline)
	}
	e.endProbation(now, r) // unless an attempt that was cancelled may have crashed its replica
	e.deliver(now, answer)
	if answer.Outcome == api.NotRun {
		e.countRefused(r.message, r.subset != nil, reason)
	}
	e.counts.Inc(count.SearchEnded, api.Reason(answer.Outcome.String()))
	e.countLate(now, r, &answer)
	e.logEnd(now, r, &answer)
}

// logEnd writes the log line of a finished request.
func (e *Engine) logEnd(now time.Time, r *request, a *Answer) {
	e.log("request_ended", "id", r.message.CallerRequest, "route", r.route.Name, "version", r.version,
		"outcome", a.Outcome, "reason", a.Reason, "took_ms", now.Sub(r.start).Milliseconds(),
		"parts", len(r.parts), "covered", r.answered, "missing", r.missingServices(),
		"max_attempts", r.maxAttempts, "idempotent", r.route.Idempotent,
		"extra_attempts", r.extraAttempts, "denied", r.extraDenied, "hedge_after_ms", r.hedgeAfter.Milliseconds())
}

// lateTolerance is how long after the target time an answer that is due then may be
// built without being counted as late.
const lateTolerance = time.Millisecond

// countLate counts the answer of a sharded request that was built after its target
// time, either because too few parts had arrived ("parts") or because this node was
// busy ("node").
func (e *Engine) countLate(now time.Time, r *request, a *Answer) {
	if r.subset == nil && a.Merged != nil && now.After(r.targetTime.Add(lateTolerance)) {
		if r.minCoverageAt.After(r.targetTime) {
			e.counts.Inc(count.Late, "parts")
		} else {
			e.counts.Inc(count.Late, "node")
		}
	}
}

// missingServices returns, for the log, the services that have no answer, the reason
// for each, and the replicas that were tried.
func (r *request) missingServices() string {
	out := ""
	for i := range r.parts {
		p := &r.parts[i]
		if p.state == partAnswered {
			continue
		}
		if out != "" {
			out += " "
		}
		out += string(p.service) + ":" + string(p.reason)
		for _, name := range p.tried {
			out += "/" + string(name)
		}
	}
	return out
}

// sendPartial sends the parts answered by the target time to the node that requested this
// range. The remaining parts follow in the final answer.
func (e *Engine) sendPartial(now time.Time, r *request) {
	r.partialSent = true
	e.deliver(now, Answer{Request: r.id, Route: r.route.Name, Outcome: api.Answered, Merged: r.mergeUnsent(), More: true})
}

// answer builds the final answer.
func (e *Engine) answer(now time.Time, r *request, reason api.Reason) Answer {
	a := Answer{Request: r.id, Route: r.route.Name, Reason: reason}
	switch {
	case r.route.Sharded() && r.hasMinCoverage(r.answered):
		a.Outcome = api.Answered
		a.Merged = r.mergeUnsent()
		if reason == api.ReasonEarlyReturn {
			a.TargetTime = r.targetTime
		}
	case !r.route.Sharded() && r.answered == 1:
		a.Outcome = api.Answered
		a.Reply = &r.parts[0].reply
	case !r.route.Sharded() && r.errorReply != nil:
		a.Outcome = api.Failed
		a.Reply = r.errorReply
	case !r.ranAnywhere():
		a.Outcome = api.NotRun
		a.RetryAfter = e.retryAfter(now, reason)
	case r.errorReply != nil:
		a.Outcome = api.Failed
	default:
		a.Outcome = api.Unknown
	}
	return a
}

// ranAnywhere reports whether a replica may have run the request or may still run it.
func (r *request) ranAnywhere() bool {
	if r.mayHaveRun {
		return true
	}
	for i := range r.parts {
		if len(r.parts[i].inFlight) > 0 {
			return true
		}
	}
	return false
}

// retryAfter returns how long a refused caller should wait before it tries again.
func (e *Engine) retryAfter(now time.Time, reason api.Reason) time.Duration {
	switch reason {
	case api.ReasonShed, api.ReasonOverloaded:
		return shortRetryAfter
	case api.ReasonShuttingDown:
		return e.shutdownRetryAfter(now)
	}
	return longRetryAfter
}

// mergeUnsent merges the answered parts that have not been sent yet and marks them as sent.
func (r *request) mergeUnsent() *Merged {
	m := &Merged{Missing: len(r.parts) - r.answered, MayHaveRun: r.ranAnywhere()}
	if !r.halfAnsweredAt.IsZero() {
		m.HalfAnsweredAfter = r.halfAnsweredAt.Sub(r.start)
	}
	bodies := make([][]byte, 0, r.answered)
	for i := range r.parts {
		if p := &r.parts[i]; p.state == partAnswered && !p.delivered {
			p.delivered = true
			m.Proofs = append(m.Proofs, p.reply.Proof)
			bodies = append(bodies, p.reply.Body)
		}
	}
	m.Rule = r.mergeRule()
	m.Body = mergeRecords(m.Rule, bodies)
	return m
}

// mergeRule returns how the records of the request are merged. The rule of a range is that of the
// node that asks for it, whose configuration may be newer. A node of a version that names no rule
// gets all records, since it merges them once more.
func (r *request) mergeRule() routing.Merge {
	switch {
	case r.subset == nil:
		return r.route.Merge
	case r.subset.Merge.Known():
		return r.subset.Merge
	}
	return routing.Merge{RecordBytes: r.route.Merge.RecordBytes, Records: math.MaxInt}
}

// missingReason returns why a part is missing, or ReasonNone if no part is.
func (r *request) missingReason() api.Reason {
	for i := range r.parts {
		if r.parts[i].state == partMissing {
			return r.parts[i].reason
		}
	}
	return api.ReasonNone
}

// refuse answers a request that was not started.
func (e *Engine) refuse(now time.Time, ev Arrived, route *routing.Route, reason api.Reason, retryAfter time.Duration) {
	e.countRefused(ev.Message, ev.Subset != nil, reason)
	name := ""
	if route != nil {
		name = route.Name
	}
	fields := []any{"id", ev.Message.CallerRequest, "route", name, "path", ev.Message.Path,
		"version", e.version(), "reason", reason, "patience_ms", ev.CallerTimeout.Milliseconds(),
		"fingerprint", ev.Message.Fingerprint}
	if ev.Message.Account != "" {
		fields = append(fields, "account", ev.Message.Account)
	}
	e.log("request_refused", fields...)
	e.deliver(now, Answer{Request: ev.Request, Route: name, Outcome: api.NotRun, Reason: reason, RetryAfter: retryAfter})
}
