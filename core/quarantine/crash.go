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
		if rc, changed := r.recordCrash(now, by, fp); changed {
			recorded = append(recorded, rc)
		}
	}
	var out []gossip.Notice
	for _, rc := range recorded {
		r.evaluateSuspect(now, by, rc)
		out = append(out, rc.record.notice(now, rc.fingerprint))
	}
	if len(out) == 0 {
		return nil
	}
	return append(out, r.revokeExplainedConvictions(now)...)
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
	rec := r.lookup(now, fp)
	if rec == nil {
		rec = r.addRecord(fp)
	}
	if rec.state == convicted || slices.Contains(rec.crashes, by) {
		return recordedCrash{}, false
	}
	rc := recordedCrash{fingerprint: fp, record: rec, wasSuspect: rec.state == suspect, inProbation: rec.inProbation && rec.probationTarget != "" && rec.probationTarget == by.replica}
	if rc.inProbation {
		rec.endProbation()
	}
	rec.addCrash(by)
	rec.version = nextVersion(now, rec.version)
	rec.state = suspect
	rec.expiresAt = now.Add(suspicionTime)
	r.answered.remove(fp)
	return rc, true
}

// evaluateSuspect convicts a suspect for its second crash, unless another
// request may have caused it. A suspect that was answered before is convicted
// only by a crash of its probation run, and not if another request explains
// that crash. One that was not answered before, and whose crash was not in a
// probation run, must have more crashes than each of the other requests that
// share one of its crashes; otherwise it remains a suspect and gets a probation
// run.
func (r *Registry) evaluateSuspect(now time.Time, by crash, rc recordedCrash) {
	rec := rc.record
	convict := false
	switch {
	case !rc.wasSuspect || rec.countedCrashes() < minCrashesToConvict:
	case rc.inProbation:
		convict = !rec.answeredBefore || !r.explainedByOther(by, rec)
	default:
		convict = !rec.answeredBefore && r.isMainSuspect(rc.fingerprint, rec)
	}
	if convict {
		r.convict(now, rec, by, rc.inProbation)
		return
	}
	r.counts.Inc(count.Quarantine, "suspect")
}

// convict marks a record as convicted because of a crash. It keeps the version
// of the record.
func (r *Registry) convict(now time.Time, rec *record, by crash, inProbation bool) {
	rec.state = convicted
	rec.convictingCrash, rec.convictedInProbation, rec.convictedVersion = by, inProbation, rec.version
	rec.refusedFrom = now.Add(refusalDelay)
	rec.expiresAt = now.Add(convictionTime)
	r.counts.Inc(count.Quarantine, "convicted")
}

// isMainSuspect reports whether this request has more known crashes than every
// other request that no target has answered and one of whose counted crashes is
// also known for this one.
func (r *Registry) isMainSuspect(fp api.Fingerprint, rec *record) bool {
	for other, o := range r.records {
		if other != fp && !o.answeredBefore && o.allCrashes() >= rec.allCrashes() && o.sharesCrash(rec) {
			return false
		}
	}
	return true
}

// sharesCrash reports whether one of the counted crashes of rec is also known
// for o.
func (rec *record) sharesCrash(o *record) bool {
	return slices.ContainsFunc(rec.crashes, o.hasCrash)
}

// addCrash adds a crash that counts towards a conviction. Only the last
// maxCrashesPerRecord crashes are kept.
func (rec *record) addCrash(by crash) {
	if slices.Contains(rec.crashes, by) {
		return
	}
	rec.crashes = append(rec.crashes, by)
	if len(rec.crashes) > maxCrashesPerRecord {
		rec.crashes = rec.crashes[1:]
	}
}

// countedCrashes is the number of crashes that count towards a conviction,
// whether this node knows each of them or a peer reported their number.
func (rec *record) countedCrashes() int { return max(len(rec.crashes), rec.maxReportedCrashes) }
