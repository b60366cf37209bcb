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
	// workWaiting waits for the result of a probation run.
	workWaiting workState = iota
	// workForwarded waits for the answer of the owner of its claim partition.
	workForwarded
	// workClaiming waits for its claim.
	workClaiming
	// workReady is claimed and not at any target: never sent, or refused by
	// each target before running.
	workReady
	// workQueued is claimed and waits for room at a replica.
	workQueued
	// workChecking is claimed and waits until the connection of a replica has
	// shown a sign of life.
	workChecking
	// workSent was handed to a connection.
	workSent
)

const (
	// maxWorkAttempts bounds the targets asked. Only attempts that certainly did
	// not run are followed by another.
	maxWorkAttempts = 3
	// resendAfter is when a caller with an unknown outcome may ask again with
	// the same key.
	resendAfter = time.Second
	// checkWait is how long an idle connection may take to show a sign of life
	// before the work order goes to another replica.
	checkWait = 250 * time.Millisecond
	// lateResultWait bounds the time that a work order is remembered after its
	// deadline, so that a late result is recorded for resends.
	lateResultWait = 30 * time.Second
)

// work is one work order of a caller.
type work struct {
	arrived     event.WorkArrived
	fingerprint api.Fingerprint
	deadline    time.Time
	state       workState
	probation   bool
	sent        int
	tried       []api.ReplicaName
	reason      api.Reason // why the newest attempt did not run
	answered    bool       // the caller has its answer
	forgetAt    time.Time

	forward        forwardState
	forwardedTo    api.EntryName
	forwardAddress string
	localAt        time.Time // when this node asks for the claim itself
	triedLocally   bool
	localAnswer    api.WorkAnswer // what this node was refused with

	checkedReplica api.ReplicaName
	checkUntil     time.Time
}

func (w *work) id() api.RequestID { return w.arrived.Request }

// workArrived checks a work order and asks for its claim, or refuses it.
func (n *Node) workArrived(now time.Time, ev event.WorkArrived) {
	rule, refusal := n.ruleFor(now, ev.Work.Service, config.KindWork)
	if refusal != api.ReasonNone {
		n.refuseWork(ev.Request, refusal, comeBackAfter)
		return
	}
	w := &work{
		arrived:     ev,
		fingerprint: quarantine.WorkFingerprint(ev.Work),
		deadline:    earliest(ev.Deadline, now.Add(rule.Deadline)),
	}
	if !now.Before(w.deadline) {
		n.refuseWork(ev.Request, api.ReasonDeadline, comeBackAfter)
		return
	}
	if admitted, retryAfter := n.admission.Admit(now, ev.Work.Service, 1, w.deadline); !admitted {
		n.refuseWork(ev.Request, api.ReasonOverloaded, retryAfter)
		return
	}
	n.works[ev.Request] = w
	n.timers.Set(w.deadline, timer{request: ev.Request})
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
	n.act(event.AnswerWork{Request: request, Answer: answer})
}

// admitWork asks the quarantine, then for the claim.
func (n *Node) admitWork(now time.Time, w *work) {
	verdict := n.quarantine.Admit(now, w.fingerprint, quarantine.Options{Work: true})
	switch verdict.Kind {
	case quarantine.Refuse:
		n.endWork(now, w, api.WorkAnswer{
			Outcome: api.NotRun, Reason: api.ReasonQuarantined, RetryAfter: verdict.RetryAfter,
		})
		return
	case quarantine.Wait:
		w.state = workWaiting
		n.onProbation[w.fingerprint] = append(n.onProbation[w.fingerprint], w.id())
		return
	case quarantine.RunAlone:
		w.probation = true
	}
	w.state = workClaiming
	n.decide(now, n.claims.Begin(now, once.Claimant{
		Request: w.id(), Caller: w.arrived.Caller, Work: w.arrived.Work, Deadline: w.deadline,
	}))
}

