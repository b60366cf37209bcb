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
		return append(out, r.revokeExplainedConvictions(now, n)...)
	case gossip.NoticeVouched:
		return r.learnAnsweredBefore(now, n.Fingerprint)
	}
	return nil
}

// shareAnsweredBefore tells the peers, once for each record, that a target had
// answered a suspect before its first crash. Each node only sees the answers to
// its own callers.
func (r *Registry) shareAnsweredBefore(now time.Time, fp api.Fingerprint) []gossip.Notice {
	c := r.lookup(now, fp)
	if c == nil || !c.answeredBefore || c.answeredBeforeShared || c.state == cleared {
		return nil
	}
	c.answeredBeforeShared = true
	return []gossip.Notice{{
		Kind: gossip.NoticeVouched, Fingerprint: fp, Version: 1, TimeToLive: suspicionTime,
	}}
}

// convictOnMergedCrashes convicts a suspect that no target has answered if this
// node knows more crashes than any single node has reported. This happens if
// nodes that could not communicate each recorded one crash. A node that
// reported all of these crashes has already evaluated the suspect itself. While
// a probation run is in progress, its result decides instead.
func (r *Registry) convictOnMergedCrashes(now time.Time, n gossip.Notice) []gossip.Notice {
	c := r.lookup(now, n.Fingerprint)
	if c == nil || c.state != suspect || c.answeredBefore || c.inProbation {
		return nil
	}
	if len(c.crashes) < convictingCrashes || len(c.crashes) <= c.maxReportedCrashes || !r.isMainSuspect(n.Fingerprint, c) {
		return nil
	}
	c.version = nextVersion(now, c.version)
	r.convict(now, c, crash{n.Replica, n.Incarnation}, false)
	return []gossip.Notice{c.notice(now, n.Fingerprint)}
}

// learnAnsweredBefore records that a request was answered before, as a peer
// reported. It revokes a conviction by this node, unless the conviction
// followed from a probation run and no other suspect was in flight on that
// target.
func (r *Registry) learnAnsweredBefore(now time.Time, fp api.Fingerprint) []gossip.Notice {
	c := r.lookup(now, fp)
	if c == nil {
		r.answered.add(fp)
		return nil
	}
	known := c.answeredBefore
	c.answeredBefore, c.answeredBeforeShared = true, true
	if known || c.state != convicted || c.convictedBy == (crash{}) {
		return nil
	}
	if c.convictedInProbation && !r.hasOtherSuspect(c.convictedBy, fp) {
		return nil
	}
	return []gossip.Notice{r.revokeConviction(now, fp, c)}
}

// revokeConviction clears a request that this node convicted.
func (r *Registry) revokeConviction(now time.Time, fp api.Fingerprint, c *record) gossip.Notice {
	c.clear(nextVersion(now, c.version), now.Add(clearedTime))
	r.answered.add(fp)
	r.counts.Inc(count.Quarantine, "exonerated")
	return c.notice(now, fp)
}

// revokeExplainedConvictions clears the requests that this node convicted
// because of a crash which the notice of a peer now explains: another request,
// which no target has answered, ran on the same target. The notice can arrive
// after the conviction, because two nodes can send two suspects to one target
// at the same time.
func (r *Registry) revokeExplainedConvictions(now time.Time, n gossip.Notice) []gossip.Notice {
	cause := r.lookup(now, n.Fingerprint)
	by := crash{n.Replica, n.Incarnation}
	if cause == nil || cause.answeredBefore || cause.state == cleared || n.Replica == "" {
		return nil
	}
	var out []gossip.Notice
	for _, fp := range r.sortedFingerprints() {
		c := r.records[fp]
		if fp == n.Fingerprint || c.state != convicted || !c.answeredBefore || c.convictedBy != by {
			continue
		}
		out = append(out, r.revokeConviction(now, fp, c))
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
	case gossip.NoticeEndedToo:
		r.learnAdditionalCrash(now, n)
		return false
	default:
		return false
	}
	if n.TimeToLive <= 0 {
		return false
	}
	until := now.Add(min(n.TimeToLive, convictionTime))
	c := r.lookup(now, n.Fingerprint)
	if c == nil {
		c = r.addRecord(n.Fingerprint)
	}
	before := c.state
	if !c.learn(n, to, until) {
		return false
	}
	switch {
	case to == cleared:
		r.answered.add(n.Fingerprint)
	default:
		r.answered.remove(n.Fingerprint)
	}
	if before == c.state {
		return false
	}
	if c.state == convicted {
		c.refusedFrom = now.Add(refusalDelay)
	}
	r.counts.Inc(count.Quarantine, "learned")
	return true
}

