// Package quarantine limits how many targets a request that crashes them can
// take down. Requests with the same service and content have the same
// fingerprint, and all state is kept per fingerprint: what is known about one
// request applies to all requests with its fingerprint. A target is a back-end
// server, and a replica is a target in its role for a service: in this package
// both are the same thing.
//
// A search whose fingerprint no target has answered yet runs on one target
// first (the canary). A fingerprint that was in flight when a target crashed
// becomes a suspect. Each node then runs one request at a time for it, as a
// probation run: on a single target, without hedges and retries, while other
// requests with the fingerprint wait. An answer to the probation run clears the
// fingerprint. A suspect that crashes targets again can be convicted, and its
// requests are then refused. Section 7.7 of docs/design.md describes the rules.
//
// The node that convicted a fingerprint revokes the conviction, which also
// clears the fingerprint, in three cases. In the first, a peer reports that a
// target had answered it before the crashes; this does not apply if the
// convicting crash ended a probation run and no other suspect explains that
// crash. In the second, the fingerprint had been answered before, and a peer
// reports a suspect that explains the convicting crash. In the third, other
// convictions explain all of its crashes. The number of crashes is kept until a
// target answers the fingerprint again, so that one that goes on crashing
// targets is not cleared each time.
//
// # Versions
//
// Every change of a fingerprint's state has a version: the greater of the
// node's clock in milliseconds and the highest version known for the
// fingerprint plus one. A change that builds on another one therefore always
// has the higher version, regardless of clock skew. Changes by two nodes that
// cannot communicate are ordered by their clocks, which may be wrong if the
// clocks differ. Among equal versions a conviction takes precedence over a
// clearing, and a clearing over a suspicion. A wrong order costs one more
// probation run, or leaves a conviction in place until it expires, an hour after
// a request with the fingerprint was last received.
package quarantine

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// Time and memory limits.
const (
	// convictionTime is how long a conviction lasts after a request with the
	// fingerprint was last received: each call of Admit extends it.
	convictionTime = time.Hour
	// suspicionTime is how long a fingerprint remains a suspect after a request
	// with it was last received. It equals convictionTime, so that a client gains
	// nothing by sending a fatal request at long intervals.
	suspicionTime = time.Hour
	// clearedTime is how long a clearing is remembered and repeated to peers.
	// It is at least as long as a notice that the clearing supersedes may be in
	// transit.
	clearedTime = time.Hour
	// refusalDelay is how long a new conviction makes requests wait before it
	// refuses them. A report of the same crash by a peer may still revoke the
	// conviction, and should arrive within this time, before any request is
	// refused. The time covers what the peer needs to tell a crash from a broken
	// connection, a reconnect of up to 100 ms, and the transit between two
	// regions.
	refusalDelay = 250 * time.Millisecond
	// minExtension is the smallest extension of the expiry that a repeated
	// notice can make. Without it, nodes that repeat one another's notices
	// would extend the expiry by the transit time on each exchange.
	minExtension = time.Minute
	// maxAnswered and maxRecords bound the memory: about 100 bytes for each
	// answered fingerprint, about 300 for each record.
	maxAnswered = 65_536
	maxRecords  = 4_096
	// minCrashesToConvict is the number of crashes from which a suspect can be
	// convicted.
	minCrashesToConvict = 2
	// maxCoincidentCrashes is the number of crashes up to which any other suspect
	// explains a crash of a request that was answered before, and
	// minCrashesToConvictAlways the number from which none does.
	maxCoincidentCrashes      = 2
	minCrashesToConvictAlways = 4
	// maxCrashesPerRecord bounds the crashes and the additional crashes
	// remembered for one fingerprint.
	maxCrashesPerRecord = 8
)

// Options describe the request that is to be admitted.
type Options struct {
	// Work is set for a work order, which is sent to one target only and needs
	// no canary.
	Work bool
	// Canary is the canary setting of the service.
	Canary bool
}

// Kind says whether and how a request may run.
type Kind uint8

const (
	// Run allows a normal run.
	Run Kind = iota + 1
	// RunCanary sends the request to the first target of CanaryOrder only, and
	// to the others after that target has answered.
	RunCanary
	// RunProbation allows a probation run, on the first target of CanaryOrder. The
	// node calls ProbationStarted when it has chosen the target, and
	// ProbationEnded when the run has ended: after any call of Answered or Crashed
	// for the run, in the same step, and before waiting requests call Admit again.
	RunProbation
	// Wait means that a probation run of the same fingerprint is in progress, or
	// that refusalDelay of its conviction has not passed yet. Call Admit again
	// when the run has ended or when Learn, Respond or Tick reports a change.
	Wait
	// Refuse means that the fingerprint is convicted and that the request must
	// not run.
	Refuse
)

// Verdict is the result of Admit. RetryAfter is set for Refuse.
type Verdict struct {
	Kind       Kind
	RetryAfter time.Duration
}

// state is the state of a fingerprint. A greater value takes precedence among
// equal versions.
type state uint8

const (
	suspect   state = iota + 1 // was in flight at a crash
	cleared                    // a probation run was answered, or this node or a peer revoked its conviction
	convicted                  // crashed targets repeatedly and is refused
)

