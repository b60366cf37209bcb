package driver

import (
	"context"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
)

// submit registers a request, adds it to the inbox and waits for the answer.
// queued is false if the request was not added, because the inbox is full or the
// driver has stopped. ok is false if there is no answer, because the request was
// not queued, the caller has gone or the driver has stopped.
func submit[A event.Action](ctx context.Context, d *Driver, arrived func(api.RequestID) event.Event) (answer A, queued, ok bool) {
	id := api.RequestID(d.nextID.Add(1))
	reply := make(chan A, 1)
	d.mu.Lock()
	d.pending[id] = func(a event.Action) { reply <- a.(A) }
	d.mu.Unlock()
	defer d.removePending(id)
	if !d.TryReport(arrived(id)) {
		return answer, false, false
	}
	select {
	case answer = <-reply:
		return answer, true, true
	case <-ctx.Done():
		d.Report(event.CallerGone{Request: id})
		return answer, true, false
	case <-d.done:
		return answer, true, false
	}
}

// removePending drops a request that no longer waits for an answer.
func (d *Driver) removePending(id api.RequestID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, id)
}

// deliverAnswer passes the node's answer to the goroutine that waits for it, if
// there still is one. Each request receives at most one answer.
func (d *Driver) deliverAnswer(id api.RequestID, a event.Action) {
	d.mu.Lock()
	deliver := d.pending[id]
	delete(d.pending, id)
	d.mu.Unlock()
	if deliver != nil {
		deliver(a)
	}
}

// refuse counts a request that was not queued, and returns the reason and the
// retry-after time.
func (d *Driver) refuse() (api.Reason, time.Duration) {
	reason := api.ReasonOverloaded
	select {
	case <-d.done:
		reason = api.ReasonShuttingDown
	default:
	}
	d.config.Counts.Inc(count.Refused, reason)
	return reason, refusalRetryAfter
}

// unansweredReason returns why a queued request got no answer.
func unansweredReason(ctx context.Context) api.Reason {
	if ctx.Err() != nil {
		return api.ReasonCallerGone
	}
	return api.ReasonShuttingDown
}

// Search runs a search and waits for its answer. A zero deadline means the
// deadline in the service's rule. If ctx ends first, the node receives
// event.CallerGone and the outcome is unknown.
func (d *Driver) Search(ctx context.Context, caller api.CallerID, search api.Search, deadline time.Time) api.SearchAnswer {
	answer, queued, ok := submit[event.AnswerSearch](ctx, d, func(id api.RequestID) event.Event {
		return event.SearchArrived{Request: id, Caller: caller, Search: search, Deadline: deadline}
	})
	switch {
	case ok:
		return answer.Answer
	case !queued:
		reason, after := d.refuse()
		return api.SearchAnswer{Outcome: api.NotRun, Reason: reason, RetryAfter: after}
	}
	return api.SearchAnswer{Outcome: api.Unknown, Reason: unansweredReason(ctx)}
}

// Work runs a work order and waits for its answer. The deadline and ctx have the
// same meaning as in Search.
func (d *Driver) Work(ctx context.Context, caller api.CallerID, work api.Work, deadline time.Time) api.WorkAnswer {
	return d.runWork(ctx, event.WorkArrived{Caller: caller, Work: work, Deadline: deadline})
}

// ForwardedWork runs a work order that a peer has forwarded and waits for its
// answer.
func (d *Driver) ForwardedWork(ctx context.Context, caller api.CallerID, work api.Work, deadline time.Time) api.WorkAnswer {
	return d.runWork(ctx, event.WorkArrived{Caller: caller, Work: work, Deadline: deadline, Forwarded: true})
}

// runWork implements Work and ForwardedWork.
func (d *Driver) runWork(ctx context.Context, arrived event.WorkArrived) api.WorkAnswer {
	answer, queued, ok := submit[event.AnswerWork](ctx, d, func(id api.RequestID) event.Event {
		arrived.Request = id
		return arrived
	})
	switch {
	case ok:
		return answer.Answer
	case !queued:
		reason, after := d.refuse()
		return api.WorkAnswer{Outcome: api.NotRun, Reason: reason, RetryAfter: after}
	}
	return api.WorkAnswer{Outcome: api.Unknown, Reason: unansweredReason(ctx)}
}

// Change proposes a configuration change and waits for its outcome. The driver
// assigns change.Request.
func (d *Driver) Change(ctx context.Context, change event.ChangeArrived) event.AnswerChange {
	answer, queued, ok := submit[event.AnswerChange](ctx, d, func(id api.RequestID) event.Event {
		change.Request = id
		return change
	})
	switch {
	case ok:
		return answer
	case !queued:
		reason, after := d.refuse()
		return event.AnswerChange{Outcome: event.ChangeRefused, Reason: reason, RetryAfter: after}
	}
	return event.AnswerChange{Outcome: event.ChangeUnknown, Reason: unansweredReason(ctx)}
}
