package forward

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// waitingPart is a part that waits for a replica with capacity.
type waitingPart struct {
	request *request
	part    int
	// extra is set if the part was sent before, so that its next attempt is charged to
	// the budget.
	extra bool
}

// enqueue adds a part to the waiting parts of its service, ordered by the urgency of their
// requests.
func (e *Engine) enqueue(r *request, i int, extra bool) {
	p := &r.parts[i]
	p.state, p.reason = partWaiting, api.ReasonOverloaded
	service := p.service
	queue := e.waiting[service]
	at := len(queue)
	for at > 0 && r.urgency().before(queue[at-1].request.urgency()) {
		at--
	}
	e.waiting[service] = slices.Insert(queue, at, waitingPart{request: r, part: i, extra: extra})
}

// resume sends the waiting parts of a service until no replica has capacity.
func (e *Engine) resume(now time.Time, service api.ServiceName) {
	e.orderWaiting(now, service)
	for at := 0; at < len(e.waiting[service]); {
		w := e.waiting[service][at]
		p := &w.request.parts[w.part]
		ended := e.requests[w.request.id] != w.request || p.state != partWaiting
		if ended || !now.Before(w.request.deadline) {
			e.dequeue(service, at)
			continue
		}
		if w.extra && w.request.singleAttempt && len(p.tried) > 0 {
			at++
			continue
		}
		why := firstAttempt
		if w.extra {
			why = retryAttempt
		}
		name, reason := e.choose(now, w.request, p, why)
		if reason == api.ReasonOverloaded && len(p.tried) == 0 {
			return // no replica has capacity for any part
		}
		if reason == api.ReasonOverloaded {
			at++ // a replica that this part may not use may have capacity for other parts
			continue
		}
		e.dequeue(service, at)
		if reason == api.ReasonNone && w.extra && !e.spend(now, w.request, p, why) {
			reason = api.ReasonRetryBudget
		}
		if reason == api.ReasonNone {
			e.send(now, w.request, w.part, name, why)
		} else {
			e.giveUp(w.request, p, reason)
		}
		e.progress(now, w.request)
		at = 0 // the queue may have changed
		e.orderWaiting(now, service)
	}
	if len(e.waiting[service]) == 0 {
		delete(e.waiting, service)
	}
}

func (e *Engine) dequeue(service api.ServiceName, at int) {
	e.waiting[service] = slices.Delete(e.waiting[service], at, at+1)
}

// resumeAll resumes the waiting parts of all services after a change in the number of
// connections that this node may use.
func (e *Engine) resumeAll(now time.Time) {
	for _, service := range slices.Sorted(maps.Keys(e.waiting)) {
		e.resume(now, service)
	}
}
