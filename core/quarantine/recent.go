package quarantine

import (
	"container/list"

	"github.com/baobabsail/baobabsail/core/api"
)

// recent is a set of fingerprints that forgets the least recently used.
type recent struct {
	limit int
	order *list.List // of api.Fingerprint, most recently used first
	index map[api.Fingerprint]*list.Element
}

func newRecent(limit int) *recent {
	return &recent{limit: limit, order: list.New(), index: make(map[api.Fingerprint]*list.Element)}
}

func (r *recent) has(fp api.Fingerprint) bool { return r.index[fp] != nil }

// touch reports whether the set holds fp and marks it as used.
func (r *recent) touch(fp api.Fingerprint) bool {
	e := r.index[fp]
	if e == nil {
		return false
	}
	r.order.MoveToFront(e)
	return true
}

func (r *recent) add(fp api.Fingerprint) {
	if r.touch(fp) {
		return
	}
	r.index[fp] = r.order.PushFront(fp)
	if r.order.Len() > r.limit {
		oldest := r.order.Back()
		delete(r.index, r.order.Remove(oldest).(api.Fingerprint))
	}
}

func (r *recent) remove(fp api.Fingerprint) {
	if e := r.index[fp]; e != nil {
		r.order.Remove(e)
		delete(r.index, fp)
	}
}
