package fanout

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/snapshot"
)

type partState uint8

const (
	// partHeld waits for a canary to be answered.
	partHeld partState = iota
	// partWaiting waits for room at a replica.
	partWaiting
	// partPaused waits for the time to try again.
	partPaused
	// partRunning has at least one attempt on its way.
	partRunning
	// partCovered has a verified answer.
	partCovered
	// partMissing was given up.
	partMissing
)

func (s partState) settled() bool { return s == partCovered || s == partMissing }

// attempt is one sending of a part that has not ended.
type attempt struct {
	id      api.AttemptID
	replica api.ReplicaName
	sentAt  time.Time
	canary  bool
}

// part is one shard's share of a search.
type part struct {
	state partState
	live  []attempt
	tried []api.ReplicaName
	// firstLive and firstTried hold the first entries of live and tried: most
	// parts are sent once, and then need no memory of their own.
	firstLive  [1]attempt
	firstTried [1]api.ReplicaName
	sent       int
	hedged     bool
	ran        bool // a target may have run it
	retryAt    time.Time
	reason     api.Reason
	rows       []api.Row
	limitHit   bool
}

// Query is one search in progress. Its methods must be called in the order of
// time; after Done reports true it ignores everything.
type Query struct {
	Plan
	env      Env
	parts    []part
	restarts int
	ran      bool // a target may have run a part before a restart

	covered      uint64 // width of covered parts
	total        uint64 // width of all parts
	unsettled    int
	versionGaps  int // parts missing because of their version
	nextScan     time.Time
	canaryNext   int // next candidate
	canaryLive   int
	canaryLost   int
	canaryReason api.Reason
	canaryAt     time.Time // when the newest canary was sent
	released     bool

	done   bool
	answer api.SearchAnswer
}

// New returns a search that has not sent anything yet.
func New(plan Plan, env Env) *Query {
	q := &Query{Plan: plan, env: env}
	q.reset()
	return q
}

// reset prepares the parts for the plan's snapshot and drops all rows.
func (q *Query) reset() {
	q.parts = make([]part, len(q.Shards))
	q.covered, q.total = 0, 0
	q.unsettled, q.versionGaps = len(q.Shards), 0
	for i := range q.Shards {
		q.total += q.Shards[i].Width()
		p := &q.parts[i]
		p.live, p.tried = p.firstLive[:0], p.firstTried[:0]
	}
}

// Begin sends the first requests.
func (q *Query) Begin(now time.Time) {
	if q.done {
		return
	}
	q.nextScan = now.Add(q.HedgeDelay)
	if q.Mode == NoCanary || q.released {
		q.release(now)
	} else {
		q.sendCanary(now)
	}
	q.evaluate(now)
}

// release sends all parts that were held back.
func (q *Query) release(now time.Time) {
	q.released = true
	for i := range q.parts {
		if q.done {
			return
		}
		if q.parts[i].state == partHeld {
			q.dispatch(now, i)
		}
	}
}

// dispatch sends a part for the first time or again.
func (q *Query) dispatch(now time.Time, i int) bool {
	p := &q.parts[i]
	sent, reason := q.env.Send(now, q, i, p.tried, "")
	if reason == api.ReasonNone {
		q.started(now, i, sent, false)
		return true
	}
	if reason == api.ReasonOverloaded {
		p.state = partWaiting
		return false
	}
	q.giveUpOrPause(now, i, reason)
	return false
}

// started records an attempt.
func (q *Query) started(now time.Time, i int, sent Sent, canary bool) {
	p := &q.parts[i]
	p.state = partRunning
	p.live = append(p.live, attempt{id: sent.Attempt, replica: sent.Replica, sentAt: now, canary: canary})
	p.tried = append(p.tried, sent.Replica)
	p.sent++
	q.scanBy(now.Add(q.HedgeDelay))
}

func (q *Query) scanBy(at time.Time) {
	if at.Before(q.nextScan) || q.nextScan.IsZero() {
		q.nextScan = at
	}
}

// ResumePart tries again to send a part that waits for room. It reports whether
// the part no longer waits.
func (q *Query) ResumePart(now time.Time, i int) bool {
	if q.done || i >= len(q.parts) || q.parts[i].state != partWaiting {
		return true
	}
	restarts := q.restarts
	q.dispatch(now, i)
	q.evaluate(now)
	// A restart may have left fewer parts, or another one at this index.
	return q.done || q.restarts != restarts || q.parts[i].state != partWaiting
}

