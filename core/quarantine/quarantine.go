// Package quarantine limits the damage of requests that crash targets: an
// unknown search runs on one target first, a request that was in flight at a
// crash runs in isolation until it is answered, and one that crashes targets
// again is refused. Section 7.7 of docs/design.md describes it.
//
// # Versions
//
// Every change of a fingerprint's state has a version: the greater of the
// node's clock in milliseconds and the highest version known for the
// fingerprint plus one. A change made in knowledge of another therefore always
// has the higher version, whatever the clocks say. Two nodes that cannot talk
// are ordered by their clocks, which is a guess if the clocks differ; of equal
// versions a conviction wins over a clearing and a clearing over a suspicion.
// A wrong order costs one more isolated run, or leaves a conviction until its
// hour is over.
package quarantine

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// Bounds.
const (
	// convictionTime is how long a request is refused after it was last seen.
	convictionTime = time.Hour
	// suspicionTime is how long a suspect that nobody sends stays one. It equals
	// convictionTime, so that a slow sender of a fatal request gains nothing.
	suspicionTime = time.Hour
	// clearedTime is how long a clearing is remembered and repeated to peers; at
	// least as long as a notice that it supersedes may be on its way.
	clearedTime = time.Hour
	// explanationTime is how long a new conviction only holds a request back. A
	// peer whose own request crashed the same target says so within the time in
	// which it tells a crash from a cut, a reconnect of up to 100 ms, and the way
	// between two regions.
	explanationTime = 250 * time.Millisecond
	// extensionStep is the smallest extension that a repeated notice can make.
	// Without it, transit times would add up as nodes repeat one another.
	extensionStep = time.Minute
	// goodLimit and caseLimit bound the memory: about 100 bytes for each known
	// good fingerprint, about 300 for each case.
	goodLimit = 65_536
	caseLimit = 4_096
	// convictingCrashes is the number of crashes that convict a request.
	convictingCrashes = 2
	// crashLimit bounds the crashes remembered of one fingerprint.
	crashLimit = 8
)

// Options describe the request that asks for admission.
type Options struct {
	// Work is set for a work order, which goes to one target only and needs no
	// canary.
	Work bool
	// Canary is the rule of the service.
	Canary bool
}

// Kind says how a request may run.
type Kind uint8

const (
	// Run allows a normal run.
	Run Kind = iota + 1
	// RunCanary sends to the first target of CanaryOrder only, and to the others
	// after an answer.
	RunCanary
	// RunAlone is a probation run: one target, the first of CanaryOrder, without
	// hedge and retry. The node calls Placed when it has chosen the target and
	// Released when the run has ended, in the same step as and after a call of
	// Answered or Crashed for it, before waiting requests ask again.
	RunAlone
	// Wait means that a probation run of the same fingerprint is in progress, or
	// that its conviction may still be explained by another request; ask again
	// when the run has ended or when Learn, Respond or Tick reports a change.
	Wait
	// Refuse means that the request is convicted.
	Refuse
)

// Verdict answers Admit. RetryAfter is set for Refuse.
type Verdict struct {
	Kind       Kind
	RetryAfter time.Duration
}

// state is ordered by precedence among equal versions.
type state uint8

const (
	suspect state = iota + 1
	cleared
	convicted
)

// record is what is known about a fingerprint that was in flight at a crash.
type record struct {
	state   state
	version uint64
	// clearedAt is the version of the newest clearing; older notices are void.
	clearedAt uint64
	until     time.Time
	crashes   []crash
	// further are ends that do not count beside one of crashes.
	further []crash
	// reported is the largest number of crashes that a notice named.
	reported int
	running  bool            // a probation run of this node is in progress
	runsOn   api.ReplicaName // where, if already known
	// wasGood is set if a target had answered the request before its first
	// crash. Such a request is convicted only by a crash during a probation run,
	// because a popular request is in flight at every crash.
	wasGood bool
	// convictedAt is the version of the conviction.
	convictedAt uint64
	// refusedFrom is when the conviction begins to refuse; zero once Tick has
	// reported it.
	refusedFrom time.Time
	// convictedBy is the crash by which this node itself convicted the request.
	convictedBy crash
	// convictedAlone is set if that crash ended an isolated run.
	convictedAlone bool
	// vouched is set once the peers were told that wasGood is set.
	vouched bool
}

