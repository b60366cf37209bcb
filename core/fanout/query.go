package fanout

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/snapshot"
)

// partState is the state of one part of a search.
type partState uint8

const (
	// partAwaitingCanary is not sent until a canary is answered.
	partAwaitingCanary partState = iota
	// partAwaitingCapacity was not sent because the replicas are overloaded.
	partAwaitingCapacity
	// partBackingOff waits until retryAt before it is sent again.
	partBackingOff
	// partRunning has at least one attempt in flight.
	partRunning
	// partCovered has a verified reply.
	partCovered
	// partMissing failed for good and is reported as missing.
	partMissing
)

// settled reports whether the state is final.
func (s partState) settled() bool { return s == partCovered || s == partMissing }

// attempt is a request for a part that is in flight.
type attempt struct {
	id      api.AttemptID
	replica api.ReplicaName
	sentAt  time.Time
	canary  bool
}

// part is one shard's share of a search.
type part struct {
	state    partState
	inFlight []attempt
	tried    []api.ReplicaName
	// firstInFlight and firstTried are the initial backing arrays of inFlight and
	// tried. Most parts are sent once and then need no further allocation.
	firstInFlight [1]attempt
	firstTried    [1]api.ReplicaName
	attempts      int // number of attempts sent, at most maxAttempts
	hedged        bool
	possiblyRan   bool // a target may have run the part
	retryAt       time.Time
	reason        api.Reason
	rows          []api.Row
	limitReached  bool
}

// Query is one search in progress. The times passed to its methods must not go
// backwards. After Done reports true, further calls have no effect.
type Query struct {
	Plan
	env         Env
	parts       []part
	restarts    int
	possiblyRan bool // a target may have run a part before a restart

	covered          uint64 // total width of the covered parts
	total            uint64 // total width of all parts
	unsettled        int
	versionMisses    int // parts missing because their replicas lack the snapshot
	nextScan         time.Time
	nextCanary       int // index of the next candidate in Canaries
	canariesInFlight int
	canariesLost     int
	lastCanaryReason api.Reason
	lastCanarySentAt time.Time // when the latest canary was sent
	released         bool      // set once all parts may be sent

	done   bool
	answer api.SearchAnswer
}

// New returns a search that sends nothing until Begin is called.
func New(plan Plan, env Env) *Query {
	q := &Query{Plan: plan, env: env}
	q.reset()
	return q
}

// reset initializes the parts for the plan's snapshot and discards all rows.
func (q *Query) reset() {
	q.parts = make([]part, len(q.Shards))
	q.covered, q.total = 0, 0
	q.unsettled, q.versionMisses = len(q.Shards), 0
	for i := range q.Shards {
		q.total += q.Shards[i].Width()
		p := &q.parts[i]
		p.inFlight, p.tried = p.firstInFlight[:0], p.firstTried[:0]
	}
}

// Begin sends a canary or, if none is needed, all parts.
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
	q.finishIfComplete(now)
}

// release sends all parts that wait for a canary.
func (q *Query) release(now time.Time) {
	q.released = true
	for i := range q.parts {
		if q.done {
			return
		}
		if q.parts[i].state == partAwaitingCanary {
			q.dispatch(now, i)
		}
	}
}

// dispatch sends or resends a part to a replica that was not tried yet. It
// reports whether the part was sent.
func (q *Query) dispatch(now time.Time, i int) bool {
	p := &q.parts[i]
	sent, reason := q.env.Send(now, q, i, p.tried, "")
	if reason == api.ReasonNone {
		q.recordAttempt(now, i, sent, false)
		return true
	}
	if reason == api.ReasonOverloaded {
		p.state = partAwaitingCapacity
		return false
	}
	q.giveUpOrBackOff(now, i, reason)
	return false
}

// recordAttempt adds an attempt that was sent and schedules its hedge.
func (q *Query) recordAttempt(now time.Time, i int, sent SentAttempt, canary bool) {
	p := &q.parts[i]
	p.state = partRunning
	p.inFlight = append(p.inFlight, attempt{id: sent.Attempt, replica: sent.Replica, sentAt: now, canary: canary})
	p.tried = append(p.tried, sent.Replica)
	p.attempts++
	q.scheduleScan(now.Add(q.HedgeDelay))
}

// scheduleScan makes sure that the next scan is not later than at.
func (q *Query) scheduleScan(at time.Time) {
	if at.Before(q.nextScan) || q.nextScan.IsZero() {
		q.nextScan = at
	}
}

// ResumePart tries again to send a part that waits for capacity at a replica. It
// reports whether the part no longer waits.
func (q *Query) ResumePart(now time.Time, i int) bool {
	if q.done || i >= len(q.parts) || q.parts[i].state != partAwaitingCapacity {
		return true
	}
	restarts := q.restarts
	q.dispatch(now, i)
	q.finishIfComplete(now)
	// After a restart there may be fewer parts, or another part at this index.
	return q.done || q.restarts != restarts || q.parts[i].state != partAwaitingCapacity
}

