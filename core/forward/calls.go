package forward

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

const (
	// acceptLeast is the least time that another node gets to say that it works
	// on a range; acceptFactor times the usual time is allowed, and at most one
	// acceptDivisor of the time to the target.
	acceptLeast   = 20 * time.Millisecond
	acceptFactor  = 3
	acceptDivisor = 2
	// acceptQuantile and acceptSamples give the usual time.
	acceptQuantile = 0.95
	acceptSamples  = 20
	// returnLeast is kept before the target for the way of the last replies and
	// for merging them; what they have been seen to take if that is more, up to
	// one returnDivisor of the time to the target.
	returnLeast    = 3 * time.Millisecond
	returnQuantile = 0.9
	returnSamples  = 20
	returnDivisor  = 4
	// localMargin is kept before the target for the reply of a range at this node.
	localMargin = time.Millisecond
	// giveUpDivisor gives the part of the time left after which a call is given up of
	// which nothing was heard, so that the caller can come back in time.
	giveUpDivisor = 2
	// lateTimer is how late a timer shows that this node was busy or paused: what
	// others sent in the meantime has not been read yet.
	lateTimer = 5 * time.Millisecond
	// pingTime bounds the answer to a ping.
	pingTime = 500 * time.Millisecond
)

// Why a range is asked for again.
const (
	rangeRefused     api.Reason = "range_refused"
	rangeLost        api.Reason = "range_lost"
	rangeNotAccepted api.Reason = "range_not_accepted"
)

// call is a range that another node, or this one, has been asked to run.
type call struct {
	id      CallID
	divided *divided
	index   int
	// node runs the range; empty if it is this one.
	node   string
	sentAt time.Time
	// acceptBy is when another node is asked as well; zero if none is.
	acceptBy time.Time
	// giveUpBy is when the call is given up if nothing was heard of it; zero once
	// something was.
	giveUpBy time.Time
	// extended is set once acceptBy was put off since this node was late itself.
	extended bool
	// cleared is set once the node was told that no other one will be asked.
	cleared bool
	// overdue is set once the node has not said in time that it works on the range.
	overdue bool
	// counted is set once its attempts are among those used for the range.
	counted bool
}

// callRange asks a node of the range's group to run it, this one if it is in the
// group or no other is left.
func (e *Engine) callRange(now time.Time, d *divided, i int) {
	e.ask(now, d, i, e.chooseNode(now, d, i))
}

// ask asks a node to run a range; this one if it is empty.
func (e *Engine) ask(now time.Time, d *divided, i int, node string) {
	s := &d.ranges[i]
	e.newestCall++
	c := &call{id: e.newestCall, divided: d, index: i, node: node, sentAt: now}
	s.calls = append(s.calls, c)
	s.tried = append(s.tried, c.node)
	e.calls[c.id] = c
	if c.node == "" {
		e.runHere(now, c)
		return
	}
	r := d.request
	left := r.target.Sub(now)
	c.acceptBy = now.Add(e.acceptWait(left))
	c.giveUpBy = now.Add(r.deadline.Sub(now) / giveUpDivisor)
	d.asked++
	e.groups.load.Sent(now, api.ReplicaName(c.node))
	e.counts.Inc(count.Sent, "range")
	e.act(CallPeer{
		Call: c.id, Node: c.node, Address: e.groups.addresses[c.node], Message: r.message, Subset: c.subset(),
		Left: r.deadline.Sub(now), Target: left - e.returnMargin(left),
	})
}

// runHere starts a range at this node. No other one is asked for it.
func (e *Engine) runHere(now time.Time, c *call) {
	r := c.divided.request
	part := c.subset()
	id := localRequest | api.RequestID(c.id)
	e.arrived(now, Arrived{
		Request: id, Message: r.message, Patience: r.deadline.Sub(now), Target: r.target.Sub(now) - localMargin, Subset: &part,
	})
	e.cleared(now, id)
}

// subset returns what the call asks for.
func (c *call) subset() Subset {
	s := &c.divided.ranges[c.index]
	r := c.divided.request
	return Subset{Shards: r.route.Shards[s.from:s.to], MaxAttempts: r.maxAttempts, Used: s.used}
}

// acceptWait returns how long a node gets to say that it works on a range.
func (e *Engine) acceptWait(left time.Duration) time.Duration {
	most := max(left/acceptDivisor, acceptLeast)
	if e.accepts.Count() < acceptSamples {
		return most
	}
	return min(max(acceptFactor*e.accepts.Value(acceptQuantile), acceptLeast), most)
}

// returnMargin returns how long before the target other nodes reply.
func (e *Engine) returnMargin(left time.Duration) time.Duration {
	if e.returns.Count() < returnSamples {
		return returnLeast
	}
	return min(max(e.returns.Value(returnQuantile), returnLeast), max(left/returnDivisor, returnLeast))
}

