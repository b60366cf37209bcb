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
	// acceptBy is when another node takes over; zero if none does.
	acceptBy time.Time
	// cleared is set once the node has said that it works on the range: no other
	// one is asked then.
	cleared bool
	// withdrawn is set once the node has not said in time that it works on the range.
	withdrawn bool
}

// callRange asks a node of the range's group to run it, this one if it is in the
// group or no other is left.
func (e *Engine) callRange(now time.Time, d *divided, i int) {
	s := &d.ranges[i]
	node := e.chooseNode(now, d, i) // may send pings, which are calls as well
	e.newestCall++
	c := &call{id: e.newestCall, divided: d, index: i, node: node, sentAt: now}
	s.call = c
	s.tried = append(s.tried, c.node)
	e.calls[c.id] = c
	if c.node == "" {
		e.runHere(now, c)
		return
	}
	r := d.request
	left := r.target.Sub(now)
	c.acceptBy = now.Add(e.acceptWait(left))
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

// chooseNode returns the node that runs a range, or "" for this one. A node that
// failed before is asked without a range now and then whether it is back, and
// gets one only if no other is left.
func (e *Engine) chooseNode(now time.Time, d *divided, i int) string {
	tried := d.ranges[i].tried
	var suspects []api.ReplicaName
	e.candidates = e.candidates[:0]
	for _, p := range e.groups.members(e.settings.DataCentre, i, len(d.ranges)) {
		name := api.ReplicaName(p.Node)
		switch {
		case p.Node == e.settings.Node && !slices.Contains(tried, ""):
			return ""
		case p.Node == e.settings.Node || slices.Contains(tried, p.Node):
			// It was asked before.
		case e.groups.load.Suspect(name):
			e.pingIfDue(now, name)
			suspects = append(suspects, name)
		default:
			e.candidates = append(e.candidates, name)
		}
	}
	if len(e.candidates) == 0 {
		e.candidates = append(e.candidates, suspects...)
	}
	name, ok := e.groups.load.Pick(now, e.candidates, nil)
	if !ok {
		return ""
	}
	return string(name)
}

// pingIfDue asks a suspect node for an empty range when its next probe is due: an
// answer shows that it is back.
func (e *Engine) pingIfDue(now time.Time, name api.ReplicaName) {
	if !e.groups.load.ProbeDue(now, name) {
		return
	}
	node := string(name)
	e.newestCall++
	e.calls[e.newestCall] = &call{id: e.newestCall, node: node, sentAt: now}
	e.groups.load.Sent(now, name)
	e.act(CallPeer{
		Call: e.newestCall, Node: node, Address: e.groups.addresses[node], Message: &Message{}, Left: pingTime,
	})
}

// pingEnded takes note of the end of a ping.
func (e *Engine) pingEnded(now time.Time, c *call, answered bool) {
	delete(e.calls, c.id)
	if !answered {
		e.groups.load.Lost(now, api.ReplicaName(c.node))
		return
	}
	e.groups.load.Done(now, api.ReplicaName(c.node), api.TargetOK, now.Sub(c.sentAt), api.TargetLoad{})
	e.log("node_back", "node", c.node)
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

// notAccepted gives up a call of which the node has said nothing, so that another
// one is asked. The node may still run the range, with one attempt for each
// shard, since it is not cleared for more; a call that may have used the last
// attempt is given up only if it has not left this node.
func (e *Engine) notAccepted(now time.Time, d *divided, c *call) {
	waited := c.acceptBy.Sub(c.sentAt)
	c.acceptBy, c.withdrawn = time.Time{}, true
	last := d.ranges[c.index].used+1 >= d.request.maxAttempts
	e.log("call_not_accepted", "id", d.request.message.CallerRequest, "node", c.node,
		"after_ms", now.Sub(c.sentAt).Milliseconds(), "allowed_ms", waited.Milliseconds(), "heard", d.heard, "last", last)
	e.act(AbandonCall{Call: c.id, UnsentOnly: last})
}

// dropCall forgets a call.
func (e *Engine) dropCall(c *call) {
	delete(e.calls, c.id)
	c.divided.ranges[c.index].call = nil
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

// callAccepted handles the first sign of a node that it works on a range.
func (e *Engine) callAccepted(now time.Time, id CallID) {
	if c := e.calls[id]; c != nil && c.divided != nil {
		c.acceptBy, c.cleared, c.divided.heard = time.Time{}, true, true
		e.accepts.Add(now, now.Sub(c.sentAt))
		e.act(ClearCall{Call: id})
	}
}

// callReplied takes over the answered parts of a range.
func (e *Engine) callReplied(now time.Time, ev *CallReplied) {
	c := e.calls[ev.Call]
	if c == nil {
		e.counts.Inc(count.Discarded, "late")
		return
	}
	d := c.divided
	if d == nil {
		e.pingEnded(now, c, ev.Reason == api.ReasonNone)
		return
	}
	c.acceptBy = time.Time{}
	d.heard = d.heard || c.node != ""
	if ev.Last && ev.differs() {
		e.callRefused(now, c, ev.Reason)
		return
	}
	s := &d.ranges[c.index]
	s.covered += len(ev.Proofs)
	d.covered += len(ev.Proofs)
	d.request.noteEnough(now, d.covered)
	d.proofs = append(d.proofs, ev.Proofs...)
	if len(ev.Body) > 0 {
		d.bodies = append(d.bodies, ev.Body)
	}
	d.ran = d.ran || ev.Ran || len(ev.Proofs) > 0
	if due := d.request.target.Add(-e.returnMargin(d.request.target.Sub(c.sentAt))); c.node != "" && now.After(due) && !ev.Last {
		e.returns.Add(now, now.Sub(due))
	}
	if ev.Last {
		e.callEnded(now, c, ev)
	}
	e.progressDivided(now, d)
}

// differs reports whether the node did not run the range since it knows another
// configuration or other replicas.
func (ev *CallReplied) differs() bool {
	switch ev.Reason {
	case api.ReasonWrongEpoch, api.ReasonNoConfiguration, api.ReasonUnknownRoute, api.ReasonNoReplica:
		return !ev.Ran && len(ev.Proofs) == 0
	}
	return false
}

// callRefused asks another node for a range that was refused.
func (e *Engine) callRefused(now time.Time, c *call, reason api.Reason) {
	d := c.divided
	d.reason = reason
	if c.node != "" {
		e.groups.load.Lost(now, api.ReplicaName(c.node))
		e.groups.load.MarkSuspect(now, api.ReplicaName(c.node))
	}
	e.log("call_refused", "id", d.request.message.CallerRequest, "node", c.node, "reason", reason)
	e.dropCall(c)
	e.callAgain(now, d, c.index, rangeRefused)
	e.progressDivided(now, d)
}

// callEnded handles the last reply to a call.
func (e *Engine) callEnded(now time.Time, c *call, ev *CallReplied) {
	d := c.divided
	e.dropCall(c)
	d.open--
	if ev.Half > 0 {
		d.halves = append(d.halves, ev.Half)
	}
	if ev.Reason != api.ReasonNone {
		d.reason = ev.Reason
	}
	if c.node != "" {
		e.groups.load.Done(now, api.ReplicaName(c.node), api.TargetOK, now.Sub(c.sentAt), api.TargetLoad{})
	}
}

// callLost handles a call that ended without its last reply.
func (e *Engine) callLost(now time.Time, ev CallLost) {
	c := e.calls[ev.Call]
	if c == nil {
		return
	}
	d := c.divided
	if d == nil {
		e.pingEnded(now, c, false)
		return
	}
	e.groups.load.Lost(now, api.ReplicaName(c.node))
	e.log("call_lost", "id", d.request.message.CallerRequest, "node", c.node, "after_ms", now.Sub(c.sentAt).Milliseconds(),
		"accepted", c.cleared, "unsent", ev.Unsent, "error", ev.Error)
	e.dropCall(c)
	if !c.cleared {
		e.groups.load.MarkSuspect(now, api.ReplicaName(c.node))
	}
	if !ev.Unsent {
		d.ran = true
		d.ranges[c.index].used++
		if c.cleared {
			d.ranges[c.index].used = d.request.maxAttempts
		}
	}
	cause := rangeLost
	if c.withdrawn {
		cause = rangeNotAccepted
	}
	e.callAgain(now, d, c.index, cause)
	e.progressDivided(now, d)
}

// endCalls ends the calls of a request that needs them no more, and reports
// whether there were any.
func (e *Engine) endCalls(now time.Time, d *divided) bool {
	ended := false
	for i := range d.ranges {
		c := d.ranges[i].call
		if c == nil {
			continue
		}
		ended = true
		e.dropCall(c)
		if c.node == "" {
			e.callerGone(now, localRequest|api.RequestID(c.id))
			continue
		}
		e.groups.load.Cancelled(now, api.ReplicaName(c.node), now.Sub(c.sentAt))
		e.act(CancelCall{Call: c.id})
	}
	return ended
}
