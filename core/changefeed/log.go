package changefeed

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

// maxDeletions bounds the deletions that a log keeps. A follower that is further
// behind is sent all keys.
const maxDeletions = 4096

// maxGaps bounds the gaps that a log keeps.
const maxGaps = 64

// Log holds the newest change of each key, from which it computes what has changed
// since the position of a follower.
type Log struct {
	position Position
	// floor is the oldest revision after which all changes are known, deletions
	// included.
	floor int64
	// gaps are spans of revisions of which only the final state is known: a key that was
	// created and deleted within a gap was never seen here.
	gaps []gap
	// newest is the newest change of each key; ordered holds the same changes by
	// revision, together with superseded ones that were not removed yet.
	newest    map[string]Change
	ordered   []Change
	deletions int
	// previous is the position before the last batch; waited is how long the store sent
	// nothing before that batch.
	previous Position
	waited   time.Duration
}

// gap is a span of revisions, both ends of which are known.
type gap struct{ from, to int64 }

// NewLog returns an empty log.
func NewLog() *Log { return &Log{newest: make(map[string]Change)} }

// Position returns the position up to which the log knows the changes of the store.
func (l *Log) Position() Position { return l.position }

// Append adds the changes of a batch. It ignores a batch of another era or of an older
// position, and changes that are known already.
func (l *Log) Append(b Batch) {
	if b.To.Era != l.position.Era || b.To.Before(l.position) {
		return
	}
	l.previous, l.waited = l.position, b.Waited
	if b.Gapped {
		l.addGap(gap{l.position.Revision, b.To.Revision})
	}
	for _, c := range b.Changes {
		if c.Revision > l.position.Revision {
			l.record(c)
		}
	}
	l.position = b.To
	l.compact()
}

// Replace sets the log to a full list of the keys of the store. Within an era,
// followers are sent only the difference.
func (l *Log) Replace(items []Change, to Position) {
	if to.Era != l.position.Era || l.position.Revision == 0 {
		l.reset(items, to)
		return
	}
	if to.Before(l.position) {
		return
	}
	l.previous, l.waited = l.position, 0
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
			// The revision of the deletion is unknown, since the list holds no deletions.
			changed = append(changed, Change{Key: key, Revision: to.Revision, Deleted: true})
		}
	}
	slices.SortFunc(changed, compareChanges)
	for _, c := range changed {
		l.record(c)
	}
	slices.SortStableFunc(l.ordered, compareChanges)
	l.addGap(gap{l.position.Revision, to.Revision})
	l.position = to
	l.compact()
}

func (l *Log) addGap(g gap) {
	l.gaps = append(l.gaps, g)
	if len(l.gaps) > maxGaps {
		l.floor = max(l.floor, l.gaps[0].to)
		l.gaps = slices.Delete(l.gaps, 0, 1)
	}
}

// inGap reports whether a revision lies within a gap: a follower at it may know keys
// that were created and deleted in the gap.
func (l *Log) inGap(revision int64) bool {
	return slices.ContainsFunc(l.gaps, func(g gap) bool { return g.from < revision && revision < g.to })
}

// gapAfter reports whether there is a gap after a revision.
func (l *Log) gapAfter(revision int64) bool {
	return slices.ContainsFunc(l.gaps, func(g gap) bool { return g.to > revision })
}

func (l *Log) reset(items []Change, to Position) {
	*l = Log{position: to, previous: to, floor: to.Revision, newest: make(map[string]Change, len(items))}
	sorted := slices.Clone(items)
	slices.SortFunc(sorted, compareChanges)
	for _, c := range sorted {
		l.record(c)
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

func (l *Log) record(c Change) {
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

// compact removes superseded changes, and the oldest deletions beyond maxDeletions.
func (l *Log) compact() {
	excess := l.deletions - maxDeletions
	if excess <= 0 && len(l.ordered) <= 2*len(l.newest) {
		return
	}
	kept := make([]Change, 0, len(l.newest))
	for _, c := range l.ordered {
		if !l.isNewest(c) {
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

// isNewest reports whether a change is the newest one of its key.
func (l *Log) isNewest(c Change) bool {
	newest, ok := l.newest[c.Key]
	return ok && newest.Revision == c.Revision && newest.Deleted == c.Deleted
}

// Since returns the batch to send to a follower at a position. It has no changes for a
// follower that is ahead of the log.
func (l *Log) Since(p Position) Batch {
	if p.Era != l.position.Era || p.Revision < l.floor || l.inGap(p.Revision) {
		return Batch{Changes: l.liveChanges(), To: l.position, Complete: true}
	}
	b := Batch{To: l.position, Gapped: l.gapAfter(p.Revision)}
	if p == l.previous {
		b.Waited = l.waited
	}
	from := sort.Search(len(l.ordered), func(i int) bool { return l.ordered[i].Revision > p.Revision })
	for _, c := range l.ordered[from:] {
		if l.isNewest(c) {
			b.Changes = append(b.Changes, c)
		}
	}
	return b
}

// liveChanges returns the newest change of each key that is not deleted.
func (l *Log) liveChanges() []Change {
	var out []Change
	for c := range maps.Values(l.newest) {
		if !c.Deleted {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, compareChanges)
	return out
}
