// Package once decides whether this node may send a work order. It ensures that
// all nodes together send each combination of caller, service and key at most
// once.
//
// A node sends a work order only after it knows that its own claim is in the
// record of the claim's partition in the platform's store. Claims do not expire,
// and no other node takes them over. A claim that was abandoned is never sent. If
// a write with unknown outcome may still add it to the record, the claim is
// released as soon as the store answers again. Section 7.4 of docs/design.md and
// docs/once.md give the reasons.
package once

import (
	"strconv"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/cespare/xxhash/v2"
)

// KeyPrefix is the prefix of the store keys; the partition number follows it.
const KeyPrefix = "baobabsail/claims/"

// Time limits, delays and thresholds.
const (
	// maxFutureSkew is how far a key's creation time may be ahead of this node's
	// clock.
	maxFutureSkew = 5 * time.Minute
	// maxClaimWait is the longest time that a claim waits for the store.
	maxClaimWait = time.Second
	// maxOutcomeDelay is the longest time that an outcome waits for another write
	// that can include it.
	maxOutcomeDelay = 200 * time.Millisecond
	// storeCallTimeout is the timeout of a store call; a later answer is ignored.
	storeCallTimeout = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after failed store calls.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// outageThreshold is the number of consecutive failed store calls after which
	// only one call at a time probes the store.
	outageThreshold = 3
	// uncontendedAge is the age at which a cached record that is still current
	// shows that no other node is writing the partition at present. It is longer
	// than the usual time between a claim and its outcome.
	uncontendedAge = time.Second
	// busyRetryAfter is the retry-after for a key that another request holds, and
	// for other conditions that usually pass quickly.
	busyRetryAfter = time.Second
	// fullRetryAfter is the retry-after if the partition's record is full.
	fullRetryAfter = time.Minute
)

// WorkRequest is a caller's request to run a work order.
type WorkRequest struct {
	Request  api.RequestID
	Caller   api.CallerID
	Work     api.Work
	Deadline time.Time
}

// Decision ends the wait of a request: it is either granted or answered.
type Decision struct {
	Request api.RequestID
	// Granted permits the node to send the work order exactly once, now. The node
	// must call Coordinator.Finish when that send has ended.
	Granted bool
	// Answer is the answer to the caller if Granted is false.
	Answer api.WorkAnswer
}

// Result lists what the node must do after a call to the coordinator: store calls
// to issue and decisions to carry out.
type Result struct {
	Actions   []event.Action
	Decisions []Decision
}

// Completion describes how the single send of a granted request ended.
type Completion struct {
	// Outcome is Answered or Failed, with Result; NotRun if the target refused the
	// request before running it or the request was never sent; or Unknown.
	Outcome api.Outcome
	Result  []byte
}

// Coordinator is the claim state machine of one node. It is not safe for
// concurrent use.
type Coordinator struct {
	life       api.Life
	newOp      func() api.OpID
	counts     *count.Set
	window     time.Duration
	partitions []*partition
	active     map[claimKey]*claim      // pending or granted
	requests   map[api.RequestID]*claim // pending or granted
	ops        map[api.OpID]*partition  // outstanding store calls
	nextSeq    uint64
	steps      uint64 // logical clock: counts arrivals and store calls
	failures   int    // consecutive failed store calls, over all partitions
	probeAt    time.Time
	now        time.Time // the latest time passed to advance
	result     Result
}

// New returns a coordinator without partitions; it refuses requests until
// Configure is called. newOp must return an unused operation ID.
func New(life api.Life, newOp func() api.OpID, counts *count.Set) *Coordinator {
	return &Coordinator{
		life: life, newOp: newOp, counts: counts,
		active:   make(map[claimKey]*claim),
		requests: make(map[api.RequestID]*claim),
		ops:      make(map[api.OpID]*partition),
	}
}

