package node

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/once"
	"github.com/baobabsail/baobabsail/core/quarantine"
)

type workState uint8

const (
	// workAwaitingProbation means waiting for the result of a probation run.
	workAwaitingProbation workState = iota
	// workForwarded means waiting for the answer of the owner of its claim partition.
	workForwarded
	// workClaiming means waiting for its claim to be granted.
	workClaiming
	// workReady means claimed and not at any target, either because it was never
	// sent or because each target refused it before running it.
	workReady
	// workQueued means claimed and waiting for a slot at a replica.
	workQueued
	// workChecking means claimed and waiting for the check of a replica's connection.
	workChecking
	// workSent means handed to a connection.
	workSent
)

const (
	// maxWorkAttempts bounds the targets that a work order is sent to after refusals.
	// Another attempt follows only if the previous one certainly did not run.
	maxWorkAttempts = 3
	// unknownRetryAfter is the delay after which a caller with an unknown outcome may
	// send the same key again.
	unknownRetryAfter = time.Second
	// checkTimeout is how long the check of an idle connection may take before the
	// work order goes to another replica.
	checkTimeout = 250 * time.Millisecond
	// lateResultRetention is how long a work order is kept after its deadline, so that
	// a late result is still recorded for resends of its key.
	lateResultRetention = 30 * time.Second
)

// work is the state of one work order.
type work struct {
	arrived        event.WorkArrived
	fingerprint    api.Fingerprint
	deadline       time.Time
	state          workState
	probation      bool
	sent           int
	tried          []api.ReplicaName
	reason         api.Reason // why the newest attempt did not run
	callerAnswered bool       // the caller was answered or has disconnected
	forgetAt       time.Time

	forward        forwardState
	forwardedTo    api.EntryName
	forwardAddress string
	localClaimAt   time.Time // when this node requests the claim itself
	triedLocally   bool
	localRefusal   api.WorkAnswer // the refusal of the claim at this node

	checkedReplica api.ReplicaName
	checkUntil     time.Time
}

func (w *work) id() api.RequestID { return w.arrived.Request }

// workArrived validates a work order and forwards it to the owner of its claim
// partition, handles it here or refuses it.
func (n *Node) workArrived(now time.Time, ev event.WorkArrived) {
	rule, refusal := n.ruleFor(now, ev.Work.Service, config.KindWork)
	if refusal != api.ReasonNone {
		n.refuseWork(ev.Request, refusal, defaultRetryAfter)
		return
	}
	w := &work{
		arrived:     ev,
		fingerprint: quarantine.WorkFingerprint(ev.Work),
		deadline:    earliest(ev.Deadline, now.Add(rule.Deadline)),
	}
	if !now.Before(w.deadline) {
		n.refuseWork(ev.Request, api.ReasonDeadline, defaultRetryAfter)
		return
	}
	if admitted, retryAfter := n.admission.Admit(now, ev.Work.Service, 1, w.deadline); !admitted {
		n.refuseWork(ev.Request, api.ReasonOverloaded, retryAfter)
		return
	}
	n.works[ev.Request] = w
	n.timers.Add(w.deadline, timer{request: ev.Request})
	if !n.forwardWork(now, w) {
		n.admitWork(now, w)
	}
}

func (n *Node) refuseWork(request api.RequestID, reason api.Reason, retryAfter time.Duration) {
	n.answerWork(request, api.WorkAnswer{Outcome: api.NotRun, Reason: reason, RetryAfter: retryAfter})
}

func (n *Node) answerWork(request api.RequestID, answer api.WorkAnswer) {
	n.counts.Inc(count.WorkEnded, api.Reason(answer.Outcome.String()))
	if answer.Outcome == api.NotRun {
		n.counts.Inc(count.Refused, answer.Reason)
	}
	n.emit(event.AnswerWork{Request: request, Answer: answer})
}

