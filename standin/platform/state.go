package platform

import "maps"

// Limits of the change log that watches read from. Older changes are compacted.
const (
	maxLogEntries = 1000
	maxLogBytes   = 64 << 20
)

// Entry is a key with its value, its revisions and the number of its writes
// (Version).
type Entry struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	CreateRevision int64  `json:"create_revision"`
	ModRevision    int64  `json:"mod_revision"`
	Version        int64  `json:"version"`
}

// state is the content of the store. It has no lock: the owner synchronises
// access.
type state struct {
	revision int64
	entries  map[string]Entry
	// log holds the latest changes in order of their revisions; logBytes is the
	// total size of their values.
	log      []Entry
	logBytes int
	// compactRevision is the newest revision that is no longer in the log; 0 means
	// that none has been dropped.
	compactRevision int64
}

// newState returns an empty store at revision 1, as in etcd.
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
	for len(s.log) > maxLogEntries || s.logBytes > maxLogBytes {
		s.compactRevision = s.log[0].ModRevision
		s.logBytes -= len(s.log[0].Value)
		s.log = s.log[1:]
	}
	return e
}

// changes returns the logged changes of a key whose revision is at least from.
func (s *state) changes(key string, from int64) []Entry {
	var out []Entry
	for _, e := range s.log {
		if e.Key == key && e.ModRevision >= from {
			out = append(out, e)
		}
	}
	return out
}
