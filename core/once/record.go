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

// Size limits in bytes. The store accepts values up to 1 MB. A record accepts new
// claims only up to maxSizeWithClaim, so that there is space left for the outcome
// of every claim in it. A result that would exceed maxSizeWithResult is left out.
const (
	maxRecordSize     = 1 << 20
	maxSizeWithResult = maxRecordSize - 64<<10
	maxSizeWithClaim  = maxRecordSize - 128<<10
	maxResultSize     = 256
)

// recordVersion is the first byte of an encoded record.
const recordVersion = 1

// Error types of this package.
var (
	errorNamespace = errorx.NewNamespace("once")
	// ErrRecord reports a record that cannot be decoded. Such a record is never
	// overwritten.
	ErrRecord = errorNamespace.NewType("bad_record")
)

// claimID identifies one claim by the life (process start) of its node and a
// counter.
type claimID struct {
	life api.Life
	seq  uint64
}

// claimState is the state of a claim in a record.
type claimState uint8

const (
	stateClaimed claimState = iota + 1
	stateNotRun
	stateAnswered
	stateFailed
)

// done reports whether the claim has an outcome that can be replayed.
func (s claimState) done() bool { return s == stateAnswered || s == stateFailed }

// claimKey identifies what is claimed: the caller's idempotency key, a UUID, and
// a hash of caller and service.
type claimKey struct {
	key   api.IdempotencyKey
	scope [8]byte
}

func (a claimKey) compare(b claimKey) int {
	if c := bytes.Compare(a.key[:], b.key[:]); c != 0 {
		return c
	}
	return bytes.Compare(a.scope[:], b.scope[:])
}

// entry is one claim in a record.
type entry struct {
	claimKey
	id        claimID
	digest    [8]byte
	state     claimState
	truncated bool
	result    string
}

// encodedSize returns the number of bytes that encode uses for the entry.
func (e entry) encodedSize() int {
	n := 16 + 8 + 8 + 8 + uvarintLen(e.id.seq) + 1
	if e.state.done() {
		n += uvarintLen(uint64(len(e.result))) + len(e.result)
	}
	return n
}

// uvarintLen returns the length of the shortest uvarint encoding of v.
func uvarintLen(v uint64) int {
	n := 1
	for ; v >= 0x80; v >>= 7 {
		n++
	}
	return n
}

// record is the decoded value of one partition in the store. It must not be
// modified once it is shared; copyRecord returns a copy that may be modified.
type record struct {
	// floor is a key creation time in milliseconds since the Unix epoch; claims
	// with older keys were pruned.
	floor   int64
	entries []entry // ascending by claim key, hence by creation time of the key
	bytes   int     // encoded size of the entries
}

func copyRecord(r *record) *record {
	return &record{floor: r.floor, entries: slices.Clone(r.entries), bytes: r.bytes}
}

// find returns the index at which the claim key is or would be inserted, and
// whether it is present.
func (r *record) find(key claimKey) (int, bool) {
	i := sort.Search(len(r.entries), func(i int) bool { return r.entries[i].compare(key) >= 0 })
	return i, i < len(r.entries) && r.entries[i].claimKey == key
}

func (r *record) lookup(key claimKey) (entry, bool) {
	i, ok := r.find(key)
	if !ok {
		return entry{}, false
	}
	return r.entries[i], true
}

func (r *record) put(e entry) {
	i, ok := r.find(e.claimKey)
	if ok {
		r.bytes += e.encodedSize() - r.entries[i].encodedSize()
		r.entries[i] = e
		return
	}
	r.bytes += e.encodedSize()
	r.entries = slices.Insert(r.entries, i, e)
}

// newest returns the creation time of the newest key in milliseconds since the
// Unix epoch, or math.MinInt64 for an empty record.
func (r *record) newest() int64 {
	if len(r.entries) == 0 {
		return math.MinInt64
	}
	return r.entries[len(r.entries)-1].key.CreatedMillis()
}

// prune raises the floor and removes the claims whose keys are older. It never
// lowers the floor.
func (r *record) prune(floor int64) {
	if floor <= r.floor {
		return
	}
	r.floor = floor
	n := 0
	for n < len(r.entries) && r.entries[n].key.CreatedMillis() < floor {
		r.bytes -= r.entries[n].encodedSize()
		n++
	}
	r.entries = r.entries[n:]
}

// truncatedFlag is set in the state byte of a claim whose result is truncated.
const truncatedFlag = 0x80

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
		if e.truncated {
			state |= truncatedFlag
		}
		out = append(out, state)
		if e.state.done() {
			out = binary.AppendUvarint(out, uint64(len(e.result)))
			out = append(out, e.result...)
		}
	}
	return out
}

// decoder reads the fields of an encoded record. After an error, malformed is set
// and all reads return zero values.
type decoder struct {
	rest      []byte
	malformed bool
}

func (d *decoder) take(n uint64) []byte {
	if d.malformed || n > uint64(len(d.rest)) {
		d.malformed = true
		return make([]byte, min(n, 16))
	}
	out := d.rest[:n]
	d.rest = d.rest[n:]
	return out
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if d.malformed || n <= 0 || n != uvarintLen(v) {
		d.malformed = true
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) varint() int64 {
	u := d.uvarint()
	v := int64(u >> 1)
	if u&1 != 0 {
		v = ^v
	}
	return v
}

// decodeRecord decodes a record. It rejects any value that encode does not
// produce.
func decodeRecord(value []byte) (*record, error) {
	if len(value) == 0 || value[0] != recordVersion {
		return nil, ErrRecord.New("unknown record version")
	}
	if len(value) > maxRecordSize {
		return nil, ErrRecord.New("record of %d bytes exceeds %d", len(value), maxRecordSize)
	}
	d := &decoder{rest: value[1:]}
	r := &record{floor: d.varint()}
	n := d.uvarint()
	for i := uint64(0); i < n && !d.malformed; i++ {
		e := d.entry()
		if len(r.entries) > 0 && r.entries[len(r.entries)-1].compare(e.claimKey) >= 0 {
			d.malformed = true
		}
		if e.key.CreatedMillis() < r.floor {
			d.malformed = true
		}
		r.entries = append(r.entries, e)
		r.bytes += e.encodedSize()
	}
	if d.malformed || len(d.rest) != 0 {
		return nil, ErrRecord.New("malformed record of %d bytes", len(value))
	}
	return r, nil
}

func (d *decoder) entry() entry {
	var e entry
	copy(e.key[:], d.take(16))
	copy(e.scope[:], d.take(8))
	copy(e.digest[:], d.take(8))
	e.id.life = api.Life(binary.BigEndian.Uint64(d.take(8)))
	e.id.seq = d.uvarint()
	state := d.take(1)[0]
	e.truncated = state&truncatedFlag != 0
	e.state = claimState(state &^ truncatedFlag)
	if e.state < stateClaimed || e.state > stateFailed || e.truncated && !e.state.done() {
		d.malformed = true
	}
	if e.state.done() {
		n := d.uvarint()
		if n > maxResultSize {
			d.malformed = true
			return e
		}
		e.result = string(d.take(n))
	}
	return e
}

// hash8 returns the first 8 bytes of the SHA-256 hash of parts, each preceded by
// its length. A cryptographic hash keeps callers from constructing collisions.
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
