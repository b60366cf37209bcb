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

func (r *lruSet) has(fp api.Fingerprint) bool { return r.index[fp] != nil }

// touch reports whether the set contains fp and marks it as most recently used.
func (r *lruSet) touch(fp api.Fingerprint) bool {
	e := r.index[fp]
	if e == nil {
		return false
	}
	r.order.MoveToFront(e)
	return true
}

func (r *lruSet) add(fp api.Fingerprint) {
	if r.touch(fp) {
		return
	}
	r.index[fp] = r.order.PushFront(fp)
	if r.order.Len() > r.limit {
		oldest := r.order.Back()
		delete(r.index, r.order.Remove(oldest).(api.Fingerprint))
	}
}

func (r *lruSet) remove(fp api.Fingerprint) {
	if e := r.index[fp]; e != nil {
		r.order.Remove(e)
		delete(r.index, fp)
	}
}
