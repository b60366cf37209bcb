package forward

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// This file detects which replicas have crashed. If a request crashes each replica that
// runs it, its attempts are lost or never answered, but that has many other causes too.
// The node therefore opens a connection to the replica as a check, since a process that
// has ended does not accept one. The check needs neither other requests to the replica,
// which may be seconds apart, nor its next registration.

const (
	// checkDelay is the time from a loss to the check of the replica. Most requests
	// are answered by another replica in that time, which makes the check unnecessary,
	// and no replica restarts as fast.
	checkDelay = 100 * time.Millisecond
	// aliveProofWindow is how soon after a loss a check must be sent to prove that the
	// process is still running. A later check may reach the restarted process.
	aliveProofWindow = 500 * time.Millisecond
	// registrationDelay is the time from the start of a process until this node has read
	// its registration.
	registrationDelay = 4 * time.Second
	// recheckInterval is the time between two checks of a replica while this node may be
	// disconnected from all replicas.
	recheckInterval = time.Second
	// lossTTL is how long a loss is kept if no check tells whether the process ended.
	lossTTL = 10 * time.Second
	// maxChecks bounds the checks for one request, against which only one crash counts.
	maxChecks = 3
)

// Reasons for which losses are dropped, as counted.
const (
	lossAlive    api.Reason = "alive"
	lossAnswered api.Reason = "answered"
	lossExpired  api.Reason = "expired"
)

// loss is an attempt that got no answer and may have crashed its replica.
type loss struct {
	request *request
	at      time.Time
	// silent is set if the connection did not end either: nothing came from the replica.
	silent bool
	// expiresAt is when the loss is dropped. ambiguous is set once a check was accepted too
	// late to tell whether this process or the restarted one accepted it.
	expiresAt time.Time
	ambiguous bool
}

// possibleCrash is a process of a replica that may have crashed, and the losses that suggest it.
type possibleCrash struct {
	address string
	born    int64
	losses  []loss
	// checkedAt is when the check without a result was sent; zero if no check is pending.
	checkedAt time.Time
	// unreachable is set after an unanswered check, while a check of another replica
	// decides whether this node is disconnected from all replicas.
	unreachable bool
}

// recordLoss records a lost attempt that may have crashed its replica and schedules a check of
// the replica.
func (e *Engine) recordLoss(now time.Time, a *attempt, silent bool) {
	r := a.request
	entry := e.registry.entries[a.replica]
	if r.replicaAnswered || a.countedAsLost || entry == nil {
		return
	}
	a.countedAsLost = true
	l := loss{request: r, at: now, silent: silent, expiresAt: now.Add(lossTTL)}
	if entry.ProcessStart != a.replicaStart {
		// The replica has restarted since: the process that got the attempt has ended.
		e.blame(now, a.replica, a.replicaStart, []loss{l})
		return
	}
	if r.crashChecks >= maxChecks {
		e.counts.Inc(count.Loss, "unchecked")
		return
	}
	r.crashChecks++
	r.unresolvedCrashChecks++
	d := e.possibleCrashes[a.replica]
	if d == nil {
		d = &possibleCrash{address: entry.Address, born: entry.ProcessStart}
		e.possibleCrashes[a.replica] = d
	}
	d.losses = append(d.losses, l)
	e.timers.Add(now.Add(checkDelay), timer{check: a.replica})
}

// recordSilentLoss records an attempt that got no answer in time, unless it cannot be the cause: it
// was never written, the replica already failed to answer earlier attempts, or replicas have
// answered its content before. The last exception is needed because a replica may have
// stopped responding before it got the attempt, which an open connection does not show, and
// because popular contents are sent to every such replica.
func (e *Engine) recordSilentLoss(now time.Time, a *attempt) {
	if a.dialing || a.replicaUnresponsive || e.quarantine.AnsweredBefore(a.request.message.Fingerprint) {
		return
	}
	e.recordLoss(now, a, true)
}

// notAnswering reports whether a replica has not answered earlier attempts in time or
// may have crashed.
func (e *Engine) notAnswering(name api.ReplicaName) bool {
	return e.overdueReplicas[name] || e.stalledReplicas[name] || e.possibleCrashes[name] != nil || e.replicas.Suspect(name)
}

// checkDue drops expired losses at a replica and checks the replica if any unexplained loss
// remains.
func (e *Engine) checkDue(now time.Time, name api.ReplicaName) {
	e.applyDueBlame(now)
	d := e.possibleCrashes[name]
	if d == nil || !d.checkedAt.IsZero() || d.unreachable {
		return
	}
	e.dropLosses(now, name, func(l *loss) api.Reason {
		if now.Before(l.expiresAt) {
			return api.ReasonNone
		}
		return lossExpired
	})
	if !slices.ContainsFunc(d.losses, func(l loss) bool { return !l.ambiguous }) {
		return
	}
	d.checkedAt = now
	e.startCheck(name, d.address)
}

// dropLosses removes and counts the losses at a replica for which why returns a reason.
func (e *Engine) dropLosses(now time.Time, name api.ReplicaName, why func(*loss) api.Reason) {
	d := e.possibleCrashes[name]
	d.losses = slices.DeleteFunc(d.losses, func(l loss) bool {
		reason := why(&l)
		if reason == api.ReasonNone {
			return false
		}
		e.counts.Inc(count.Loss, reason)
		e.resolveLoss(now, l.request)
		return true
	})
	if len(d.losses) == 0 {
		delete(e.possibleCrashes, name)
	}
}

