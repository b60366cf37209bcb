package forward

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// answeredBeforeGrace applies to requests whose fingerprint replicas have answered before: how
// long after the loss of an attempt the node waits for another answer to a request with the
// same fingerprint before it attributes the crash. Frequent requests are in flight at every
// crash, so being in flight is little evidence against them.
const answeredBeforeGrace = 2 * time.Second

// pendingAttribution is a lost attempt at a crashed process. The crash is not attributed to
// its request yet.
type pendingAttribution struct {
	lostAttempt
	replica      api.ReplicaName
	processStart int64
	// due is when the crash is attributed to the request, unless a replica has answered a
	// request with the same fingerprint by then.
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
// there. An attribution is not final: it may only make a request a suspect, and the
// quarantine decides whether to refuse it. If replicas have answered a request with the same
// fingerprint before, the crash is attributed only after answeredBeforeGrace. Timed-out
// attempts need no such delay, since reportCrash ignores them if their fingerprint was
// answered before.
func (e *Engine) attributeCrash(now time.Time, name api.ReplicaName, processStart int64, lostAttempts []lostAttempt) {
	var immediate []lostAttempt
	for _, l := range lostAttempts {
		if l.timedOut || !e.quarantine.WasAnswered(l.request.message.Fingerprint) {
			immediate = append(immediate, l)
			continue
		}
		due := later(now, l.at.Add(answeredBeforeGrace))
		e.pendingAttributions = append(e.pendingAttributions, pendingAttribution{lostAttempt: l, replica: name, processStart: processStart, due: due})
		e.timers.Add(due, timer{livenessCheck: name}) // livenessCheckDue also applies due attributions
	}
	e.reportCrash(now, name, processStart, immediate)
}

// applyDueAttributions attributes crashes to the requests whose fingerprint was answered
// before, but not again within answeredBeforeGrace.
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

// fingerprintAnswered drops the lost attempts of all requests with a fingerprint that a replica
// has just answered: the answer is evidence that such requests do not crash replicas.
func (e *Engine) fingerprintAnswered(now time.Time, fingerprint api.Fingerprint) {
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
//
// Several crashes during one request count as one, since they may have another common cause.
// The quarantine may refuse a request after its second counted crash. Counting only one
// leaves the request a suspect, so that it gets a probation run before it can be refused.
//
// A timed-out attempt only makes its request a suspect, unless it was lost in the probation
// run of the request: the replica may have stopped responding before it got the request.
func (e *Engine) reportCrash(now time.Time, name api.ReplicaName, processStart int64, lostAttempts []lostAttempt) {
	var confirmed, byTimeout, additional []api.Fingerprint
	process := incarnation(name, processStart)
	for _, l := range lostAttempts {
		r := l.request
		fp := r.message.Fingerprint
		switch {
		case r.replicaAnswered || l.timedOut && (e.quarantine.AnsweredBefore(fp) || e.quarantine.AttributedToOther(name, process, fp)):
			// Either a replica has answered the request since, or the attempt timed out and
			// an earlier answer or another suspect makes a different cause more likely.
			continue
		case r.crashAttributed:
			additional = append(additional, fp)
		case l.timedOut && !r.onProbation:
			byTimeout = append(byTimeout, fp)
			additional = append(additional, fp)
		default:
			confirmed = append(confirmed, fp)
		}
		r.crashAttributed = true // also set if the request is only a suspect
	}
	if len(confirmed)+len(additional) == 0 {
		return
	}
	e.counts.Add(count.Loss, "blamed", uint64(len(confirmed)+len(byTimeout)))
	e.log("replica_crashed", "replica", name, "born", processStart, "lost_requests", len(lostAttempts),
		"oldest_ms", now.Sub(lostAttempts[0].at).Milliseconds(), "fingerprints", fmt.Sprint(confirmed), "by_silence", fmt.Sprint(byTimeout), "further", fmt.Sprint(additional))
	e.publish(e.quarantine.Crashed(now, name, process, confirmed))
	// byTimeout holds the fingerprints of the requests whose attempts timed out at the process.
	e.publish(e.quarantine.RequestsUnanswered(now, byTimeout))
	e.publish(e.quarantine.AdditionalCrash(now, name, process, additional))
}

// incarnation returns a number that identifies one process of a replica, from its name and
// start time.
func incarnation(name api.ReplicaName, processStart int64) api.Incarnation {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return api.Incarnation(h.Sum64() ^ uint64(processStart))
}