// admitWork requests the claim of a work order if the quarantine admits it.
func (n *Node) admitWork(now time.Time, w *work) {
	verdict := n.quarantine.Admit(now, w.fingerprint, quarantine.Options{Work: true})
	switch verdict.Kind {
	case quarantine.Refuse:
		n.endWork(now, w, api.WorkAnswer{
			Outcome: api.NotRun, Reason: api.ReasonQuarantined, RetryAfter: verdict.RetryAfter,
		})
		return
	case quarantine.Wait:
		w.state = workAwaitingProbation
		n.awaitingProbation[w.fingerprint] = append(n.awaitingProbation[w.fingerprint], w.id())
		return
	case quarantine.RunProbation:
		w.probation = true
	}
	w.state = workClaiming
	n.applyDecisions(now, n.claims.Begin(now, once.WorkRequest{
		Request: w.id(), Caller: w.arrived.Caller, Work: w.arrived.Work, Deadline: w.deadline,
	}))
}

// endWork answers the caller, unless it was answered before, and removes the work
// order.
func (n *Node) endWork(now time.Time, w *work, answer api.WorkAnswer) {
	if !w.callerAnswered {
		w.callerAnswered = true
		n.answerWork(w.id(), w.unknownIfForwarded(answer))
	}
	if n.works[w.id()] != w {
		return
	}
	delete(n.works, w.id())
	n.admission.Done(now, w.arrived.Work.Service, 1, 0, 0)
	if w.probation {
		w.probation = false
		n.endProbation(now, w.fingerprint)
	}
}

// applyDecisions applies the decisions of the claim coordinator.
func (n *Node) applyDecisions(now time.Time, r once.Result) {
	n.emit(r.Actions...)
	for _, d := range r.Decisions {
		w := n.works[d.Request]
		switch {
		case w == nil:
		case d.Granted:
			w.state = workReady
			if w.forward == forwardPending {
				// The owner has the work order but has not claimed its key yet.
				n.pausePeer(now, w.forwardedTo, "work_forward_slow")
			}
			n.sendWork(now, w)
		case !n.waitForOwner(w, d.Answer):
			n.endWork(now, w, d.Answer)
		}
	}
}

// giveUpWork ends a claimed work order that certainly did not run and releases its
// claim, so that the caller may send the same key again.
func (n *Node) giveUpWork(now time.Time, w *work, reason api.Reason, retryAfter time.Duration) {
	n.endWork(now, w, api.WorkAnswer{Outcome: api.NotRun, Reason: reason, RetryAfter: retryAfter})
	n.applyDecisions(now, n.claims.Finish(now, w.id(), once.Completion{Outcome: api.NotRun}))
}

// workReplied handles a target's reply to a work order.
func (n *Node) workReplied(now time.Time, ev *event.WorkReplied) {
	a := n.attempts[ev.Attempt]
	if a == nil || !a.work {
		n.counts.Inc(count.Discarded, "late")
		n.observeConnLoad(now, ev.Conn, ev.Reply.Load)
		return
	}
	delete(n.attempts, ev.Attempt)
	n.completeAttempt(now, a, ev.Reply.Outcome, now.Sub(a.sentAt), ev.Reply.Load)
	w := n.works[a.request]
	switch {
	case w == nil:
		n.counts.Inc(count.Discarded, "forgotten")
	case ev.Reply.Attempt != ev.Attempt:
		// The reply belongs to another work order, so the outcome of this one is
		// unknown.
		n.counts.Inc(count.Discarded, api.ReasonMismatched)
		n.workUnknown(now, w, api.ReasonMismatched)
	case ev.Reply.Outcome.Ran():
		n.workRan(now, a, w, &ev.Reply)
	default:
		n.workRefused(now, w, &ev.Reply)
	}
	n.resumeWaiting(now, a.replica)
}