// learn merges a notice into the record and reports whether the notice was
// applied. A notice that only extends the expiry does not count as applied,
// except for a suspicion of a suspect.
func (c *record) learn(n gossip.Notice, to state, until time.Time) bool {
	if n.Version < c.clearedAt || n.Version == c.clearedAt && to < convicted {
		return false
	}
	if to == suspect && c.state == suspect && c.version > 0 {
		c.mergeCrashes(n)
		c.version = max(c.version, n.Version)
		c.extend(until)
		return true
	}
	newer := n.Version > c.version || n.Version == c.version && to > c.state
	// A conviction applies even if a node that did not know of it reported a
	// suspicion with a higher version. The result must not depend on the order in
	// which the two notices arrive.
	if !newer && to == cleared {
		return c.revertToSuspect(n.Version)
	}
	if !newer && (to != convicted || c.state != suspect) {
		if n.Version == c.version && to == c.state {
			c.extend(until)
		}
		return false
	}
	// A suspicion does not end a conviction that its sender did not know of.
	if c.state == convicted && to == suspect {
		return false
	}
	if to == cleared {
		c.clear(n.Version, until)
		return true
	}
	if to == convicted {
		c.convictedAt = n.Version
	}
	c.state, c.version = to, max(c.version, n.Version)
	c.until = until
	c.mergeCrashes(n)
	return true
}

// revertToSuspect handles a clearing that is older than a crash that this node
// has recorded since. The request remains a suspect, but a conviction older
// than the clearing ends, regardless of the order in which the two notices
// arrive. It reports whether a conviction ended.
func (c *record) revertToSuspect(clearedAt uint64) bool {
	c.clearedAt = max(c.clearedAt, clearedAt)
	if c.state != convicted || c.convictedAt >= clearedAt {
		return false
	}
	c.state, c.convictedAt = suspect, 0
	return true
}

// mergeCrashes adds the crash and the number of crashes of a notice to the
// record.
func (c *record) mergeCrashes(n gossip.Notice) {
	c.addCrash(crash{n.Replica, n.Incarnation})
	c.maxReportedCrashes = max(c.maxReportedCrashes, n.Crashes)
}

// extend moves the expiry to a later time if that is more than minExtension
// away.
func (c *record) extend(until time.Time) {
	if until.Sub(c.until) > minExtension {
		c.until = until
	}
}

// notice returns the notice that tells peers the state of the record and its
// newest crash.
func (c *record) notice(now time.Time, fp api.Fingerprint) gossip.Notice {
	n := gossip.Notice{
		Fingerprint: fp, Crashes: c.countedCrashes(), Version: c.version, TimeToLive: c.until.Sub(now),
	}
	if len(c.crashes) > 0 {
		last := c.crashes[len(c.crashes)-1]
		n.Replica, n.Incarnation = last.replica, last.incarnation
	}
	switch c.state {
	case suspect:
		n.Kind = gossip.NoticeSuspect
	case cleared:
		n.Kind = gossip.NoticeCleared
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
		if c := r.lookup(now, fp); c != nil {
			out = append(out, c.notice(now, fp))
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Version > out[j].Version })
	return out
}
