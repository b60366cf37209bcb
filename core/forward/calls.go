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

// chooseNode returns the node that runs a range, or "" for this one. A node that
// failed before is asked without a range now and then whether it is back, and
// gets one only if no other is left.
func (e *Engine) chooseNode(now time.Time, d *divided, i int) string {
	if node, ok := e.standIn(now, d, i); ok {
		return node
	}
	var suspects []api.ReplicaName
	for _, p := range e.groups.members(e.settings.DataCentre, i, len(d.ranges)) {
		if p.Node != e.settings.Node && !slices.Contains(d.ranges[i].tried, p.Node) {
			suspects = append(suspects, api.ReplicaName(p.Node))
		}
	}
	name, ok := e.groups.load.Pick(now, suspects, nil)
	if !ok {
		return ""
	}
	return string(name)
}

// standIn returns a node of a range's group that has not been asked for it and is
// not suspect: this one, one of this data centre, or else of another one. They have
// the connections and the budget for the range.
func (e *Engine) standIn(now time.Time, d *divided, i int) (node string, ok bool) {
	members := e.groups.members(e.settings.DataCentre, i, len(d.ranges))
	own := slices.ContainsFunc(members, func(p Peer) bool { return p.Node == e.settings.Node })
	if own && !slices.Contains(d.ranges[i].tried, "") {
		return "", true
	}
	if name, ok := e.pickNode(now, d, i, members); ok {
		return name, true
	}
	return e.pickNode(now, d, i, e.groups.elsewhere(e.settings.DataCentre, i, len(d.ranges)))
}

// pickNode returns one of the given nodes, without suspect ones, which get pings,
// and those that have been asked for the range.
func (e *Engine) pickNode(now time.Time, d *divided, i int, nodes []Peer) (node string, ok bool) {
	e.candidates = e.candidates[:0]
	for _, p := range nodes {
		name := api.ReplicaName(p.Node)
		switch {
		case p.Node == e.settings.Node || slices.Contains(d.ranges[i].tried, p.Node):
			// It was asked before.
		case e.groups.load.Suspect(name):
			e.pingIfDue(now, name, d, i)
		default:
			e.candidates = append(e.candidates, name)
		}
	}
	name, ok := e.groups.load.Pick(now, e.candidates, nil)
	return string(name), ok
}

// pingIfDue asks a suspect node when its next probe is due whether it can run a
// range: it may answer and still not know the shards.
func (e *Engine) pingIfDue(now time.Time, name api.ReplicaName, d *divided, i int) {
	if !e.groups.load.ProbeDue(now, name) {
		return
	}
	node := string(name)
	e.newestCall++
	e.calls[e.newestCall] = &call{id: e.newestCall, node: node, sentAt: now}
	e.groups.load.Sent(now, name)
	s := &d.ranges[i]
	e.act(CallPeer{
		Call: e.newestCall, Node: node, Address: e.groups.addresses[node], Message: &Message{}, Left: pingTime,
		Subset: Subset{Shards: d.request.route.Shards[s.from:s.to]},
	})
}

// pinged answers a ping of another node.
func (e *Engine) pinged(now time.Time, ev Arrived) {
	reason := api.ReasonNone
	if !e.knows(ev.Subset) {
		reason = api.ReasonWrongEpoch
	}
	e.deliver(now, Answer{Request: ev.Request, Outcome: api.Answered, Reason: reason})
}

// pingEnded takes note of the end of a ping: whether the node can run the range.
func (e *Engine) pingEnded(now time.Time, c *call, able bool) {
	delete(e.calls, c.id)
	if !able {
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

// callAccepted handles the first sign of a node that it works on a range. If
// another one has been asked meanwhile, it keeps to one attempt for each shard.
func (e *Engine) callAccepted(now time.Time, id CallID) {
	c := e.calls[id]
	if c == nil || c.divided == nil {
		return
	}
	c.acceptBy, c.giveUpBy, c.divided.heard = time.Time{}, time.Time{}, true
	e.accepts.Add(now, now.Sub(c.sentAt))
	if c.divided.ranges[c.index].newest() == c {
		c.cleared = true
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
	c.acceptBy, c.giveUpBy = time.Time{}, time.Time{}
	d.heard = d.heard || c.node != ""
	if ev.Last && ev.differs() {
		e.callRefused(now, c, ev.Reason)
		return
	}
	if len(ev.Proofs) > 0 {
		e.keepOnly(now, c)
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
	if c.counted {
		d.ranges[c.index].used--
	}
	if len(d.ranges[c.index].calls) == 0 {
		e.callAgain(now, d, c.index, rangeRefused)
	}
	e.progressDivided(now, d)
}

// callEnded handles the last reply to a call. A range of which no part has arrived
// stays open while another call runs it.
func (e *Engine) callEnded(now time.Time, c *call, ev *CallReplied) {
	d := c.divided
	e.dropCall(c)
	if s := &d.ranges[c.index]; s.covered > 0 || len(s.calls) == 0 {
		d.open--
	}
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
	s := &d.ranges[c.index]
	if !ev.Unsent {
		d.ran = true
		if !c.counted {
			s.used++
		}
		if c.cleared {
			s.used = d.request.maxAttempts
		}
	}
	if len(s.calls) == 0 {
		e.callAgain(now, d, c.index, c.lossCause())
	}
	e.progressDivided(now, d)
}

func (c *call) lossCause() api.Reason {
	if c.overdue {
		return rangeNotAccepted
	}
	return rangeLost
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
