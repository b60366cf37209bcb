package forward

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

const (
	// A node has acceptFactor times the usual time to accept a call, but at least
	// minAcceptTimeout and at most 1/acceptDivisor of the time left until the target time,
	// by which the request should be answered (request.targetTime).
	minAcceptTimeout = 20 * time.Millisecond
	acceptFactor     = 3
	acceptDivisor    = 2
	// The usual time is the acceptQuantile of earlier calls, available after
	// minAcceptSamples.
	acceptQuantile   = 0.95
	minAcceptSamples = 20
	// minReturnMargin is reserved before the target time for the transit of the last replies
	// and for merging them. A larger measured returnQuantile replaces it after
	// minReturnSamples, up to 1/returnDivisor of the time left until the target time.
	minReturnMargin  = 3 * time.Millisecond
	returnQuantile   = 0.9
	minReturnSamples = 20
	returnDivisor    = 4
	// localMargin is reserved before the target time for the reply of a range that runs on
	// this node.
	localMargin = time.Millisecond
	// A call without any response is given up after 1/responseDivisor of the time to the
	// deadline, so that the caller still has time to retry.
	responseDivisor = 2
	// A timer that fires later than lateTimerThreshold shows that this node was busy or
	// paused, so that messages received in the meantime have not been read yet.
	lateTimerThreshold = 5 * time.Millisecond
	// pingTimeout limits the time to answer a ping.
	pingTimeout = 500 * time.Millisecond
)

// Reasons for sending a range to another node.
const (
	rangeRefused     api.Reason = "range_refused"
	rangeLost        api.Reason = "range_lost"
	rangeNotAccepted api.Reason = "range_not_accepted"
)

// call is a range of shards that was sent to a node, possibly this one, or a ping, which
// has no divided request.
type call struct {
	id      CallID
	divided *dividedRequest
	index   int
	// node is the name of the node that runs the range; empty for this node.
	node   string
	sentAt time.Time
	// acceptDeadline is the time by which the called node must have accepted the range, that
	// is confirmed that it runs it; otherwise the range may be sent to another node as well.
	// It is zero once the node has accepted or replied or the deadline has passed, and in
	// pings and calls that run on this node.
	acceptDeadline time.Time
	// responseDeadline is when the call is given up unless the called node has responded,
	// that is accepted the range or replied; zero once it has.
	responseDeadline time.Time
	// extended is set once acceptDeadline was postponed because this node itself was late.
	extended bool
	// extraAttemptsAllowed is set once an AllowExtraAttempts was sent for the call, which
	// permits more than one attempt per shard (hedges and retries).
	extraAttemptsAllowed bool
	// overdue is set once the node has missed acceptDeadline.
	overdue bool
	// attemptCounted is set once the call's attempt is included in the range's usedAttempts.
	attemptCounted bool
}

// callRange sends a range to a node chosen by chooseNode, or runs it on this node.
func (e *Engine) callRange(now time.Time, d *dividedRequest, i int) {
	e.callNode(now, d, i, e.chooseNode(now, d, i))
}

// callNode sends a range to a node, or runs it on this node if the name is empty.
func (e *Engine) callNode(now time.Time, d *dividedRequest, i int, node string) {
	sr := &d.ranges[i]
	e.lastCall++
	c := &call{id: e.lastCall, divided: d, index: i, node: node, sentAt: now}
	sr.calls = append(sr.calls, c)
	sr.tried = append(sr.tried, c.node)
	e.calls[c.id] = c
	if c.node == "" {
		e.runLocally(now, c)
		return
	}
	r := d.request
	left := r.targetTime.Sub(now)
	c.acceptDeadline = now.Add(e.acceptTimeout(left))
	c.responseDeadline = now.Add(r.deadline.Sub(now) / responseDivisor)
	d.callsSent++
	e.groups.balancer.Sent(now, api.ReplicaName(c.node))
	e.counts.Inc(count.Sent, "range")
	e.emit(CallPeer{
		Call: c.id, Node: c.node, Address: e.groups.addresses[c.node], Message: r.message, Subset: c.subset(),
		Remaining: r.deadline.Sub(now), Target: left - e.returnMargin(left),
	})
}

// runLocally starts a range on this node. Extra attempts (hedges and retries) are allowed at
// once, since no other node will run the range.
func (e *Engine) runLocally(now time.Time, c *call) {
	r := c.divided.request
	subset := c.subset()
	id := localRequestBit | api.RequestID(c.id)
	e.arrived(now, Arrived{
		Request: id, Message: r.message, CallerTimeout: r.deadline.Sub(now), Target: r.targetTime.Sub(now) - localMargin, Subset: &subset,
	})
	e.extraAttemptsAllowed(now, id)
}

// subset returns the shards and attempt limits that the call requests.
func (c *call) subset() Subset {
	sr := &c.divided.ranges[c.index]
	r := c.divided.request
	return Subset{
		Shards: r.route.Shards[sr.from:sr.to], MaxAttempts: r.maxAttempts, PriorAttempts: sr.usedAttempts,
		HomeRegions: r.homeRegions.regions, Merge: r.route.Merge,
	}
}

// acceptTimeout returns how long a node may take to accept a range.
func (e *Engine) acceptTimeout(left time.Duration) time.Duration {
	limit := max(left/acceptDivisor, minAcceptTimeout)
	if e.callAcceptDelay.Count() < minAcceptSamples {
		return limit
	}
	return min(max(acceptFactor*e.callAcceptDelay.Value(acceptQuantile), minAcceptTimeout), limit)
}

