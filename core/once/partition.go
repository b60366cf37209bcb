package once

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// claim is a request that waits for a store call or was granted.
type claim struct {
	claimKey
	partition   *partition
	request     api.RequestID
	id          claimID
	digest      [8]byte
	deadline    time.Time
	decideBy    time.Time // the claim is refused if it is still pending by then
	arrivalStep uint64    // value of Coordinator.steps at arrival, compared with partition.asOf
	granted     bool
	// mayBeStored is set once a write that contains the claim was issued and is
	// not known to have failed. revision is the highest revision that such a write
	// required. The claim can still appear in the record while the store is at
	// that revision.
	mayBeStored bool
	revision    int64
}

// pendingUpdate is an outcome or a release of a claim that is not yet known to be
// in the record.
type pendingUpdate struct {
	claimKey
	id        claimID
	state     claimState
	result    string
	truncated bool
	writeBy   time.Time
	revision  int64 // see claim.revision
}

// partition is this node's state for one partition. At most one store call is in
// flight for it.
type partition struct {
	key string
	// rec and revision are the cached record and its revision in the store; rec is
	// nil if none was read. asOf is the step at which the store call that returned
	// or wrote rec was issued.
	rec      *record
	revision int64
	asOf     uint64
	mustRead bool // rec is or may be out of date
	// cachedAt is when rec was cached. After a conflict readBeforeWrite is set, and
	// a record cached earlier is read again before it is written: while other nodes
	// write the partition, a read before the write costs less than a conflict.
	cachedAt        time.Time
	readBeforeWrite bool
	claims          []*claim
	updates         []pendingUpdate
	op              api.OpID
	opStep          uint64
	opTimeoutAt     time.Time
	writing         *write // nil if op is a read
	failures        int
	retryAt         time.Time
	// conflicts counts the writes that failed because another node wrote first,
	// since the last successful write.
	conflicts int
}

// cacheRecord caches a record that was read or written.
func (p *partition) cacheRecord(now time.Time, rec *record, revision int64) {
	p.cachedAt = now
	p.rec, p.revision, p.asOf = rec, revision, p.opStep
	p.mustRead = false
	p.dropAppliedUpdates()
}

// dropAppliedUpdates removes the updates that the record contains, and those whose
// claim cannot be in the record any more.
func (p *partition) dropAppliedUpdates() {
	p.updates = slices.DeleteFunc(p.updates, func(u pendingUpdate) bool {
		e, ok := p.rec.lookup(u.claimKey)
		if ok && e.id == u.id {
			return e.state != stateClaimed
		}
		// The claim is not in the record, and a write that requires an older
		// revision can no longer be applied.
		return p.revision > u.revision
	})
}

// grantRecorded grants the pending claims that are in the record; those past
// their deadline are refused.
func (c *Coordinator) grantRecorded(now time.Time, p *partition) {
	for _, cl := range slices.Clone(p.claims) {
		e, ok := p.rec.lookup(cl.claimKey)
		if !ok || e.id != cl.id || e.state != stateClaimed {
			continue
		}
		if !now.Before(cl.deadline) {
			c.refuse(now, cl, notRun(api.ReasonDeadline, busyRetryAfter))
			continue
		}
		p.removeClaim(cl)
		cl.granted = true
		c.counts.Inc(count.Store, "claims_granted")
		c.result.Decisions = append(c.result.Decisions, Decision{Request: cl.request, Granted: true})
	}
}

// removeClaim removes a claim from the pending claims.
func (p *partition) removeClaim(cl *claim) {
	p.claims = slices.DeleteFunc(p.claims, func(o *claim) bool { return o == cl })
}

// refuse abandons a pending claim and answers its request.
func (c *Coordinator) refuse(now time.Time, cl *claim, a api.WorkAnswer) {
	c.giveUp(now, cl)
	c.answer(cl.request, a)
}

