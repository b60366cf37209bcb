package testbed

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/confsync"
	"github.com/baobabsail/baobabsail/core/event"
)

// StoreMode is how the store behaves.
type StoreMode uint8

// Modes of the store.
const (
	StoreUp       StoreMode = iota
	StoreDown               // refuses each call at once
	StoreHung               // answers nothing
	StoreSlow               // answers after 0.3 to 1.5 s
	StoreLossy              // applies writes but loses the answers
	StoreDelaying           // reports no answer and applies writes 1.5 s later
)

// Store is a fake key-value store with compare-and-swap and watches.
type Store struct {
	Mode StoreMode
	// SilentWatch keeps the watches open without news.
	SilentWatch bool

	w       *World
	values  map[string]stored
	rev     int64
	watches []*watch
	older   []stored // earlier values of the configuration
}

type stored struct {
	value    []byte
	revision int64
}

type watch struct {
	host *Host
	life api.Life
	op   api.OpID
	key  string
}

func newStore(w *World, doc *config.Document) *Store {
	s := &Store{w: w, values: make(map[string]stored)}
	value, err := config.Encode(doc)
	if err != nil {
		panic("the document of a test cannot be encoded: " + err.Error())
	}
	s.put(confsync.Key, value)
	return s
}

// document returns the configuration that the store holds.
func (s *Store) document() *config.Document {
	doc, err := config.Decode(s.values[confsync.Key].value)
	if err != nil {
		return nil
	}
	return doc
}

func (s *Store) put(key string, value []byte) int64 {
	s.rev++
	if key == confsync.Key {
		s.older = append(s.older, s.values[key])
	}
	s.values[key] = stored{value, s.rev}
	if key == confsync.Key {
		doc := s.document()
		s.w.Trace.stored(s.w.now, doc)
		s.w.After(30*time.Millisecond, func() { s.w.configureTargets(doc) })
	}
	for _, x := range s.watches {
		if x.key == key {
			s.tell(x)
		}
	}
	return s.rev
}

func (s *Store) tell(x *watch) {
	if s.SilentWatch || s.Mode == StoreDown || s.Mode == StoreHung || x.host.CutStore || x.host.life != x.life {
		return
	}
	v := s.values[x.key]
	x.host.later(2*s.w.hop(), event.StoreChanged{Op: x.op, Value: v.value, Revision: v.revision})
}

// Restore puts back the configuration of n writes ago, as from an older copy.
func (s *Store) Restore(n int) bool {
	if len(s.older) <= n || s.older[len(s.older)-n].value == nil {
		return false
	}
	s.values[confsync.Key] = s.older[len(s.older)-n]
	s.w.Trace.Restored = append(s.w.Trace.Restored, s.w.now)
	return true
}

// reach runs f when a call of a host gets to the store and returns the delay
// of its answer; ok is false if nothing gets there.
func (s *Store) reach(h *Host) (delay time.Duration, ok bool) {
	w := s.w
	if h.CutStore || s.Mode == StoreDown || s.Mode == StoreHung {
		return 0, false
	}
	if s.Mode == StoreSlow {
		return 300*time.Millisecond + time.Duration(w.rng.Int64N(int64(1200*time.Millisecond))), true
	}
	return 2 * w.hop(), true
}

func (s *Store) read(h *Host, a event.ReadStore) {
	delay, ok := s.reach(h)
	if !ok {
		if s.Mode != StoreHung {
			h.later(5*time.Millisecond, event.StoreRead{Op: a.Op, Result: event.ReadFailed})
		}
		return
	}
	life := h.life
	s.w.After(delay/2, func() {
		ev := event.StoreRead{Op: a.Op, Result: event.ReadAbsent}
		if v, found := s.values[a.Key]; found {
			ev = event.StoreRead{Op: a.Op, Result: event.ReadFound, Value: v.value, Revision: v.revision}
			if a.RevisionOnly {
				ev.Value = nil
			}
		}
		if h.life == life {
			h.later(delay/2, ev)
		}
	})
}

func (s *Store) write(h *Host, a event.WriteStore) {
	delay, ok := s.reach(h)
	if !ok {
		switch {
		case s.Mode == StoreHung:
		case h.CutStore:
			h.later(20*time.Millisecond, event.StoreWritten{Op: a.Op, Result: event.WriteUnknown})
		default:
			h.later(5*time.Millisecond, event.StoreWritten{Op: a.Op, Result: event.WriteNotSent})
		}
		return
	}
	mode, life := s.Mode, h.life
	if mode == StoreDelaying {
		delay = 3 * time.Second
		h.later(100*time.Millisecond, event.StoreWritten{Op: a.Op, Result: event.WriteUnknown})
	}
	s.w.After(delay/2, func() {
		ev := event.StoreWritten{Op: a.Op, Result: event.WriteConflict}
		if s.values[a.Key].revision == a.IfRevision {
			ev = event.StoreWritten{Op: a.Op, Result: event.WriteApplied, Revision: s.put(a.Key, a.Value)}
		}
		if mode == StoreLossy {
			ev.Result = event.WriteUnknown
		}
		if h.life == life && mode != StoreDelaying {
			h.later(delay/2, ev)
		}
	})
}

func (s *Store) watch(h *Host, a event.WatchStore) {
	if _, ok := s.reach(h); !ok {
		if s.Mode != StoreHung {
			h.later(5*time.Millisecond, event.StoreWatchEnded{Op: a.Op})
		}
		return
	}
	x := &watch{host: h, life: h.life, op: a.Op, key: a.Key}
	s.watches = append(s.watches, x)
	if s.values[a.Key].revision > a.After {
		s.tell(x)
	}
}

func (s *Store) cancelWatch(h *Host, op api.OpID) {
	s.watches = slices.DeleteFunc(s.watches, func(x *watch) bool { return x.host == h && x.op == op })
}

func (s *Store) dropHost(h *Host) {
	s.watches = slices.DeleteFunc(s.watches, func(x *watch) bool { return x.host == h })
}

// Set changes the mode; an outage ends the watches.
func (s *Store) Set(m StoreMode) {
	s.Mode = m
	s.w.Trace.StoreModes = append(s.w.Trace.StoreModes, ModeChange{At: s.w.now, Mode: m})
	if m != StoreDown {
		return
	}
	for _, x := range s.watches {
		if x.host.life == x.life {
			x.host.later(s.w.hop(), event.StoreWatchEnded{Op: x.op})
		}
	}
	s.watches = nil
}
