package quarantine

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// AdditionalCrash records the crash of another process that was running the given
// requests, where a crash under each of them was already reported with Crashed.
// It does not count towards a conviction; it only makes these requests a
// possible cause for the other requests that were in flight at that process.
func (r *Registry) AdditionalCrash(now time.Time, replica api.ReplicaName, incarnation api.Incarnation,
	fps []api.Fingerprint) []gossip.Notice {
	by := crash{replica, incarnation}
	var out []gossip.Notice
	for _, fp := range fps {
		c := r.lookup(now, fp)
		if c == nil || c.state == cleared || !c.addAdditionalCrash(by) {
			continue
		}
		out = append(out, gossip.Notice{
			Kind: gossip.NoticeEndedToo, Fingerprint: fp, Replica: replica, Incarnation: incarnation,
			Version: c.version, TimeToLive: c.until.Sub(now),
		})
	}
	return out
}

// TargetsUnresponsive records that targets stopped responding with requests in flight.
// This makes each request a suspect. All such reports together count as one
// crash of a request, however many targets and nodes are concerned.
func (r *Registry) TargetsUnresponsive(now time.Time, fps []api.Fingerprint) []gossip.Notice {
	return r.Crashed(now, "", 0, fps)
}

// AttributedToOther reports whether the crash of a process is better explained by
// another request: one that no target had answered before, that was in flight
// at this crash, and that has more known crashes than the given request.
func (r *Registry) AttributedToOther(replica api.ReplicaName, incarnation api.Incarnation, fp api.Fingerprint) bool {
	by := crash{replica, incarnation}
	own := 0
	if c := r.records[fp]; c != nil {
		own = c.allCrashes()
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
	if c := r.lookup(now, n.Fingerprint); c != nil && c.state != cleared && n.Version >= c.clearedAt {
		c.addAdditionalCrash(crash{n.Replica, n.Incarnation})
	}
}

// addAdditionalCrash adds a crash to additionalCrashes and reports whether it
// was unknown.
func (c *record) addAdditionalCrash(by crash) bool {
	if c.hasCrash(by) {
		return false
	}
	c.additionalCrashes = append(c.additionalCrashes, by)
	if len(c.additionalCrashes) > maxCrashesPerRecord {
		c.additionalCrashes = c.additionalCrashes[1:]
	}
	return true
}

// hasCrash reports whether the request was in flight at the given crash.
func (c *record) hasCrash(by crash) bool {
	if by.replica == "" {
		return false // unresponsive targets are recorded without a process
	}
	return slices.Contains(c.crashes, by) || slices.Contains(c.additionalCrashes, by)
}

// allCrashes is the number of known crashes with the request in flight,
// including those that do not count towards a conviction.
func (c *record) allCrashes() int { return len(c.crashes) + len(c.additionalCrashes) }
