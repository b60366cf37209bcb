package quarantine

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// crash identifies a target process that ended.
type crash struct {
	replica     api.ReplicaName
	incarnation api.Incarnation
}

// Crashed records that a target process ended with requests in flight. Repeated
// reports of the same incarnation do not change a fingerprint for which this
// crash is already recorded. The returned notices must be sent before the
// callers are answered.
func (r *Registry) Crashed(now time.Time, replica api.ReplicaName, incarnation api.Incarnation,
	inFlight []api.Fingerprint) []gossip.Notice {
	fps := slices.Clone(inFlight)
	slices.Sort(fps)
	by := crash{replica, incarnation}
	var recorded []recordedCrash
	for _, fp := range slices.Compact(fps) {
		if h, changed := r.recordCrash(now, by, fp); changed {
			recorded = append(recorded, h)
		}
	}
	var out []gossip.Notice
	for _, h := range recorded {
		r.evaluateSuspect(now, by, h)
		out = append(out, h.record.notice(now, h.fingerprint))
	}
	return out
}

// recordedCrash is a crash that recordCrash has just added to a record.
type recordedCrash struct {
	fingerprint api.Fingerprint
	record      *record
	wasSuspect  bool // whether the request was a suspect before
	inProbation bool // whether the crash ended its probation run
}

// recordCrash makes a request that was in flight at a crash a suspect. It
// reports whether the crash is new for the request.
func (r *Registry) recordCrash(now time.Time, by crash, fp api.Fingerprint) (recordedCrash, bool) {
	c := r.lookup(now, fp)
	if c == nil {
		c = r.addRecord(fp)
	}
	if c.state == convicted || slices.Contains(c.crashes, by) {
		return recordedCrash{}, false
	}
	h := recordedCrash{fingerprint: fp, record: c, wasSuspect: c.state == suspect, inProbation: c.inProbation && c.probationTarget != "" && c.probationTarget == by.replica}
	if h.inProbation {
		c.endProbation()
	}
	c.addCrash(by)
	c.version = nextVersion(now, c.version)
	c.state = suspect
	c.until = now.Add(suspicionTime)
	r.answered.remove(fp)
	return h, true
}

// evaluateSuspect convicts a suspect for its second crash, unless another
// request may have caused it. A suspect that was answered before is convicted
// only by a crash of its probation run, and not if another request may have
// been running on the same target. One that was not answered before, and whose
// crash was not in a probation run, must have more crashes than each of the
// other requests that share one of its crashes; otherwise it remains a suspect
// and gets a probation run.
func (r *Registry) evaluateSuspect(now time.Time, by crash, h recordedCrash) {
	c := h.record
	convict := false
	switch {
	case !h.wasSuspect || c.countedCrashes() < convictingCrashes:
	case h.inProbation:
		convict = !c.answeredBefore || !r.hasOtherSuspect(by, h.fingerprint)
	default:
		convict = !c.answeredBefore && r.isMainSuspect(h.fingerprint, c)
	}
	if convict {
		r.convict(now, c, by, h.inProbation)
		return
	}
	r.counts.Inc(count.Quarantine, "suspect")
}

// convict marks a record as convicted because of a crash. It keeps the version
// of the record.
func (r *Registry) convict(now time.Time, c *record, by crash, inProbation bool) {
	c.state = convicted
	c.convictedBy, c.convictedInProbation, c.convictedAt = by, inProbation, c.version
	c.refusedFrom = now.Add(refusalDelay)
	c.until = now.Add(convictionTime)
	r.counts.Inc(count.Quarantine, "convicted")
}

// hasOtherSuspect reports whether the crash is also recorded for another
// request that no target has answered. That request, sent by this node or
// another one, ran on the same target and is more likely to be the cause.
func (r *Registry) hasOtherSuspect(by crash, fp api.Fingerprint) bool {
	for other, c := range r.records {
		if other != fp && !c.answeredBefore && c.hasCrash(by) {
			return true
		}
	}
	return false
}

// isMainSuspect reports whether this request has more known crashes than every
// other request that no target has answered and one of whose counted crashes is
// also known for this one.
func (r *Registry) isMainSuspect(fp api.Fingerprint, c *record) bool {
	for other, o := range r.records {
		if other != fp && !o.answeredBefore && o.allCrashes() >= c.allCrashes() && o.sharesCrash(c) {
			return false
		}
	}
	return true
}

// sharesCrash reports whether one of the counted crashes of c is known for o.
func (c *record) sharesCrash(o *record) bool {
	return slices.ContainsFunc(c.crashes, o.hasCrash)
}

// addCrash adds a crash that counts towards a conviction. Only the last
// maxCrashesPerRecord crashes are kept.
func (c *record) addCrash(by crash) {
	if slices.Contains(c.crashes, by) {
		return
	}
	c.crashes = append(c.crashes, by)
	if len(c.crashes) > maxCrashesPerRecord {
		c.crashes = c.crashes[1:]
	}
}

// countedCrashes is the number of crashes that count towards a conviction,
// whether this node knows each of them or a peer reported their number.
func (c *record) countedCrashes() int { return max(len(c.crashes), c.maxReportedCrashes) }
