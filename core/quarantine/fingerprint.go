package quarantine

import (
	"encoding/binary"
	"sort"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/cespare/xxhash/v2"
)

// encoder builds an unambiguous encoding: each string is preceded by its
// length and each number has a fixed width.
type encoder struct{ out []byte }

func (e *encoder) number(n uint64) { e.out = binary.BigEndian.AppendUint64(e.out, n) }

func (e *encoder) text(s string) {
	e.number(uint64(len(s)))
	e.out = append(e.out, s...)
}

func (e *encoder) sum() api.Fingerprint { return api.Fingerprint(xxhash.Sum64(e.out)) }

// Leading numbers of the encoding, which keep the encodings of searches and
// work orders distinct.
const (
	searchTag = 1
	workTag   = 2
)

// Fingerprint returns the fingerprint of a search. The order of the conditions
// is significant, because a target evaluates them in that order.
func Fingerprint(q api.Query) api.Fingerprint {
	var e encoder
	e.number(searchTag)
	e.text(string(q.Service))
	e.number(uint64(len(q.Conditions)))
	for _, c := range q.Conditions {
		e.text(c.Field)
		e.number(uint64(c.Operator))
		e.text(c.Value)
	}
	e.text(q.OrderBy)
	descending := uint64(0)
	if q.Descending {
		descending = 1
	}
	e.number(descending)
	e.number(uint64(q.Limit))
	return e.sum()
}

// WorkFingerprint returns the fingerprint of a work order. It covers the
// service and the payload, but not the caller and the key.
func WorkFingerprint(w api.Work) api.Fingerprint {
	var e encoder
	e.number(workTag)
	e.text(string(w.Service))
	e.text(string(w.Payload))
	return e.sum()
}

// CanaryOrder orders replicas by rendezvous hashing, highest score first. The
// order does not depend on the order of the argument, so that all nodes with
// the same replicas agree on it. The argument is not modified.
func CanaryOrder(fp api.Fingerprint, replicas []api.ReplicaName) []api.ReplicaName {
	type scored struct {
		name  api.ReplicaName
		score uint64
	}
	all := make([]scored, 0, len(replicas))
	for _, r := range replicas {
		var e encoder
		e.number(uint64(fp))
		e.text(string(r))
		all = append(all, scored{r, xxhash.Sum64(e.out)})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].name < all[j].name
	})
	out := make([]api.ReplicaName, 0, len(all))
	for _, s := range all {
		out = append(out, s.name)
	}
	return out
}
