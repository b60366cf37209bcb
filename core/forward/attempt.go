package forward

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// attempt is one attempt to send a part to a replica.
type attempt struct {
	id      AttemptID
	request *request
	part    int
	service api.ServiceName
	replica api.ReplicaName
	sentAt  time.Time
	// repeat is set if the part was sent to this replica before.
	repeat bool
	// processStart identifies the process of the replica that the part was sent to.
	processStart int64
	// dialing is set until the connection is open.
	dialing bool
	// replicaUnresponsive is set if the replica had failed to answer other attempts in time, or
	// might have crashed, when this one was sent.
	replicaUnresponsive bool
	// detached is set once nobody waits for the answer any more.
	detached bool
	// stallTimerSet is set once a timer checks the attempt for a stall.
	stallTimerSet bool
	// countedAsLost is set while the attempt is recorded as one that may have crashed its
	// replica, and after that crash. livenessChecked is set once a liveness check was scheduled
	// for it.
	countedAsLost, livenessChecked bool
}

// dispatch sends a part for the first time, or again after an attempt that never reached
// a replica.
func (e *Engine) dispatch(now time.Time, r *request, i int) {
	p := &r.parts[i]
	if !now.Before(r.deadline) {
		e.giveUp(r, p, api.ReasonDeadline)
		return
	}
	name, reason := e.choose(now, r, p, firstAttempt)
	switch reason {
	case api.ReasonNone:
		e.send(now, r, i, name, firstAttempt)
	case api.ReasonOverloaded:
		e.enqueue(r, i, false)
	default:
		e.giveUp(r, p, reason)
	}
}

func (e *Engine) giveUp(r *request, p *part, reason api.Reason) {
	if p.state.settled() {
		return
	}
	p.state, p.reason = partMissing, reason
	r.missing++
	e.counts.Inc(count.Missing, reason)
}

// send sends a part to a replica.
func (e *Engine) send(now time.Time, r *request, i int, name api.ReplicaName, why purpose) {
	p := &r.parts[i]
	e.lastAttempt++
	entry := e.registry.entries[name]
	e.usePermit(name, why)
	a := &attempt{id: e.lastAttempt, request: r, part: i, service: p.service, replica: name, sentAt: now, processStart: entry.ProcessStart}
	e.attempts[a.id] = a
	p.state = partRunning
	p.inFlight = append(p.inFlight, a)
	if a.repeat = slices.Contains(p.tried, name); a.repeat {
		p.repeats++
	} else {
		p.tried = append(p.tried, name)
		p.sends++
	}
	p.hedgeAt = now.Add(r.hedgeAfter)
	r.hedgeAt = earliest(r.hedgeAt, p.hedgeAt)
	// A request on probation is written only once the replica has accepted a new connection
	// for it.
	a.replicaUnresponsive = !r.onProbation && e.unresponsive(name)
	if why == firstAttempt && entry.DataCentre != e.settings.DataCentre {
		e.countCrossing(now, r, p)
	}
	c := e.connections(name)
	a.dialing = r.onProbation || c.used >= c.open
	c.used++
	e.replicas.Sent(now, name)
	e.counts.Inc(count.Sent, "")
	e.countAttempt(why, name)
	if why == firstAttempt && e.sharesFairly() {
		e.sharesOf(r).started(now, r.message.Account, 1/float64(len(r.parts)))
	}
	if r.onProbation {
		e.quarantine.ProbationStarted(now, r.message.Fingerprint, name)
	}
	e.emit(Send{
		Attempt: a.id, Message: r.message, Replica: name, Address: entry.Address,
		ShortLived: !e.prefers(entry, e.preferredRank(p.service)), NewConnection: r.onProbation, Remaining: r.deadline.Sub(now),
		Part: r.route.Sharded(), Merge: r.mergeRule(),
	})
}

// sendExtra sends another attempt for a part if a replica has capacity and the budget
// allows it. Otherwise it returns the reason why not.
func (e *Engine) sendExtra(now time.Time, r *request, i int, why purpose) api.Reason {
	p := &r.parts[i]
	name, reason := e.choose(now, r, p, why)
	if reason == api.ReasonNone && !e.spend(now, r, p, why) {
		reason = api.ReasonRetryBudget
	}
	if reason != api.ReasonNone {
		r.extraDenied = reason
		e.counts.Inc(count.RetryDenied, reason)
		return reason
	}
	e.send(now, r, i, name, why)
	return api.ReasonNone
}

// removeAttempt removes an attempt that has ended, whose connection is idle again or
// closed.
func (e *Engine) removeAttempt(id AttemptID) *attempt {
	a := e.attempts[id]
	if a == nil {
		return nil
	}
	delete(e.attempts, id)
	c := e.connections(a.replica)
	if c.used--; c.used == 0 {
		delete(e.overdueReplicas, a.replica)
		e.dropConnections(a.replica)
	}
	if !a.detached {
		p := &a.request.parts[a.part]
		p.inFlight = slices.DeleteFunc(p.inFlight, func(other *attempt) bool { return other == a })
	}
	return a
}
