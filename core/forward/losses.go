package forward

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// This file detects which replicas have crashed. An attempt is lost if its connection ends
// before the answer or if it times out. If a request crashes each replica that runs it, its
// attempts are lost, but that has many other causes too.
// The node therefore runs a liveness check: it opens a connection to the replica, which a
// process that has ended does not accept. The check needs neither other requests to the
// replica, which may be seconds apart, nor its next registration.

const (
	// livenessCheckDelay is the time from the loss of an attempt to the liveness check of its
	// replica. Most requests are answered by another replica in that time, which makes the
	// check unnecessary, and no replica restarts as fast.
	livenessCheckDelay = 100 * time.Millisecond
	// livenessProofWindow is how soon after the loss of an attempt a check must be sent to
	// prove that the process is still running. A later check may reach the restarted process.
	livenessProofWindow = 500 * time.Millisecond
	// registrationDelay is the time from the start of a process until this node has read
	// its registration.
	registrationDelay = 4 * time.Second
	// recheckInterval is the time between two checks of a replica while this node may be
	// disconnected from all replicas.
	recheckInterval = time.Second
	// lostAttemptTTL is how long a lost attempt is kept if no check tells whether the process
	// ended.
	lostAttemptTTL = 10 * time.Second
	// probationCheckInterval is the time between two checks of a replica that runs a request on
	// probation, from its stall time on.
	probationCheckInterval = 500 * time.Millisecond
	// maxLivenessChecks limits how many lost attempts of one request are followed by a
	// liveness check. Several crashes during one request count as one, so that few checks are
	// enough.
	maxLivenessChecks = 3
)

// Reasons for which lost attempts are dropped, as counted.
const (
	lossProcessRunning api.Reason = "alive"
	lossAnswered       api.Reason = "answered"
	lossExpired        api.Reason = "expired"
)

// lostAttempt is an attempt that may have crashed its replica: its connection ended before
// the answer, or it timed out.
type lostAttempt struct {
	attempt *attempt
	request *request
	at      time.Time
	// timedOut is set if the connection did not end: nothing came from the replica in time.
	timedOut bool
	// expiresAt is when the lost attempt is dropped.
	expiresAt time.Time
	// ambiguous is set once a check was accepted too late to tell whether the process that
	// lost the attempt or its successor after a restart accepted it.
	ambiguous bool
}

// possibleCrash is a process of a replica that may have crashed, and the lost attempts that
// suggest it.
type possibleCrash struct {
	address      string
	dataCentre   api.DataCentre
	processStart int64
	lostAttempts []lostAttempt
	// checkedAt is when the pending liveness check was sent; zero if none is pending.
	checkedAt time.Time
	// unreachable is set after an unanswered check, until a check of another replica shows
	// whether this node is disconnected from all replicas.
	unreachable bool
}

// recordLostAttempt records a lost attempt that may have crashed its replica and schedules a
// liveness check of the replica. An attempt may be lost twice: it times out while its replica
// runs, and its connection ends or it is cancelled later.
func (e *Engine) recordLostAttempt(now time.Time, a *attempt, timedOut bool) {
	r := a.request
	entry := e.registry.entries[a.replica]
	if r.replicaAnswered || entry == nil {
		return
	}
	l := lostAttempt{attempt: a, request: r, at: now, timedOut: timedOut, expiresAt: now.Add(lostAttemptTTL)}
	switch {
	case a.countedAsLost && timedOut:
		return
	case a.countedAsLost:
		e.connectionEndedAfterTimeout(l)
		return
	}
	if entry.ProcessStart != a.processStart {
		// The replica has restarted since: the process that got the attempt has ended.
		a.countedAsLost = true
		e.attributeCrash(now, a.replica, a.processStart, []lostAttempt{l})
		return
	}
	if !a.livenessChecked && r.livenessChecks >= maxLivenessChecks {
		e.counts.Inc(count.Loss, "unchecked")
		return
	}
	if !a.livenessChecked {
		r.livenessChecks++
	}
	a.countedAsLost, a.livenessChecked = true, true
	r.unresolvedLosses++
	p := e.possibleCrashes[a.replica]
	if p == nil {
		p = &possibleCrash{address: entry.Address, dataCentre: entry.DataCentre, processStart: entry.ProcessStart}
		e.possibleCrashes[a.replica] = p
	}
	p.lostAttempts = append(p.lostAttempts, l)
	e.timers.Add(now.Add(livenessCheckDelay), timer{livenessCheck: a.replica})
}

// connectionEndedAfterTimeout replaces the unresolved timeout of an attempt by the end of its
// connection, which is stronger evidence and needs another check.
func (e *Engine) connectionEndedAfterTimeout(l lostAttempt) {
	p := e.possibleCrashes[l.attempt.replica]
	if p == nil {
		return // the crash was attributed
	}
	for i := range p.lostAttempts {
		if p.lostAttempts[i].attempt == l.attempt {
			p.lostAttempts[i] = l
			e.timers.Add(l.at.Add(livenessCheckDelay), timer{livenessCheck: l.attempt.replica})
		}
	}
}

