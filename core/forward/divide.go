package forward

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/balance"
	"github.com/baobabsail/baobabsail/core/count"
)

// localRequestBit is set in the request ID of a range that this node runs for itself.
const localRequestBit api.RequestID = 1 << 63

// dividedRequest is a sharded request whose ranges of shards are run by different groups of nodes.
type dividedRequest struct {
	request *request
	ranges  []shardRange
	// openRanges is the number of ranges that have not ended.
	openRanges int
	covered    int
	proofs     []string
	bodies     [][]byte
	// mayHaveRun is set once a replica may have run the request.
	mayHaveRun bool
	// reason says why a range is missing parts.
	reason api.Reason
	// halfTimes holds, for each ended range, the time until half of its parts were answered.
	halfTimes []time.Duration
	// callsSent is the number of calls to other nodes; peerResponded is set once one of those
	// nodes has responded.
	callsSent     int
	peerResponded bool
	// starting is set until every range has been sent to a node.
	starting bool
}

// shardRange is a range of the shards of a request, with to excluded.
type shardRange struct {
	from, to int
	covered  int
	// calls are the running calls for the range, newest last. There is more than one if a node
	// did not accept the range in time; the first that returns answered parts is kept.
	calls []*call
	// tried lists the nodes that were asked to run the range. usedAttempts is the number of
	// attempts per shard that they may have sent, without those of the newest call.
	tried        []string
	usedAttempts int
}

// divide starts a request whose ranges are run by different groups of nodes.
func (e *Engine) divide(now time.Time, r *request, groups int) {
	shards := len(r.route.Shards)
	r.parts = nil
	d := &dividedRequest{request: r, ranges: make([]shardRange, groups), openRanges: groups, starting: true}
	e.divided[r.id] = d
	for i := range d.ranges {
		d.ranges[i].from, d.ranges[i].to = rangeOf(i, shards, groups)
		e.callRange(now, d, i)
	}
	d.starting = false
	e.progressDivided(now, d)
}

// newest returns the most recent call, or nil.
func (s *shardRange) newest() *call {
	if len(s.calls) == 0 {
		return nil
	}
	return s.calls[len(s.calls)-1]
}

// progressDivided checks the deadlines of the calls, ends the request if possible, and sets
// its next timer.
func (e *Engine) progressDivided(now time.Time, d *dividedRequest) {
	r := d.request
	if e.divided[r.id] != d || d.starting {
		return
	}
	wake := r.deadline
	if r.targetTime.After(now) {
		wake = earliest(wake, r.targetTime)
	}
	for i := range d.ranges {
		for _, c := range slices.Clone(d.ranges[i].calls) {
			wake = earliest(wake, e.checkCall(now, d, c))
			if e.divided[r.id] != d {
				return // a range that ran on this node ended the request
			}
		}
	}
	if e.finishDividedIfDue(now, d) {
		return
	}
	if r.wakeAt.IsZero() || wake.Before(r.wakeAt) {
		r.wakeAt = wake
		e.timers.Add(wake, timer{request: r.id})
	}
}

// finishDividedIfDue ends a request that is complete, can no longer be answered, or has run
// out of time. It reports whether the request has ended.
func (e *Engine) finishDividedIfDue(now time.Time, d *dividedRequest) bool {
	r := d.request
	possible := d.covered
	for i := range d.ranges {
		if s := &d.ranges[i]; len(s.calls) > 0 {
			possible += s.to - s.from - s.covered
		}
	}
	switch {
	case d.openRanges == 0:
		e.finishDivided(now, d, d.reason)
	case !r.hasMinCoverage(possible):
		e.finishDivided(now, d, d.reason)
	case !now.Before(r.deadline):
		e.finishDivided(now, d, api.ReasonDeadline)
	case !now.Before(r.targetTime) && r.hasMinCoverage(d.covered):
		e.finishDivided(now, d, api.ReasonEarlyReturn)
	default:
		return false
	}
	return true
}

