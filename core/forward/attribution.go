package forward

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// knownContentGrace is how long the node waits for another answer to a content that
// replicas have answered before, before it attributes a crash to a request with that
// content. Requests with popular contents are in flight at every crash.
const knownContentGrace = 2 * time.Second

// pendingAttribution is a lost attempt at a crashed process. The crash is not attributed to
// its request yet.
type pendingAttribution struct {
	lostAttempt
	replica      api.ReplicaName
	processStart int64
	// due is when the crash is attributed to the request if no replica has answered its
	// content by then.
	due time.Time
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// attributeCrash attributes the crash of a process to the requests that lost an attempt
// there. If replicas have answered the content of a request before, the crash is attributed
// to it only after knownContentGrace, unless its attempt timed out.
func (e *Engine) attributeCrash(now time.Time, name api.ReplicaName, processStart int64, lostAttempts []lostAttempt) {
	var immediate []lostAttempt
	for _, l := range lostAttempts {
		if l.timedOut || !e.quarantine.WasAnswered(l.request.message.Fingerprint) {
			immediate = append(immediate, l)
			continue
		}
		due := later(now, l.at.Add(knownContentGrace))
		e.pendingAttributions = append(e.pendingAttributions, pendingAttribution{lostAttempt: l, replica: name, processStart: processStart, due: due})
		e.timers.Add(due, timer{livenessCheck: name})
	}
	e.reportCrash(now, name, processStart, immediate)
}

// applyDueAttributions attributes crashes to the requests whose known content was not
// answered again within knownContentGrace.
func (e *Engine) applyDueAttributions(now time.Time) {
	var due []pendingAttribution
	e.pendingAttributions = slices.DeleteFunc(e.pendingAttributions, func(l pendingAttribution) bool {
		if now.Before(l.due) {
			return false
		}
		due = append(due, l)
		return true
	})
	for _, l := range due {
		e.reportCrash(now, l.replica, l.processStart, []lostAttempt{l.lostAttempt})
	}
}

// contentAnswered drops the lost attempts of all requests with a content that a replica has
// just answered: the content does not crash replicas.
func (e *Engine) contentAnswered(now time.Time, fingerprint api.Fingerprint) {
	for _, name := range slices.Sorted(maps.Keys(e.possibleCrashes)) {
		e.dropLostAttempts(now, name, func(l *lostAttempt) api.Reason {
			if l.request.message.Fingerprint == fingerprint {
				return lossAnswered
			}
			return api.ReasonNone
		})
	}
	e.pendingAttributions = slices.DeleteFunc(e.pendingAttributions, func(l pendingAttribution) bool { return l.request.message.Fingerprint == fingerprint })
}

// reportCrash reports a crash and the requests that may have caused it to the quarantine.
// Several crashes during one request count as one, since they may have another common cause:
// an innocent request then runs in isolation before it is refused. A timed-out attempt only
// makes its request a suspect, unless the request ran in isolation: the replica may have
// stopped responding before it got the request.
func (e *Engine) reportCrash(now time.Time, name api.ReplicaName, processStart int64, lostAttempts []lostAttempt) {
	var confirmed, byTimeout, additional []api.Fingerprint
	process := incarnation(name, processStart)
	for _, l := range lostAttempts {
		r := l.request
		fp := r.message.Fingerprint
		switch {
		case r.replicaAnswered || l.timedOut && (e.quarantine.AnsweredBefore(fp) || e.quarantine.AttributedToOther(name, process, fp)):
			continue // another request may have crashed the process
		case r.crashAttributed:
			additional = append(additional, fp)
		case l.timedOut && !r.isolated:
			byTimeout = append(byTimeout, fp)
			additional = append(additional, fp)
		default:
			confirmed = append(confirmed, fp)
		}
		r.crashAttributed = true
	}
	if len(confirmed)+len(additional) == 0 {
		return
	}
	e.counts.Add(count.Loss, "blamed", uint64(len(confirmed)+len(byTimeout)))
	e.log("replica_crashed", "replica", name, "born", processStart, "lost_requests", len(lostAttempts),
		"oldest_ms", now.Sub(lostAttempts[0].at).Milliseconds(), "fingerprints", confirmed, "by_silence", byTimeout, "further", additional)
	e.publish(e.quarantine.Crashed(now, name, process, confirmed))
	e.publish(e.quarantine.TargetsUnresponsive(now, byTimeout))
	e.publish(e.quarantine.AdditionalCrash(now, name, process, additional))
}

// incarnation returns a number that identifies one process of a replica, from its name and
// start time.
func incarnation(name api.ReplicaName, processStart int64) api.Incarnation {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return api.Incarnation(h.Sum64() ^ uint64(processStart))
}
