package forward

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

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
