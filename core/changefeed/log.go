package changefeed

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

// deletionsKept bounds the deletions that a log remembers. A follower that is
// further behind gets all keys.
const deletionsKept = 4096

// gapsKept bounds the gaps that a log remembers.
const gapsKept = 64

// Log holds the newest change of each key, so that followers can be told what has
// changed since their position.
type Log struct {
	position Position
	// floor is the oldest revision after which all changes are known, deletions
	// included.
	floor int64
	// gaps are spans of revisions of which only the outcome is known: a key that came
	// and went between them was never seen here.
	gaps []gap
	// newest is the newest change of each key; ordered holds the same changes by
	// revision, and older ones that no longer count.
	newest    map[string]Change
	ordered   []Change
	deletions int
	// before is the position before the last changes, and waited how long the store
	// was silent before it sent them.
	before Position
	waited time.Duration
}

// gap is a span of revisions, both ends of which are known.
type gap struct{ from, to int64 }

// NewLog returns an empty log.
func NewLog() *Log { return &Log{newest: make(map[string]Change)} }

// Position returns how far the log knows the store.
func (l *Log) Position() Position { return l.position }

// Append adds changes up to a position of the same era. Those that are known are
// passed over.
func (l *Log) Append(b Batch) {
	if b.To.Era != l.position.Era || b.To.Before(l.position) {
		return
	}
	l.before, l.waited = l.position, b.Waited
	if b.Gapped {
		l.addGap(gap{l.position.Revision, b.To.Revision})
	}
	for _, c := range b.Changes {
		if c.Revision > l.position.Revision {
			l.take(c)
		}
	}
	l.position = b.To
	l.tidy()
}

// Replace takes over all keys of the store. In the same era, followers are told the
// difference only.
func (l *Log) Replace(items []Change, to Position) {
	if to.Era != l.position.Era || l.position.Revision == 0 {
		l.reset(items, to)
		return
	}
	if to.Before(l.position) {
		return
	}
	l.before, l.waited = l.position, 0
	listed := make(map[string]bool, len(items))
	var changed []Change
	for _, c := range items {
		listed[c.Key] = true
		if c.Revision > l.newest[c.Key].Revision {
			changed = append(changed, c)
		}
	}
	for key, c := range l.newest {
		if !listed[key] && !c.Deleted {
			// The deletion came at some revision that the list does not name.
			changed = append(changed, Change{Key: key, Revision: to.Revision, Deleted: true})
		}
	}
	slices.SortFunc(changed, compareChanges)
	for _, c := range changed {
		l.take(c)
	}
	slices.SortStableFunc(l.ordered, compareChanges)
	l.addGap(gap{l.position.Revision, to.Revision})
	l.position = to
	l.tidy()
}

func (l *Log) addGap(g gap) {
	l.gaps = append(l.gaps, g)
	if len(l.gaps) > gapsKept {
		l.floor = max(l.floor, l.gaps[0].to)
		l.gaps = slices.Delete(l.gaps, 0, 1)
	}
}

// inGap reports whether a follower may know keys of a gap that were deleted in it.
func (l *Log) inGap(revision int64) bool {
	return slices.ContainsFunc(l.gaps, func(g gap) bool { return g.from < revision && revision < g.to })
}

// gapAfter reports whether there is a gap after a revision.
func (l *Log) gapAfter(revision int64) bool {
	return slices.ContainsFunc(l.gaps, func(g gap) bool { return g.to > revision })
}

func (l *Log) reset(items []Change, to Position) {
	*l = Log{position: to, before: to, floor: to.Revision, newest: make(map[string]Change, len(items))}
	sorted := slices.Clone(items)
	slices.SortFunc(sorted, compareChanges)
	for _, c := range sorted {
		l.take(c)
	}
}

func compareChanges(a, b Change) int {
	switch {
	case a.Revision < b.Revision:
		return -1
	case a.Revision > b.Revision:
		return 1
	}
	return strings.Compare(a.Key, b.Key)
}

func (l *Log) take(c Change) {
	old, known := l.newest[c.Key]
	if known && old.Revision >= c.Revision {
		return
	}
	if old.Deleted {
		l.deletions--
	}
	if c.Deleted {
		l.deletions++
	}
	l.newest[c.Key] = c
	l.ordered = append(l.ordered, c)
}

// tidy drops changes that no longer count, and the oldest deletions beyond the
// bound.
func (l *Log) tidy() {
	excess := l.deletions - deletionsKept
	if excess <= 0 && len(l.ordered) <= 2*len(l.newest) {
		return
	}
	kept := make([]Change, 0, len(l.newest))
	for _, c := range l.ordered {
		if !l.counts(c) {
			continue
		}
		if c.Deleted && excess > 0 {
			excess--
			l.deletions--
			l.floor = max(l.floor, c.Revision)
			delete(l.newest, c.Key)
			continue
		}
		kept = append(kept, c)
	}
	l.ordered = kept
}

// counts reports whether a change is the newest one of its key.
func (l *Log) counts(c Change) bool {
	newest, ok := l.newest[c.Key]
	return ok && newest.Revision == c.Revision && newest.Deleted == c.Deleted
}

// Since returns what a follower at a position has to be told. One that is ahead is
// told nothing.
func (l *Log) Since(p Position) Batch {
	if p.Era != l.position.Era || p.Revision < l.floor || l.inGap(p.Revision) {
		return Batch{Changes: l.all(), To: l.position, Complete: true}
	}
	b := Batch{To: l.position, Gapped: l.gapAfter(p.Revision)}
	if p == l.before {
		b.Waited = l.waited
	}
	from := sort.Search(len(l.ordered), func(i int) bool { return l.ordered[i].Revision > p.Revision })
	for _, c := range l.ordered[from:] {
		if l.counts(c) {
			b.Changes = append(b.Changes, c)
		}
	}
	return b
}

// all returns all keys that are not deleted.
func (l *Log) all() []Change {
	var out []Change
	for c := range maps.Values(l.newest) {
		if !c.Deleted {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, compareChanges)
	return out
}