// Registry holds the fingerprints known to one node. It is not safe for
// concurrent use.
type Registry struct {
	counts *count.Set
	good   *recent
	cases  map[api.Fingerprint]*record
}

// New returns an empty registry.
func New(counts *count.Set) *Registry {
	return &Registry{counts: counts, good: newRecent(goodLimit), cases: make(map[api.Fingerprint]*record)}
}

// Admit says how a request may run now.
func (r *Registry) Admit(now time.Time, fp api.Fingerprint, opts Options) Verdict {
	if c := r.live(now, fp); c != nil {
		switch c.state {
		case convicted:
			c.until = now.Add(convictionTime)
			if now.Before(c.refusedFrom) {
				return Verdict{Kind: Wait}
			}
			r.counts.Inc(count.Quarantine, "refused")
			return Verdict{Kind: Refuse, RetryAfter: convictionTime}
		case suspect:
			c.until = now.Add(suspicionTime)
			if c.running {
				return Verdict{Kind: Wait}
			}
			c.running = true
			r.counts.Inc(count.Quarantine, "probation")
			return Verdict{Kind: RunAlone}
		}
	}
	if opts.Work || !opts.Canary || r.good.touch(fp) {
		return Verdict{Kind: Run}
	}
	r.counts.Inc(count.Quarantine, "canary")
	return Verdict{Kind: RunCanary}
}

// Known reports whether a target has answered the request, so that it runs
// without a canary.
func (r *Registry) Known(fp api.Fingerprint) bool { return r.good.has(fp) }

// AnsweredBefore reports whether a target has answered the request before its first
// crash, as far as this node or a peer that vouched for it knows.
func (r *Registry) AnsweredBefore(fp api.Fingerprint) bool {
	c := r.cases[fp]
	return r.good.has(fp) || c != nil && c.wasGood
}

// Answered reports that a target answered a request (not a refusal before
// running). It must not be called for an attempt that was sent before its
// fingerprint became suspect: only the answer of a probation run clears.
func (r *Registry) Answered(now time.Time, fp api.Fingerprint) []gossip.Notice {
	c := r.live(now, fp)
	if c == nil || c.state == cleared {
		r.good.add(fp)
		return nil
	}
	if c.state == convicted || !c.running {
		return nil
	}
	c.clear(nextVersion(now, c.version), now.Add(clearedTime))
	r.good.add(fp)
	r.counts.Inc(count.Quarantine, "cleared")
	return []gossip.Notice{c.notice(now, fp)}
}

func (c *record) clear(version uint64, until time.Time) {
	*c = record{state: cleared, version: version, clearedAt: version, until: until, wasGood: true}
}

// Placed reports the target of a probation run. Only a crash of this target
// counts as a crash in isolation.
func (r *Registry) Placed(now time.Time, fp api.Fingerprint, replica api.ReplicaName) {
	if c := r.live(now, fp); c != nil && c.running {
		c.runsOn = replica
	}
}

// Released reports that a probation run has ended. If it ended without an
// answer and without a crash (it timed out, was cancelled or was refused before
// running), this neither clears nor convicts, and the next request may try.
func (r *Registry) Released(now time.Time, fp api.Fingerprint) {
	if c := r.live(now, fp); c != nil {
		c.endRun()
	}
}

func (c *record) endRun() { c.running, c.runsOn = false, "" }

func nextVersion(now time.Time, known uint64) uint64 {
	return max(known+1, uint64(max(now.UnixMilli(), 0)))
}
