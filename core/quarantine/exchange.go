package quarantine

import (
	"sort"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// Respond returns the notices that this node sends to its peers in reply to a
// notice that it has passed to Learn. They say that a suspect was answered
// before, that this node convicts a suspect because of crashes that several
// nodes saw, or that it revokes a conviction of its own. Requests that wait on
// a revoked conviction should call Admit again.
func (r *Registry) Respond(now time.Time, n gossip.Notice) []gossip.Notice {
	switch n.Kind {
	case gossip.NoticeSuspect, gossip.NoticeConvicted:
		out := append(r.shareAnsweredBefore(now, n.Fingerprint), r.convictOnMergedCrashes(now, n)...)
		out = append(out, r.revokeMisattributedConvictions(now, n)...)
		if n.Kind == gossip.NoticeConvicted {
			out = append(out, r.revokeExplainedConvictions(now)...)
		}
		return out
	case gossip.NoticeAnsweredBefore:
		return r.learnAnsweredBefore(now, n.Fingerprint)
	}
	return nil
}

// shareAnsweredBefore tells the peers, once for each record, that a target had
// answered a suspect before its first crash. Each node only sees the answers to
// its own callers.
func (r *Registry) shareAnsweredBefore(now time.Time, fp api.Fingerprint) []gossip.Notice {
	rec := r.lookup(now, fp)
	if rec == nil || !rec.answeredBefore || rec.answeredBeforeShared || rec.state == cleared {
		return nil
	}
	rec.answeredBeforeShared = true
	return []gossip.Notice{{
		Kind: gossip.NoticeAnsweredBefore, Fingerprint: fp, Version: 1, TimeToLive: suspicionTime,
	}}
}

// convictOnMergedCrashes convicts a suspect that no target has answered if this
// node knows more crashes than any single node has reported. This happens if
// nodes that could not communicate each recorded one crash. A node that
// reported all of these crashes has already evaluated the suspect itself. While
// a probation run is in progress, its result decides instead.
func (r *Registry) convictOnMergedCrashes(now time.Time, n gossip.Notice) []gossip.Notice {
	rec := r.lookup(now, n.Fingerprint)
	if rec == nil || rec.state != suspect || rec.answeredBefore || rec.inProbation {
		return nil
	}
	if len(rec.crashes) < minCrashesToConvict || len(rec.crashes) <= rec.maxReportedCrashes || !r.isMainSuspect(n.Fingerprint, rec) {
		return nil
	}
	rec.version = nextVersion(now, rec.version)
	r.convict(now, rec, crash{n.Replica, n.Incarnation}, false)
	return []gossip.Notice{rec.notice(now, n.Fingerprint)}
}

// learnAnsweredBefore records that a request was answered before, as a peer
// reported. It revokes a conviction by this node, unless the conviction
// followed from a probation run and no other suspect explains the crash.
func (r *Registry) learnAnsweredBefore(now time.Time, fp api.Fingerprint) []gossip.Notice {
	rec := r.lookup(now, fp)
	if rec == nil {
		r.answered.add(fp)
		return nil
	}
	known := rec.answeredBefore
	rec.answeredBefore, rec.answeredBeforeShared = true, true
	if known || rec.state != convicted || rec.convictingCrash == (crash{}) {
		return nil
	}
	if rec.convictedInProbation && !r.explainedByOther(rec.convictingCrash, rec) {
		return nil
	}
	return []gossip.Notice{r.revokeConviction(now, fp, rec)}
}

// revokeConviction clears a request that this node convicted, but keeps the
// number of its crashes.
func (r *Registry) revokeConviction(now time.Time, fp api.Fingerprint, rec *record) gossip.Notice {
	crashes := rec.countedCrashes()
	rec.clear(nextVersion(now, rec.version), now.Add(clearedTime))
	rec.earlierCrashes = crashes
	r.answered.add(fp)
	r.counts.Inc(count.Quarantine, "exonerated")
	return rec.notice(now, fp)
}

// revokeMisattributedConvictions revokes the conviction of each previously
// answered request that this node convicted because of the crash in the notice
// of a peer, if the suspect in that notice explains it. The notice can arrive
// after the conviction, because two nodes can send two suspects to one target at
// the same time.
func (r *Registry) revokeMisattributedConvictions(now time.Time, n gossip.Notice) []gossip.Notice {
	cause := r.lookup(now, n.Fingerprint)
	by := crash{n.Replica, n.Incarnation}
	if cause == nil || cause.state == cleared || n.Replica == "" {
		return nil
	}
	var out []gossip.Notice
	for _, fp := range r.convictedHere() {
		rec := r.records[fp]
		if fp == n.Fingerprint || !rec.answeredBefore || rec.convictingCrash != by || !r.explainedByOther(by, rec) {
			continue
		}
		out = append(out, r.revokeConviction(now, fp, rec))
	}
	return out
}

// Learn applies a notice of a peer and reports whether the state of the
// fingerprint changed, in which case waiting requests should call Admit again.
func (r *Registry) Learn(now time.Time, n gossip.Notice) bool {
	var to state
	switch n.Kind {
	case gossip.NoticeSuspect:
		to = suspect
	case gossip.NoticeCleared:
		to = cleared
	case gossip.NoticeConvicted:
		to = convicted
	case gossip.NoticeFurtherCrash:
		r.learnAdditionalCrash(now, n)
		return false
	default:
		return false
	}
	if n.TimeToLive <= 0 {
		return false
	}
	expiresAt := now.Add(min(n.TimeToLive, convictionTime))
	rec := r.lookup(now, n.Fingerprint)
	if rec == nil {
		rec = r.addRecord(n.Fingerprint)
	}
	before := rec.state
	if !rec.learn(n, to, expiresAt) {
		return false
	}
	switch {
	case to == cleared:
		r.answered.add(n.Fingerprint)
	default:
		r.answered.remove(n.Fingerprint)
	}
	if before == rec.state {
		return false
	}
	if rec.state == convicted {
		rec.refusedFrom = now.Add(refusalDelay)
	}
	r.counts.Inc(count.Quarantine, "learned")
	return true
}

// learn merges a notice into the record and reports whether the notice was
// applied. A notice that only extends the expiry does not count as applied,
// except for a suspicion of a suspect.
func (rec *record) learn(n gossip.Notice, to state, expiresAt time.Time) bool {
	if n.Version < rec.clearedVersion || n.Version == rec.clearedVersion && to < convicted {
		return false
	}
	if to == suspect && rec.state == suspect && rec.version > 0 {
		rec.mergeCrashes(n)
		rec.version = max(rec.version, n.Version)
		rec.extend(expiresAt)
		return true
	}
	newer := n.Version > rec.version || n.Version == rec.version && to > rec.state
	// A conviction applies even if a node that did not know of it reported a
	// suspicion with a higher version. The result must not depend on the order in
	// which the two notices arrive.
	if !newer && to == cleared {
		return rec.revertToSuspect(n.Version)
	}
	if !newer && (to != convicted || rec.state != suspect) {
		if n.Version == rec.version && to == rec.state {
			rec.extend(expiresAt)
		}
		return false
	}
	// A suspicion does not end a conviction that its sender did not know of.
	if rec.state == convicted && to == suspect {
		return false
	}
	if to == cleared {
		rec.clear(n.Version, expiresAt)
		rec.earlierCrashes = n.Crashes
		return true
	}
	if to == convicted {
		rec.convictedVersion = n.Version
	}
	rec.state, rec.version = to, max(rec.version, n.Version)
	rec.expiresAt = expiresAt
	rec.mergeCrashes(n)
	return true
}

// revertToSuspect handles a clearing that is older than a crash that this node
// has recorded since. The request remains a suspect, but a conviction older
// than the clearing ends, regardless of the order in which the two notices
// arrive. It reports whether a conviction ended.
func (rec *record) revertToSuspect(clearedVersion uint64) bool {
	rec.clearedVersion = max(rec.clearedVersion, clearedVersion)
	if rec.state != convicted || rec.convictedVersion >= clearedVersion {
		return false
	}
	rec.state, rec.convictedVersion = suspect, 0
	return true
}

// mergeCrashes adds the crash and the number of crashes of a notice to the
// record.
func (rec *record) mergeCrashes(n gossip.Notice) {
	rec.addCrash(crash{n.Replica, n.Incarnation})
	rec.maxReportedCrashes = max(rec.maxReportedCrashes, n.Crashes)
}

// extend moves the expiry to the given time if that is later than the current
// expiry by more than minExtension.
func (rec *record) extend(expiresAt time.Time) {
	if expiresAt.Sub(rec.expiresAt) > minExtension {
		rec.expiresAt = expiresAt
	}
}

// notice returns the notice that tells peers the state of the record and its
// newest crash.
func (rec *record) notice(now time.Time, fp api.Fingerprint) gossip.Notice {
	n := gossip.Notice{
		Fingerprint: fp, Crashes: rec.countedCrashes(), Version: rec.version, TimeToLive: rec.expiresAt.Sub(now),
	}
	if len(rec.crashes) > 0 {
		last := rec.crashes[len(rec.crashes)-1]
		n.Replica, n.Incarnation = last.replica, last.incarnation
	}
	switch rec.state {
	case suspect:
		n.Kind = gossip.NoticeSuspect
	case cleared:
		n.Kind, n.Crashes = gossip.NoticeCleared, rec.earlierCrashes
	case convicted:
		n.Kind = gossip.NoticeConvicted
	}
	return n
}

// Active returns the notices of all unexpired records, newest version first,
// for the periodic exchange with peers.
func (r *Registry) Active(now time.Time) []gossip.Notice {
	var out []gossip.Notice
	for _, fp := range r.sortedFingerprints() {
		if rec := r.lookup(now, fp); rec != nil {
			out = append(out, rec.notice(now, fp))
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Version > out[j].Version })
	return out
}