// returnMargin returns how long before the target time other nodes must reply.
func (e *Engine) returnMargin(left time.Duration) time.Duration {
	if e.callReplyDelay.Count() < minReturnSamples {
		return minReturnMargin
	}
	return min(max(e.callReplyDelay.Value(returnQuantile), minReturnMargin), max(left/returnDivisor, minReturnMargin))
}

// checkCall handles the expired deadlines of a call and returns the next one, or the zero
// time if none is left.
func (e *Engine) checkCall(now time.Time, d *dividedRequest, c *call) time.Time {
	if !c.acceptDeadline.IsZero() && !now.Before(c.acceptDeadline) {
		e.acceptTimedOut(now, d, c)
	}
	if !c.responseDeadline.IsZero() && !now.Before(c.responseDeadline) {
		e.emit(CancelCall{Call: c.id})
		e.callLost(now, CallLost{Call: c.id, Error: "no response"})
		return time.Time{}
	}
	return earliest(c.acceptDeadline, c.responseDeadline)
}

// acceptTimedOut handles a call that the node has not accepted in time. The node may still
// run the range, but with only one attempt per shard because extra ones were not allowed.
// If this node itself was late, the deadline is extended once so that pending messages are
// read first. Otherwise the call is withdrawn: WithdrawCall abandons it only if it has not
// been sent yet, whereas CancelCall abandons it in any case.
func (e *Engine) acceptTimedOut(now time.Time, d *dividedRequest, c *call) {
	allowed := c.acceptDeadline.Sub(c.sentAt)
	if !c.extended && d.delayMayBeLocal(now, c) {
		c.extended = true
		// As for the first deadline, the timeout depends on the whole time from sending the
		// call to the target time, not on the time that is left.
		c.acceptDeadline = now.Add(e.acceptTimeout(d.request.targetTime.Sub(c.sentAt)))
		return
	}
	c.acceptDeadline, c.overdue = time.Time{}, true
	e.log("call_not_accepted", "id", d.request.message.CallerRequest, "node", c.node,
		"after_ms", now.Sub(c.sentAt).Milliseconds(), "allowed_ms", allowed.Milliseconds(), "heard", d.peerResponded)
	e.emit(WithdrawCall{Call: c.id})
}

// delayMayBeLocal reports whether a call may only look late because this node is late: its
// timer fired late, or none of several called nodes has responded.
func (d *dividedRequest) delayMayBeLocal(now time.Time, c *call) bool {
	return now.Sub(c.acceptDeadline) > lateTimerThreshold || !d.peerResponded && d.callsSent > 1
}

// callNotAccepted handles CallUnanswered: the node did not accept the call in time, and the call
// could not be withdrawn because it had been sent. It sends the range to another node as well
// if one is able to run it. The first call continues.
func (e *Engine) callNotAccepted(now time.Time, id CallID) {
	c := e.calls[id]
	if c == nil || c.divided == nil || !c.overdue || c.responseDeadline.IsZero() {
		return
	}
	d := c.divided
	sr := &d.ranges[c.index]
	e.groups.balancer.MarkSuspect(now, api.ReplicaName(c.node))
	if sr.covered > 0 || sr.usedAttempts+1 >= d.request.maxAttempts || sr.newest() != c {
		return
	}
	node, ok := e.chooseHealthyNode(now, d, c.index)
	if !ok {
		return
	}
	sr.usedAttempts++
	c.attemptCounted = true
	e.counts.Inc(count.Retried, rangeNotAccepted)
	e.callNode(now, d, c.index, node)
	e.progressDivided(now, d)
}

// dropCall removes a call from the engine and from its range. It must not be used for a ping,
// which has no range; pingEnded removes pings.
func (e *Engine) dropCall(c *call) {
	delete(e.calls, c.id)
	sr := &c.divided.ranges[c.index]
	sr.calls = slices.DeleteFunc(sr.calls, func(other *call) bool { return other == c })
}

// cancelCall cancels a call that is no longer needed.
func (e *Engine) cancelCall(now time.Time, c *call) {
	e.dropCall(c)
	if c.node == "" {
		e.callerGone(now, localRequestBit|api.RequestID(c.id))
		return
	}
	e.groups.balancer.Cancelled(now, api.ReplicaName(c.node), now.Sub(c.sentAt))
	e.emit(CancelCall{Call: c.id})
}

// cancelOtherCalls cancels the other calls for the range of a call that has returned parts,
// so that no part appears twice in the answer.
func (e *Engine) cancelOtherCalls(now time.Time, c *call) {
	for _, other := range slices.Clone(c.divided.ranges[c.index].calls) {
		if other != c {
			e.cancelCall(now, other)
		}
	}
}

// retryRange sends a range without any answered part to the next node, or gives it up. The
// cause says how the last call failed.
func (e *Engine) retryRange(now time.Time, d *dividedRequest, i int, cause api.Reason) {
	sr := &d.ranges[i]
	// The empty name stands for this node: once it has run the range itself, no other node is
	// tried.
	exhausted := slices.Contains(sr.tried, "") || !now.Before(d.request.deadline)
	if sr.covered > 0 || sr.usedAttempts >= max(d.request.maxAttempts, 1) || exhausted {
		d.openRanges--
		d.reason = api.ReasonConnectionLost
		return
	}
	e.counts.Inc(count.Retried, cause)
	e.callRange(now, d, i)
}

// cancelCalls cancels the remaining calls of a request and reports whether there were any.
func (e *Engine) cancelCalls(now time.Time, d *dividedRequest) bool {
	cancelled := false
	for i := range d.ranges {
		for _, c := range slices.Clone(d.ranges[i].calls) {
			cancelled = true
			e.cancelCall(now, c)
		}
	}
	return cancelled
}
