package forward

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/balance"
	"github.com/baobabsail/baobabsail/core/count"
)

// localRequest marks the identity of a range that this node runs for itself.
const localRequest api.RequestID = 1 << 63

// divided is a sharded request of which groups of nodes run one range each.
type divided struct {
	request *request
	ranges  []shardRange
	// open is the number of ranges that are still being run.
	open    int
	covered int
	proofs  []string
	bodies  [][]byte
	// ran is set once a replica may have run the request.
	ran bool
	// reason is why a range lacks parts.
	reason api.Reason
	// halves are the times until half of the parts of a range were answered.
	halves []time.Duration
	// asked is the number of calls to other nodes, heard is set once one of them has
	// answered.
	asked int
	heard bool
	// starting is set until all ranges have been handed to a node.
	starting bool
}

// shardRange is a part of the shards of a request.
type shardRange struct {
	from, to int
	covered  int
	// calls run the range now, the newest last. There are several if a node has not
	// said in time that it works on the range; the first one with answered parts is
	// kept.
	calls []*call
	// tried are the nodes that were asked to run it, used is the number of attempts
	// that they may have sent for each shard, without those of the newest call.
	tried []string
	used  int
}

// divide starts a request whose shards are run by several groups of nodes.
func (e *Engine) divide(now time.Time, r *request, groups int) {
	shards := len(r.route.Shards)
	r.parts = nil
	d := &divided{request: r, ranges: make([]shardRange, groups), open: groups, starting: true}
	e.divided[r.id] = d
	for i := range d.ranges {
		d.ranges[i].from, d.ranges[i].to = rangeOf(i, shards, groups)
		e.callRange(now, d, i)
	}
	d.starting = false
	e.progressDivided(now, d)
}

// newest returns the last call, or nil.
func (s *shardRange) newest() *call {
	if len(s.calls) == 0 {
		return nil
	}
	return s.calls[len(s.calls)-1]
}

// progressDivided looks at calls that were not accepted in time, ends the request
// if it can be ended, and sets its next timer.
func (e *Engine) progressDivided(now time.Time, d *divided) {
	r := d.request
	if e.divided[r.id] != d || d.starting {
		return
	}
	wake := r.deadline
	if r.target.After(now) {
		wake = earliest(wake, r.target)
	}
	for i := range d.ranges {
		for _, c := range slices.Clone(d.ranges[i].calls) {
			wake = earliest(wake, e.checkCall(now, d, c))
			if e.divided[r.id] != d {
				return // a range that this node runs itself ended it
			}
		}
	}
	if e.finishDividedIfDue(now, d) {
		return
	}
	if r.wakeAt.IsZero() || wake.Before(r.wakeAt) {
		r.wakeAt = wake
		e.timers.Set(wake, timer{request: r.id})
	}
}

// finishDividedIfDue ends a request that has its answer, cannot get one, or has
// run out of time. It reports whether the request has ended.
func (e *Engine) finishDividedIfDue(now time.Time, d *divided) bool {
	r := d.request
	possible := d.covered
	for i := range d.ranges {
		if s := &d.ranges[i]; len(s.calls) > 0 {
			possible += s.to - s.from - s.covered
		}
	}
	switch {
	case d.open == 0:
		e.finishDivided(now, d, d.reason)
	case !r.enough(possible):
		e.finishDivided(now, d, d.reason)
	case !now.Before(r.deadline):
		e.finishDivided(now, d, api.ReasonDeadline)
	case !now.Before(r.target) && r.enough(d.covered):
		e.finishDivided(now, d, api.ReasonEarlyReturn)
	default:
		return false
	}
	return true
}

// finishDivided answers a request.
func (e *Engine) finishDivided(now time.Time, d *divided, reason api.Reason) {
	r := d.request
	delete(e.divided, r.id)
	e.endAlone(now, r)
	outstanding := e.endCalls(now, d)
	d.ran = d.ran || outstanding
	if len(d.halves) > 0 {
		slices.Sort(d.halves)
		e.observeHalf(now, r, d.halves[len(d.halves)/2])
	}
	a := d.answer(reason)
	e.act(a)
	if a.Outcome == api.NotRun {
		e.counts.Inc(count.Refused, reason)
	}
	e.counts.Inc(count.SearchEnded, api.Reason(a.Outcome.String()))
	e.countLate(now, r, &a)
	e.log("request_ended", "id", r.message.CallerRequest, "route", r.route.Name, "version", r.version,
		"outcome", a.Outcome, "reason", a.Reason, "took_ms", now.Sub(r.start).Milliseconds(),
		"parts", len(r.route.Shards), "covered", d.covered, "ranges", len(d.ranges), "ranges_open", d.open,
		"target_ms", r.target.Sub(r.start).Milliseconds())
}

// answer builds the final answer.
func (d *divided) answer(reason api.Reason) Answer {
	r := d.request
	a := Answer{Request: r.id, Route: r.route.Name, Reason: reason}
	switch {
	case r.enough(d.covered):
		a.Outcome = api.Answered
		a.Merged = &Merged{Proofs: d.proofs, Missing: len(r.route.Shards) - d.covered, Body: mergeRecords(r.route.Merge, d.bodies)}
		if reason == api.ReasonEarlyReturn {
			a.DueAt = r.target
		}
	case !d.ran:
		a.Outcome = api.NotRun
		a.RetryAfter = retryAfter(reason)
	default:
		a.Outcome = api.Unknown
	}
	return a
}

// dividedGone gives up a divided request whose caller no longer waits.
func (e *Engine) dividedGone(now time.Time, d *divided) {
	r := d.request
	delete(e.divided, r.id)
	e.endAlone(now, r)
	e.endCalls(now, d)
	e.counts.Inc(count.SearchEnded, api.ReasonCallerGone)
	e.log("request_abandoned", "id", r.message.CallerRequest, "route", r.route.Name,
		"after_ms", now.Sub(r.start).Milliseconds(), "covered", d.covered)
}

// deliver hands an answer to the caller, or to the range of this node that it
// belongs to.
func (e *Engine) deliver(now time.Time, a Answer) {
	if a.Request&localRequest == 0 {
		e.act(a)
		return
	}
	ev := CallReplied{Call: CallID(a.Request &^ localRequest), Last: !a.More, Reason: a.Reason}
	if a.Merged != nil {
		ev.Merged = *a.Merged
	}
	e.callReplied(now, &ev)
}

// adoptPeers takes over the list of the nodes.
func (e *Engine) adoptPeers(now time.Time, peers []Peer) {
	before := e.groups.addresses
	e.groups.adopt(peers)
	for node := range before {
		if e.groups.addresses[node] == "" {
			e.groups.load.Remove(api.ReplicaName(node))
		}
	}
	for _, list := range e.groups.nodes {
		for _, p := range list {
			e.groups.load.Set(now, api.ReplicaName(p.Node), balance.Spec{Address: p.Address, DataCentre: p.DataCentre, Slots: 1})
		}
	}
	e.regroup()
}

// knows reports whether this node has heard of replicas of most of the shards of a
// range that another node asks for.
func (e *Engine) knows(s *Subset) bool {
	have := 0
	for _, service := range s.Shards {
		if len(e.registry.byService[service]) > 0 {
			have++
		}
	}
	return 2*have >= len(s.Shards)
}
