package forward

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// The pattern: a request ends the process of each replica that begins to run it. Its
// attempt is lost or never answered, as it is on many other occasions. The node
// therefore asks for a connection to the replica, since a process that has ended does
// not accept one. That waits neither for other requests to the replica, which may be
// seconds apart, nor for its registration.

const (
	// checkDelay is the time from a loss to the check of the replica. Most requests
	// are answered by another replica within it, so that no check is needed; no
	// replica starts again as soon.
	checkDelay = 100 * time.Millisecond
	// provesLife is how soon after a loss a check has to be sent to prove that the
	// process goes on. A later one may meet the next process.
	provesLife = 500 * time.Millisecond
	// reportTime is the time from the start of a process until its registration is
	// read.
	reportTime = 4 * time.Second
	// recheckInterval is the time between two checks while this node may be cut off.
	recheckInterval = time.Second
	// lossHold is how long a loss is kept that no check has explained.
	lossHold = 10 * time.Second
	// mostChecks bounds the checks for one request, of which one end is held against it.
	mostChecks = 3
)

// What becomes of losses, as counted.
const (
	lossAlive    api.Reason = "alive"
	lossAnswered api.Reason = "answered"
	lossExpired  api.Reason = "expired"
)

// loss is an attempt without an answer that may have ended its replica's process.
type loss struct {
	request *request
	at      time.Time
	// silent is set if not even the end of the connection was heard.
	silent bool
	// until is when the loss is dropped; ambiguous is set once a check was accepted
	// too late to tell this process from the next one.
	until     time.Time
	ambiguous bool
}

// doubt is a replica's process that may have ended.
type doubt struct {
	address string
	born    int64
	losses  []loss
	// checkedAt is when a check was sent that has no result yet; zero if there is none.
	checkedAt time.Time
	// unreachable is set while it depends on the check of another replica whether this
	// node is cut off.
	unreachable bool
}

// lostOn remembers an attempt that may have ended its replica's process, and has the
// replica checked.
func (e *Engine) lostOn(now time.Time, a *attempt, silent bool) {
	r := a.request
	entry := e.registry.entries[a.replica]
	if r.survived || a.doubted || entry == nil {
		return
	}
	a.doubted = true
	l := loss{request: r, at: now, silent: silent, until: now.Add(lossHold)}
	if entry.Born != a.born {
		// The process that had the attempt is known to have ended.
		e.blame(now, a.replica, a.born, []loss{l})
		return
	}
	if r.checks >= mostChecks {
		e.counts.Inc(count.Loss, "unchecked")
		return
	}
	r.checks++
	r.doubts++
	d := e.doubts[a.replica]
	if d == nil {
		d = &doubt{address: entry.Address, born: entry.Born}
		e.doubts[a.replica] = d
	}
	d.losses = append(d.losses, l)
	e.timers.Set(now.Add(checkDelay), timer{check: a.replica})
}

// silentOn remembers an attempt that had no answer in time, unless it cannot be the cause:
// it was never written, the replica did not answer others before it, or replicas have
// answered its content. A replica may have fallen silent before it got the attempt, which
// nothing shows on an open connection, and popular contents are sent to each of them.
func (e *Engine) silentOn(now time.Time, a *attempt) {
	if a.dialing || a.unanswering || e.quarantine.AnsweredBefore(a.request.message.Fingerprint) {
		return
	}
	e.lostOn(now, a, true)
}

// notAnswering reports whether a replica owes answers to earlier attempts.
func (e *Engine) notAnswering(name api.ReplicaName) bool {
	return e.quiet[name] || e.silent[name] || e.doubts[name] != nil || e.replicas.Suspect(name)
}

// checkDue checks a replica if requests that were lost there have had no answer since.
func (e *Engine) checkDue(now time.Time, name api.ReplicaName) {
	e.blameDue(now)
	d := e.doubts[name]
	if d == nil || !d.checkedAt.IsZero() || d.unreachable {
		return
	}
	e.dropLosses(now, name, func(l *loss) api.Reason {
		if now.Before(l.until) {
			return api.ReasonNone
		}
		return lossExpired
	})
	if !slices.ContainsFunc(d.losses, func(l loss) bool { return !l.ambiguous }) {
		return
	}
	d.checkedAt = now
	e.check(name, d.address)
}

// dropLosses removes the losses at a replica for which why returns a reason.
func (e *Engine) dropLosses(now time.Time, name api.ReplicaName, why func(*loss) api.Reason) {
	d := e.doubts[name]
	d.losses = slices.DeleteFunc(d.losses, func(l loss) bool {
		reason := why(&l)
		if reason == api.ReasonNone {
			return false
		}
		e.counts.Inc(count.Loss, reason)
		e.settleDoubt(now, l.request)
		return true
	})
	if len(d.losses) == 0 {
		delete(e.doubts, name)
	}
}

