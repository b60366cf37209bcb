package quarantine

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// EndedToo reports the end of a further process under requests of which one end was
// reported with Crashed. It does not count towards a conviction, and explains what
// becomes of other requests at that process.
func (r *Registry) EndedToo(now time.Time, replica api.ReplicaName, incarnation api.Incarnation,
	fps []api.Fingerprint) []gossip.Notice {
	by := crash{replica, incarnation}
	var out []gossip.Notice
	for _, fp := range fps {
		c := r.live(now, fp)
		if c == nil || c.state == cleared || !c.addFurther(by) {
			continue
		}
		out = append(out, gossip.Notice{
			Kind: gossip.NoticeEndedToo, Fingerprint: fp, Replica: replica, Incarnation: incarnation,
			Version: c.version, TimeToLive: c.until.Sub(now),
		})
	}
	return out
}

// FellSilent reports that targets fell silent with requests in flight. This makes each of
// them a suspect, once, whichever targets and nodes it concerns.
func (r *Registry) FellSilent(now time.Time, fps []api.Fingerprint) []gossip.Notice {
	return r.Crashed(now, "", 0, fps)
}

// Explained reports whether the end of a process is held against a request that no target
// has answered, and under which more processes have ended than under this one.
func (r *Registry) Explained(replica api.ReplicaName, incarnation api.Incarnation, fp api.Fingerprint) bool {
	by := crash{replica, incarnation}
	own := 0
	if c := r.cases[fp]; c != nil {
		own = c.weight()
	}
	for other, o := range r.cases {
		if other != fp && !o.wasGood && o.weight() > own && o.holds(by) {
			return true
		}
	}
	return false
}

// learnFurther takes a peer's word of a further end.
func (r *Registry) learnFurther(now time.Time, n gossip.Notice) {
	if c := r.live(now, n.Fingerprint); c != nil && c.state != cleared && n.Version >= c.clearedAt {
		c.addFurther(crash{n.Replica, n.Incarnation})
	}
}

// addFurther reports whether the end is news.
func (c *record) addFurther(by crash) bool {
	if c.holds(by) {
		return false
	}
	c.further = append(c.further, by)
	if len(c.further) > crashLimit {
		c.further = c.further[1:]
	}
	return true
}

// holds reports whether a process ended under the request.
func (c *record) holds(by crash) bool {
	if by.replica == "" {
		return false // FellSilent names no process
	}
	return slices.Contains(c.crashes, by) || slices.Contains(c.further, by)
}

// weight is the number of processes that are known to have ended under the request.
func (c *record) weight() int { return len(c.crashes) + len(c.further) }
