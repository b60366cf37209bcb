// Package once decides whether this node may send a work order, such that each
// (caller, service, key) is sent at most once by all nodes together.
//
// A node sends only after it knows that its own claim is in the partition's
// record in the platform's store. Claims do not expire and no other node takes
// them over. A claim that was given up is never sent; if a write with unknown
// outcome may still put it into the record, it is released as soon as the
// store answers again. Section 7.4 of docs/design.md and docs/once.md say why.
package once

import (
	"strconv"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/cespare/xxhash/v2"
)

// KeyPrefix precedes the partition number in the store.
const KeyPrefix = "baobabsail/claims/"

// Times and bounds.
const (
	// futureLimit is how far a key's creation time may be ahead of the clock.
	futureLimit = 5 * time.Minute
	// claimBound is the longest that a claim waits for the store.
	claimBound = time.Second
	// outcomeDelay is the longest that an outcome waits for another write.
	outcomeDelay = 200 * time.Millisecond
	// opTimeout bounds each store call; the answer is ignored afterwards.
	opTimeout = 500 * time.Millisecond
	// backoffFirst and backoffLast bound the pause after failed store calls.
	backoffFirst = 50 * time.Millisecond
	backoffLast  = 2 * time.Second
	// outageFailures is the number of store calls failed in a row after which
	// only one call at a time probes the store.
	outageFailures = 3
	// trustAfter is the age at which a record that is still current shows that
	// no other node writes the partition at present. It is longer than a claim
	// and its outcome are usually apart.
	trustAfter = time.Second
	// retryBusy is the retry-after for keys that another request holds.
	retryBusy = time.Second
	// retryFull is the retry-after for a full record.
	retryFull = time.Minute
)

// Claimant is a caller's request to run a work order.
type Claimant struct {
	Request  api.RequestID
	Caller   api.CallerID
	Work     api.Work
	Deadline time.Time
}

// Decision is the end of a request's wait: either Granted, or an answer.
type Decision struct {
	Request api.RequestID
	// Granted allows exactly one send, now. The node must call Finish later.
	Granted bool
	// Answer goes to the caller if Granted is false.
	Answer api.WorkAnswer
}

// Result is what the node has to do after a call.
type Result struct {
	Actions   []event.Action
	Decisions []Decision
}

// Finish says how the one send of a granted request ended.
type Finish struct {
	// Outcome is Answered or Failed with Result; NotRun if the target refused
	// before running or the request was never sent; or Unknown.
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
	active     map[identity]*claim      // pending or granted
	requests   map[api.RequestID]*claim // pending or granted
	ops        map[api.OpID]*partition  // outstanding store calls
	nextSeq    uint64
	steps      uint64 // orders arrivals and store calls
	failures   int    // store calls failed in a row, over all partitions
	probeAt    time.Time
	now        time.Time // the latest time handed in
	result     Result
}

// New returns a coordinator without partitions; it refuses claims until
// Configure is called. newOp returns an unused operation number.
func New(life api.Life, newOp func() api.OpID, counts *count.Set) *Coordinator {
	return &Coordinator{
		life: life, newOp: newOp, counts: counts,
		active:   make(map[identity]*claim),
		requests: make(map[api.RequestID]*claim),
		ops:      make(map[api.OpID]*partition),
	}
}

// Configure sets the number of partitions, once, and the window. A later call
// with another number of partitions changes only the window, because claims
// would be lost.
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

// Outstanding returns the number of requests without Finish and of outcomes
// and releases not yet known to be in the store.
func (c *Coordinator) Outstanding() int {
	n := len(c.requests)
	for _, p := range c.partitions {
		n += len(p.marks)
	}
	return n
}

// Begin asks for permission to send a work order. The decision is in this
// result or in a later one.
func (c *Coordinator) Begin(now time.Time, who Claimant) Result {
	c.steps++
	if answer, refused := c.refuseAtOnce(now, who); refused {
		c.answer(who.Request, answer)
		return c.take()
	}
	w := who.Work
	cl := &claim{
		identity: identity{key: w.Key, scope: hash8([]byte(who.Caller), []byte(w.Service))},
		request:  who.Request, deadline: who.Deadline, giveUp: now.Add(claimBound),
		digest: hash8([]byte(w.Service), w.Payload), step: c.steps,
	}
	if _, busy := c.active[cl.identity]; busy {
		c.answer(who.Request, unknown(api.ReasonKeyInProgress, retryBusy))
		return c.take()
	}
	if wait := c.outage(now); wait > 0 {
		c.answer(who.Request, notRun(api.ReasonStoreUnavailable, wait))
		return c.take()
	}
	c.nextSeq++
	cl.id = claimID{life: c.life, seq: c.nextSeq}
	p := c.partitions[Partition(who.Caller, w.Service, w.Key, len(c.partitions))]
	cl.partition = p
	p.claims = append(p.claims, cl)
	c.active[cl.identity] = cl
	c.requests[cl.request] = cl
	c.advance(now, p)
	return c.take()
}

