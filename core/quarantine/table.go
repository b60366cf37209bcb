package quarantine

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// live returns the case of a fingerprint unless it is over.
func (r *Registry) live(now time.Time, fp api.Fingerprint) *record {
	c := r.cases[fp]
	if c == nil || now.Before(c.until) {
		return c
	}
	delete(r.cases, fp)
	return nil
}

// open starts a case.
func (r *Registry) open(fp api.Fingerprint) *record {
	r.makeRoom()
	c := &record{wasGood: r.good.has(fp)}
	r.cases[fp] = c
	return c
}

// makeRoom drops the least important case of a full table: cleared ones before
// suspects before convictions, the earliest to end first.
func (r *Registry) makeRoom() {
	if len(r.cases) < caseLimit {
		return
	}
	rank := map[state]int{cleared: 0, suspect: 1, convicted: 2}
	fps := r.sorted()
	victim := fps[0]
	for _, fp := range fps[1:] {
		a, b := r.cases[fp], r.cases[victim]
		if rank[a.state] < rank[b.state] || a.state == b.state && a.until.Before(b.until) {
			victim = fp
		}
	}
	delete(r.cases, victim)
	r.counts.Inc(count.Quarantine, "evicted")
}

func (r *Registry) sorted() []api.Fingerprint {
	fps := make([]api.Fingerprint, 0, len(r.cases))
	for fp := range r.cases {
		fps = append(fps, fp)
	}
	slices.Sort(fps)
	return fps
}

// Tick drops the cases that are over. It returns the fingerprints that are
// refused from now on, so that waiting requests ask Admit again.
func (r *Registry) Tick(now time.Time) []api.Fingerprint {
	var refused []api.Fingerprint
	for _, fp := range r.sorted() {
		c := r.live(now, fp)
		if c == nil || c.refusedFrom.IsZero() || now.Before(c.refusedFrom) {
			continue
		}
		c.refusedFrom = time.Time{}
		if c.state == convicted {
			refused = append(refused, fp)
		}
	}
	return refused
}

// Wake returns when the first case ends or begins to refuse, or the zero time.
func (r *Registry) Wake() time.Time {
	var first time.Time
	for _, c := range r.cases {
		for _, at := range [...]time.Time{c.until, c.refusedFrom} {
			if !at.IsZero() && (first.IsZero() || at.Before(first)) {
				first = at
			}
		}
	}
	return first
}