// endWork answers the caller, unless it was answered before, and forgets the
// work order.
func (n *Node) endWork(now time.Time, w *work, answer api.WorkAnswer) {
	if !w.answered {
		w.answered = true
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

// decide carries out the decisions of the claim coordinator.
func (n *Node) decide(now time.Time, r once.Result) {
	n.act(r.Actions...)
	for _, d := range r.Decisions {
		w := n.works[d.Request]
		switch {
		case w == nil:
		case d.Granted:
			w.state = workReady
			if w.forward == forwardOpen {
				// The owner has not even claimed the key.
				n.pausePeer(now, w.forwardedTo, "work_forward_slow")
			}
			n.sendWork(now, w)
		case !n.keepWaiting(w, d.Answer):
			n.endWork(now, w, d.Answer)
		}
	}
}

// giveUpWork ends a claimed work order that certainly did not run and releases
// its claim, so that the caller may send the same key again.
func (n *Node) giveUpWork(now time.Time, w *work, reason api.Reason, retryAfter time.Duration) {
	n.endWork(now, w, api.WorkAnswer{Outcome: api.NotRun, Reason: reason, RetryAfter: retryAfter})
	n.decide(now, n.claims.Finish(now, w.id(), once.Finish{Outcome: api.NotRun}))
}

// workReplied handles a target's answer to a work order.
func (n *Node) workReplied(now time.Time, ev *event.WorkReplied) {
	a := n.attempts[ev.Attempt]
	if a == nil || !a.work {
		n.counts.Inc(count.Discarded, "late")
		n.observeLoad(now, ev.Conn, ev.Reply.Load)
		return
	}
	delete(n.attempts, ev.Attempt)
	n.settle(now, a, ev.Reply.Outcome, now.Sub(a.sentAt), ev.Reply.Load)
	w := n.works[a.request]
	switch {
	case w == nil:
		n.counts.Inc(count.Discarded, "forgotten")
	case ev.Reply.Attempt != ev.Attempt:
		// The answer belongs to another work order: what became of this one is
		// not known.
		n.counts.Inc(count.Discarded, api.ReasonMismatched)
		n.workUnknown(now, w, api.ReasonMismatched)
	case ev.Reply.Outcome.Ran():
		n.workRan(now, a, w, &ev.Reply)
	default:
		n.workRefused(now, w, &ev.Reply)
	}
	n.resume(now, a.replica)
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
	n.decide(now, n.claims.Finish(now, w.id(), once.Finish{Outcome: outcome, Result: reply.Result}))
}

// workRefused tries another target. That is safe because the target refused
// the work order before running it.
func (n *Node) workRefused(now time.Time, w *work, reply *api.WorkReply) {
	w.state = workReady
	w.reason = reply.Outcome.Reason()
	if w.probation || w.sent >= maxWorkAttempts || !n.SpendExtra(now, w.arrived.Work.Service) {
		n.giveUpWork(now, w, w.reason, max(reply.RetryAfter, comeBackAfter))
		return
	}
	n.counts.Inc(count.Retried, w.reason)
	n.sendWork(now, w)
}

// workLost handles an attempt that ended without an answer.
func (n *Node) workLost(now time.Time, a *attempt, sent bool) {
	w := n.works[a.request]
	if w == nil {
		return
	}
	if sent {
		n.workUnknown(now, w, api.ReasonConnectionLost)
		return
	}
	// No byte was handed to a connection, so that another attempt is safe.
	w.state = workReady
	w.reason = api.ReasonNoConnection
	n.counts.Inc(count.Retried, w.reason)
	n.sendWork(now, w)
}

// workUnknown ends a work order that may have run. Its claim stays, so that it
// never runs again.
func (n *Node) workUnknown(now time.Time, w *work, reason api.Reason) {
	n.endWork(now, w, api.WorkAnswer{Outcome: api.Unknown, Reason: reason, RetryAfter: resendAfter})
	n.decide(now, n.claims.Finish(now, w.id(), once.Finish{Outcome: api.Unknown}))
}

// wakeWork handles the deadline of a work order.
func (n *Node) wakeWork(now time.Time, w *work) {
	switch {
	case now.Before(w.deadline):
		if w.state == workChecking && !now.Before(w.checkUntil) {
			n.checkFailed(now, w)
		}
		if w.forward == forwardOpen && !now.Before(w.localAt) {
			n.handleLocally(now, w)
		}
	case w.state == workForwarded:
		n.endWork(now, w, api.WorkAnswer{Outcome: api.Unknown, Reason: api.ReasonDeadline, RetryAfter: resendAfter})
	case w.state == workQueued || w.state == workChecking:
		n.sendWork(now, w) // gives it up, since the deadline has passed
	case w.state == workWaiting:
		n.endWork(now, w, api.WorkAnswer{Outcome: api.NotRun, Reason: api.ReasonQuarantined, RetryAfter: comeBackAfter})
	case w.state == workSent && !w.answered:
		w.answered = true
		n.answerWork(w.id(), api.WorkAnswer{Outcome: api.Unknown, Reason: api.ReasonDeadline, RetryAfter: resendAfter})
		w.forgetAt = now.Add(lateResultWait)
		n.timers.Set(w.forgetAt, timer{request: w.id()})
	case w.state == workSent && !now.Before(w.forgetAt):
		n.workUnknown(now, w, api.ReasonDeadline)
	}
}

// workCallerGone gives up a work order that was not sent. One that was sent is
// followed to its end, so that its outcome is recorded.
func (n *Node) workCallerGone(now time.Time, w *work) {
	w.answered = true
	switch w.state {
	case workWaiting, workForwarded:
		n.endWork(now, w, api.WorkAnswer{})
	case workClaiming:
		n.endWork(now, w, api.WorkAnswer{})
		n.decide(now, n.claims.Cancel(now, w.id()))
	}
}