// Configure sets the number of partitions and the window, which is how long
// claims are kept. The number of partitions can be set only once, because claims
// would be lost otherwise; a later call changes only the window.
func (c *Coordinator) Configure(partitions int, window time.Duration) {
	if window > 0 {
		c.window = window
	}
	if c.partitions != nil || partitions < 1 || window <= 0 {
		return
	}
	for i := range partitions {
		c.partitions = append(c.partitions, &partition{key: KeyPrefix + strconv.Itoa(i)})
	}
}

// Partition returns the partition of a claim key.
func Partition(caller api.CallerID, service api.ServiceName, key api.IdempotencyKey, partitions int) int {
	d := xxhash.New()
	_, _ = d.WriteString(strconv.Itoa(len(caller)) + ":" + string(caller))
	_, _ = d.WriteString(strconv.Itoa(len(service)) + ":" + string(service))
	_, _ = d.Write(key[:])
	return int(d.Sum64() % uint64(partitions))
}

// Outstanding returns the number of pending or granted requests plus the number
// of outcomes and releases that are not yet known to be in the store.
func (c *Coordinator) Outstanding() int {
	n := len(c.requests)
	for _, p := range c.partitions {
		n += len(p.updates)
	}
	return n
}

// Begin requests permission to send a work order. The decision is part of this
// result or of a later one.
func (c *Coordinator) Begin(now time.Time, req WorkRequest) Result {
	c.steps++
	if answer, refused := c.checkRequest(now, req); refused {
		c.answer(req.Request, answer)
		return c.takeResult()
	}
	w := req.Work
	cl := &claim{
		claimKey: claimKey{key: w.Key, scope: hash8([]byte(req.Caller), []byte(w.Service))},
		request:  req.Request, deadline: req.Deadline, decideBy: now.Add(maxClaimWait),
		digest: hash8([]byte(w.Service), w.Payload), arrivalStep: c.steps,
	}
	if _, busy := c.active[cl.claimKey]; busy {
		c.answer(req.Request, unknown(api.ReasonKeyInProgress, busyRetryAfter))
		return c.takeResult()
	}
	if wait := c.outageWait(now); wait > 0 {
		c.answer(req.Request, notRun(api.ReasonStoreUnavailable, wait))
		return c.takeResult()
	}
	c.nextSeq++
	cl.id = claimID{life: c.life, seq: c.nextSeq}
	p := c.partitions[Partition(req.Caller, w.Service, w.Key, len(c.partitions))]
	cl.partition = p
	p.claims = append(p.claims, cl)
	c.active[cl.claimKey] = cl
	c.requests[cl.request] = cl
	c.advance(now, p)
	return c.takeResult()
}

// checkRequest refuses a request that needs no store call to be refused.
func (c *Coordinator) checkRequest(now time.Time, req WorkRequest) (api.WorkAnswer, bool) {
	key := req.Work.Key
	switch {
	case len(c.partitions) == 0:
		return notRun(api.ReasonNoConfiguration, busyRetryAfter), true
	case key[6]>>4 != 7 || key[8]>>6 != 2:
		return notRun(api.ReasonMalformed, 0), true
	case key.CreatedMillis() > now.Add(maxFutureSkew).UnixMilli():
		return notRun(api.ReasonKeyFromFuture, 0), true
	case !now.Before(req.Deadline):
		return notRun(api.ReasonDeadline, busyRetryAfter), true
	}
	return api.WorkAnswer{}, false
}

// Cancel abandons the pending claim of a request whose caller no longer waits. It
// does not affect a granted request, for which Finish must still be called.
func (c *Coordinator) Cancel(now time.Time, request api.RequestID) Result {
	cl := c.requests[request]
	if cl == nil || cl.granted {
		return Result{}
	}
	c.counts.Inc(count.Refused, api.ReasonCallerGone)
	c.giveUp(now, cl)
	c.advance(now, cl.partition)
	return c.takeResult()
}

