package forward

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/retry"
	"github.com/baobabsail/baobabsail/core/routing"
)

const (
	// hedgeQuantile is the latency quantile after which a hedge is sent: this share of
	// attempts has ended by then.
	hedgeQuantile = 0.93
	// defaultTimeout applies to a route that configures no timeout.
	defaultTimeout = 30 * time.Second
	// minAnswerMargin plus target/answerMarginDivisor is reserved before the target time
	// for building and sending an answer on a busy VM, in addition to its transit time.
	minAnswerMargin     = 4 * time.Millisecond
	answerMarginDivisor = 20
	// Once minLagSamples delays between the target time and the actual sending have been
	// measured, their lagQuantile is reserved instead if it is larger, up to
	// target/maxLagMarginDivisor.
	lagQuantile         = 0.9
	minLagSamples       = 20
	maxLagMarginDivisor = 3
	// maxHedgeDivisor limits the hedge delay to this fraction of the time to the target,
	// so that the second attempt has at least twice as long as the first one had.
	maxHedgeDivisor = 3
)

// arrived validates a request and starts or refuses it.
func (e *Engine) arrived(now time.Time, ev Arrived) {
	if e.table == nil {
		e.refuse(now, ev, nil, api.ReasonNoConfiguration, longRetryAfter)
		return
	}
	if ev.ping() {
		e.answerPing(now, ev)
		return
	}
	route := e.table.Match(ev.Message.Host, ev.Message.Path)
	if route == nil {
		e.refuse(now, ev, nil, api.ReasonUnknownRoute, 0)
		return
	}
	if ev.Subset != nil && !(route.Sharded() && e.knowsShards(ev.Subset)) {
		e.refuse(now, ev, route, api.ReasonWrongEpoch, 0)
		return
	}
	if e.keysOutdated(now, ev) {
		e.refuse(now, ev, route, api.ReasonKeysOutdated, longRetryAfter)
		return
	}
	if !e.identify(ev, route) {
		e.refuse(now, ev, route, api.ReasonUnknownKey, 0)
		return
	}
	e.identified(now, ev, route)
}

// identified starts or refuses a request whose route and account are known.
func (e *Engine) identified(now time.Time, ev Arrived, route *routing.Route) {
	r := e.newRequest(now, ev, route)
	if !now.Before(r.deadline) {
		e.refuse(now, ev, route, api.ReasonDeadline, 0)
		return
	}
	if e.tooLateToSend(now, r) {
		e.refuse(now, ev, route, api.ReasonShuttingDown, e.shutdownRetryAfter(now))
		return
	}
	if reason := e.unservableReason(r); reason != api.ReasonNone {
		e.refuse(now, ev, route, reason, longRetryAfter)
		return
	}
	if e.sharesFairly() {
		e.sharesOf(r).arrived(now, r.message.Account, r.message.AccountPriority)
	}
	if ev.Subset == nil && e.admissionDenied(now, r) {
		e.refuse(now, ev, route, api.ReasonOverloaded, overloadRetryAfter(e.rng))
		return
	}
	probation, ok := e.admit(now, ev, r)
	if !ok {
		return
	}
	r.onProbation, r.hasHeldParts = probation, probation
	if q, ok := e.quotaFor(r); ok {
		if e.isLateRetry(now, r, ev) {
			e.endProbation(now, r)
			e.refuse(now, ev, route, api.ReasonOverQuota, lateRetryAfter)
			return
		}
		e.awaitAdmission(now, r, ev, q)
		return
	}
	e.run(now, r)
}

// run starts a request that has passed all checks.
func (e *Engine) run(now time.Time, r *request) {
	if r.subset == nil {
		e.countAdmitted(r.message)
	}
	fair := e.sharesFairly()
	if fair {
		e.sharesOf(r).offered(now, r.message.Account)
	}
	if groups := e.groupCount(r.route); groups > 1 && !r.onProbation && r.subset == nil {
		if fair { // its ranges wait at the nodes that run them
			e.sharesOf(r).started(now, r.message.Account, 1)
		}
		e.divide(now, r, groups)
		return
	}
	e.requests[r.id] = r
	e.start(now, r)
	e.progress(now, r)
}

// start sends all parts of a request, or only the first one if the request runs on
// probation.
func (e *Engine) start(now time.Time, r *request) {
	repeat := r.subset != nil && r.subset.PriorAttempts > 0
	r.singleAttempt = r.subset != nil
	for i := range r.parts {
		if repeat {
			r.parts[i].sends = r.subset.PriorAttempts
			e.retryPart(now, r, i, api.ReasonConnectionLost)
			continue
		}
		e.budget(now, r.parts[i].service).Earn(now)
		if i == 0 || !r.onProbation {
			e.dispatch(now, r, i)
		}
	}
}

