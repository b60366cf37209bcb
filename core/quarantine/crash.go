package quarantine

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// crash is the end of one process of a target.
type crash struct {
	replica     api.ReplicaName
	incarnation api.Incarnation
}

// Crashed reports that a target process ended with requests in flight. Further
// reports of the same incarnation change nothing for a fingerprint that is
// already held against it. Notices must be sent before the callers are answered.
func (r *Registry) Crashed(now time.Time, replica api.ReplicaName, incarnation api.Incarnation,
	inFlight []api.Fingerprint) []gossip.Notice {
	fps := slices.Clone(inFlight)
	slices.Sort(fps)
	by := crash{replica, incarnation}
	var held []holding
	for _, fp := range slices.Compact(fps) {
		if h, changed := r.hold(now, by, fp); changed {
			held = append(held, h)
		}
	}
	var out []gossip.Notice
	for _, h := range held {
		r.judge(now, by, h)
		out = append(out, h.record.notice(now, h.fingerprint))
	}
	return out
}

// holding is a crash that has just been held against a request.
type holding struct {
	fingerprint api.Fingerprint
	record      *record
	known       bool // the request was a suspect before
	alone       bool // the crash ended its isolated run
}

// hold makes a request that was in flight at a crash a suspect. It reports
// whether this is news.
func (r *Registry) hold(now time.Time, by crash, fp api.Fingerprint) (holding, bool) {
	c := r.live(now, fp)
	if c == nil {
		c = r.open(fp)
	}
	if c.state == convicted || slices.Contains(c.crashes, by) {
		return holding{}, false
	}
	h := holding{fingerprint: fp, record: c, known: c.state == suspect, alone: c.running && c.runsOn != "" && c.runsOn == by.replica}
	if h.alone {
		c.endRun()
	}
	c.addCrash(by)
	c.version = nextVersion(now, c.version)
	c.state = suspect
	c.until = now.Add(suspicionTime)
	r.good.remove(fp)
	return h, true
}

// judge convicts a suspect for its second crash, unless another request may
// have caused it. A suspect that was answered before is convicted only after an
// isolated run, and not if another request ran on the same target. One that was
// not, and ran beside others, must have more crashes against it than each of
// them; else they are tried alone.
func (r *Registry) judge(now time.Time, by crash, h holding) {
	c := h.record
	guilty := false
	switch {
	case !h.known || c.total() < convictingCrashes:
	case h.alone:
		guilty = !c.wasGood || !r.suspectsOther(by, h.fingerprint)
	default:
		guilty = !c.wasGood && r.mainSuspect(h.fingerprint, c)
	}
	if guilty {
		r.convict(now, c, by, h.alone)
		return
	}
	r.counts.Inc(count.Quarantine, "suspect")
}

// convict marks a case as convicted by a crash, at the version of the case.
func (r *Registry) convict(now time.Time, c *record, by crash, alone bool) {
	c.state = convicted
	c.convictedBy, c.convictedAlone, c.convictedAt = by, alone, c.version
	c.refusedFrom = now.Add(explanationTime)
	c.until = now.Add(convictionTime)
	r.counts.Inc(count.Quarantine, "convicted")
}

// suspectsOther reports whether a crash is held against another request, which
// no target has ever answered. That one ran on the same target, sent by this
// node or another, and is more likely to be the cause.
func (r *Registry) suspectsOther(by crash, fp api.Fingerprint) bool {
	for other, c := range r.cases {
		if other != fp && !c.wasGood && c.holds(by) {
			return true
		}
	}
	return false
}

// mainSuspect reports whether no other request that no target has ever answered
// was in flight at one of the crashes of this one and has as many against it.
func (r *Registry) mainSuspect(fp api.Fingerprint, c *record) bool {
	for other, o := range r.cases {
		if other != fp && !o.wasGood && o.weight() >= c.weight() && o.sharesCrash(c) {
			return false
		}
	}
	return true
}

func (c *record) sharesCrash(o *record) bool {
	return slices.ContainsFunc(c.crashes, o.holds)
}

func (c *record) addCrash(by crash) {
	if slices.Contains(c.crashes, by) {
		return
	}
	c.crashes = append(c.crashes, by)
	if len(c.crashes) > crashLimit {
		c.crashes = c.crashes[1:]
	}
}

func (c *record) total() int { return max(len(c.crashes), c.reported) }