// giveUp abandons a pending claim; it is never sent. If the claim may be in the
// record, now or later, its release is queued.
func (c *Coordinator) giveUp(now time.Time, cl *claim) {
	p := cl.partition
	p.removeClaim(cl)
	c.removeRequest(cl)
	if !cl.mayBeStored {
		return
	}
	p.updates = append(p.updates, pendingUpdate{
		claimKey: cl.claimKey, id: cl.id, state: stateNotRun, writeBy: now, revision: cl.revision,
	})
}

// expire refuses the pending claims that are past their deadline or have waited
// too long for the store.
func (c *Coordinator) expire(now time.Time, p *partition) {
	for _, cl := range slices.Clone(p.claims) {
		switch {
		case !now.Before(cl.deadline):
			c.refuse(now, cl, notRun(api.ReasonDeadline, busyRetryAfter))
		case !now.Before(cl.decideBy) && p.conflicts > 0 && p.failures == 0:
			c.refuse(now, cl, notRun(api.ReasonConflict, busyRetryAfter))
		case !now.Before(cl.decideBy):
			c.refuse(now, cl, notRun(api.ReasonStoreUnavailable, busyRetryAfter))
		}
	}
}

// advance refuses expired claims and issues the next store call of a partition if
// one is due.
func (c *Coordinator) advance(now time.Time, p *partition) {
	c.now = later(c.now, now)
	c.expire(now, p)
	if p.op != 0 || !p.hasDueWrite(now) || now.Before(p.retryAt) || c.outageWait(now) > 0 {
		return
	}
	if p.rec == nil || p.mustRead || p.readBeforeWrite && p.cachedAt.Before(now) {
		c.read(now, p)
		return
	}
	next, claims, stale := c.prepareWrite(now, p)
	switch {
	case stale:
		c.read(now, p)
	case len(claims) > 0 || p.hasDueWrite(now):
		c.write(now, p, next, claims)
	}
}

// hasDueWrite reports whether a claim or an update has to be written now.
func (p *partition) hasDueWrite(now time.Time) bool {
	if len(p.claims) > 0 {
		return true
	}
	return slices.ContainsFunc(p.updates, func(u pendingUpdate) bool { return !now.Before(u.writeBy) })
}

// prepareWrite applies the updates and the pending claims to a copy of the record
// and returns the copy and the claims added to it. It answers the claims that the
// record refuses. stale reports that a claim would be refused because of a record
// that may be out of date.
func (c *Coordinator) prepareWrite(now time.Time, p *partition) (next *record, added []*claim, stale bool) {
	next = copyRecord(p.rec)
	for _, u := range p.updates {
		next.apply(u)
	}
	next.prune(c.floor(now, p, next))
	for _, cl := range slices.Clone(p.claims) {
		answer, decision := next.decide(cl, p.asOf > cl.arrivalStep)
		switch decision {
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

// floor returns the new floor of a record. It is derived from the newest key, and
// not from the clock alone, so that a node whose clock is far ahead does not
// expire the keys of all callers.
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

// apply records an outcome or a release if the claim is in the record and has no
// outcome yet.
func (r *record) apply(u pendingUpdate) {
	e, ok := r.lookup(u.claimKey)
	if !ok || e.id != u.id || e.state != stateClaimed {
		return
	}
	e.state = u.state
	if e.state.done() {
		e.result, e.truncated = u.result, u.truncated
		if r.bytes+len(e.result) > maxSizeWithResult {
			e.truncated = e.truncated || e.result != ""
			e.result = ""
		}
	}
	r.put(e)
}

// nextTick returns the time at which the partition next needs Tick, or the zero time.
func (p *partition) nextTick(c *Coordinator) time.Time {
	var at time.Time
	for _, cl := range p.claims {
		at = earliest(at, cl.deadline)
		at = earliest(at, cl.decideBy)
	}
	if p.op != 0 {
		return earliest(at, p.opTimeoutAt)
	}
	start := later(p.retryAt, c.now)
	if c.failures >= outageThreshold {
		start = later(start, c.probeAt)
		if len(c.ops) > 0 {
			return at // the answer to the probe in flight, or its timeout, triggers the next step
		}
	}
	for _, u := range p.updates {
		at = earliest(at, later(u.writeBy, start))
	}
	if len(p.claims) > 0 {
		at = earliest(at, start)
	}
	return at
}
