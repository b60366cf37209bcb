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

// SetMembers takes the live entries, this one included or not. It decides
// whether this entry holds a watch: the WatchersPerDataCentre entries of each
// data centre with the highest hash do. The consequences follow with the next
// Tick.
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
	s.members = len(all)
	watcher := s.rank(local) < WatchersPerDataCentre
	if watcher == s.watcher {
		return
	}
	s.watcher = watcher
	if watcher {
		s.cancelNow = time.Time{}
		s.pollSoon(now) // the read precedes the watch
	} else {
		s.cancelNow = now
	}
}

// rank returns the place of this entry among the names, ordered by hash.
func (s *Syncer) rank(local map[api.EntryName]bool) int {
	own := watchWeight(s.settings.Name)
	rank := 0
	for name := range local {
		w := watchWeight(name)
		if cmp.Or(cmp.Compare(w, own), cmp.Compare(name, s.settings.Name)) > 0 {
			rank++
		}
	}
	return rank
}

func watchWeight(name api.EntryName) uint64 { return xxhash.Sum64String(Key + "/" + string(name)) }

func (s *Syncer) openWatch(now time.Time, after int64) {
	s.watch = s.start(now, opWatch, nil)
	s.watchHeard = now
	s.counts.Inc(count.Store, countWatch)
	s.emit(event.WatchStore{Op: s.watch.id, Key: Key, After: after})
}

func (s *Syncer) closeWatch(now time.Time) {
	s.emit(event.CancelWatch{Op: s.watch.id})
	s.watch.deadline = now // remembered for late news, see expireOps
	s.watch = nil
}

// tickWatch ends a watch that is silent or no longer wanted. A silent watch is
// reopened by the next read, from the revision that the read shows, so that
// nothing is missed in between.
func (s *Syncer) tickWatch(now time.Time) {
	s.cancelNow = time.Time{}
	if s.watch == nil {
		return
	}
	if !s.watcher {
		s.closeWatch(now)
		return
	}
	if now.Sub(s.watchHeard) >= WatchSilence {
		s.counts.Inc(count.Store, countWatchSilent)
		s.closeWatch(now)
		if s.polling == nil {
			s.nextPoll = now
		}
	}
}

// StoreChanged takes a new value from the watch. Only a read can show that the
// store went back, because a watch may deliver late; anything that does not
// continue the adopted document is therefore left to a read.
func (s *Syncer) StoreChanged(now time.Time, ev event.StoreChanged) (handled bool, actions []event.Action) {
	op := s.find(ev.Op, opWatch)
	if op == nil {
		return false, nil
	}
	if op != s.watch {
		return true, nil
	}
	s.watchHeard = now
	doc, err := decodeDocument(ev.Value)
	newer := err == nil && doc.Position().Compare(s.doc.Position()) >= 0 && s.sameLine(doc)
	if newer {
		s.adopt(now, doc, countFromStore)
		s.confirmedAt = now
	}
	if !newer || s.alarm != api.ReasonNone {
		s.pollSoon(now)
	}
	return true, s.flush()
}

// StoreWatchEnded takes the end of the watch. The next read opens another.
func (s *Syncer) StoreWatchEnded(now time.Time, ev event.StoreWatchEnded) (handled bool, actions []event.Action) {
	op := s.take(ev.Op, opWatch)
	if op == nil {
		return false, nil
	}
	if op == s.watch {
		s.watch = nil
		if s.failures == 0 {
			s.nextPoll = earliest(s.nextPoll, now.Add(s.jitter(minPoll)))
		}
	}
	return true, s.flush()
}

func earliest(a, b time.Time) time.Time { return slices.MinFunc([]time.Time{a, b}, time.Time.Compare) }

func decimal(n uint64) string { return strconv.FormatUint(n, 10) }