// NextTick returns the time at which Tick must be called next.
func (q *Query) NextTick() time.Time {
	if q.nextScan.IsZero() || q.Deadline.Before(q.nextScan) {
		return q.Deadline
	}
	return q.nextScan
}

// Tick hedges slow parts, resends parts whose backoff is over, and ends the
// search at its deadline.
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
	q.finishIfComplete(now) // before hedging: a search that returns early now needs no hedges
	if q.done {
		return
	}
	if !q.released && q.Mode != NoCanary {
		q.hedgeCanary(now)
	} else {
		q.scan(now)
	}
	q.finishIfComplete(now)
}

// scan hedges slow parts and resends parts whose backoff is over.
func (q *Query) scan(now time.Time) {
	for i := 0; i < len(q.parts) && !q.done; i++ {
		p := &q.parts[i]
		switch p.state {
		case partRunning:
			q.hedge(now, i)
		case partBackingOff:
			q.retryAfterBackoff(now, i)
		}
	}
}

// hedge sends a second attempt for a part whose only attempt is slow. With
// ReplaceSlow it also cancels the first.
func (q *Query) hedge(now time.Time, i int) {
	p := &q.parts[i]
	if q.SlowParts == WaitForSlow {
		return
	}
	if p.hedged || len(p.inFlight) != 1 || p.attempts >= maxAttempts {
		return
	}
	due := p.inFlight[0].sentAt.Add(q.HedgeDelay)
	if now.Before(due) {
		q.scheduleScan(due)
		return
	}
	if len(q.Shards[i].Replicas) <= len(p.tried) {
		return // no other replica is left
	}
	if !q.env.SpendRetryToken(now, q.Query.Service) {
		q.env.Count(count.RetryDenied, api.ReasonRetryBudget)
		q.scheduleScan(now.Add(q.HedgeDelay))
		return
	}
	sent, reason := q.env.Send(now, q, i, p.tried, "")
	if reason != api.ReasonNone {
		q.env.RefundRetryToken(q.Query.Service)
		q.env.Count(count.RetryDenied, reason)
		q.scheduleScan(now.Add(q.HedgeDelay)) // a replica may have capacity by then
		return
	}
	p.hedged = true
	q.env.Count(count.Hedged, "slow")
	if q.SlowParts == ReplaceSlow {
		q.cancelPart(p)
	}
	q.recordAttempt(now, i, sent, false)
}

// retryAfterBackoff resends a part if its backoff is over.
func (q *Query) retryAfterBackoff(now time.Time, i int) {
	p := &q.parts[i]
	if now.Before(p.retryAt) {
		q.scheduleScan(p.retryAt)
		return
	}
	p.tried = p.tried[:0] // all replicas were tried; start over
	q.dispatch(now, i)
}

// Snapshot returns the snapshot that the search currently reads.
func (q *Query) Snapshot() api.Snapshot { return q.Choice.Snapshot }

// Done returns the answer and reports whether the search has ended.
func (q *Query) Done() (api.SearchAnswer, bool) { return q.answer, q.done }

// Abandon cancels the search of a caller that no longer waits; nobody receives
// the answer.
func (q *Query) Abandon() {
	if q.done {
		return
	}
	q.cancelAll()
	q.done = true
	q.answer = api.SearchAnswer{Outcome: api.Unknown, Reason: api.ReasonCallerGone}
}

// cancelAll cancels the attempts of all parts.
func (q *Query) cancelAll() {
	for i := range q.parts {
		q.cancelPart(&q.parts[i])
	}
}

// cancelPart cancels the attempts of a part. Since targets may have run them
// already, it marks the part as possibly run.
func (q *Query) cancelPart(p *part) {
	p.possiblyRan = p.possiblyRan || len(p.inFlight) > 0
	for _, a := range p.inFlight {
		q.env.Cancel(a.id)
	}
	p.inFlight = p.inFlight[:0]
}

// mayHaveRun reports whether a target may have run any part, before or after a
// restart.
func (q *Query) mayHaveRun() bool {
	return q.possiblyRan || slices.ContainsFunc(q.parts, func(p part) bool { return p.possiblyRan })
}

// restart discards all replies and starts over at another snapshot.
func (q *Query) restart(now time.Time, choice snapshot.Choice, canaries []Canary) {
	q.restarts++
	q.cancelAll()
	q.possiblyRan = q.mayHaveRun()
	q.Choice = choice
	q.Shards = choice.Map.Shards
	q.Canaries = canaries
	q.nextCanary, q.canariesInFlight = 0, 0
	q.reset()
	q.env.Count(count.Retried, "snapshot_restart")
	q.Begin(now)
}
