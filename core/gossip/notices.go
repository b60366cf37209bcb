package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// subject identifies what a notice is about. A notice replaces one of the same subject
// that has a lower version.
type subject struct {
	kind        NoticeKind
	replica     api.ReplicaName
	incarnation api.Incarnation
	fingerprint api.Fingerprint
}

// subjectOf leaves out the crashed target of notices about requests, so that the newest
// suspicion of a fingerprint replaces the older ones.
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

// storedNotice is a notice with its expiry on the local clock.
type storedNotice struct {
	notice        Notice
	expiresAt     time.Time
	newRoundsLeft int // periodic rounds in which it still counts as new
}

// noticeStore holds the newest notice of each subject until it expires.
type noticeStore struct {
	bySubject map[subject]*storedNotice
	order     []subject // ascending
}

func newNoticeStore() noticeStore { return noticeStore{bySubject: make(map[subject]*storedNotice)} }

// add stores a notice and reports whether it was new. If the store is full, it evicts
// one.
func (h *noticeStore) add(now time.Time, n Notice) bool {
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
	h.bySubject[s] = &storedNotice{notice: n, expiresAt: until, newRoundsLeft: newNoticeRounds}
	return true
}

// refresh adds a notice, or extends the validity of the stored one if it has the same
// version.
func (h *noticeStore) refresh(now time.Time, n Notice) {
	if old := h.bySubject[subjectOf(n)]; old != nil && old.notice.Version == n.Version {
		old.expiresAt = laterTime(old.expiresAt, now.Add(n.TimeToLive))
		return
	}
	h.add(now, n)
}

func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// evict removes the notice that expires first.
func (h *noticeStore) evict() {
	victim := h.order[0]
	for _, s := range h.order {
		if h.bySubject[s].expiresAt.Before(h.bySubject[victim].expiresAt) {
			victim = s
		}
	}
	h.remove(victim)
}

func (h *noticeStore) remove(s subject) {
	i, found := slices.BinarySearchFunc(h.order, s, subject.compare)
	if found {
		h.order = slices.Delete(h.order, i, i+1)
		delete(h.bySubject, s)
	}
}

func (h *noticeStore) expire(now time.Time) {
	for _, s := range slices.Clone(h.order) {
		if !now.Before(h.bySubject[s].expiresAt) {
			h.remove(s)
		}
	}
}

// endRound counts down the rounds in which notices still count as new.
func (h *noticeStore) endRound() {
	for _, s := range h.order {
		h.bySubject[s].newRoundsLeft = max(0, h.bySubject[s].newRoundsLeft-1)
	}
}

// markAllNew makes all notices count as new, because a member that may not know them
// has joined, rejoined or changed.
func (h *noticeStore) markAllNew() {
	for _, s := range h.order {
		h.bySubject[s].newRoundsLeft = newNoticeRounds
	}
}

// ofKind returns the unexpired notices of a kind, ordered by subject.
func (h *noticeStore) ofKind(now time.Time, kind NoticeKind) []Notice {
	var out []Notice
	for _, s := range h.order {
		if e := h.bySubject[s]; s.kind == kind && now.Before(e.expiresAt) {
			out = append(out, e.notice)
		}
	}
	return out
}

// choose returns notices within a budget in bytes, of which those that are no longer
// new may use oldBudget. Notices with the most new rounds left come first, in random
// order among equals.
func (h *noticeStore) choose(now time.Time, budget, oldBudget int, rng *rand.Rand) []Notice {
	pool := make([]*storedNotice, 0, len(h.order))
	for _, s := range h.order {
		if e := h.bySubject[s]; now.Before(e.expiresAt) {
			pool = append(pool, e)
		}
	}
	rng.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	slices.SortStableFunc(pool, func(a, b *storedNotice) int { return cmp.Compare(b.newRoundsLeft, a.newRoundsLeft) })
	var out []Notice
	for _, e := range pool {
		n := e.notice
		n.TimeToLive = e.expiresAt.Sub(now)
		if e.newRoundsLeft == 0 {
			budget = min(budget, oldBudget)
			oldBudget -= sizeOfNotice(n)
		}
		if budget -= sizeOfNotice(n); budget < 0 {
			break
		}
		out = append(out, n)
	}
	return out
}
