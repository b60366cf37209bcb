package once

import (
	"time"

	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/cespare/xxhash/v2"
)

// write is the write in flight.
type write struct {
	next     *record
	revision int64
	claims   []*claim
}

func (c *Coordinator) endOp(p *partition) {
	delete(c.ops, p.op)
	p.op = 0
	p.writing = nil
}

// outage returns how long to wait for the next probe of a failing store; 0 if
// the store may be called.
func (c *Coordinator) outage(now time.Time) time.Duration {
	if c.failures < outageFailures {
		return 0
	}
	if wait := c.probeAt.Sub(now); wait > 0 {
		return wait
	}
	if len(c.ops) > 0 {
		return backoffFirst
	}
	return 0
}

func (c *Coordinator) storeFailed(now time.Time, p *partition) {
	c.counts.Inc(count.Store, "claims_failed")
	c.failures++
	p.failures++
	p.mustRead = true
	p.retryAt = now.Add(c.backoff(p.failures, p.key))
	c.probeAt = now.Add(c.backoff(c.failures, ""))
}

func (c *Coordinator) storeAnswered(p *partition) {
	c.failures = 0
	p.failures = 0
	p.retryAt = time.Time{}
}

// backoff doubles with each failure and differs between nodes and partitions
// by up to a half, so that calls do not come back all at once.
func (c *Coordinator) backoff(failures int, key string) time.Duration {
	d := backoffLast
	if failures < 7 {
		d = min(d, backoffFirst<<(failures-1))
	}
	h := (xxhash.Sum64String(key) ^ uint64(c.life) ^ c.steps) % 1000
	return d/2 + d*time.Duration(h)/2000
}

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
	// A lower revision than one seen before means a stale read or a store
	// restored from an older copy, whose claims may be missing.
	if ev.Revision < p.revision {
		c.counts.Inc(count.Store, "claims_regressed")
		c.storeFailed(now, p)
		return
	}
	c.storeAnswered(p)
	if !p.mustRead && ev.Revision == p.revision && now.Sub(p.learnedAt) > trustAfter {
		p.distrust = false
	}
	p.learn(now, rec, ev.Revision)
	c.grantFound(now, p)
}

func (c *Coordinator) writeDone(now time.Time, p *partition, w *write, ev event.StoreWritten) {
	switch ev.Result {
	case event.WriteApplied:
		c.storeAnswered(p)
		p.conflicts = 0
		p.learn(now, w.next, ev.Revision)
		c.grantFound(now, p)
	case event.WriteConflict:
		c.counts.Inc(count.Store, "claims_conflict")
		c.storeAnswered(p)
		p.conflicts++
		p.mustRead = true
		p.distrust = true
	default:
		c.storeFailed(now, p)
	}
}

func (c *Coordinator) startOp(now time.Time, p *partition) {
	c.steps++
	p.op = c.newOp()
	p.opStep = c.steps
	p.opEnds = now.Add(opTimeout)
	c.ops[p.op] = p
}

func (c *Coordinator) read(now time.Time, p *partition) {
	c.startOp(now, p)
	c.counts.Inc(count.Store, "claims_read")
	c.result.Actions = append(c.result.Actions, event.ReadStore{Op: p.op, Key: p.key})
}

func (c *Coordinator) write(now time.Time, p *partition, next *record, claims []*claim) {
	c.startOp(now, p)
	c.counts.Inc(count.Store, "claims_write")
	for _, cl := range claims {
		cl.exposed = true
		cl.revision = p.revision
	}
	p.writing = &write{next: next, revision: p.revision, claims: claims}
	c.result.Actions = append(c.result.Actions, event.WriteStore{
		Op: p.op, Key: p.key, Value: next.encode(), IfRevision: p.revision,
	})
}