// newRequest creates a request with its deadline, target time and parts.
func (e *Engine) newRequest(now time.Time, ev Arrived, route *routing.Route) *request {
	r := e.prepareRequest(now, ev, route)
	if !route.Sharded() {
		r.parts = []part{{service: e.splitter.Choose(route)}}
	}
	return r
}

// prepareRequest creates a request like newRequest, without the part of a route that is not
// sharded.
func (e *Engine) prepareRequest(now time.Time, ev Arrived, route *routing.Route) *request {
	r := &request{
		id: ev.Request, message: ev.Message, route: route, version: e.table.Version, start: now, subset: ev.Subset,
		maxAttempts: route.MaxAttempts, homeRegions: e.homeRegionsOf(ev, route),
	}
	if ev.Subset != nil {
		r.maxAttempts = ev.Subset.MaxAttempts
		r.deadline, r.targetTime = now.Add(ev.CallerTimeout), now.Add(ev.Target)
	} else {
		e.setTimes(r, ev)
	}
	left := r.targetTime.Sub(now)
	if left < maxHedgeDivisor*retry.DefaultFloor {
		left = r.deadline.Sub(now) // the target cannot be met
	}
	r.hedgeAfter = min(e.delays.Hedge(delayKey(route), left), max(left/maxHedgeDivisor, retry.DefaultFloor))
	if route.Sharded() {
		shards := route.Shards
		if ev.Subset != nil {
			shards = ev.Subset.Shards
		}
		r.parts = make([]part, len(shards))
		for i, service := range shards {
			r.parts[i].service = service
		}
	}
	return r
}

// setTimes computes the deadline and target time of a request from a caller.
func (e *Engine) setTimes(r *request, ev Arrived) {
	timeout := r.route.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	r.deadline = r.start.Add(timeout)
	if ev.CallerTimeout != 0 {
		callerDeadline := r.start.Add(ev.CallerTimeout - ev.Transit - minAnswerMargin)
		if callerDeadline.Before(r.deadline) {
			r.deadline = callerDeadline
		}
	}
	r.targetTime = r.deadline
	if r.route.TargetLatency > 0 {
		r.targetTime = r.start.Add(r.route.TargetLatency - ev.Transit - e.answerMargin(r.route.TargetLatency))
	}
}

// answerMargin returns the time reserved for sending an answer at the target time: a
// fixed margin, or a larger one if this VM has been measured to need it.
func (e *Engine) answerMargin(target time.Duration) time.Duration {
	margin := minAnswerMargin + target/answerMarginDivisor
	if e.sendDelay.Count() < minLagSamples {
		return margin
	}
	return min(max(margin, e.sendDelay.Value(lagQuantile)+minAnswerMargin/2), max(target/maxLagMarginDivisor, margin))
}

// delayKey returns the key under which the latencies of a route are recorded. All
// shards of a route share one key because they do the same work.
func delayKey(route *routing.Route) api.ServiceName { return api.ServiceName(route.Name) }

// unservableReason returns why too few services of a request have a replica that may get it, or
// ReasonNone. The reason is ReasonEvacuated if there would be enough without evacuations, and
// ReasonOutsideRegion if there would be without home regions.
func (e *Engine) unservableReason(r *request) api.Reason {
	available, evacuated, outside := 0, 0, 0
	for i := range r.parts {
		switch e.unavailableReason(r.homeRegions, r.parts[i].service) {
		case api.ReasonNone:
			available++
		case api.ReasonEvacuated:
			evacuated++
		case api.ReasonOutsideRegion:
			outside++
		}
	}
	enough := func(parts int) bool { return parts > 0 && r.hasMinCoverage(parts) }
	switch {
	case enough(available):
		return api.ReasonNone
	case enough(available + evacuated):
		return api.ReasonEvacuated
	case enough(available + evacuated + outside):
		return api.ReasonOutsideRegion
	}
	return api.ReasonNoReplica
}

// unavailableReason returns ReasonNone if a service has a replica that is not draining and may
// get requests with the given home regions, and otherwise why it has none.
func (e *Engine) unavailableReason(allowed homeRegions, service api.ServiceName) api.Reason {
	reason := api.ReasonNoReplica
	for _, name := range e.registry.byService[service] {
		entry := e.registry.entries[name]
		switch {
		case entry.draining():
		case !e.mayReach(allowed, entry.DataCentre):
			if reason == api.ReasonNoReplica {
				reason = api.ReasonOutsideRegion
			}
		case e.evacuated(entry):
			reason = api.ReasonEvacuated
		default:
			return api.ReasonNone
		}
	}
	return reason
}