// Finish reports how a granted request ended. The node answers the caller itself;
// the result holds only store calls. An unknown outcome leaves the claim in the
// record unchanged, so that the key is never sent again.
func (c *Coordinator) Finish(now time.Time, request api.RequestID, f Completion) Result {
	cl := c.requests[request]
	if cl == nil || !cl.granted {
		return Result{}
	}
	c.removeRequest(cl)
	u := pendingUpdate{claimKey: cl.claimKey, id: cl.id, writeBy: now, revision: cl.revision}
	switch f.Outcome {
	case api.Answered, api.Failed:
		u.state = stateAnswered
		if f.Outcome == api.Failed {
			u.state = stateFailed
		}
		u.truncated = len(f.Result) > maxResultSize
		u.result = string(f.Result[:min(len(f.Result), maxResultSize)])
		u.writeBy = now.Add(maxOutcomeDelay)
	case api.NotRun:
		u.state = stateNotRun
	default:
		return Result{}
	}
	p := cl.partition
	p.updates = append(p.updates, u)
	c.advance(now, p)
	return c.takeResult()
}

// StoreRead handles the end of a read. It returns false if the operation is not
// a read of this coordinator that is in flight.
func (c *Coordinator) StoreRead(now time.Time, ev event.StoreRead) (bool, Result) {
	p := c.ops[ev.Op]
	if p == nil || p.writing != nil {
		return false, Result{}
	}
	c.endOp(p)
	c.readDone(now, p, ev)
	c.advance(now, p)
	return true, c.takeResult()
}

// StoreWritten handles the end of a write. It returns false if the operation is
// not a write of this coordinator that is in flight.
func (c *Coordinator) StoreWritten(now time.Time, ev event.StoreWritten) (bool, Result) {
	p := c.ops[ev.Op]
	if p == nil || p.writing == nil {
		return false, Result{}
	}
	w := p.writing
	c.endOp(p)
	c.writeDone(now, p, w, ev)
	c.advance(now, p)
	return true, c.takeResult()
}

// Tick handles timeouts, deadlines and delayed writes.
func (c *Coordinator) Tick(now time.Time) Result {
	for _, p := range c.partitions {
		if p.op != 0 && !now.Before(p.opTimeoutAt) {
			w := p.writing
			c.endOp(p)
			c.counts.Inc(count.Store, "claims_timed_out")
			if w != nil {
				c.writeDone(now, p, w, event.StoreWritten{Result: event.WriteUnknown})
			} else {
				c.readDone(now, p, event.StoreRead{Result: event.ReadFailed})
			}
		}
		c.advance(now, p)
	}
	return c.takeResult()
}

// NextTick returns the time at which Tick must be called next, or the zero time if
// nothing is scheduled.
func (c *Coordinator) NextTick() time.Time {
	var at time.Time
	for _, p := range c.partitions {
		at = earliest(at, p.nextTick(c))
	}
	return at
}

// earliest returns the earlier of two times, ignoring zero times.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// takeResult returns the collected result and clears it.
func (c *Coordinator) takeResult() Result {
	r := c.result
	c.result = Result{}
	return r
}

// answer adds a decision that answers a request without sending it.
func (c *Coordinator) answer(request api.RequestID, a api.WorkAnswer) {
	if a.Outcome != api.NotRun && a.Reason != api.ReasonNone {
		c.counts.Inc(count.WorkEnded, a.Reason)
	}
	c.result.Decisions = append(c.result.Decisions, Decision{Request: request, Answer: a})
}

// removeRequest removes a request that has ended from the indexes.
func (c *Coordinator) removeRequest(cl *claim) {
	delete(c.active, cl.claimKey)
	delete(c.requests, cl.request)
}

func notRun(reason api.Reason, retry time.Duration) api.WorkAnswer {
	return api.WorkAnswer{Outcome: api.NotRun, Reason: reason, RetryAfter: retry}
}

func unknown(reason api.Reason, retry time.Duration) api.WorkAnswer {
	return api.WorkAnswer{Outcome: api.Unknown, Reason: reason, RetryAfter: retry}
}
