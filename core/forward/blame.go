package forward

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// answerWait is how long a content that replicas have answered before may be answered
// again before the end of a process is held against it. Popular contents are in flight
// at every end.
const answerWait = 2 * time.Second

// ended is a loss at a process that has ended.
type ended struct {
	loss
	replica api.ReplicaName
	born    int64
	// due is when the end is held against the request if no replica answers its content.
	due time.Time
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// blame holds the end of a process against the requests that were lost there and that
// no replica has answered, against known ones after answerWait.
func (e *Engine) blame(now time.Time, name api.ReplicaName, born int64, losses []loss) {
	var unknown []loss
	for _, l := range losses {
		if l.silent || !e.quarantine.Known(l.request.message.Fingerprint) {
			unknown = append(unknown, l)
			continue
		}
		due := later(now, l.at.Add(answerWait))
		e.ended = append(e.ended, ended{loss: l, replica: name, born: born, due: due})
		e.timers.Set(due, timer{check: name})
	}
	e.suspect(now, name, born, unknown)
}

// blameDue holds ends against known contents that were not answered again.
func (e *Engine) blameDue(now time.Time) {
	var due []ended
	e.ended = slices.DeleteFunc(e.ended, func(l ended) bool {
		if now.Before(l.due) {
			return false
		}
		due = append(due, l)
		return true
	})
	for _, l := range due {
		e.suspect(now, l.replica, l.born, []loss{l.loss})
	}
}

// contentAnswered explains the losses of requests with the same content as one that a
// replica has answered.
func (e *Engine) contentAnswered(now time.Time, fingerprint api.Fingerprint) {
	for _, name := range slices.Sorted(maps.Keys(e.doubts)) {
		e.dropLosses(now, name, func(l *loss) api.Reason {
			if l.request.message.Fingerprint == fingerprint {
				return lossAnswered
			}
			return api.ReasonNone
		})
	}
	e.ended = slices.DeleteFunc(e.ended, func(l ended) bool { return l.request.message.Fingerprint == fingerprint })
}

// suspect tells the quarantine of the end of a process. Several that end under one request
// may do so for one other reason, and count as one: an innocent request is then tried alone
// before it is refused. Silence only makes a request suspect, unless it was tried alone:
// the replica may have fallen silent before.
func (e *Engine) suspect(now time.Time, name api.ReplicaName, born int64, losses []loss) {
	var confirmed, silent, further []api.Fingerprint
	process := incarnation(name, born)
	for _, l := range losses {
		r := l.request
		fp := r.message.Fingerprint
		switch {
		case r.survived || l.silent && (e.quarantine.AnsweredBefore(fp) || e.quarantine.Explained(name, process, fp)):
			continue // another request may have ended the process
		case r.blamed:
			further = append(further, fp)
		case l.silent && !r.alone:
			silent = append(silent, fp)
			further = append(further, fp)
		default:
			confirmed = append(confirmed, fp)
		}
		r.blamed = true
	}
	if len(confirmed)+len(further) == 0 {
		return
	}
	e.counts.Add(count.Loss, "blamed", uint64(len(confirmed)+len(silent)))
	e.log("replica_crashed", "replica", name, "born", born, "lost_requests", len(losses),
		"oldest_ms", now.Sub(losses[0].at).Milliseconds(), "fingerprints", confirmed, "by_silence", silent, "further", further)
	e.publish(e.quarantine.Crashed(now, name, process, confirmed))
	e.publish(e.quarantine.FellSilent(now, silent))
	e.publish(e.quarantine.EndedToo(now, name, process, further))
}

// incarnation returns a number for the life of a replica's process.
func incarnation(name api.ReplicaName, born int64) api.Incarnation {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return api.Incarnation(h.Sum64() ^ uint64(born))
}
