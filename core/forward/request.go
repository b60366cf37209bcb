package forward

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/routing"
)

const (
	// comeBackSoon is when a caller may return after a refusal for want of room.
	comeBackSoon = 50 * time.Millisecond
	// comeBackLater is when a caller may return after a refusal that another
	// node or a little time may cure.
	comeBackLater = 250 * time.Millisecond
)

type partState uint8

const (
	// partHeld waits for another part to be answered.
	partHeld partState = iota
	// partWaiting waits for room at a replica.
	partWaiting
	// partRunning has at least one attempt on its way.
	partRunning
	// partCovered has an answer.
	partCovered
	// partMissing was given up.
	partMissing
)

// mostRepeats is the number of times that a part is sent again to replicas that
// it was sent to before.
const mostRepeats = 2

// mayMove reports whether the part may be sent to one more replica.
func (p *part) mayMove(r *request) bool { return p.sends < r.maxAttempts }

// mayRepeat reports whether the part of a sharded request may be sent again to a
// replica that lost it before. Another part must have been answered: otherwise it
// may be a request that crashes replicas.
func (p *part) mayRepeat(r *request) bool {
	return r.route.Sharded() && r.survived && p.repeats < mostRepeats && len(p.failed) > 0
}

func (s partState) settled() bool { return s == partCovered || s == partMissing }

// part is one shard's share of a request, or the whole request of a route to a
// single replica.
type part struct {
	service api.ServiceName
	state   partState
	live    []*attempt
	// tried are the replicas that the part was sent to, sends their number
	// without those that it did not reach.
	tried []api.ReplicaName
	sends int
	// failed are the tried replicas that the part reached and that gave no
	// answer; they may be asked again, which repeats counts.
	failed  []api.ReplicaName
	repeats int
	hedgeAt time.Time
	reply   Reply
	reason  api.Reason
	// told is set once the answer was sent to the node that asked for it.
	told bool
}

// request is one request of a caller.
type request struct {
	id      api.RequestID
	message *Message
	route   *routing.Route
	version uint64 // of the configuration
	start   time.Time
	// deadline is when the final answer is due, target when it is worth most.
	deadline time.Time
	target   time.Time
	parts    []part
	covered  int
	// subset is set if the request came from another node, which then takes care
	// of the smallest share of shards.
	subset *Subset
	// uncleared is set while the node that asked for a subset may still ask another
	// one, so that each shard gets one attempt only.
	uncleared bool
	// maxAttempts bounds the replicas that each part is sent to.
	maxAttempts int
	// reported is set once the parts answered at the target time were sent.
	reported bool
	// halfAt is when half of the parts were answered.
	halfAt time.Time
	// enoughAt is when the smallest share of shards was answered.
	enoughAt time.Time
	missing  int
	// alone is set while the request is suspected of crashing replicas: one part
	// is sent once, and the others after its answer.
	alone bool
	// survived is set once a replica has answered.
	survived bool
	// lost is the number of attempts that were lost before any answer.
	lost int
	// checks is the number of replicas that were checked since the request was lost
	// there, doubts the number of those whose process may still have ended.
	checks, doubts int
	// blamed is set once the end of a replica's process was held against the request.
	blamed bool
	// mayHaveRun is set once a replica may have begun to work on the request.
	mayHaveRun bool
	extras     int
	// denied is why an extra attempt was not sent last.
	denied     api.Reason
	hedgeAfter time.Duration
	// hedgeAt is when the first part that runs is due for a hedge, or earlier.
	hedgeAt time.Time
	// holds is set once a part waits for another one to be answered.
	holds bool
	// failure is the last error that a replica answered with.
	failure *Reply
	wakeAt  time.Time
}

// enough reports whether an answer with the given number of parts is valid.
func (r *request) enough(parts int) bool {
	switch {
	case r.subset != nil:
		return true
	case !r.route.Sharded():
		return parts > 0
	}
	return parts > 0 && float64(parts) >= r.route.MinCoverage*float64(len(r.route.Shards))-1e-9
}

// noteEnough records when the smallest share of shards was answered.
func (r *request) noteEnough(now time.Time, parts int) {
	if r.enoughAt.IsZero() && r.enough(parts) {
		r.enoughAt = now
	}
}