func (c *Coordinator) refuseAtOnce(now time.Time, who Claimant) (api.WorkAnswer, bool) {
	key := who.Work.Key
	switch {
	case len(c.partitions) == 0:
		return notRun(api.ReasonNoConfiguration, retryBusy), true
	case key[6]>>4 != 7 || key[8]>>6 != 2:
		return notRun(api.ReasonMalformed, 0), true
	case key.CreatedMillis() > now.Add(futureLimit).UnixMilli():
		return notRun(api.ReasonKeyFromFuture, 0), true
	case !now.Before(who.Deadline):
		return notRun(api.ReasonDeadline, retryBusy), true
	}
	return api.WorkAnswer{}, false
}

// Cancel gives up a pending claim whose caller is gone. A granted one is left
// alone; Finish must still be called for it.
func (c *Coordinator) Cancel(now time.Time, request api.RequestID) Result {
	cl := c.requests[request]
	if cl == nil || cl.granted {
		return Result{}
	}
	c.counts.Inc(count.Refused, api.ReasonCallerGone)
	c.giveUp(now, cl)
	c.advance(now, cl.partition)
	return c.take()
}

// Finish reports the end of a granted request. The node answers the caller
// itself; the result holds only store calls. An unknown outcome leaves the
// claim as it is, so that the key is never sent again.
func (c *Coordinator) Finish(now time.Time, request api.RequestID, f Finish) Result {
	cl := c.requests[request]
	if cl == nil || !cl.granted {
		return Result{}
	}
	c.forget(cl)
	m := mark{identity: cl.identity, id: cl.id, due: now, revision: cl.revision}
	switch f.Outcome {
	case api.Answered, api.Failed:
		m.state = stateAnswered
		if f.Outcome == api.Failed {
			m.state = stateFailed
		}
		m.cut = len(f.Result) > maxResult
		m.result = string(f.Result[:min(len(f.Result), maxResult)])
		m.due = now.Add(outcomeDelay)
	case api.NotRun:
		m.state = stateNotRun
	default:
		return Result{}
	}
	p := cl.partition
	p.marks = append(p.marks, m)
	c.advance(now, p)
	return c.take()
}

// StoreRead handles the end of a read; handled is false if the operation is
// not, or no longer, one of this coordinator.
func (c *Coordinator) StoreRead(now time.Time, ev event.StoreRead) (bool, Result) {
	p := c.ops[ev.Op]
	if p == nil || p.writing != nil {
		return false, Result{}
	}
	c.endOp(p)
	c.readDone(now, p, ev)
	c.advance(now, p)
	return true, c.take()
}

// StoreWritten handles the end of a write.
func (c *Coordinator) StoreWritten(now time.Time, ev event.StoreWritten) (bool, Result) {
	p := c.ops[ev.Op]
	if p == nil || p.writing == nil {
		return false, Result{}
	}
	w := p.writing
	c.endOp(p)
	c.writeDone(now, p, w, ev)
	c.advance(now, p)
	return true, c.take()
}

// Tick handles time-outs, deadlines and delayed writes.
func (c *Coordinator) Tick(now time.Time) Result {
	for _, p := range c.partitions {
		if p.op != 0 && !now.Before(p.opEnds) {
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
	return c.take()
}

// Wake returns when Tick is needed next, or the zero time.
func (c *Coordinator) Wake() time.Time {
	var at time.Time
	for _, p := range c.partitions {
		at = earliest(at, p.wake(c))
	}
	return at
}

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

func (c *Coordinator) take() Result {
	r := c.result
	c.result = Result{}
	return r
}

func (c *Coordinator) answer(request api.RequestID, a api.WorkAnswer) {
	if a.Outcome != api.NotRun && a.Reason != api.ReasonNone {
		c.counts.Inc(count.WorkEnded, a.Reason)
	}
	c.result.Decisions = append(c.result.Decisions, Decision{Request: request, Answer: a})
}

func (c *Coordinator) forget(cl *claim) {
	delete(c.active, cl.identity)
	delete(c.requests, cl.request)
}

func notRun(reason api.Reason, retry time.Duration) api.WorkAnswer {
	return api.WorkAnswer{Outcome: api.NotRun, Reason: reason, RetryAfter: retry}
}

func unknown(reason api.Reason, retry time.Duration) api.WorkAnswer {
	return api.WorkAnswer{Outcome: api.Unknown, Reason: reason, RetryAfter: retry}
}