// resolveLoss notes that one loss of a request is explained. It ends the isolation of a
// finished request once this holds for all of its losses.
func (e *Engine) resolveLoss(now time.Time, r *request) {
	r.unresolvedCrashChecks--
	if r.unresolvedCrashChecks == 0 && e.requests[r.id] != r {
		e.endIsolation(now, r)
	}
}

func (e *Engine) startCheck(name api.ReplicaName, address string) {
	entry := e.registry.entries[name]
	brief := entry == nil || entry.rank > e.preferredRank(entry.Service)
	e.counts.Inc(count.Connection, "checked")
	e.emit(CheckReplica{Replica: name, Address: address, ShortLived: brief})
}

// replicaChecked handles the result of a check.
func (e *Engine) replicaChecked(now time.Time, ev ReplicaChecked) {
	if ev.Result != CheckUnanswered {
		e.lastCheckAnsweredAt = now
	}
	if ev.Replica == e.controlReplica {
		e.controlChecked(now, ev.Result)
	}
	d := e.possibleCrashes[ev.Replica]
	if d == nil || d.checkedAt.IsZero() {
		return
	}
	sentAt := d.checkedAt
	d.checkedAt = time.Time{}
	switch {
	case ev.Result == CheckRefused:
		e.crashed(now, ev.Replica)
	case ev.Result == CheckAccepted:
		e.checkAccepted(now, ev.Replica, sentAt)
	case e.lastCheckAnsweredAt.After(sentAt):
		e.crashed(now, ev.Replica)
	default:
		d.unreachable = true
		e.checkControl(now)
	}
}

// checkAccepted handles a check that was accepted, by the process in question or by the
// restarted one.
func (e *Engine) checkAccepted(now time.Time, name api.ReplicaName, sentAt time.Time) {
	e.dropLosses(now, name, func(l *loss) api.Reason {
		if gap := sentAt.Sub(l.at); gap >= 0 && gap <= aliveProofWindow {
			return lossAlive
		}
		return api.ReasonNone
	})
	d := e.possibleCrashes[name]
	if d == nil {
		return
	}
	for i := range d.losses {
		if l := &d.losses[i]; !l.at.After(sentAt) && !l.ambiguous {
			l.ambiguous, l.expiresAt = true, now.Add(registrationDelay)
		}
	}
	e.timers.Add(now.Add(checkDelay), timer{check: name})
	e.timers.Add(now.Add(registrationDelay), timer{check: name})
}

// checkControl checks a randomly chosen replica without recorded losses, as a control: if
// it does not answer either, this node may be disconnected from all replicas.
func (e *Engine) checkControl(now time.Time) {
	if e.controlReplica != "" {
		return
	}
	names := slices.Sorted(maps.Keys(e.registry.entries))
	names = slices.DeleteFunc(names, func(name api.ReplicaName) bool { return e.possibleCrashes[name] != nil })
	if len(names) == 0 {
		e.recheckUnreachable(now)
		return
	}
	e.controlReplica = names[e.rng.IntN(len(names))]
	e.startCheck(e.controlReplica, e.registry.entries[e.controlReplica].Address)
}

// controlChecked uses the result of the control check to decide whether the replicas that
// did not answer their own checks have crashed.
func (e *Engine) controlChecked(now time.Time, result CheckResult) {
	defer func() { e.controlReplica = "" }()
	if result == CheckUnanswered {
		e.recheckUnreachable(now)
		return
	}
	for _, name := range e.unreachableReplicas() {
		e.crashed(now, name)
	}
}

// recheckUnreachable schedules another check of the replicas that did not answer, since this
// node may be disconnected from all replicas.
func (e *Engine) recheckUnreachable(now time.Time) {
	names := e.unreachableReplicas()
	e.log("checks_unanswered", "replicas", len(names), "control", e.controlReplica)
	for _, name := range names {
		e.possibleCrashes[name].unreachable = false
		e.timers.Add(now.Add(recheckInterval), timer{check: name})
	}
}

// unreachableReplicas returns the replicas that did not answer their check, sorted by name.
func (e *Engine) unreachableReplicas() []api.ReplicaName {
	var names []api.ReplicaName
	for name, d := range e.possibleCrashes {
		if d.unreachable {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// crashed handles a replica whose process has ended: it blames the requests that were lost
// there.
func (e *Engine) crashed(now time.Time, name api.ReplicaName) {
	d := e.possibleCrashes[name]
	if d == nil {
		return
	}
	delete(e.possibleCrashes, name)
	e.blame(now, name, d.born, d.losses)
	for _, l := range d.losses {
		e.resolveLoss(now, l.request)
	}
}

// replicaRestarted handles the registration of a restarted replica. Attempts that the previous
// process left unanswered for at least their stall time count as lost.
func (e *Engine) replicaRestarted(now time.Time, name api.ReplicaName) {
	ids := slices.Sorted(maps.Keys(e.attempts))
	for _, id := range ids {
		a := e.attempts[id]
		if a.replica == name && now.Sub(a.sentAt) >= a.request.stallTime() {
			e.counts.Inc(count.Loss, "open_at_restart")
			e.recordSilentLoss(now, a)
		}
	}
	if e.possibleCrashes[name] == nil {
		e.counts.Inc(count.Loss, "restart_unexplained")
	}
	e.crashed(now, name)
}
