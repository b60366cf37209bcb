package quarantine

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// AdditionalCrash records that another process crashed while it was running the
// given requests, for each of which a crash was already reported with Crashed.
// It does not count towards a conviction. It only marks these requests as a
// possible cause, so that the crash can be attributed to them rather than to the
// other requests that were in flight at that process.
func (r *Registry) AdditionalCrash(now time.Time, replica api.ReplicaName, incarnation api.Incarnation,
	fps []api.Fingerprint) []gossip.Notice {
	by := crash{replica, incarnation}
	var out []gossip.Notice
	for _, fp := range fps {
		rec := r.lookup(now, fp)
		if rec == nil || rec.state == cleared || !rec.addAdditionalCrash(by) {
			continue
		}
		out = append(out, gossip.Notice{
			Kind: gossip.NoticeFurtherCrash, Fingerprint: fp, Replica: replica, Incarnation: incarnation,
			Version: rec.version, TimeToLive: rec.expiresAt.Sub(now),
		})
	}
	return out
}

// RequestsUnanswered records that targets stopped responding with the given
// requests in flight. This makes each request a suspect. All such reports on a
// request count as one crash, regardless of the number of targets and nodes.
func (r *Registry) RequestsUnanswered(now time.Time, fps []api.Fingerprint) []gossip.Notice {
	return r.Crashed(now, "", 0, fps)
}

// AttributedToOther reports whether the crash of a process is attributed to a
// request other than the given one: a request that no target had answered
// before, that was in flight at this crash, and that has more known crashes.
func (r *Registry) AttributedToOther(replica api.ReplicaName, incarnation api.Incarnation, fp api.Fingerprint) bool {
	by := crash{replica, incarnation}
	own := 0
	if rec := r.records[fp]; rec != nil {
		own = rec.allCrashes()
	}
	for other, o := range r.records {
		if other != fp && !o.answeredBefore && o.allCrashes() > own && o.hasCrash(by) {
			return true
		}
	}
	return false
}

// learnAdditionalCrash records an additional crash that a peer reported.
func (r *Registry) learnAdditionalCrash(now time.Time, n gossip.Notice) {
	if rec := r.lookup(now, n.Fingerprint); rec != nil && rec.state != cleared && n.Version >= rec.clearedVersion {
		rec.addAdditionalCrash(crash{n.Replica, n.Incarnation})
	}
}

// addAdditionalCrash adds a crash to additionalCrashes and reports whether it
// was unknown.
func (rec *record) addAdditionalCrash(by crash) bool {
	if rec.hasCrash(by) {
		return false
	}
	rec.additionalCrashes = append(rec.additionalCrashes, by)
	if len(rec.additionalCrashes) > maxCrashesPerRecord {
		rec.additionalCrashes = rec.additionalCrashes[1:]
	}
	return true
}

// hasCrash reports whether the request was in flight at the given crash.
func (rec *record) hasCrash(by crash) bool {
	if by.replica == "" {
		return false // unresponsive targets are recorded without a process
	}
	return slices.Contains(rec.crashes, by) || slices.Contains(rec.additionalCrashes, by)
}

// allCrashes is the number of known crashes with the request in flight,
// including those that do not count towards a conviction.
func (rec *record) allCrashes() int { return len(rec.crashes) + len(rec.additionalCrashes) }
