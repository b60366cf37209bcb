package quarantine

import (
	"sort"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// Respond returns what this node has to tell its peers after it learned a
// notice: that it knows a suspect to be answered before, that it convicts one by
// crashes which several nodes saw, or that it takes back a conviction of its
// own. Requests that wait on a conviction taken back should ask Admit again.
func (r *Registry) Respond(now time.Time, n gossip.Notice) []gossip.Notice {
	switch n.Kind {
	case gossip.NoticeSuspect, gossip.NoticeConvicted:
		out := append(r.vouch(now, n.Fingerprint), r.convictMerged(now, n)...)
		return append(out, r.exonerate(now, n)...)
	case gossip.NoticeVouched:
		return r.vouchedFor(now, n.Fingerprint)
	}
	return nil
}

// vouch tells the peers, once, that a target had answered a suspect before its
// first crash. Each node knows only the answers to its own callers.
func (r *Registry) vouch(now time.Time, fp api.Fingerprint) []gossip.Notice {
	c := r.live(now, fp)
	if c == nil || !c.wasGood || c.vouched || c.state == cleared {
		return nil
	}
	c.vouched = true
	return []gossip.Notice{{
		Kind: gossip.NoticeVouched, Fingerprint: fp, Version: 1, TimeToLive: suspicionTime,
	}}
}

// convictMerged convicts a suspect that no target has ever answered when the
// crashes known here are more than any node has reported: nodes that could not
// talk each hold one against it. A node that knows them all has judged itself,
// and a run in progress decides.
func (r *Registry) convictMerged(now time.Time, n gossip.Notice) []gossip.Notice {
	c := r.live(now, n.Fingerprint)
	if c == nil || c.state != suspect || c.wasGood || c.running {
		return nil
	}
	if len(c.crashes) < convictingCrashes || len(c.crashes) <= c.reported || !r.mainSuspect(n.Fingerprint, c) {
		return nil
	}
	c.version = nextVersion(now, c.version)
	r.convict(now, c, crash{n.Replica, n.Incarnation}, false)
	return []gossip.Notice{c.notice(now, n.Fingerprint)}
}

// vouchedFor takes a peer's word that a request was answered before. A
// conviction of this node is void unless it followed from an isolated run that
// shared its target with no other suspect.
func (r *Registry) vouchedFor(now time.Time, fp api.Fingerprint) []gossip.Notice {
	c := r.live(now, fp)
	if c == nil {
		r.good.add(fp)
		return nil
	}
	known := c.wasGood
	c.wasGood, c.vouched = true, true
	if known || c.state != convicted || c.convictedBy == (crash{}) {
		return nil
	}
	if c.convictedAlone && !r.suspectsOther(c.convictedBy, fp) {
		return nil
	}
	return []gossip.Notice{r.takeBack(now, fp, c)}
}

// takeBack clears a conviction of this node.
func (r *Registry) takeBack(now time.Time, fp api.Fingerprint, c *record) gossip.Notice {
	c.clear(nextVersion(now, c.version), now.Add(clearedTime))
	r.good.add(fp)
	r.counts.Inc(count.Quarantine, "exonerated")
	return c.notice(now, fp)
}

// exonerate clears the requests that this node convicted by a crash which a
// notice of a peer now explains: a request that no target has ever answered ran
// on the same target. The notice may come after the conviction, because two
// nodes can run two suspects on one target.
func (r *Registry) exonerate(now time.Time, n gossip.Notice) []gossip.Notice {
	cause := r.live(now, n.Fingerprint)
	by := crash{n.Replica, n.Incarnation}
	if cause == nil || cause.wasGood || cause.state == cleared || n.Replica == "" {
		return nil
	}
	var out []gossip.Notice
	for _, fp := range r.sorted() {
		c := r.cases[fp]
		if fp == n.Fingerprint || c.state != convicted || !c.wasGood || c.convictedBy != by {
			continue
		}
		out = append(out, r.takeBack(now, fp, c))
	}
	return out
}

// Learn takes a notice of a peer and reports whether the state of the
// fingerprint changed, so that waiting requests should ask Admit again.
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
		r.learnFurther(now, n)
		return false
	default:
		return false
	}
	if n.TimeToLive <= 0 {
		return false
	}
	until := now.Add(min(n.TimeToLive, convictionTime))
	c := r.live(now, n.Fingerprint)
	if c == nil {
		c = r.open(n.Fingerprint)
	}
	before := c.state
	if !c.learn(n, to, until) {
		return false
	}
	switch {
	case to == cleared:
		r.good.add(n.Fingerprint)
	default:
		r.good.remove(n.Fingerprint)
	}
	if before == c.state {
		return false
	}
	if c.state == convicted {
		c.refusedFrom = now.Add(explanationTime)
	}
	r.counts.Inc(count.Quarantine, "learned")
	return true
}

// learn merges a notice into a case and reports whether it was used.
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
	// A conviction counts beside a later suspicion by a node that did not know of
	// it, in whichever order the two arrive.
	if !newer && to == cleared {
		return c.endConviction(n.Version)
	}
	if !newer && (to != convicted || c.state != suspect) {
		if n.Version == c.version && to == c.state {
			c.extend(until)
		}
		return false
	}
	// A conviction outlasts suspicions that its sender did not know of.
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

// endConviction handles a clearing that is older than what this node itself has
// seen since: the suspicion stays, but a conviction that the clearing followed
// ends, whichever of the two arrives first.
func (c *record) endConviction(clearing uint64) bool {
	c.clearedAt = max(c.clearedAt, clearing)
	if c.state != convicted || c.convictedAt >= clearing {
		return false
	}
	c.state, c.convictedAt = suspect, 0
	return true
}

func (c *record) mergeCrashes(n gossip.Notice) {
	c.addCrash(crash{n.Replica, n.Incarnation})
	c.reported = max(c.reported, n.Crashes)
}

func (c *record) extend(until time.Time) {
	if until.Sub(c.until) > extensionStep {
		c.until = until
	}
}

func (c *record) notice(now time.Time, fp api.Fingerprint) gossip.Notice {
	n := gossip.Notice{
		Fingerprint: fp, Crashes: c.total(), Version: c.version, TimeToLive: c.until.Sub(now),
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

// Active returns the notices of all open cases, newest version first, for the
// periodic exchange.
func (r *Registry) Active(now time.Time) []gossip.Notice {
	var out []gossip.Notice
	for _, fp := range r.sorted() {
		if c := r.live(now, fp); c != nil {
			out = append(out, c.notice(now, fp))
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Version > out[j].Version })
	return out
}
