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
// replicas have answered before, before it blames that content for a crash. Requests with
// popular contents are in flight at every crash.
const knownContentGrace = 2 * time.Second

// pendingBlame is a loss at a crashed process for which the request is not blamed yet.
type pendingBlame struct {
	loss
	replica api.ReplicaName
	born    int64
	// due is when the request is blamed if no replica has answered its content by then.
	due time.Time
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// blame blames the crash of a process on the requests that were lost there. Requests whose
// content replicas have answered before are blamed only after knownContentGrace, unless the
// replica stopped responding.
func (e *Engine) blame(now time.Time, name api.ReplicaName, born int64, losses []loss) {
	var unknown []loss
	for _, l := range losses {
		if l.silent || !e.quarantine.Known(l.request.message.Fingerprint) {
			unknown = append(unknown, l)
			continue
		}
		due := later(now, l.at.Add(knownContentGrace))
		e.pendingBlames = append(e.pendingBlames, pendingBlame{loss: l, replica: name, born: born, due: due})
		e.timers.Add(due, timer{check: name})
	}
	e.reportCrash(now, name, born, unknown)
}

// applyDueBlame blames the requests with known contents that were not answered again within
// knownContentGrace.
func (e *Engine) applyDueBlame(now time.Time) {
	var due []pendingBlame
	e.pendingBlames = slices.DeleteFunc(e.pendingBlames, func(l pendingBlame) bool {
		if now.Before(l.due) {
			return false
		}
		due = append(due, l)
		return true
	})
	for _, l := range due {
		e.reportCrash(now, l.replica, l.born, []loss{l.loss})
	}
}

// contentAnswered drops the losses of all requests with a content that a replica has just
// answered: the content does not crash replicas.
func (e *Engine) contentAnswered(now time.Time, fingerprint api.Fingerprint) {
	for _, name := range slices.Sorted(maps.Keys(e.possibleCrashes)) {
		e.dropLosses(now, name, func(l *loss) api.Reason {
			if l.request.message.Fingerprint == fingerprint {
				return lossAnswered
			}
			return api.ReasonNone
		})
	}
	e.pendingBlames = slices.DeleteFunc(e.pendingBlames, func(l pendingBlame) bool { return l.request.message.Fingerprint == fingerprint })
}

// reportCrash reports a crash and the requests to blame for it to the quarantine. Several
// crashes under one request count as one, since they may have another common cause: an
// innocent request is then tried alone before it is refused. A replica that stopped
// responding only makes the request a suspect, unless the request was tried alone: the
// replica may have stopped before it got the request.
func (e *Engine) reportCrash(now time.Time, name api.ReplicaName, born int64, losses []loss) {
	var confirmed, silent, further []api.Fingerprint
	process := incarnation(name, born)
	for _, l := range losses {
		r := l.request
		fp := r.message.Fingerprint
		switch {
		case r.replicaAnswered || l.silent && (e.quarantine.AnsweredBefore(fp) || e.quarantine.AttributedToOther(name, process, fp)):
			continue // another request may have crashed the process
		case r.crashAttributed:
			further = append(further, fp)
		case l.silent && !r.isolated:
			silent = append(silent, fp)
			further = append(further, fp)
		default:
			confirmed = append(confirmed, fp)
		}
		r.crashAttributed = true
	}
	if len(confirmed)+len(further) == 0 {
		return
	}
	e.counts.Add(count.Loss, "blamed", uint64(len(confirmed)+len(silent)))
	e.log("replica_crashed", "replica", name, "born", born, "lost_requests", len(losses),
		"oldest_ms", now.Sub(losses[0].at).Milliseconds(), "fingerprints", confirmed, "by_silence", silent, "further", further)
	e.publish(e.quarantine.Crashed(now, name, process, confirmed))
	e.publish(e.quarantine.TargetsUnresponsive(now, silent))
	e.publish(e.quarantine.AdditionalCrash(now, name, process, further))
}

// incarnation returns a number that identifies one process of a replica, from its name and
// start time.
func incarnation(name api.ReplicaName, born int64) api.Incarnation {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return api.Incarnation(h.Sum64() ^ uint64(born))
}
