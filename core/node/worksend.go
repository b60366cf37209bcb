package node

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/quarantine"
)

// sendWork sends a claimed work order to a target. It is called only while no
// attempt of it can have run, so that the work order runs at most once.
func (n *Node) sendWork(now time.Time, w *work) {
	if w.answered || !now.Before(w.deadline) {
		n.giveUpWork(now, w, api.ReasonDeadline, comeBackAfter)
		return
	}
	if !n.stillAdmitted(now, w) {
		return
	}
	all := n.document.ReplicasOf(w.arrived.Work.Service)
	candidates, reason := n.candidates(now, all, w.tried, "", api.Snapshot{}, "")
	if reason != api.ReasonNone {
		n.giveUpWork(now, w, workReason(w, reason), comeBackAfter)
		return
	}
	if w.probation {
		candidates = quarantine.CanaryOrder(w.fingerprint, candidates)[:1]
	}
	replica, conn, reason := n.place(now, candidates)
	switch {
	case reason == api.ReasonOverloaded:
		w.state = workQueued
		n.waitFor(candidates, waitingPart{request: w.id(), work: true})
	case reason != api.ReasonNone:
		n.giveUpWork(now, w, workReason(w, reason), comeBackAfter)
	case !n.conns.Fresh(now, conn):
		n.checkFirst(now, w, replica, conn)
	default:
		n.dispatchWork(now, w, replica, conn)
	}
}

// checkFirst asks for a sign of life on a connection that was idle. Without
// one, a work order could be sent on a connection that has gone silent, and its
// outcome would stay unknown.
func (n *Node) checkFirst(now time.Time, w *work, replica api.ReplicaName, conn api.ConnID) {
	n.concurrent.Abandon(replica)
	w.state, w.checkedReplica = workChecking, replica
	w.checkUntil = now.Add(checkWait)
	n.timers.Set(w.checkUntil, timer{request: w.id()})
	n.checking[replica] = append(n.checking[replica], w.id())
	n.act(n.conns.Check(now, conn)...)
}

// checked sends the work orders that waited for news of a replica's
// connections.
func (n *Node) checked(now time.Time, replica api.ReplicaName) {
	queue := n.checking[replica]
	delete(n.checking, replica)
	for _, id := range queue {
		if w := n.works[id]; w != nil && w.state == workChecking && w.checkedReplica == replica {
			w.state = workReady
			n.sendWork(now, w)
		}
	}
}

// checkFailed passes over a replica that gave no sign of life in time.
func (n *Node) checkFailed(now time.Time, w *work) {
	w.state, w.reason = workReady, api.ReasonNoConnection
	w.tried = append(w.tried, w.checkedReplica)
	n.counts.Inc(count.Retried, "silent_connection")
	n.sendWork(now, w)
}

// stillAdmitted asks the quarantine again before a work order is sent: while it
// waited for its claim, another node may have found that it crashes targets. A
// refused one is given up.
func (n *Node) stillAdmitted(now time.Time, w *work) bool {
	verdict := n.quarantine.Admit(now, w.fingerprint, quarantine.Options{Work: true})
	switch {
	case verdict.Kind == quarantine.RunAlone:
		w.probation = true
	case verdict.Kind == quarantine.Refuse:
		n.giveUpWork(now, w, api.ReasonQuarantined, verdict.RetryAfter)
		return false
	case verdict.Kind == quarantine.Wait && !w.probation:
		n.giveUpWork(now, w, api.ReasonQuarantined, comeBackAfter)
		return false
	}
	return true
}

// workReason prefers what a target said over what kept the next attempt back.
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
		n.quarantine.Placed(now, w.fingerprint, replica)
	}
	n.act(event.SendWork{Conn: conn, Request: api.WorkRequest{
		Attempt: a.id, Service: w.arrived.Work.Service, Key: w.arrived.Work.Key,
		Payload: w.arrived.Work.Payload, Deadline: w.deadline,
	}})
}
