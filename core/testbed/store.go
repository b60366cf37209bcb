package testbed

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/confsync"
	"github.com/baobabsail/baobabsail/core/event"
)

// StoreMode is a mode of operation of the fake store, such as an outage.
type StoreMode uint8

// Modes of the store.
const (
	StoreUp       StoreMode = iota
	StoreDown               // refuses each call immediately
	StoreHung               // never answers
	StoreSlow               // answers after 0.3 to 1.5 s
	StoreLossy              // applies writes and loses their answers
	StoreDelaying           // reports writes as unknown and applies them 1.5 s later
)

// Store is a fake key-value store with compare-and-swap and watches.
type Store struct {
	Mode StoreMode
	// SilentWatch keeps the watches open but sends no changes on them.
	SilentWatch bool

	sim     *Simulation
	values  map[string]storedValue
	rev     int64
	watches []*watch
	history []storedValue // earlier values of the configuration, oldest first
}

// storedValue is the value of a key and the revision that wrote it.
type storedValue struct {
	value    []byte
	revision int64
}

// watch is a watch of a host's process on a key.
type watch struct {
	host *Host
	life api.Life
	op   api.OpID
	key  string
}

func newStore(sim *Simulation, doc *config.Document) *Store {
	s := &Store{sim: sim, values: make(map[string]storedValue)}
	value, err := config.Encode(doc)
	if err != nil {
		panic("cannot encode the test document: " + err.Error())
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

// put writes a value, configures the targets if it is the configuration, and
// notifies the watches.
func (s *Store) put(key string, value []byte) int64 {
	s.rev++
	if key == confsync.Key {
		s.history = append(s.history, s.values[key])
	}
	s.values[key] = storedValue{value, s.rev}
	if key == confsync.Key {
		doc := s.document()
		s.sim.Trace.recordDocument(s.sim.now, doc)
		s.sim.After(30*time.Millisecond, func() { s.sim.configureTargets(doc) })
	}
	for _, x := range s.watches {
		if x.key == key {
			s.notify(x)
		}
	}
	return s.rev
}

// notify sends the value of its key on a watch, unless the watch gets no changes now.
func (s *Store) notify(x *watch) {
	if s.SilentWatch || s.Mode == StoreDown || s.Mode == StoreHung || x.host.CutStore || x.host.life != x.life {
		return
	}
	v := s.values[x.key]
	x.host.feedAfter(2*s.sim.hopDelay(), event.StoreChanged{Op: x.op, Value: v.value, Revision: v.revision})
}

// Restore puts back the configuration of n writes ago, as if from a backup. It
// reports whether there is one.
func (s *Store) Restore(n int) bool {
	if len(s.history) <= n || s.history[len(s.history)-n].value == nil {
		return false
	}
	s.values[confsync.Key] = s.history[len(s.history)-n]
	s.sim.Trace.Restored = append(s.sim.Trace.Restored, s.sim.now)
	return true
}

// callDelay returns the round-trip time of a call from a host to the store. ok is
// false if the call does not reach the store.
func (s *Store) callDelay(h *Host) (delay time.Duration, ok bool) {
	sim := s.sim
	if h.CutStore || s.Mode == StoreDown || s.Mode == StoreHung {
		return 0, false
	}
	if s.Mode == StoreSlow {
		return 300*time.Millisecond + time.Duration(sim.rng.Int64N(int64(1200*time.Millisecond))), true
	}
	return 2 * sim.hopDelay(), true
}

func (s *Store) read(h *Host, a event.ReadStore) {
	delay, ok := s.callDelay(h)
	if !ok {
		if s.Mode != StoreHung {
			h.feedAfter(5*time.Millisecond, event.StoreRead{Op: a.Op, Result: event.ReadFailed})
		}
		return
	}
	life := h.life
	s.sim.After(delay/2, func() {
		ev := event.StoreRead{Op: a.Op, Result: event.ReadAbsent}
		if v, found := s.values[a.Key]; found {
			ev = event.StoreRead{Op: a.Op, Result: event.ReadFound, Value: v.value, Revision: v.revision}
			if a.RevisionOnly {
				ev.Value = nil
			}
		}
		if h.life == life {
			h.feedAfter(delay/2, ev)
		}
	})
}

func (s *Store) write(h *Host, a event.WriteStore) {
	delay, ok := s.callDelay(h)
	if !ok {
		switch {
		case s.Mode == StoreHung:
		case h.CutStore:
			h.feedAfter(20*time.Millisecond, event.StoreWritten{Op: a.Op, Result: event.WriteUnknown})
		default:
			h.feedAfter(5*time.Millisecond, event.StoreWritten{Op: a.Op, Result: event.WriteNotSent})
		}
		return
	}
	mode, life := s.Mode, h.life
	if mode == StoreDelaying {
		delay = 3 * time.Second
		h.feedAfter(100*time.Millisecond, event.StoreWritten{Op: a.Op, Result: event.WriteUnknown})
	}
	s.sim.After(delay/2, func() {
		ev := event.StoreWritten{Op: a.Op, Result: event.WriteConflict}
		if s.values[a.Key].revision == a.IfRevision {
			ev = event.StoreWritten{Op: a.Op, Result: event.WriteApplied, Revision: s.put(a.Key, a.Value)}
		}
		if mode == StoreLossy {
			ev.Result = event.WriteUnknown
		}
		if h.life == life && mode != StoreDelaying {
			h.feedAfter(delay/2, ev)
		}
	})
}

func (s *Store) watch(h *Host, a event.WatchStore) {
	if _, ok := s.callDelay(h); !ok {
		if s.Mode != StoreHung {
			h.feedAfter(5*time.Millisecond, event.StoreWatchEnded{Op: a.Op})
		}
		return
	}
	x := &watch{host: h, life: h.life, op: a.Op, key: a.Key}
	s.watches = append(s.watches, x)
	if s.values[a.Key].revision > a.After {
		s.notify(x)
	}
}

func (s *Store) cancelWatch(h *Host, op api.OpID) {
	s.watches = slices.DeleteFunc(s.watches, func(x *watch) bool { return x.host == h && x.op == op })
}

func (s *Store) dropHost(h *Host) {
	s.watches = slices.DeleteFunc(s.watches, func(x *watch) bool { return x.host == h })
}

// SetMode changes the mode. StoreDown ends all watches.
func (s *Store) SetMode(m StoreMode) {
	s.Mode = m
	s.sim.Trace.StoreModes = append(s.sim.Trace.StoreModes, ModeChange{At: s.sim.now, Mode: m})
	if m != StoreDown {
		return
	}
	for _, x := range s.watches {
		if x.host.life == x.life {
			x.host.feedAfter(s.sim.hopDelay(), event.StoreWatchEnded{Op: x.op})
		}
	}
	s.watches = nil
}
