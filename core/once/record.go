package once

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"math"
	"slices"
	"sort"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/joomcode/errorx"
)

// Sizes of a record in bytes. The store accepts values up to 1 MB. New claims
// stop at claimLimit, so that the outcome of every claim in the record still
// fits; a result that would exceed resultLimit is left out.
const (
	recordLimit = 1 << 20
	resultLimit = recordLimit - 64<<10
	claimLimit  = recordLimit - 128<<10
	maxResult   = 256
)

const recordVersion = 1

// Errors of this package.
var (
	errorSpace = errorx.NewNamespace("once")
	// ErrRecord reports a record that cannot be decoded; it is never overwritten.
	ErrRecord = errorSpace.NewType("bad_record")
)

// claimID identifies one claim: the life of the node and a counter.
type claimID struct {
	life api.Life
	seq  uint64
}

type claimState uint8

const (
	stateClaimed claimState = iota + 1
	stateNotRun
	stateAnswered
	stateFailed
)

func (s claimState) done() bool { return s == stateAnswered || s == stateFailed }

// identity is the claim key: the caller's UUID and a hash of caller and service.
type identity struct {
	key   api.IdempotencyKey
	scope [8]byte
}

func (a identity) compare(b identity) int {
	if c := bytes.Compare(a.key[:], b.key[:]); c != 0 {
		return c
	}
	return bytes.Compare(a.scope[:], b.scope[:])
}

// entry is one claim in a record.
type entry struct {
	identity
	id     claimID
	digest [8]byte
	state  claimState
	cut    bool
	result string
}

func (e entry) size() int {
	n := 16 + 8 + 8 + 8 + uvarintLen(e.id.seq) + 1
	if e.state.done() {
		n += uvarintLen(uint64(len(e.result))) + len(e.result)
	}
	return n
}

func uvarintLen(v uint64) int {
	n := 1
	for ; v >= 0x80; v >>= 7 {
		n++
	}
	return n
}

// record is the value of one partition. It is not changed once it is shared;
// copyRecord returns one that may be.
type record struct {
	// floor is in milliseconds since the Unix epoch; claims with older keys
	// were pruned.
	floor   int64
	entries []entry // ascending by identity, hence by creation time of the key
	bytes   int     // encoded size of the entries
}

func copyRecord(r *record) *record {
	return &record{floor: r.floor, entries: slices.Clone(r.entries), bytes: r.bytes}
}

// find returns the index of an identity, or where it would be inserted.
func (r *record) find(who identity) (int, bool) {
	i := sort.Search(len(r.entries), func(i int) bool { return r.entries[i].compare(who) >= 0 })
	return i, i < len(r.entries) && r.entries[i].identity == who
}

func (r *record) lookup(who identity) (entry, bool) {
	i, ok := r.find(who)
	if !ok {
		return entry{}, false
	}
	return r.entries[i], true
}

func (r *record) put(e entry) {
	i, ok := r.find(e.identity)
	if ok {
		r.bytes += e.size() - r.entries[i].size()
		r.entries[i] = e
		return
	}
	r.bytes += e.size()
	r.entries = slices.Insert(r.entries, i, e)
}

// newest returns the creation time of the newest key, or math.MinInt64.
func (r *record) newest() int64 {
	if len(r.entries) == 0 {
		return math.MinInt64
	}
	return r.entries[len(r.entries)-1].key.CreatedMillis()
}

// prune raises the floor and removes the claims below it.
func (r *record) prune(floor int64) {
	if floor <= r.floor {
		return
	}
	r.floor = floor
	n := 0
	for n < len(r.entries) && r.entries[n].key.CreatedMillis() < floor {
		r.bytes -= r.entries[n].size()
		n++
	}
	r.entries = r.entries[n:]
}

const cutFlag = 0x80

func (r *record) encode() []byte {
	out := make([]byte, 0, 16+r.bytes)
	out = append(out, recordVersion)
	out = binary.AppendVarint(out, r.floor)
	out = binary.AppendUvarint(out, uint64(len(r.entries)))
	for _, e := range r.entries {
		out = append(out, e.key[:]...)
		out = append(out, e.scope[:]...)
		out = append(out, e.digest[:]...)
		out = binary.BigEndian.AppendUint64(out, uint64(e.id.life))
		out = binary.AppendUvarint(out, e.id.seq)
		state := byte(e.state)
		if e.cut {
			state |= cutFlag
		}
		out = append(out, state)
		if e.state.done() {
			out = binary.AppendUvarint(out, uint64(len(e.result)))
			out = append(out, e.result...)
		}
	}
	return out
}

type reader struct {
	rest []byte
	bad  bool
}

func (d *reader) take(n uint64) []byte {
	if d.bad || n > uint64(len(d.rest)) {
		d.bad = true
		return make([]byte, min(n, 16))
	}
	out := d.rest[:n]
	d.rest = d.rest[n:]
	return out
}

func (d *reader) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if d.bad || n <= 0 || n != uvarintLen(v) {
		d.bad = true
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *reader) varint() int64 {
	u := d.uvarint()
	v := int64(u >> 1)
	if u&1 != 0 {
		v = ^v
	}
	return v
}

// decodeRecord accepts exactly what encode produces.
func decodeRecord(value []byte) (*record, error) {
	if len(value) == 0 || value[0] != recordVersion {
		return nil, ErrRecord.New("unknown record version")
	}
	if len(value) > recordLimit {
		return nil, ErrRecord.New("record of %d bytes exceeds %d", len(value), recordLimit)
	}
	d := &reader{rest: value[1:]}
	r := &record{floor: d.varint()}
	n := d.uvarint()
	for i := uint64(0); i < n && !d.bad; i++ {
		e := d.entry()
		if len(r.entries) > 0 && r.entries[len(r.entries)-1].compare(e.identity) >= 0 {
			d.bad = true
		}
		if e.key.CreatedMillis() < r.floor {
			d.bad = true
		}
		r.entries = append(r.entries, e)
		r.bytes += e.size()
	}
	if d.bad || len(d.rest) != 0 {
		return nil, ErrRecord.New("malformed record of %d bytes", len(value))
	}
	return r, nil
}

func (d *reader) entry() entry {
	var e entry
	copy(e.key[:], d.take(16))
	copy(e.scope[:], d.take(8))
	copy(e.digest[:], d.take(8))
	e.id.life = api.Life(binary.BigEndian.Uint64(d.take(8)))
	e.id.seq = d.uvarint()
	state := d.take(1)[0]
	e.cut = state&cutFlag != 0
	e.state = claimState(state &^ cutFlag)
	if e.state < stateClaimed || e.state > stateFailed || e.cut && !e.state.done() {
		d.bad = true
	}
	if e.state.done() {
		n := d.uvarint()
		if n > maxResult {
			d.bad = true
			return e
		}
		e.result = string(d.take(n))
	}
	return e
}

// hash8 returns the first 8 bytes of SHA-256 over parts, each preceded by its
// length. A cryptographic hash keeps callers from constructing collisions.
func hash8(parts ...[]byte) (out [8]byte) {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write(p)
	}
	copy(out[:], h.Sum(nil))
	return out
}