func (e *Engine) version() uint64 {
	if e.table == nil {
		return 0
	}
	return e.table.Version
}

// progress hedges what is due, ends the request if it can be ended, and sets
// its next timer.
func (e *Engine) progress(now time.Time, r *request) {
	if e.requests[r.id] != r || e.finishIfDue(now, r) {
		return
	}
	if r.subset != nil && !r.reported && !now.Before(r.target) {
		e.report(now, r)
	}
	wake := r.deadline
	if r.target.After(now) && r.target.Before(wake) {
		wake = r.target
	}
	if !r.hedgeAt.IsZero() && !now.Before(r.hedgeAt) {
		r.hedgeAt = e.hedge(now, r)
	}
	wake = earliest(wake, r.hedgeAt)
	if r.wakeAt.IsZero() || wake.Before(r.wakeAt) {
		r.wakeAt = wake
		e.timers.Set(wake, timer{request: r.id})
	}
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// hedge sends a second attempt for each part whose only attempt is slow, if the
// request may run more than once. It returns when the next part is due.
func (e *Engine) hedge(now time.Time, r *request) time.Time {
	var next time.Time
	for i := range r.parts {
		p := &r.parts[i]
		if p.state != partRunning || len(p.live) == 0 {
			continue
		}
		if now.Before(p.hedgeAt) {
			next = earliest(next, p.hedgeAt)
			continue
		}
		e.overdue(p)
		if r.uncleared || !r.route.Idempotent || r.alone || len(p.live) != 1 || p.sends >= r.maxAttempts {
			continue
		}
		if e.sendExtra(now, r, i, hedging) == api.ReasonNone {
			e.counts.Inc(count.Hedged, "slow")
			continue
		}
		p.hedgeAt = now.Add(max(r.hedgeAfter, time.Millisecond))
		next = earliest(next, p.hedgeAt)
	}
	return next
}

// cleared lets the parts of a subset have more than one attempt.
func (e *Engine) cleared(now time.Time, id api.RequestID) {
	r := e.requests[id]
	if r == nil || !r.uncleared {
		return
	}
	r.uncleared = false
	r.hedgeAt = now // parts may have become due
	for i := range r.parts {
		if p := &r.parts[i]; p.state == partWaiting {
			e.resume(now, p.service)
		}
	}
	e.progress(now, r)
}

// finishIfDue ends a request that has its answer, cannot get one, or has run
// out of time. It reports whether the request has ended.
func (e *Engine) finishIfDue(now time.Time, r *request) bool {
	e.giveUpHeld(r)
	open := len(r.parts) - r.covered - r.missing
	switch {
	case open == 0:
		e.finish(now, r, r.reason())
	case !r.enough(r.covered + open):
		e.finish(now, r, r.reason())
	case !now.Before(r.deadline):
		e.finish(now, r, api.ReasonDeadline)
	case r.subset == nil && !now.Before(r.target) && r.covered > 0 && r.enough(r.covered):
		e.finish(now, r, api.ReasonEarlyReturn)
	default:
		return false
	}
	return true
}

// giveUpHeld gives up the parts that wait for another part to be answered, if
// none is left that could be.
func (e *Engine) giveUpHeld(r *request) {
	if !r.holds {
		return
	}
	for i := range r.parts {
		if s := r.parts[i].state; s == partRunning || s == partWaiting {
			return
		}
	}
	for i := range r.parts {
		if p := &r.parts[i]; p.state == partHeld {
			e.giveUp(r, p, api.ReasonCrashed)
		}
	}
}

// callerGone gives up a request whose caller no longer waits.
func (e *Engine) callerGone(now time.Time, id api.RequestID) {
	if d := e.divided[id]; d != nil {
		e.dividedGone(now, d)
		return
	}
	r := e.requests[id]
	if r == nil {
		return
	}
	delete(e.requests, id)
	e.endAlone(now, r)
	for i := range r.parts {
		// A node that needs the rest of a range no more usually has its answer.
		e.release(now, r, &r.parts[i], r.subset == nil)
	}
	e.counts.Inc(count.SearchEnded, api.ReasonCallerGone)
	e.log("request_abandoned", "id", r.message.CallerRequest, "route", r.route.Name,
		"after_ms", now.Sub(r.start).Milliseconds(), "covered", r.covered)
}
