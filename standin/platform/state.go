package platform

import "maps"

// Bounds of the change log that watches read from. Older changes are compacted.
const (
	logEntries = 1000
	logBytes   = 64 << 20
)

// Entry is a key's value with its revisions.
type Entry struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	CreateRevision int64  `json:"create_revision"`
	ModRevision    int64  `json:"mod_revision"`
	Version        int64  `json:"version"`
}

// state is the content of the store. Its owner guards it by a lock.
type state struct {
	revision int64
	entries  map[string]Entry
	log      []Entry
	logBytes int
	// compacted is the newest revision that is no longer in the log.
	compacted int64
}

// newState starts at revision 1, as etcd does.
func newState() *state { return &state{revision: 1, entries: make(map[string]Entry)} }

func (s *state) clone() *state {
	out := *s
	out.entries = maps.Clone(s.entries)
	out.log = append([]Entry{}, s.log...)
	return &out
}

func (s *state) put(key string, value []byte) Entry {
	s.revision++
	e, found := s.entries[key]
	if !found {
		e = Entry{Key: key, CreateRevision: s.revision}
	}
	e.Value = value
	e.ModRevision = s.revision
	e.Version++
	s.entries[key] = e
	s.log = append(s.log, e)
	s.logBytes += len(value)
	for len(s.log) > logEntries || s.logBytes > logBytes {
		s.compacted = s.log[0].ModRevision
		s.logBytes -= len(s.log[0].Value)
		s.log = s.log[1:]
	}
	return e
}

// changes returns the logged changes of a key from a revision on.
func (s *state) changes(key string, from int64) []Entry {
	var out []Entry
	for _, e := range s.log {
		if e.Key == key && e.ModRevision >= from {
			out = append(out, e)
		}
	}
	return out
}
