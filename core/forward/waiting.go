package forward

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// waitingPart is a part that waits for room at a replica.
type waitingPart struct {
	request *request
	part    int
	// extra is set if the part was sent before, so that its next attempt needs
	// room in the budget.
	extra bool
}

// enqueue adds a part to those that wait for room, more urgent routes first.
func (e *Engine) enqueue(r *request, i int, extra bool) {
	p := &r.parts[i]
	p.state, p.reason = partWaiting, api.ReasonOverloaded
	service := p.service
	queue := e.waiting[service]
	at := len(queue)
	for at > 0 && queue[at-1].request.route.Priority > r.route.Priority {
		at--
	}
	e.waiting[service] = slices.Insert(queue, at, waitingPart{request: r, part: i, extra: extra})
}

// resume sends parts that wait for room at a service until there is none.
func (e *Engine) resume(now time.Time, service api.ServiceName) {
	for len(e.waiting[service]) > 0 {
		w := e.waiting[service][0]
		p := &w.request.parts[w.part]
		if e.requests[w.request.id] != w.request || p.state != partWaiting {
			e.popWaiting(service)
			continue
		}
		name, reason := e.choose(now, p, first)
		if reason == api.ReasonOverloaded {
			return
		}
		e.popWaiting(service)
		if reason == api.ReasonNone && w.extra && !e.spend(now, w.request, p, replacing) {
			reason = api.ReasonBudget
		}
		if reason == api.ReasonNone {
			e.send(now, w.request, w.part, name)
		} else {
			e.giveUp(w.request, p, reason)
		}
		e.progress(now, w.request)
	}
	delete(e.waiting, service)
}

func (e *Engine) popWaiting(service api.ServiceName) {
	queue := e.waiting[service]
	queue[0] = waitingPart{}
	e.waiting[service] = queue[1:]
}
