package quarantine

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// lookup returns the record of a fingerprint, or nil if there is none. An
// expired record is removed.
func (r *Registry) lookup(now time.Time, fp api.Fingerprint) *record {
	rec := r.records[fp]
	if rec == nil || now.Before(rec.expiresAt) {
		return rec
	}
	delete(r.records, fp)
	return nil
}

// addRecord adds an empty record for a fingerprint.
func (r *Registry) addRecord(fp api.Fingerprint) *record {
	r.evictIfFull()
	rec := &record{answeredBefore: r.answered.has(fp)}
	r.records[fp] = rec
	return rec
}

// evictIfFull removes the least important record if the table is full. Cleared
// records are evicted before suspects and suspects before convictions; within a
// state the record that expires first is evicted.
func (r *Registry) evictIfFull() {
	if len(r.records) < maxRecords {
		return
	}
	rank := map[state]int{cleared: 0, suspect: 1, convicted: 2}
	fps := r.sortedFingerprints()
	victim := fps[0]
	for _, fp := range fps[1:] {
		a, b := r.records[fp], r.records[victim]
		if rank[a.state] < rank[b.state] || a.state == b.state && a.expiresAt.Before(b.expiresAt) {
			victim = fp
		}
	}
	delete(r.records, victim)
	r.counts.Inc(count.Quarantine, "evicted")
}

// sortedFingerprints returns the fingerprints of all records in ascending
// order, so that the results do not depend on the map order.
func (r *Registry) sortedFingerprints() []api.Fingerprint {
	fps := make([]api.Fingerprint, 0, len(r.records))
	for fp := range r.records {
		fps = append(fps, fp)
	}
	slices.Sort(fps)
	return fps
}

// Tick removes expired records. It returns the fingerprints that are refused
// from now on, so that waiting requests call Admit again.
func (r *Registry) Tick(now time.Time) []api.Fingerprint {
	var refused []api.Fingerprint
	for _, fp := range r.sortedFingerprints() {
		rec := r.lookup(now, fp)
		if rec == nil || rec.refusedFrom.IsZero() || now.Before(rec.refusedFrom) {
			continue
		}
		rec.refusedFrom = time.Time{}
		if rec.state == convicted {
			refused = append(refused, fp)
		}
	}
	return refused
}

// NextTick returns when the next record expires or begins to refuse requests, or
// the zero time if there are no records.
func (r *Registry) NextTick() time.Time {
	var first time.Time
	for _, rec := range r.records {
		for _, at := range [...]time.Time{rec.expiresAt, rec.refusedFrom} {
			if !at.IsZero() && (first.IsZero() || at.Before(first)) {
				first = at
			}
		}
	}
	return first
}
