package forward

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/retry"
	"github.com/baobabsail/baobabsail/core/routing"
)

const (
	// hedgeQuantile is the share of attempts that end before a hedge is due.
	hedgeQuantile = 0.93
	// longestTimeout applies to a route without a timeout.
	longestTimeout = 30 * time.Second
	// answerMargin and one answerMarginPart of the target time are kept for
	// building and sending an answer on a busy VM, besides the time that it travels.
	answerMargin     = 4 * time.Millisecond
	answerMarginPart = 20
	// lagQuantile of the lags is kept instead if it is more, from lagSamples on,
	// up to one lagDivisor of the target time.
	lagQuantile = 0.9
	lagSamples  = 20
	lagDivisor  = 3
	// hedgeDivisor caps the hedge delay at this part of the target time, so that
	// the second attempt has at least twice as long as the first one had.
	hedgeDivisor = 3
)

// arrived checks a request and starts it, or refuses it.
func (e *Engine) arrived(now time.Time, ev Arrived) {
	if e.table == nil {
		e.refuse(now, ev, nil, api.ReasonNoConfiguration, comeBackLater)
		return
	}
	if ev.ping() {
		e.pinged(now, ev)
		return
	}
	route := e.table.Match(ev.Message.Host, ev.Message.Path)
	if route == nil {
		e.refuse(now, ev, nil, api.ReasonUnknownRoute, 0)
		return
	}
	if ev.Subset != nil && !(route.Sharded() && e.knows(ev.Subset)) {
		e.refuse(now, ev, route, api.ReasonWrongEpoch, 0)
		return
	}
	r := e.newRequest(now, ev, route)
	if !now.Before(r.deadline) {
		e.refuse(now, ev, route, api.ReasonDeadline, 0)
		return
	}
	if reason := e.unservable(r); reason != api.ReasonNone {
		e.refuse(now, ev, route, reason, comeBackLater)
		return
	}
	if ev.Subset == nil && e.overloadRefuses(now, route) {
		e.refuse(now, ev, route, api.ReasonOverloaded, comeBack(e.rng))
		return
	}
	alone, ok := e.admit(now, ev, r)
	if !ok {
		return
	}
	if groups := e.groupCount(route); groups > 1 && !alone && ev.Subset == nil {
		e.divide(now, r, groups)
		return
	}
	e.requests[r.id] = r
	r.alone, r.holds = alone, alone
	e.start(now, r)
	e.progress(now, r)
}

// start sends the parts of a request, or only the first one if it runs alone.
func (e *Engine) start(now time.Time, r *request) {
	repeat := r.subset != nil && r.subset.Used > 0
	r.uncleared = r.subset != nil
	for i := range r.parts {
		if repeat {
			r.parts[i].sends = r.subset.Used
			e.again(now, r, i, api.ReasonConnectionLost)
			continue
		}
		e.budget(now, r.parts[i].service).Earn(now)
		if i == 0 || !r.alone {
			e.dispatch(now, r, i)
		}
	}
}

// newRequest returns a request with its times and parts.
func (e *Engine) newRequest(now time.Time, ev Arrived, route *routing.Route) *request {
	r := &request{
		id: ev.Request, message: ev.Message, route: route, version: e.table.Version, start: now, subset: ev.Subset,
		maxAttempts: route.MaxAttempts,
	}
	if ev.Subset != nil {
		r.maxAttempts = ev.Subset.MaxAttempts
		r.deadline, r.target = now.Add(ev.Patience), now.Add(ev.Target)
	} else {
		e.setTimes(r, ev)
	}
	left := r.target.Sub(now)
	if left < hedgeDivisor*retry.DefaultFloor {
		left = r.deadline.Sub(now) // the target cannot be met
	}
	r.hedgeAfter = min(e.delays.Hedge(delayKey(route), left), max(left/hedgeDivisor, retry.DefaultFloor))
	if !route.Sharded() {
		r.parts = []part{{service: e.splitter.Choose(route)}}
	} else {
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

// setTimes derives deadline and target of a caller's request.
func (e *Engine) setTimes(r *request, ev Arrived) {
	timeout := r.route.Timeout
	if timeout == 0 {
		timeout = longestTimeout
	}
	r.deadline = r.start.Add(timeout)
	if ev.Patience != 0 {
		patience := r.start.Add(ev.Patience - ev.Transit - answerMargin)
		if patience.Before(r.deadline) {
			r.deadline = patience
		}
	}
	r.target = r.deadline
	if r.route.Target > 0 {
		r.target = r.start.Add(r.route.Target - ev.Transit - e.answerMargin(r.route.Target))
	}
}

// answerMargin returns the time kept for sending an answer at the target time:
// a fixed part, or more on a VM that has been seen to need more.
func (e *Engine) answerMargin(target time.Duration) time.Duration {
	margin := answerMargin + target/answerMarginPart
	if e.lag.Count() < lagSamples {
		return margin
	}
	return min(max(margin, e.lag.Value(lagQuantile)+answerMargin/2), max(target/lagDivisor, margin))
}

// delayKey is the name under which the latencies of a route are observed. The
// parts of all shards share it: they do the same work.
func delayKey(route *routing.Route) api.ServiceName { return api.ServiceName(route.Name) }

// unservable reports why too few services of a request have a replica.
func (e *Engine) unservable(r *request) api.Reason {
	have := 0
	for i := range r.parts {
		if e.hasReplica(r.parts[i].service) {
			have++
		}
	}
	if have == 0 || !r.enough(have) {
		return api.ReasonNoReplica
	}
	return api.ReasonNone
}

func (e *Engine) hasReplica(service api.ServiceName) bool {
	for _, name := range e.registry.byService[service] {
		if !e.registry.entries[name].Draining {
			return true
		}
	}
	return false
}
