package driver

import (
	"context"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
)

// ask registers a request, feeds it to the node and waits for the answer.
// entered is false if the node never saw the request; ok is false if there is
// no answer because the caller has gone or the driver has stopped.
func ask[A event.Action](ctx context.Context, d *Driver, arrived func(api.RequestID) event.Event) (answer A, entered, ok bool) {
	id := api.RequestID(d.nextID.Add(1))
	reply := make(chan A, 1)
	d.mu.Lock()
	d.pending[id] = func(a event.Action) { reply <- a.(A) }
	d.mu.Unlock()
	defer d.forget(id)
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

func (d *Driver) forget(id api.RequestID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, id)
}

// answer hands the node's answer to the waiting request, if its caller still
// waits. Each request is answered at most once.
func (d *Driver) answer(id api.RequestID, a event.Action) {
	d.mu.Lock()
	deliver := d.pending[id]
	delete(d.pending, id)
	d.mu.Unlock()
	if deliver != nil {
		deliver(a)
	}
}

// refusal returns why a request did not enter the node, and counts it.
func (d *Driver) refusal() (api.Reason, time.Duration) {
	reason := api.ReasonOverloaded
	select {
	case <-d.done:
		reason = api.ReasonShuttingDown
	default:
	}
	d.config.Counts.Inc(count.Refused, reason)
	return reason, fullRetryAfter
}

// lost returns why a request that entered the node got no answer.
func lost(ctx context.Context) api.Reason {
	if ctx.Err() != nil {
		return api.ReasonCallerGone
	}
	return api.ReasonShuttingDown
}

// Search runs a search and waits for its answer. A zero deadline takes the
// service's rule. If ctx ends, the node is told that the caller has gone.
func (d *Driver) Search(ctx context.Context, caller api.CallerID, search api.Search, deadline time.Time) api.SearchAnswer {
	answer, entered, ok := ask[event.AnswerSearch](ctx, d, func(id api.RequestID) event.Event {
		return event.SearchArrived{Request: id, Caller: caller, Search: search, Deadline: deadline}
	})
	switch {
	case ok:
		return answer.Answer
	case !entered:
		reason, after := d.refusal()
		return api.SearchAnswer{Outcome: api.NotRun, Reason: reason, RetryAfter: after}
	}
	return api.SearchAnswer{Outcome: api.Unknown, Reason: lost(ctx)}
}

// Work runs a work order and waits for its answer.
func (d *Driver) Work(ctx context.Context, caller api.CallerID, work api.Work, deadline time.Time) api.WorkAnswer {
	return d.work(ctx, event.WorkArrived{Caller: caller, Work: work, Deadline: deadline})
}

// ForwardedWork runs a work order that a peer passed on and waits for its
// answer.
func (d *Driver) ForwardedWork(ctx context.Context, caller api.CallerID, work api.Work, deadline time.Time) api.WorkAnswer {
	return d.work(ctx, event.WorkArrived{Caller: caller, Work: work, Deadline: deadline, Forwarded: true})
}

func (d *Driver) work(ctx context.Context, arrived event.WorkArrived) api.WorkAnswer {
	answer, entered, ok := ask[event.AnswerWork](ctx, d, func(id api.RequestID) event.Event {
		arrived.Request = id
		return arrived
	})
	switch {
	case ok:
		return answer.Answer
	case !entered:
		reason, after := d.refusal()
		return api.WorkAnswer{Outcome: api.NotRun, Reason: reason, RetryAfter: after}
	}
	return api.WorkAnswer{Outcome: api.Unknown, Reason: lost(ctx)}
}

// Change proposes a change of the configuration and waits for its outcome. The
// driver assigns change.Request.
func (d *Driver) Change(ctx context.Context, change event.ChangeArrived) event.AnswerChange {
	answer, entered, ok := ask[event.AnswerChange](ctx, d, func(id api.RequestID) event.Event {
		change.Request = id
		return change
	})
	switch {
	case ok:
		return answer
	case !entered:
		reason, after := d.refusal()
		return event.AnswerChange{Outcome: event.ChangeRefused, Reason: reason, RetryAfter: after}
	}
	return event.AnswerChange{Outcome: event.ChangeUnknown, Reason: lost(ctx)}
}