// recordTimedOutAttempt records an attempt that got no answer in time as lost, unless it
// cannot have crashed the replica: it was never written, the replica already failed to answer
// earlier attempts, or replicas have answered its content before. The last exception is
// needed because a replica may have stopped responding before it got the attempt, which an
// open connection does not show, and because popular contents are sent to every such replica.
func (e *Engine) recordTimedOutAttempt(now time.Time, a *attempt) {
	if a.dialing || a.replicaUnresponsive || e.quarantine.AnsweredBefore(a.request.message.Fingerprint) {
		return
	}
	e.recordLostAttempt(now, a, true)
}

// unresponsive reports whether a replica has not answered earlier attempts in time or may
// have crashed: an attempt has exceeded its hedge delay (overdueReplicas) or has stalled
// (stalledReplicas) and nothing was answered since, lost attempts suggest a crash
// (possibleCrashes), or the load balancer suspects the replica.
func (e *Engine) unresponsive(name api.ReplicaName) bool {
	return e.overdueReplicas[name] || e.stalledReplicas[name] || e.possibleCrashes[name] != nil || e.replicas.Suspect(name)
}

// livenessCheckDue handles the livenessCheck timer of a replica, which also serves
// attributions: it applies all that are due. It then drops the expired lost attempts at the
// replica and checks the replica if any of the others is not ambiguous.
func (e *Engine) livenessCheckDue(now time.Time, name api.ReplicaName) {
	e.applyDueAttributions(now)
	p := e.possibleCrashes[name]
	if p == nil || !p.checkedAt.IsZero() || p.unreachable {
		return
	}
	e.dropLostAttempts(now, name, func(l *lostAttempt) api.Reason {
		if now.Before(l.expiresAt) {
			return api.ReasonNone
		}
		return lossExpired
	})
	if !slices.ContainsFunc(p.lostAttempts, func(l lostAttempt) bool { return !l.ambiguous }) {
		return
	}
	if e.Evacuated(p.dataCentre) {
		// No connection may be opened. The next registration may still tell of a restart.
		e.timers.Add(p.nextExpiry(), timer{livenessCheck: name})
		return
	}
	p.checkedAt = now
	e.startLivenessCheck(name, p.address)
}

// nextExpiry returns when the first of the lost attempts is dropped.
func (p *possibleCrash) nextExpiry() time.Time {
	var next time.Time
	for i := range p.lostAttempts {
		next = earliest(next, p.lostAttempts[i].expiresAt)
	}
	return next
}

// dropLostAttempts removes and counts the lost attempts at a replica for which why returns a
// reason.
func (e *Engine) dropLostAttempts(now time.Time, name api.ReplicaName, why func(*lostAttempt) api.Reason) {
	p := e.possibleCrashes[name]
	p.lostAttempts = slices.DeleteFunc(p.lostAttempts, func(l lostAttempt) bool {
		reason := why(&l)
		if reason == api.ReasonNone {
			return false
		}
		e.counts.Inc(count.Loss, reason)
		l.attempt.countedAsLost = false // it may crash its replica later
		if reason == lossProcessRunning {
			e.checkAgainOnProbation(now, l.attempt)
		}
		e.resolveLostAttempt(now, l.request)
		return true
	})
	if len(p.lostAttempts) == 0 {
		delete(e.possibleCrashes, name)
	}
}

// checkAgainOnProbation schedules the next check of a replica that was found running, if it runs a
// request on probation. The verdict must not wait for the deadline of the request, since other
// nodes run it until then.
func (e *Engine) checkAgainOnProbation(now time.Time, a *attempt) {
	if a.request.onProbation && e.attempts[a.id] == a {
		e.timers.Add(now.Add(probationCheckInterval), timer{attempt: a.id})
	}
}

// resolveLostAttempt records that a lost attempt of a request is resolved: it was dropped or
// its replica has crashed. It ends the probation run of a finished request once all of its
// lost attempts are resolved.
func (e *Engine) resolveLostAttempt(now time.Time, r *request) {
	r.unresolvedLosses--
	if r.unresolvedLosses == 0 && e.requests[r.id] != r {
		e.endProbation(now, r)
	}
}

// startLivenessCheck starts a liveness check of a replica. The connection is short-lived, that
// is closed soon when idle, if the replica is no longer registered or if its rank shows that
// other nodes prefer it: the nodes divide the replicas among them (see preferredRank).
func (e *Engine) startLivenessCheck(name api.ReplicaName, address string) {
	entry := e.registry.entries[name]
	shortLived := entry == nil || !e.prefers(entry, e.preferredRank(entry.Service))
	e.counts.Inc(count.Connection, "checked")
	e.emit(CheckReplica{Replica: name, Address: address, ShortLived: shortLived})
}

