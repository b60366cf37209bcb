package quarantine

import (
	"iter"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// This file decides whether a crash with a request in flight is explained by
// another request that ran on the same target. Requests that were answered
// before are in flight at many crashes that others cause, so that one crash is
// little evidence against them; but each crash of a busy target also ends
// requests that were never answered, so that these explain only the first ones.

// explainedByOther reports whether a crash of the probation run of a request
// that was answered before is explained by another request. A convicted one
// explains it, and one with at least as many unexplained crashes. Up to
// maxCoincidentCrashes, any other suspect does; from minCrashesToConvictAlways,
// none does.
func (r *Registry) explainedByOther(by crash, rec *record) bool {
	if rec.earlierCrashes+rec.countedCrashes() >= minCrashesToConvictAlways {
		return false
	}
	convictions := r.convictions()
	own := rec.unexplainedCrashes(convictions)
	if own < minCrashesToConvict {
		return true
	}
	for _, o := range r.records {
		if o == rec || o.state == cleared || !o.hasCrash(by) {
			continue
		}
		if own <= maxCoincidentCrashes || o.state == convicted || o.unexplainedCrashes(convictions) >= own {
			return true
		}
	}
	return false
}

// convictions returns the records of all convicted requests.
func (r *Registry) convictions() []*record {
	var out []*record
	for _, rec := range r.records {
		if rec.state == convicted {
			out = append(out, rec)
		}
	}
	return out
}

// unexplainedCrashes returns the number of crashes of a request that none of the
// given convictions explains.
func (rec *record) unexplainedCrashes(convictions []*record) int {
	n := rec.earlierCrashes + max(rec.countedCrashes(), rec.allCrashes())
	for by := range rec.knownCrashes() {
		if rec.explainedBy(convictions, by) {
			n--
		}
	}
	return n
}

// explainedBy reports whether a convicted request other than this one was in
// flight at a crash, and at a further one without this request.
func (rec *record) explainedBy(convictions []*record, by crash) bool {
	return slices.ContainsFunc(convictions, func(o *record) bool {
		return o != rec && o.hasCrash(by) && o.hasCrashWithout(rec)
	})
}

// hasCrashWithout reports whether a counted crash of rec is not known for o.
func (rec *record) hasCrashWithout(o *record) bool {
	return slices.ContainsFunc(rec.crashes, func(by crash) bool { return !o.hasCrash(by) })
}

// knownCrashes returns the crashes with the request in flight, including those
// that do not count towards a conviction.
func (rec *record) knownCrashes() iter.Seq[crash] {
	return func(yield func(crash) bool) {
		for _, list := range [...][]crash{rec.crashes, rec.additionalCrashes} {
			for _, by := range list {
				if !yield(by) {
					return
				}
			}
		}
	}
}

// revokeExplainedConvictions revokes the convictions by this node of which other
// convictions explain all crashes. A request whose conviction was revoked before
// and that no target has answered since remains convicted.
func (r *Registry) revokeExplainedConvictions(now time.Time) []gossip.Notice {
	var out []gossip.Notice
	convictions := r.convictions()
	for _, fp := range r.convictedHere() {
		rec := r.records[fp]
		if rec.earlierCrashes > 0 || !rec.allExplainedBy(convictions) {
			continue
		}
		out = append(out, r.revokeConviction(now, fp, rec))
		convictions = r.convictions()
	}
	return out
}

// convictedHere returns the requests that this node convicted because of a
// crash, in ascending order.
func (r *Registry) convictedHere() []api.Fingerprint {
	var fps []api.Fingerprint
	for fp, rec := range r.records {
		if rec.state == convicted && rec.convictingCrash != (crash{}) {
			fps = append(fps, fp)
		}
	}
	slices.Sort(fps)
	return fps
}

// allExplainedBy reports whether convictions of other requests explain all
// crashes of this one.
func (rec *record) allExplainedBy(convictions []*record) bool {
	for by := range rec.knownCrashes() {
		if !rec.explainedBy(convictions, by) {
			return false
		}
	}
	return true
}