// workRan records the result of a work order and answers the caller.
func (n *Node) workRan(now time.Time, a *attempt, w *work, reply *api.WorkReply) {
	if !a.stale {
		n.publish(now, n.quarantine.Answered(now, a.fingerprint))
	}
	outcome := api.Answered
	reason := api.ReasonNone
	if reply.Outcome == api.TargetError {
		outcome, reason = api.Failed, api.ReasonFailed
	}
	n.endWork(now, w, api.WorkAnswer{Outcome: outcome, Reason: reason, Result: reply.Result})
	n.applyDecisions(now, n.claims.Finish(now, w.id(), once.Completion{Outcome: outcome, Result: reply.Result}))
}

// workRefused sends a work order to another target. This is safe because the
// target refused it before running it.
func (n *Node) workRefused(now time.Time, w *work, reply *api.WorkReply) {
	w.state = workReady
	w.reason = reply.Outcome.Reason()
	if w.probation || w.sent >= maxWorkAttempts || !n.SpendRetryToken(now, w.arrived.Work.Service) {
		n.giveUpWork(now, w, w.reason, max(reply.RetryAfter, defaultRetryAfter))
		return
	}
	n.counts.Inc(count.Retried, w.reason)
	n.sendWork(now, w)
}

// workLost handles an attempt that ended without a reply.
func (n *Node) workLost(now time.Time, a *attempt, sent bool) {
	w := n.works[a.request]
	if w == nil {
		return
	}
	if sent {
		n.workUnknown(now, w, api.ReasonConnectionLost)
		return
	}
	// No byte was handed to a connection, so another attempt is safe.
	w.state = workReady
	w.reason = api.ReasonNoConnection
	n.counts.Inc(count.Retried, w.reason)
	n.sendWork(now, w)
}

// workUnknown ends a work order that may have run. Its claim is kept, so that the
// work order never runs again.
func (n *Node) workUnknown(now time.Time, w *work, reason api.Reason) {
	n.endWork(now, w, api.WorkAnswer{Outcome: api.Unknown, Reason: reason, RetryAfter: unknownRetryAfter})
	n.applyDecisions(now, n.claims.Finish(now, w.id(), once.Completion{Outcome: api.Unknown}))
}

// wakeWork handles a timer of a work order: the end of a connection check or of
// the wait for its owner, its deadline, or the end of its retention.
func (n *Node) wakeWork(now time.Time, w *work) {
	switch {
	case now.Before(w.deadline):
		if w.state == workChecking && !now.Before(w.checkUntil) {
			n.checkTimedOut(now, w)
		}
		if w.forward == forwardPending && !now.Before(w.localClaimAt) {
			n.handleLocally(now, w)
		}
	case w.state == workForwarded:
		n.endWork(now, w, api.WorkAnswer{Outcome: api.Unknown, Reason: api.ReasonDeadline, RetryAfter: unknownRetryAfter})
	case w.state == workQueued || w.state == workChecking:
		n.sendWork(now, w) // ends it, because the deadline has passed
	case w.state == workAwaitingProbation:
		n.endWork(now, w, api.WorkAnswer{Outcome: api.NotRun, Reason: api.ReasonQuarantined, RetryAfter: defaultRetryAfter})
	case w.state == workSent && !w.callerAnswered:
		w.callerAnswered = true
		n.answerWork(w.id(), api.WorkAnswer{Outcome: api.Unknown, Reason: api.ReasonDeadline, RetryAfter: unknownRetryAfter})
		w.forgetAt = now.Add(lateResultRetention)
		n.timers.Add(w.forgetAt, timer{request: w.id()})
	case w.state == workSent && !now.Before(w.forgetAt):
		n.workUnknown(now, w, api.ReasonDeadline)
	}
}

// workCallerGone ends a work order that was not sent. One that was sent is kept
// until it ends, so that its outcome is recorded.
func (n *Node) workCallerGone(now time.Time, w *work) {
	w.callerAnswered = true
	switch w.state {
	case workAwaitingProbation, workForwarded:
		n.endWork(now, w, api.WorkAnswer{})
	case workClaiming:
		n.endWork(now, w, api.WorkAnswer{})
		n.applyDecisions(now, n.claims.Cancel(now, w.id()))
	}
}