// settleDoubt ends the isolation of a request that has ended once it is known what
// became of the replicas that it ran on.
func (e *Engine) settleDoubt(now time.Time, r *request) {
	r.doubts--
	if r.doubts == 0 && e.requests[r.id] != r {
		e.endAlone(now, r)
	}
}

func (e *Engine) check(name api.ReplicaName, address string) {
	entry := e.registry.entries[name]
	brief := entry == nil || entry.rank > e.preferredRank(entry.Service)
	e.counts.Inc(count.Connection, "checked")
	e.act(CheckReplica{Replica: name, Address: address, Brief: brief})
}

// replicaChecked handles the result of a check.
func (e *Engine) replicaChecked(now time.Time, ev ReplicaChecked) {
	if ev.Result != CheckUnanswered {
		e.reachedAt = now
	}
	if ev.Replica == e.control {
		e.controlChecked(now, ev.Result)
	}
	d := e.doubts[ev.Replica]
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
	case e.reachedAt.After(sentAt):
		e.crashed(now, ev.Replica)
	default:
		d.unreachable = true
		e.checkControl(now)
	}
}

// checkAccepted handles a check that the replica, or the next one at its address, accepted.
func (e *Engine) checkAccepted(now time.Time, name api.ReplicaName, sentAt time.Time) {
	e.dropLosses(now, name, func(l *loss) api.Reason {
		if gap := sentAt.Sub(l.at); gap >= 0 && gap <= provesLife {
			return lossAlive
		}
		return api.ReasonNone
	})
	d := e.doubts[name]
	if d == nil {
		return
	}
	for i := range d.losses {
		if l := &d.losses[i]; !l.at.After(sentAt) && !l.ambiguous {
			l.ambiguous, l.until = true, now.Add(reportTime)
		}
	}
	e.timers.Set(now.Add(checkDelay), timer{check: name})
	e.timers.Set(now.Add(reportTime), timer{check: name})
}

// checkControl checks a replica that is not in doubt, to see whether this node is cut
// off from all of them.
func (e *Engine) checkControl(now time.Time) {
	if e.control != "" {
		return
	}
	names := slices.Sorted(maps.Keys(e.registry.entries))
	names = slices.DeleteFunc(names, func(name api.ReplicaName) bool { return e.doubts[name] != nil })
	if len(names) == 0 {
		e.cutOff(now)
		return
	}
	e.control = names[e.rng.IntN(len(names))]
	e.check(e.control, e.registry.entries[e.control].Address)
}

// controlChecked decides on the replicas that did not answer their checks.
func (e *Engine) controlChecked(now time.Time, result CheckResult) {
	defer func() { e.control = "" }()
	if result == CheckUnanswered {
		e.cutOff(now)
		return
	}
	for _, name := range e.unreachable() {
		e.crashed(now, name)
	}
}

// cutOff has the replicas checked again that did not answer, since this node may be cut
// off from all of them.
func (e *Engine) cutOff(now time.Time) {
	names := e.unreachable()
	e.log("checks_unanswered", "replicas", len(names), "control", e.control)
	for _, name := range names {
		e.doubts[name].unreachable = false
		e.timers.Set(now.Add(recheckInterval), timer{check: name})
	}
}

// unreachable lists the replicas that did not answer a check, by name.
func (e *Engine) unreachable() []api.ReplicaName {
	var names []api.ReplicaName
	for name, d := range e.doubts {
		if d.unreachable {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// crashed handles a replica whose process has ended: the requests that were lost there
// are suspect.
func (e *Engine) crashed(now time.Time, name api.ReplicaName) {
	d := e.doubts[name]
	if d == nil {
		return
	}
	delete(e.doubts, name)
	e.blame(now, name, d.born, d.losses)
	for _, l := range d.losses {
		e.settleDoubt(now, l.request)
	}
}

// restarted handles the registration of a replica's next process. What the former one
// had not answered for long is lost.
func (e *Engine) restarted(now time.Time, name api.ReplicaName) {
	ids := slices.Sorted(maps.Keys(e.attempts))
	for _, id := range ids {
		a := e.attempts[id]
		if a.replica == name && now.Sub(a.sentAt) >= a.request.stallTime() {
			e.counts.Inc(count.Loss, "open_at_restart")
			e.silentOn(now, a)
		}
	}
	if e.doubts[name] == nil {
		e.counts.Inc(count.Loss, "restart_unexplained")
	}
	e.crashed(now, name)
}