// replicaChecked handles the result of a liveness check.
func (e *Engine) replicaChecked(now time.Time, ev ReplicaChecked) {
	if ev.Result != CheckUnanswered {
		e.lastCheckAnsweredAt = now
	}
	if ev.Replica == e.controlReplica {
		e.controlChecked(now, ev.Result)
	}
	if ev.Result == CheckRefused {
		e.replicaRefused(now, ev.Replica)
	}
	p := e.possibleCrashes[ev.Replica]
	if p == nil || p.checkedAt.IsZero() {
		return
	}
	sentAt := p.checkedAt
	p.checkedAt = time.Time{}
	switch {
	case ev.Result == CheckRefused:
		e.replicaCrashed(now, ev.Replica)
	case ev.Result == CheckAccepted:
		e.checkAccepted(now, ev.Replica, sentAt)
	case e.lastCheckAnsweredAt.After(sentAt):
		// Another replica has answered a check since, so this node is not disconnected.
		e.replicaCrashed(now, ev.Replica)
	default:
		p.unreachable = true
		e.checkControl(now)
	}
}

// checkAccepted handles a liveness check that was accepted, either by the process that lost
// the attempts or by its successor after a restart.
func (e *Engine) checkAccepted(now time.Time, name api.ReplicaName, sentAt time.Time) {
	e.dropLostAttempts(now, name, func(l *lostAttempt) api.Reason {
		if gap := sentAt.Sub(l.at); gap >= 0 && gap <= livenessProofWindow {
			return lossProcessRunning
		}
		return api.ReasonNone
	})
	p := e.possibleCrashes[name]
	if p == nil {
		return
	}
	for i := range p.lostAttempts {
		if l := &p.lostAttempts[i]; !l.at.After(sentAt) && !l.ambiguous {
			l.ambiguous, l.expiresAt = true, now.Add(registrationDelay)
		}
	}
	e.timers.Add(now.Add(livenessCheckDelay), timer{livenessCheck: name})
	e.timers.Add(now.Add(registrationDelay), timer{livenessCheck: name})
}

// checkControl checks a randomly chosen replica without lost attempts, the control replica,
// for comparison: if it does not answer either, this node may be disconnected from all
// replicas.
func (e *Engine) checkControl(now time.Time) {
	if e.controlReplica != "" {
		return
	}
	names := slices.Sorted(maps.Keys(e.registry.entries))
	names = slices.DeleteFunc(names, func(name api.ReplicaName) bool {
		return e.possibleCrashes[name] != nil || e.evacuated(e.registry.entries[name])
	})
	if len(names) == 0 {
		e.recheckUnreachable(now)
		return
	}
	e.controlReplica = names[e.rng.IntN(len(names))]
	e.startLivenessCheck(e.controlReplica, e.registry.entries[e.controlReplica].Address)
}

// controlChecked uses the result of the check of the control replica to decide whether the
// replicas that did not answer their own checks have crashed.
func (e *Engine) controlChecked(now time.Time, result CheckResult) {
	defer func() { e.controlReplica = "" }()
	if result == CheckUnanswered {
		e.recheckUnreachable(now)
		return
	}
	for _, name := range e.unreachableReplicas() {
		e.replicaCrashed(now, name)
	}
}

// recheckUnreachable schedules another check of the replicas that did not answer, since this
// node may be disconnected from all replicas.
func (e *Engine) recheckUnreachable(now time.Time) {
	names := e.unreachableReplicas()
	e.log("checks_unanswered", "replicas", len(names), "control", e.controlReplica)
	for _, name := range names {
		e.possibleCrashes[name].unreachable = false
		e.timers.Add(now.Add(recheckInterval), timer{livenessCheck: name})
	}
}

// unreachableReplicas returns the replicas that did not answer their check, sorted by name.
func (e *Engine) unreachableReplicas() []api.ReplicaName {
	var names []api.ReplicaName
	for name, p := range e.possibleCrashes {
		if p.unreachable {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// replicaCrashed handles a replica whose process has ended: it attributes the crash to the
// requests that lost an attempt there.
func (e *Engine) replicaCrashed(now time.Time, name api.ReplicaName) {
	p := e.possibleCrashes[name]
	if p == nil {
		return
	}
	delete(e.possibleCrashes, name)
	e.attributeCrash(now, name, p.processStart, p.lostAttempts)
	for _, l := range p.lostAttempts {
		e.resolveLostAttempt(now, l.request)
	}
}

// replicaRestarted handles the registration of a restarted replica. It is called while the
// registry still holds the entry of the process that has ended. Attempts that this process
// left unanswered for at least their stall time count as lost.
func (e *Engine) replicaRestarted(now time.Time, name api.ReplicaName) {
	ids := slices.Sorted(maps.Keys(e.attempts))
	for _, id := range ids {
		a := e.attempts[id]
		if a.replica == name && now.Sub(a.sentAt) >= a.request.stallTime() {
			e.counts.Inc(count.Loss, "open_at_restart")
			e.recordTimedOutAttempt(now, a)
		}
	}
	if e.possibleCrashes[name] == nil {
		e.counts.Inc(count.Loss, "restart_unexplained")
	}
	e.replicaCrashed(now, name)
}
