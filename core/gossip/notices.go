package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// subject is what a notice is about. A notice replaces one of the same subject
// with a lower version.
type subject struct {
	kind        NoticeKind
	replica     api.ReplicaName
	incarnation api.Incarnation
	fingerprint api.Fingerprint
}

// subjectOf leaves out the crashed target of notices about requests, so that
// the newest suspicion of a fingerprint replaces the older ones.
func subjectOf(n Notice) subject {
	if n.Kind == NoticeDraining {
		return subject{kind: n.Kind, replica: n.Replica, incarnation: n.Incarnation}
	}
	return subject{kind: n.Kind, fingerprint: n.Fingerprint}
}

func (s subject) compare(o subject) int {
	return cmp.Or(
		cmp.Compare(s.kind, o.kind),
		cmp.Compare(s.replica, o.replica),
		cmp.Compare(s.incarnation, o.incarnation),
		cmp.Compare(s.fingerprint, o.fingerprint),
	)
}

// held is a notice with its validity on the local clock.
type held struct {
	notice Notice
	until  time.Time
	rounds int // periodic rounds that still repeat it first
}

// notices holds the newest notice of each subject until it expires.
type notices struct {
	bySubject map[subject]*held
	order     []subject // ascending
}

func newNotices() notices { return notices{bySubject: make(map[subject]*held)} }

// add takes a notice and reports whether it was new.
func (h *notices) add(now time.Time, n Notice) bool {
	if n.TimeToLive <= 0 {
		return false
	}
	s := subjectOf(n)
	until := now.Add(n.TimeToLive)
	old := h.bySubject[s]
	if old != nil && n.Version <= old.notice.Version {
		return false
	}
	if old == nil {
		if len(h.order) >= noticeLimit {
			h.evict()
		}
		i, _ := slices.BinarySearchFunc(h.order, s, subject.compare)
		h.order = slices.Insert(h.order, i, s)
	}
	h.bySubject[s] = &held{notice: n, until: until, rounds: hotRounds}
	return true
}

// refresh adds a notice or prolongs one of the same version.
func (h *notices) refresh(now time.Time, n Notice) {
	if old := h.bySubject[subjectOf(n)]; old != nil && old.notice.Version == n.Version {
		old.until = later(old.until, now.Add(n.TimeToLive))
		return
	}
	h.add(now, n)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// evict removes the notice that expires first.
func (h *notices) evict() {
	victim := h.order[0]
	for _, s := range h.order {
		if h.bySubject[s].until.Before(h.bySubject[victim].until) {
			victim = s
		}
	}
	h.remove(victim)
}

func (h *notices) remove(s subject) {
	i, found := slices.BinarySearchFunc(h.order, s, subject.compare)
	if found {
		h.order = slices.Delete(h.order, i, i+1)
		delete(h.bySubject, s)
	}
}

func (h *notices) expire(now time.Time) {
	for _, s := range slices.Clone(h.order) {
		if !now.Before(h.bySubject[s].until) {
			h.remove(s)
		}
	}
}

// endRound counts down the rounds of the notices that are repeated first.
func (h *notices) endRound() {
	for _, s := range h.order {
		h.bySubject[s].rounds = max(0, h.bySubject[s].rounds-1)
	}
}

// heatAll repeats all notices first again, because a member joined or returned
// that may not know them.
func (h *notices) heatAll() {
	for _, s := range h.order {
		h.bySubject[s].rounds = hotRounds
	}
}

// ofKind returns the notices of a kind that are in force, by subject.
func (h *notices) ofKind(now time.Time, kind NoticeKind) []Notice {
	var out []Notice
	for _, s := range h.order {
		if e := h.bySubject[s]; s.kind == kind && now.Before(e.until) {
			out = append(out, e.notice)
		}
	}
	return out
}

// choose returns notices within a budget of bytes: those with the most rounds
// left first, random ones among equals, and not new ones within cold bytes.
func (h *notices) choose(now time.Time, budget, cold int, rng *rand.Rand) []Notice {
	pool := make([]*held, 0, len(h.order))
	for _, s := range h.order {
		if e := h.bySubject[s]; now.Before(e.until) {
			pool = append(pool, e)
		}
	}
	rng.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	slices.SortStableFunc(pool, func(a, b *held) int { return cmp.Compare(b.rounds, a.rounds) })
	var out []Notice
	for _, e := range pool {
		n := e.notice
		n.TimeToLive = e.until.Sub(now)
		if e.rounds == 0 {
			budget = min(budget, cold)
			cold -= sizeOfNotice(n)
		}
		if budget -= sizeOfNotice(n); budget < 0 {
			break
		}
		out = append(out, n)
	}
	return out
}
