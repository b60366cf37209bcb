package confsync

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// SetMembers updates the set of live nodes, which may or may not include this
// one, and decides whether this node watches the store: in each data centre, the
// WatchersPerDataCentre nodes with the highest hashes do. A watch is opened
// after the next read and closed by the next Tick.
func (s *Syncer) SetMembers(now time.Time, members []gossip.Member) {
	all := map[api.EntryName]bool{s.settings.Name: true}
	local := map[api.EntryName]bool{s.settings.Name: true}
	for _, m := range members {
		if m.Leaving {
			continue
		}
		all[m.Name] = true
		if m.DataCentre == s.settings.DataCentre {
			local[m.Name] = true
		}
	}
	s.memberCount = len(all)
	watcher := s.watchRank(local) < WatchersPerDataCentre
	if watcher == s.shouldWatch {
		return
	}
	s.shouldWatch = watcher
	if watcher {
		s.cancelWatchAt = time.Time{}
		s.pollSoon(now) // the watch is opened after a read
	} else {
		s.cancelWatchAt = now
	}
}

// watchRank returns the rank of this node among the names by descending hash,
// starting at 0.
func (s *Syncer) watchRank(local map[api.EntryName]bool) int {
	own := watchHash(s.settings.Name)
	rank := 0
	for name := range local {
		w := watchHash(name)
		if cmp.Or(cmp.Compare(w, own), cmp.Compare(name, s.settings.Name)) > 0 {
			rank++
		}
	}
	return rank
}

func watchHash(name api.EntryName) uint64 { return xxhash.Sum64String(Key + "/" + string(name)) }

func (s *Syncer) openWatch(now time.Time, after int64) {
	s.watch = s.startOp(now, opWatch, nil)
	s.watchActiveAt = now
	s.counts.Inc(count.Store, countWatch)
	s.emit(event.WatchStore{Op: s.watch.id, Key: Key, After: after})
}

func (s *Syncer) closeWatch(now time.Time) {
	s.emit(event.CancelWatch{Op: s.watch.id})
	s.watch.deadline = now // expireOps keeps it for lateAnswerWindow, for late events
	s.watch = nil
}

// tickWatch closes a watch that is idle or no longer needed. An idle watch is
// reopened after the next read, from the revision that the read returned, so that
// no change in between is missed.
func (s *Syncer) tickWatch(now time.Time) {
	s.cancelWatchAt = time.Time{}
	if s.watch == nil {
		return
	}
	if !s.shouldWatch {
		s.closeWatch(now)
		return
	}
	if now.Sub(s.watchActiveAt) >= WatchIdleTimeout {
		s.counts.Inc(count.Store, countWatchSilent)
		s.closeWatch(now)
		if s.pendingPoll == nil {
			s.nextPoll = now
		}
	}
}

// StoreChanged handles a new value from the watch. A watch may deliver late, so
// only a read can show that the store holds an older document. A value that does
// not continue the history of the adopted document therefore triggers a read.
// handled is false if the operation is not a watch of the Syncer.
func (s *Syncer) StoreChanged(now time.Time, ev event.StoreChanged) (handled bool, actions []event.Action) {
	op := s.findOp(ev.Op, opWatch)
	if op == nil {
		return false, nil
	}
	if op != s.watch {
		return true, nil
	}
	s.watchActiveAt = now
	doc, err := decodeDocument(ev.Value)
	continues := err == nil && doc.Position().Compare(s.doc.Position()) >= 0 && s.continuesAdopted(doc)
	if continues {
		s.adopt(now, doc, countFromStore)
		s.confirmedAt = now
	}
	if !continues || s.alarm != api.ReasonNone {
		s.pollSoon(now)
	}
	return true, s.flush()
}

// StoreWatchEnded handles the end of a watch. Another is opened after the next
// read. handled is false if the operation is not a watch of the Syncer.
func (s *Syncer) StoreWatchEnded(now time.Time, ev event.StoreWatchEnded) (handled bool, actions []event.Action) {
	op := s.takeOp(ev.Op, opWatch)
	if op == nil {
		return false, nil
	}
	if op == s.watch {
		s.watch = nil
		if s.failedPolls == 0 {
			s.nextPoll = earliest(s.nextPoll, now.Add(s.jitter(minPollInterval)))
		}
	}
	return true, s.flush()
}

func earliest(a, b time.Time) time.Time { return slices.MinFunc([]time.Time{a, b}, time.Time.Compare) }

func decimal(n uint64) string { return strconv.FormatUint(n, 10) }
