package once

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// claim is a request that waits for the store or has been granted.
type claim struct {
	identity
	partition *partition
	request   api.RequestID
	id        claimID
	digest    [8]byte
	deadline  time.Time
	giveUp    time.Time // the claim is refused if the store has not decided by then
	step      uint64    // arrival, compared with partition.asOf
	granted   bool
	// exposed is set once a write that holds the claim was issued and is not
	// known to have failed; revision is the highest that such a write required.
	// The claim can still appear in the record while the store is at that
	// revision.
	exposed  bool
	revision int64
}

// mark is an outcome or a release that the record does not show yet.
type mark struct {
	identity
	id       claimID
	state    claimState
	result   string
	cut      bool
	due      time.Time
	revision int64 // as in claim
}

// partition is the state of one record. There is one store call in flight at
// most.
type partition struct {
	key string
	// rec and revision are the newest known state of the store; rec is nil if
	// nothing is known. asOf is the step at which the call that showed it began.
	rec      *record
	revision int64
	asOf     uint64
	mustRead bool // rec is known or suspected to be out of date
	// learnedAt is when rec was learned. After a conflict on an older record the
	// cache is distrusted: while other nodes write the partition, a read before
	// the write costs less than a conflict.
	learnedAt time.Time
	distrust  bool
	claims    []*claim
	marks     []mark
	op        api.OpID
	opStep    uint64
	opEnds    time.Time
	writing   *write // nil while op is a read
	failures  int
	retryAt   time.Time
	// conflicts counts writes lost to another node since the last success.
	conflicts int
}

func (p *partition) learn(now time.Time, rec *record, revision int64) {
	p.learnedAt = now
	p.rec, p.revision, p.asOf = rec, revision, p.opStep
	p.mustRead = false
	p.settle()
}

// settle removes the marks that the record shows or that no longer matter.
func (p *partition) settle() {
	p.marks = slices.DeleteFunc(p.marks, func(m mark) bool {
		e, ok := p.rec.lookup(m.identity)
		if ok && e.id == m.id {
			return e.state != stateClaimed
		}
		// A write that requires an older revision can no longer be applied.
		return p.revision > m.revision
	})
}

// grantFound ends the wait of the claims that the record holds.
func (c *Coordinator) grantFound(now time.Time, p *partition) {
	for _, cl := range slices.Clone(p.claims) {
		e, ok := p.rec.lookup(cl.identity)
		if !ok || e.id != cl.id || e.state != stateClaimed {
			continue
		}
		if !now.Before(cl.deadline) {
			c.refuse(now, cl, notRun(api.ReasonDeadline, retryBusy))
			continue
		}
		p.drop(cl)
		cl.granted = true
		c.counts.Inc(count.Store, "claims_granted")
		c.result.Decisions = append(c.result.Decisions, Decision{Request: cl.request, Granted: true})
	}
}

func (p *partition) drop(cl *claim) {
	p.claims = slices.DeleteFunc(p.claims, func(o *claim) bool { return o == cl })
}

func (c *Coordinator) refuse(now time.Time, cl *claim, a api.WorkAnswer) {
	c.giveUp(now, cl)
	c.answer(cl.request, a)
}

// giveUp ends a pending claim for good. If it may be in the record, now or
// later, it is to be released.
func (c *Coordinator) giveUp(now time.Time, cl *claim) {
	p := cl.partition
	p.drop(cl)
	c.forget(cl)
	if !cl.exposed {
		return
	}
	p.marks = append(p.marks, mark{
		identity: cl.identity, id: cl.id, state: stateNotRun, due: now, revision: cl.revision,
	})
}

// expire refuses the claims that waited too long.
func (c *Coordinator) expire(now time.Time, p *partition) {
	for _, cl := range slices.Clone(p.claims) {
		switch {
		case !now.Before(cl.deadline):
			c.refuse(now, cl, notRun(api.ReasonDeadline, retryBusy))
		case !now.Before(cl.giveUp) && p.conflicts > 0 && p.failures == 0:
			c.refuse(now, cl, notRun(api.ReasonConflict, retryBusy))
		case !now.Before(cl.giveUp):
			c.refuse(now, cl, notRun(api.ReasonStoreUnavailable, retryBusy))
		}
	}
}

// advance issues the next store call of a partition if one is due.
func (c *Coordinator) advance(now time.Time, p *partition) {
	c.now = later(c.now, now)
	c.expire(now, p)
	if p.op != 0 || !p.wanted(now) || now.Before(p.retryAt) || c.outage(now) > 0 {
		return
	}
	if p.rec == nil || p.mustRead || p.distrust && p.learnedAt.Before(now) {
		c.read(now, p)
		return
	}
	next, claims, stale := c.evaluate(now, p)
	switch {
	case stale:
		c.read(now, p)
	case len(claims) > 0 || p.wanted(now):
		c.write(now, p, next, claims)
	}
}

// wanted reports whether there is something to write now.
func (p *partition) wanted(now time.Time) bool {
	if len(p.claims) > 0 {
		return true
	}
	return slices.ContainsFunc(p.marks, func(m mark) bool { return !now.Before(m.due) })
}

// evaluate applies marks and claims to a copy of the record. Claims that the
// record decides are answered. stale says that a claim would be refused by a
// record that may be out of date.
func (c *Coordinator) evaluate(now time.Time, p *partition) (next *record, added []*claim, stale bool) {
	next = copyRecord(p.rec)
	for _, m := range p.marks {
		next.apply(m)
	}
	next.prune(c.floor(now, p, next))
	for _, cl := range slices.Clone(p.claims) {
		answer, verdict := next.judge(cl, p.asOf > cl.step)
		switch verdict {
		case claimAdded:
			added = append(added, cl)
		case claimStale:
			stale = true
		case claimRefused:
			c.refuse(now, cl, answer)
		}
	}
	return next, added, stale
}

// floor returns the new floor. It follows the newest key, not the clock alone,
// so that a node whose clock is far ahead does not expire everyone's keys.
func (c *Coordinator) floor(now time.Time, p *partition, rec *record) int64 {
	newest := rec.newest()
	for _, cl := range p.claims {
		newest = max(newest, cl.key.CreatedMillis())
	}
	newest = min(newest, now.UnixMilli())
	if newest < 0 {
		return rec.floor
	}
	return newest - c.window.Milliseconds()
}

// apply puts an outcome or a release into the record.
func (r *record) apply(m mark) {
	e, ok := r.lookup(m.identity)
	if !ok || e.id != m.id || e.state != stateClaimed {
		return
	}
	e.state = m.state
	if e.state.done() {
		e.result, e.cut = m.result, m.cut
		if r.bytes+len(e.result) > resultLimit {
			e.cut = e.cut || e.result != ""
			e.result = ""
		}
	}
	r.put(e)
}

func (p *partition) wake(c *Coordinator) time.Time {
	var at time.Time
	for _, cl := range p.claims {
		at = earliest(at, cl.deadline)
		at = earliest(at, cl.giveUp)
	}
	if p.op != 0 {
		return earliest(at, p.opEnds)
	}
	start := later(p.retryAt, c.now)
	if c.failures >= outageFailures {
		start = later(start, c.probeAt)
		if len(c.ops) > 0 {
			return at // the end of the probe in flight calls Tick or an event
		}
	}
	for _, m := range p.marks {
		at = earliest(at, later(m.due, start))
	}
	if len(p.claims) > 0 {
		at = earliest(at, start)
	}
	return at
}
