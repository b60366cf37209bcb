package node

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/quarantine"
)

// sendWork sends a claimed work order to a target. It is called only while no
// attempt of the work order can have run, so that it runs at most once.
func (n *Node) sendWork(now time.Time, w *work) {
	if w.callerAnswered || !now.Before(w.deadline) {
		n.giveUpWork(now, w, api.ReasonDeadline, defaultRetryAfter)
		return
	}
	if !n.stillAdmitted(now, w) {
		return
	}
	all := n.document.ReplicasOf(w.arrived.Work.Service)
	candidates, reason := n.candidates(now, all, w.tried, "", api.Snapshot{}, "")
	if reason != api.ReasonNone {
		n.giveUpWork(now, w, workReason(w, reason), defaultRetryAfter)
		return
	}
	if w.probation {
		candidates = quarantine.CanaryOrder(w.fingerprint, candidates)[:1]
	}
	replica, conn, reason := n.acquireSlot(now, candidates)
	switch {
	case reason == api.ReasonOverloaded:
		w.state = workQueued
		n.waitForSlot(candidates, waitingRequest{request: w.id(), work: true})
	case reason != api.ReasonNone:
		n.giveUpWork(now, w, workReason(w, reason), defaultRetryAfter)
	case !n.conns.Fresh(now, conn):
		n.checkConnection(now, w, replica, conn)
	default:
		n.dispatchWork(now, w, replica, conn)
	}
}

// checkConnection checks an idle connection before a work order is sent on it. If
// the connection has failed without an error, a work order sent on it would end
// with an unknown outcome.
func (n *Node) checkConnection(now time.Time, w *work, replica api.ReplicaName, conn api.ConnID) {
	n.concurrency.Abandon(replica)
	w.state, w.checkedReplica = workChecking, replica
	w.checkUntil = now.Add(checkTimeout)
	n.timers.Add(w.checkUntil, timer{request: w.id()})
	n.awaitingCheck[replica] = append(n.awaitingCheck[replica], w.id())
	n.emit(n.conns.ProbeNow(now, conn)...)
}

// resumeChecked retries the work orders that wait for a connection check at a
// replica, after an event on one of its connections.
func (n *Node) resumeChecked(now time.Time, replica api.ReplicaName) {
	queue := n.awaitingCheck[replica]
	delete(n.awaitingCheck, replica)
	for _, id := range queue {
		if w := n.works[id]; w != nil && w.state == workChecking && w.checkedReplica == replica {
			w.state = workReady
			n.sendWork(now, w)
		}
	}
}

// checkTimedOut sends a work order to another replica, because the connection
// check was not answered in time.
func (n *Node) checkTimedOut(now time.Time, w *work) {
	w.state, w.reason = workReady, api.ReasonNoConnection
	w.tried = append(w.tried, w.checkedReplica)
	n.counts.Inc(count.Retried, "silent_connection")
	n.sendWork(now, w)
}

// stillAdmitted asks the quarantine again before a work order is sent: while the
// work order waited for its claim, another node may have found that it crashes
// targets. If it is no longer admitted, stillAdmitted ends it.
func (n *Node) stillAdmitted(now time.Time, w *work) bool {
	verdict := n.quarantine.Admit(now, w.fingerprint, quarantine.Options{Work: true})
	switch {
	case verdict.Kind == quarantine.RunProbation:
		w.probation = true
	case verdict.Kind == quarantine.Refuse:
		n.giveUpWork(now, w, api.ReasonQuarantined, verdict.RetryAfter)
		return false
	case verdict.Kind == quarantine.Wait && !w.probation:
		n.giveUpWork(now, w, api.ReasonQuarantined, defaultRetryAfter)
		return false
	}
	return true
}

// workReason returns the reason why the newest attempt did not run if there was
// one, otherwise the reason why no further attempt can be sent.
func workReason(w *work, reason api.Reason) api.Reason {
	if w.reason != api.ReasonNone {
		return w.reason
	}
	return reason
}

func (n *Node) dispatchWork(now time.Time, w *work, replica api.ReplicaName, conn api.ConnID) {
	a := &attempt{
		id: n.newAttempt(), request: w.id(), service: w.arrived.Work.Service, fingerprint: w.fingerprint,
		work: true, extra: w.sent > 0, conn: conn, replica: replica,
	}
	w.state = workSent
	w.sent++
	w.tried = append(w.tried, replica)
	n.track(now, a)
	if w.probation {
		n.quarantine.ProbationStarted(now, w.fingerprint, replica)
	}
	n.emit(event.SendWork{Conn: conn, Request: api.WorkRequest{
		Attempt: a.id, Service: w.arrived.Work.Service, Key: w.arrived.Work.Key,
		Payload: w.arrived.Work.Payload, Deadline: w.deadline,
	}})
}