// finishDivided ends a divided request and sends its answer.
func (e *Engine) finishDivided(now time.Time, d *dividedRequest, reason api.Reason) {
	r := d.request
	delete(e.divided, r.id)
	e.endProbation(now, r)
	outstanding := e.cancelCalls(now, d)
	d.mayHaveRun = d.mayHaveRun || outstanding
	if len(d.halfTimes) > 0 {
		slices.Sort(d.halfTimes)
		e.observeDividedLoad(now, r, d.halfTimes[len(d.halfTimes)/2])
	}
	a := e.dividedAnswer(now, d, reason)
	e.emit(a)
	if a.Outcome == api.NotRun {
		e.countRefused(r.message, false, reason)
	}
	e.counts.Inc(count.SearchEnded, api.Reason(a.Outcome.String()))
	e.countLate(now, r, &a)
	e.log("request_ended", "id", r.message.CallerRequest, "route", r.route.Name, "version", r.version,
		"outcome", a.Outcome, "reason", a.Reason, "took_ms", now.Sub(r.start).Milliseconds(),
		"parts", len(r.route.Shards), "covered", d.covered, "ranges", len(d.ranges), "ranges_open", d.openRanges,
		"target_ms", r.targetTime.Sub(r.start).Milliseconds())
}

// dividedAnswer builds the final answer of a divided request.
func (e *Engine) dividedAnswer(now time.Time, d *dividedRequest, reason api.Reason) Answer {
	r := d.request
	a := Answer{Request: r.id, Route: r.route.Name, Reason: reason}
	switch {
	case r.hasMinCoverage(d.covered):
		a.Outcome = api.Answered
		a.Merged = &Merged{Proofs: d.proofs, Missing: len(r.route.Shards) - d.covered, Body: mergeRecords(r.route.Merge, d.bodies)}
		if reason == api.ReasonEarlyReturn {
			a.TargetTime = r.targetTime
		}
	case !d.mayHaveRun:
		a.Outcome = api.NotRun
		a.RetryAfter = e.retryAfter(now, reason)
	default:
		a.Outcome = api.Unknown
	}
	return a
}

// dividedCallerGone cancels a divided request whose caller has disconnected.
func (e *Engine) dividedCallerGone(now time.Time, d *dividedRequest) {
	r := d.request
	delete(e.divided, r.id)
	e.endProbation(now, r)
	e.cancelCalls(now, d)
	e.counts.Inc(count.SearchEnded, api.ReasonCallerGone)
	e.log("request_abandoned", "id", r.message.CallerRequest, "route", r.route.Name,
		"after_ms", now.Sub(r.start).Milliseconds(), "covered", d.covered)
}

// deliver sends an answer to the caller, or, for a range that this node runs for itself, to
// the call that requested it.
func (e *Engine) deliver(now time.Time, a Answer) {
	if a.Request&localRequestBit == 0 {
		e.emit(a)
		return
	}
	ev := CallReplied{Call: CallID(a.Request &^ localRequestBit), Last: !a.More, Reason: a.Reason}
	if a.Merged != nil {
		ev.Merged = *a.Merged
	}
	e.callReplied(now, &ev)
}

// adoptPeers replaces the list of nodes.
func (e *Engine) adoptPeers(now time.Time, peers []Peer) {
	previous := e.groups.addresses
	e.groups.adopt(peers)
	for node := range previous {
		if e.groups.addresses[node] == "" {
			e.groups.balancer.Remove(api.ReplicaName(node))
		}
	}
	e.limits.health.Retain(func(node string) bool { return e.groups.addresses[node] != "" })
	for _, list := range e.groups.nodes {
		for _, p := range list {
			e.groups.balancer.Set(now, api.ReplicaName(p.Node), balance.Spec{Address: p.Address, DataCentre: p.DataCentre, Slots: 1})
		}
	}
	e.regroup()
}

// knowsShards reports whether this node knows replicas of at least half of the shards of a
// range that another node requests. Replicas of evacuated data centres count: the node has the
// same configuration as the other one, and refuses the range with ReasonEvacuated.
func (e *Engine) knowsShards(s *Subset) bool {
	known := 0
	for _, service := range s.Shards {
		if len(e.registry.byService[service]) > 0 {
			known++
		}
	}
	return 2*known >= len(s.Shards)
}
