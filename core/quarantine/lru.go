package quarantine

import (
	"container/list"

	"github.com/baobabsail/baobabsail/core/api"
)

// lruSet is a set of fingerprints with a size limit. It evicts the least
// recently used one.
type lruSet struct {
	limit int
	order *list.List // of api.Fingerprint, most recently used first
	index map[api.Fingerprint]*list.Element
}

func newLRUSet(limit int) *lruSet {
	return &lruSet{limit: limit, order: list.New(), index: make(map[api.Fingerprint]*list.Element)}
}

func (s *lruSet) has(fp api.Fingerprint) bool { return s.index[fp] != nil }

// touch reports whether the set contains fp and marks it as most recently used.
func (s *lruSet) touch(fp api.Fingerprint) bool {
	e := s.index[fp]
	if e == nil {
		return false
	}
	s.order.MoveToFront(e)
	return true
}

func (s *lruSet) add(fp api.Fingerprint) {
	if s.touch(fp) {
		return
	}
	s.index[fp] = s.order.PushFront(fp)
	if s.order.Len() > s.limit {
		oldest := s.order.Back()
		delete(s.index, s.order.Remove(oldest).(api.Fingerprint))
	}
}

func (s *lruSet) remove(fp api.Fingerprint) {
	if e := s.index[fp]; e != nil {
		s.order.Remove(e)
		delete(s.index, fp)
	}
}
