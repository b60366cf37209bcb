package forward

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// callAccepted handles a node's confirmation that it is running a range. It allows the node
// more than one attempt per shard unless another node was called in the meantime.
func (e *Engine) callAccepted(now time.Time, id CallID) {
	c := e.calls[id]
	if c == nil || c.divided == nil {
		return
	}
	c.acceptDeadline, c.responseDeadline, c.divided.peerResponded = time.Time{}, time.Time{}, true
	e.callAcceptDelay.Add(now, now.Sub(c.sentAt))
	if c.divided.ranges[c.index].newest() == c {
		c.extraAttemptsAllowed = true
		e.emit(AllowExtraAttempts{Call: id})
	}
}

// callReplied adds the answered parts of a range to its request.
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
	c.acceptDeadline, c.responseDeadline = time.Time{}, time.Time{}
	d.peerResponded = d.peerResponded || c.node != "" && ev.Reason != api.ReasonPeerFull
	if ev.Last && (ev.Reason == api.ReasonPeerFull || ev.configurationDiffers() || e.exclusionsDiffer(c, ev)) {
		e.callRefused(now, c, ev.Reason)
		return
	}
	if len(ev.Proofs) > 0 && !ev.Rule.Keeps(d.request.route.Merge) {
		// Records of the parts may be missing, so the parts cannot be used.
		e.counts.Inc(count.Discarded, "merge_rule")
		e.emit(CancelCall{Call: c.id})
		e.callLost(now, CallLost{Call: c.id, Error: "records merged by another rule"})
		return
	}
	if len(ev.Proofs) > 0 {
		e.cancelOtherCalls(now, c)
	}
	s := &d.ranges[c.index]
	s.covered += len(ev.Proofs)
	d.covered += len(ev.Proofs)
	d.request.recordMinCoverage(now, d.covered)
	d.proofs = append(d.proofs, ev.Proofs...)
	if len(ev.Body) > 0 {
		d.bodies = append(d.bodies, ev.Body)
	}
	d.mayHaveRun = d.mayHaveRun || ev.MayHaveRun || len(ev.Proofs) > 0
	if due := d.request.targetTime.Add(-e.returnMargin(d.request.targetTime.Sub(c.sentAt))); c.node != "" && now.After(due) && !ev.Last {
		e.callReplyDelay.Add(now, now.Sub(due))
	}
	if ev.Last {
		e.callEnded(now, c, ev)
	}
	e.progressDivided(now, d)
}

// ran reports whether the request may have run in a part of the range.
func (ev *CallReplied) ran() bool { return ev.MayHaveRun || len(ev.Proofs) > 0 }

// configurationDiffers reports whether the node did not run the range because it knows a
// different configuration or different replicas. ReasonUnknownKey means that only this node's
// configuration, which admitted the request, has its account or makes its route public.
func (ev *CallReplied) configurationDiffers() bool {
	switch ev.Reason {
	case api.ReasonWrongEpoch, api.ReasonNoConfiguration, api.ReasonUnknownRoute, api.ReasonNoReplica, api.ReasonUnknownKey,
		api.ReasonShuttingDown:
		return !ev.ran()
	}
	return false
}

// exclusionsDiffer reports whether another node did not run a range because of evacuations or home
// regions that this node does not know, so that the range can run elsewhere.
func (e *Engine) exclusionsDiffer(c *call, ev *CallReplied) bool {
	excluded := ev.Reason == api.ReasonEvacuated || ev.Reason == api.ReasonOutsideRegion
	if c.node == "" || !excluded || ev.ran() {
		return false
	}
	s := &c.divided.ranges[c.index]
	for _, service := range c.divided.request.route.Shards[s.from:s.to] {
		if e.unavailableReason(c.divided.request.homeRegions, service) == api.ReasonNone {
			return true
		}
	}
	return false
}

// callRefused sends a range to another node after one refused it.
func (e *Engine) callRefused(now time.Time, c *call, reason api.Reason) {
	d := c.divided
	d.reason = reason
	switch {
	case c.node == "":
	case reason == api.ReasonEvacuated || reason == api.ReasonOutsideRegion || reason == api.ReasonUnknownKey || reason == api.ReasonPeerFull:
		e.groups.balancer.Unsent(api.ReplicaName(c.node)) // the node can run ranges of other requests
	default:
		e.groups.balancer.Lost(now, api.ReplicaName(c.node))
		e.groups.balancer.MarkSuspect(now, api.ReplicaName(c.node))
	}
	e.log("call_refused", "id", d.request.message.CallerRequest, "node", c.node, "reason", reason)
	e.dropCall(c)
	if c.attemptCounted {
		d.ranges[c.index].usedAttempts--
	}
	if len(d.ranges[c.index].calls) == 0 {
		e.retryRange(now, d, c.index, rangeRefused)
	}
	e.progressDivided(now, d)
}

// callEnded handles the last reply to a call. A range without any answered part stays open
// while another call for it is running.
func (e *Engine) callEnded(now time.Time, c *call, ev *CallReplied) {
	d := c.divided
	e.dropCall(c)
	if s := &d.ranges[c.index]; s.covered > 0 || len(s.calls) == 0 {
		d.openRanges--
	}
	if ev.HalfAnsweredAfter > 0 {
		d.halfTimes = append(d.halfTimes, ev.HalfAnsweredAfter)
	}
	if ev.Reason != api.ReasonNone {
		d.reason = ev.Reason
	}
	if c.node != "" {
		e.groups.balancer.Done(now, api.ReplicaName(c.node), api.TargetOK, now.Sub(c.sentAt), api.TargetLoad{})
	}
}

// callLost handles a call that ended without a last reply.
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
	e.groups.balancer.Lost(now, api.ReplicaName(c.node))
	e.log("call_lost", "id", d.request.message.CallerRequest, "node", c.node, "after_ms", now.Sub(c.sentAt).Milliseconds(),
		"accepted", c.extraAttemptsAllowed, "unsent", ev.Unsent, "error", ev.Error)
	e.dropCall(c)
	if !c.extraAttemptsAllowed {
		e.groups.balancer.MarkSuspect(now, api.ReplicaName(c.node))
	}
	s := &d.ranges[c.index]
	if !ev.Unsent {
		d.mayHaveRun = true
		if !c.attemptCounted {
			s.usedAttempts++
		}
		if c.extraAttemptsAllowed {
			s.usedAttempts = d.request.maxAttempts
		}
	}
	if len(s.calls) == 0 {
		e.retryRange(now, d, c.index, c.lossCause())
	}
	e.progressDivided(now, d)
}

// lossCause returns the reason for retrying the range of a lost call.
func (c *call) lossCause() api.Reason {
	if c.overdue {
		return rangeNotAccepted
	}
	return rangeLost
}