// checkCall looks at a call of which nothing has been heard yet, and returns when
// it is to be looked at again; the zero time if it is not.
func (e *Engine) checkCall(now time.Time, d *divided, c *call) time.Time {
	if !c.acceptBy.IsZero() && !now.Before(c.acceptBy) {
		e.notAccepted(now, d, c)
	}
	if !c.giveUpBy.IsZero() && !now.Before(c.giveUpBy) {
		e.act(CancelCall{Call: c.id})
		e.callLost(now, CallLost{Call: c.id, Error: "nothing heard"})
		return time.Time{}
	}
	return earliest(c.acceptBy, c.giveUpBy)
}

// notAccepted handles a call of which the node has said nothing in time. The node
// may still run the range, with one attempt for each shard, since it is not
// cleared for more. If this node was late itself, it first reads what has arrived.
func (e *Engine) notAccepted(now time.Time, d *divided, c *call) {
	allowed := c.acceptBy.Sub(c.sentAt)
	if !c.extended && d.lateHere(now, c) {
		c.extended = true
		c.acceptBy = now.Add(e.acceptWait(d.request.target.Sub(c.sentAt)))
		return
	}
	c.acceptBy, c.overdue = time.Time{}, true
	e.log("call_not_accepted", "id", d.request.message.CallerRequest, "node", c.node,
		"after_ms", now.Sub(c.sentAt).Milliseconds(), "allowed_ms", allowed.Milliseconds(), "heard", d.heard)
	e.act(WithdrawCall{Call: c.id})
}

// lateHere reports whether a call may only seem late because this node is: its
// timer was, or none of the nodes that were asked has been heard.
func (d *divided) lateHere(now time.Time, c *call) bool {
	return now.Sub(c.acceptBy) > lateTimer || !d.heard && d.asked > 1
}

// callUnheard asks another node for the range of a call that was sent and of which
// nothing was heard, if there is one that can run it; the call goes on.
func (e *Engine) callUnheard(now time.Time, id CallID) {
	c := e.calls[id]
	if c == nil || c.divided == nil || !c.overdue || c.giveUpBy.IsZero() {
		return
	}
	d := c.divided
	s := &d.ranges[c.index]
	e.groups.load.MarkSuspect(now, api.ReplicaName(c.node))
	if s.covered > 0 || s.used+1 >= d.request.maxAttempts || s.newest() != c {
		return
	}
	node, ok := e.standIn(now, d, c.index)
	if !ok {
		return
	}
	s.used++
	c.counted = true
	e.counts.Inc(count.Retried, rangeNotAccepted)
	e.ask(now, d, c.index, node)
	e.progressDivided(now, d)
}

// dropCall forgets a call.
func (e *Engine) dropCall(c *call) {
	delete(e.calls, c.id)
	s := &c.divided.ranges[c.index]
	s.calls = slices.DeleteFunc(s.calls, func(other *call) bool { return other == c })
}

// cancelCall ends a call that is not needed any more.
func (e *Engine) cancelCall(now time.Time, c *call) {
	e.dropCall(c)
	if c.node == "" {
		e.callerGone(now, localRequest|api.RequestID(c.id))
		return
	}
	e.groups.load.Cancelled(now, api.ReplicaName(c.node), now.Sub(c.sentAt))
	e.act(CancelCall{Call: c.id})
}

// keepOnly ends the other calls for the range of a call that has brought parts, so
// that no part is in an answer twice.
func (e *Engine) keepOnly(now time.Time, c *call) {
	for _, other := range slices.Clone(c.divided.ranges[c.index].calls) {
		if other != c {
			e.cancelCall(now, other)
		}
	}
}

// callAgain asks the next node for a range of which nothing is known yet, or
// gives it up. The cause is what happened to the last call.
func (e *Engine) callAgain(now time.Time, d *divided, i int, cause api.Reason) {
	s := &d.ranges[i]
	ended := slices.Contains(s.tried, "") || !now.Before(d.request.deadline)
	if s.covered > 0 || s.used >= max(d.request.maxAttempts, 1) || ended {
		d.open--
		d.reason = api.ReasonConnectionLost
		return
	}
	e.counts.Inc(count.Retried, cause)
	e.callRange(now, d, i)
}

// endCalls ends the calls of a request that needs them no more, and reports
// whether there were any.
func (e *Engine) endCalls(now time.Time, d *divided) bool {
	ended := false
	for i := range d.ranges {
		for _, c := range slices.Clone(d.ranges[i].calls) {
			ended = true
			e.cancelCall(now, c)
		}
	}
	return ended
}
