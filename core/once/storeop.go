package once

import (
	"time"

	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/cespare/xxhash/v2"
)

// write is a write to the store that is in flight.
type write struct {
	next     *record
	revision int64
	claims   []*claim
}

// endOp clears the store call in flight.
func (c *Coordinator) endOp(p *partition) {
	delete(c.ops, p.op)
	p.op = 0
	p.writing = nil
}

// outageWait returns how long to wait until the next probe of a failing store, or
// 0 if the store may be called now.
func (c *Coordinator) outageWait(now time.Time) time.Duration {
	if c.failures < outageThreshold {
		return 0
	}
	if wait := c.probeAt.Sub(now); wait > 0 {
		return wait
	}
	if len(c.ops) > 0 {
		return minBackoff
	}
	return 0
}

// storeFailed counts a failed store call and sets the earliest times at which the
// partition is retried and the store is probed.
func (c *Coordinator) storeFailed(now time.Time, p *partition) {
	c.counts.Inc(count.Store, "claims_failed")
	c.failures++
	p.failures++
	p.mustRead = true
	p.retryAt = now.Add(c.backoff(p.failures, p.key))
	c.probeAt = now.Add(c.backoff(c.failures, ""))
}

// storeAnswered resets the failure counters after the store has answered.
func (c *Coordinator) storeAnswered(p *partition) {
	c.failures = 0
	p.failures = 0
	p.retryAt = time.Time{}
}

// backoff returns a delay that doubles with each failure. Up to half of the delay
// is jitter that differs between nodes and partitions, so that calls are not
// retried all at once.
func (c *Coordinator) backoff(failures int, key string) time.Duration {
	d := maxBackoff
	if failures < 7 {
		d = min(d, minBackoff<<(failures-1))
	}
	h := (xxhash.Sum64String(key) ^ uint64(c.life) ^ c.steps) % 1000
	return d/2 + d*time.Duration(h)/2000
}

// readDone handles the result of a read: it caches the record and grants claims.
func (c *Coordinator) readDone(now time.Time, p *partition, ev event.StoreRead) {
	rec := &record{}
	switch ev.Result {
	case event.ReadAbsent:
		ev.Revision = 0
	case event.ReadFound:
		var err error
		if rec, err = decodeRecord(ev.Value); err != nil {
			c.counts.Inc(count.Store, "claims_malformed")
			c.storeFailed(now, p)
			return
		}
	default:
		c.storeFailed(now, p)
		return
	}
	// A revision lower than one seen before means a stale read, or a store that
	// was restored from an older copy and may lack claims.
	if ev.Revision < p.revision {
		c.counts.Inc(count.Store, "claims_regressed")
		c.storeFailed(now, p)
		return
	}
	c.storeAnswered(p)
	if !p.mustRead && ev.Revision == p.revision && now.Sub(p.cachedAt) > uncontendedAge {
		p.readBeforeWrite = false
	}
	p.cacheRecord(now, rec, ev.Revision)
	c.grantRecorded(now, p)
}

// writeDone handles the result of a write. After a conflict the partition is read
// again before the next write.
func (c *Coordinator) writeDone(now time.Time, p *partition, w *write, ev event.StoreWritten) {
	switch ev.Result {
	case event.WriteApplied:
		c.storeAnswered(p)
		p.conflicts = 0
		p.cacheRecord(now, w.next, ev.Revision)
		c.grantRecorded(now, p)
	case event.WriteConflict:
		c.counts.Inc(count.Store, "claims_conflict")
		c.storeAnswered(p)
		p.conflicts++
		p.mustRead = true
		p.readBeforeWrite = true
	default:
		c.storeFailed(now, p)
	}
}

// startOp registers a new store call of a partition.
func (c *Coordinator) startOp(now time.Time, p *partition) {
	c.steps++
	p.op = c.newOp()
	p.opStep = c.steps
	p.opTimeoutAt = now.Add(storeCallTimeout)
	c.ops[p.op] = p
}

// read issues a read of the partition's record.
func (c *Coordinator) read(now time.Time, p *partition) {
	c.startOp(now, p)
	c.counts.Inc(count.Store, "claims_read")
	c.result.Actions = append(c.result.Actions, event.ReadStore{Op: p.op, Key: p.key})
}

// write issues a conditional write of next, which contains the given claims.
func (c *Coordinator) write(now time.Time, p *partition, next *record, claims []*claim) {
	c.startOp(now, p)
	c.counts.Inc(count.Store, "claims_write")
	for _, cl := range claims {
		cl.mayBeStored = true
		cl.revision = p.revision
	}
	p.writing = &write{next: next, revision: p.revision, claims: claims}
	c.result.Actions = append(c.result.Actions, event.WriteStore{
		Op: p.op, Key: p.key, Value: next.encode(), IfRevision: p.revision,
	})
}