// record is what is known about a fingerprint that was in flight at a crash.
type record struct {
	state   state
	version uint64
	// clearedVersion is the version of the newest clearing; notices with a lower
	// version are ignored.
	clearedVersion uint64
	expiresAt      time.Time // when the record expires
	crashes        []crash
	// additionalCrashes are crashes that do not count towards a conviction. They
	// are reported with AdditionalCrash: the second and further crashes during
	// one request, which may have a common cause other than the request, and
	// crashes of targets that stopped responding outside a probation run, which
	// may have happened before the target received the request.
	additionalCrashes []crash
	// maxReportedCrashes is the largest number of crashes in a notice of a
	// peer.
	maxReportedCrashes int
	// earlierCrashes is the number of crashes that the request had when its
	// conviction was revoked; zero once a target has answered it since.
	earlierCrashes  int
	inProbation     bool            // whether this node has a probation run in progress
	probationTarget api.ReplicaName // target of that run, empty until it is chosen
	// answeredBefore is set if a target had answered the fingerprint before the
	// first crash of this record. clear sets it as well: it discards the crashes,
	// so that every crash recorded later comes after the clearing. Such a
	// fingerprint is convicted only by a crash during a probation run, because a
	// frequent one is in flight at nearly every crash.
	answeredBefore bool
	// convictedVersion is the version of the conviction.
	convictedVersion uint64
	// refusedFrom is the time from which the conviction refuses requests; zero
	// once Tick has reported it.
	refusedFrom time.Time
	// convictingCrash is the crash for which this node itself convicted the
	// fingerprint. A conviction learned from a peer does not set it.
	convictingCrash crash
	// convictedInProbation is set if that crash ended a probation run.
	convictedInProbation bool
	// answeredBeforeShared is set once the peers know that answeredBefore is
	// set.
	answeredBeforeShared bool
}

// Registry holds the fingerprints known to one node. It is not safe for
// concurrent use.
type Registry struct {
	counts   *count.Set
	answered *lruSet
	records  map[api.Fingerprint]*record
}

// New returns an empty registry.
func New(counts *count.Set) *Registry {
	return &Registry{counts: counts, answered: newLRUSet(maxAnswered), records: make(map[api.Fingerprint]*record)}
}

// Admit decides how a request may run now.
func (r *Registry) Admit(now time.Time, fp api.Fingerprint, opts Options) Verdict {
	if rec := r.lookup(now, fp); rec != nil {
		switch rec.state {
		case convicted:
			rec.expiresAt = now.Add(convictionTime)
			if now.Before(rec.refusedFrom) {
				return Verdict{Kind: Wait}
			}
			r.counts.Inc(count.Quarantine, "refused")
			return Verdict{Kind: Refuse, RetryAfter: convictionTime}
		case suspect:
			rec.expiresAt = now.Add(suspicionTime)
			if rec.inProbation {
				return Verdict{Kind: Wait}
			}
			rec.inProbation = true
			r.counts.Inc(count.Quarantine, "probation")
			return Verdict{Kind: RunProbation}
		}
	}
	if opts.Work || !opts.Canary || r.answered.touch(fp) {
		return Verdict{Kind: Run}
	}
	r.counts.Inc(count.Quarantine, "canary")
	return Verdict{Kind: RunCanary}
}

// WasAnswered reports whether a target has answered the fingerprint and this
// node knows of no crash since. Admit then lets requests run without a canary.
// Unlike AnsweredBefore, it becomes false when the fingerprint becomes a
// suspect, and true again when it is cleared. Use it to tell whether a request
// would need a canary or is considered harmless now.
func (r *Registry) WasAnswered(fp api.Fingerprint) bool { return r.answered.has(fp) }

// AnsweredBefore reports whether a target answered the fingerprint before its
// first recorded crash, or at any time if no crash is recorded, as far as this
// node knows from its own requests and from its peers. Unlike WasAnswered, it
// remains true while the fingerprint is a suspect or convicted. Use it to weigh
// whether the fingerprint is a likely cause of a crash.
func (r *Registry) AnsweredBefore(fp api.Fingerprint) bool {
	rec := r.records[fp]
	return r.answered.has(fp) || rec != nil && rec.answeredBefore
}

// Answered records that a target answered a request; a refusal before running
// does not count as an answer. It must not be called for an attempt that was
// sent before its fingerprint became suspect: only the answer of a probation
// run clears a suspect.
func (r *Registry) Answered(now time.Time, fp api.Fingerprint) []gossip.Notice {
	rec := r.lookup(now, fp)
	if rec == nil || rec.state == cleared {
		r.answered.add(fp)
		if rec != nil {
			rec.earlierCrashes = 0
		}
		return nil
	}
	if rec.state == convicted || !rec.inProbation {
		return nil
	}
	rec.clear(nextVersion(now, rec.version), now.Add(clearedTime))
	r.answered.add(fp)
	r.counts.Inc(count.Quarantine, "cleared")
	return []gossip.Notice{rec.notice(now, fp)}
}

// clear marks the record as cleared and discards its crashes.
func (rec *record) clear(version uint64, expiresAt time.Time) {
	*rec = record{state: cleared, version: version, clearedVersion: version, expiresAt: expiresAt, answeredBefore: true}
}

// ProbationStarted records the target of a probation run. Only a crash of this
// target counts as a crash of the probation run.
func (r *Registry) ProbationStarted(now time.Time, fp api.Fingerprint, replica api.ReplicaName) {
	if rec := r.lookup(now, fp); rec != nil && rec.inProbation {
		rec.probationTarget = replica
	}
}

// ProbationEnded records that a probation run has ended. A run that ended without
// an answer and without a crash (it timed out, was cancelled or was refused
// before running) neither clears nor convicts the fingerprint: its next request
// gets a probation run.
func (r *Registry) ProbationEnded(now time.Time, fp api.Fingerprint) {
	if rec := r.lookup(now, fp); rec != nil {
		rec.endProbation()
	}
}

func (rec *record) endProbation() { rec.inProbation, rec.probationTarget = false, "" }

// nextVersion returns the version of a change that follows the known version.
func nextVersion(now time.Time, known uint64) uint64 {
	return max(known+1, uint64(max(now.UnixMilli(), 0)))
}