// Wake returns when Tick has to be called next.
func (q *Query) Wake() time.Time {
	if q.nextScan.IsZero() || q.Deadline.Before(q.nextScan) {
		return q.Deadline
	}
	return q.nextScan
}

// Tick hedges, retries what paused, and ends the search at its deadline.
func (q *Query) Tick(now time.Time) {
	if q.done {
		return
	}
	if !now.Before(q.Deadline) {
		q.finish(now, api.ReasonDeadline)
		return
	}
	if now.Before(q.nextScan) {
		return
	}
	q.nextScan = q.Deadline
	q.evaluate(now) // an early return that is due needs no hedges
	if q.done {
		return
	}
	if !q.released && q.Mode != NoCanary {
		q.hedgeCanary(now)
	} else {
		q.scan(now)
	}
	q.evaluate(now)
}

// scan hedges slow parts and retries paused ones.
func (q *Query) scan(now time.Time) {
	for i := 0; i < len(q.parts) && !q.done; i++ {
		p := &q.parts[i]
		switch p.state {
		case partRunning:
			q.hedge(now, i)
		case partPaused:
			q.retryPaused(now, i)
		}
	}
}

// hedge sends a second attempt for a part whose only attempt is slow.
func (q *Query) hedge(now time.Time, i int) {
	p := &q.parts[i]
	if q.SlowParts == WaitForSlow {
		return
	}
	if p.hedged || len(p.live) != 1 || p.sent >= maxAttempts {
		return
	}
	due := p.live[0].sentAt.Add(q.HedgeDelay)
	if now.Before(due) {
		q.scanBy(due)
		return
	}
	if len(q.Shards[i].Replicas) <= len(p.tried) {
		return // no other replica is left
	}
	if !q.env.SpendExtra(now, q.Query.Service) {
		q.env.Count(count.RetryDenied, api.ReasonBudget)
		q.scanBy(now.Add(q.HedgeDelay))
		return
	}
	sent, reason := q.env.Send(now, q, i, p.tried, "")
	if reason != api.ReasonNone {
		q.env.RefundExtra(q.Query.Service)
		q.env.Count(count.RetryDenied, reason)
		q.scanBy(now.Add(q.HedgeDelay)) // room may be free by then
		return
	}
	p.hedged = true
	q.env.Count(count.Hedged, "slow")
	if q.SlowParts == ReplaceSlow {
		q.cancelPart(p)
	}
	q.started(now, i, sent, false)
}

func (q *Query) retryPaused(now time.Time, i int) {
	p := &q.parts[i]
	if now.Before(p.retryAt) {
		q.scanBy(p.retryAt)
		return
	}
	p.tried = p.tried[:0] // every replica was asked; begin again
	q.dispatch(now, i)
}

// Snapshot returns the snapshot that the search runs at now.
func (q *Query) Snapshot() api.Snapshot { return q.Choice.Snapshot }

// Done returns the answer once the search has ended.
func (q *Query) Done() (api.SearchAnswer, bool) { return q.answer, q.done }

// Abandon ends the search without an answer, because its caller is gone.
func (q *Query) Abandon() {
	if q.done {
		return
	}
	q.cancelAll()
	q.done = true
	q.answer = api.SearchAnswer{Outcome: api.Unknown, Reason: api.ReasonCallerGone}
}

func (q *Query) cancelAll() {
	for i := range q.parts {
		q.cancelPart(&q.parts[i])
	}
}

// cancelPart ends the attempts of a part. Targets may have run them by now.
func (q *Query) cancelPart(p *part) {
	p.ran = p.ran || len(p.live) > 0
	for _, a := range p.live {
		q.env.Cancel(a.id)
	}
	p.live = p.live[:0]
}

// mayHaveRun reports whether a target may have run any part.
func (q *Query) mayHaveRun() bool {
	return q.ran || slices.ContainsFunc(q.parts, func(p part) bool { return p.ran })
}

// restart drops everything gathered and begins again at another snapshot.
func (q *Query) restart(now time.Time, choice snapshot.Choice, canaries []Canary) {
	q.restarts++
	q.cancelAll()
	q.ran = q.mayHaveRun()
	q.Choice = choice
	q.Shards = choice.Map.Shards
	q.Canaries = canaries
	q.canaryNext, q.canaryLive = 0, 0
	q.reset()
	q.env.Count(count.Retried, "snapshot_restart")
	q.Begin(now)
}
