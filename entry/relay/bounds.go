package relay

import (
	"errors"
	"io"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/baobabsail/baobabsail/core/records"
	"github.com/baobabsail/baobabsail/core/routing"
)

// A response may be large, and many may arrive at the same time or wait for the other parts of their
// search. Each one has bounds of its own; memoryBudget bounds them together. A response that is
// small takes nothing from the budget, so that large ones of faulty replicas do not stop it.

const (
	// freeHeadBytes is the part of a head, and freeReplyBytes of a reply, that takes nothing from the
	// budget.
	freeHeadBytes  = readBufferSize
	freeReplyBytes = 16 << 10
	// headMemoryFactor is the memory that a byte of a head takes, at most, once it is parsed: many
	// header fields of a few bytes each. fieldMemoryBytes is the memory of a parsed field beside its
	// name and value.
	headMemoryFactor = 20
	fieldMemoryBytes = 100
	// bodyMemoryFactor is the memory that a byte of a body takes while the buffer grows.
	bodyMemoryFactor = 2
	// collectInterval is the least time between two garbage collections for an exhausted budget.
	collectInterval = time.Second
	// pieceBytes is the size of the pieces in which the records of a part are read.
	pieceBytes = 2 << 10
)

// errResponseTooLarge means that a response, or all responses together, exceed their bounds.
var errResponseTooLarge = errors.New("the response is too large")

// memoryBudget bounds the memory of several users together. It is safe for concurrent use.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
	// collectedAt is when garbage was last collected because the budget was exhausted, in Unix
	// nanoseconds.
	collectedAt atomic.Int64
}

// reserve takes bytes from the budget and reports whether there were enough.
func (b *memoryBudget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// reserveAlone takes bytes for a user that already holds all that is in use, whatever the limit: the
// longest response must be served on a small VM, if no other one is there.
func (b *memoryBudget) reserveAlone(held, more int64) bool {
	return b.used.CompareAndSwap(held, held+more)
}

func (b *memoryBudget) release(n int64) { b.used.Add(-n) }

// collect starts a garbage collection, unless one was started a short time ago: what was dropped
// without a release returns to the budget with it.
func (b *memoryBudget) collect() {
	now, last := time.Now().UnixNano(), b.collectedAt.Load()
	if now-last >= int64(collectInterval) && b.collectedAt.CompareAndSwap(last, now) {
		go runtime.GC()
	}
}

// reservation is memory that one user has taken from a budget. Only release is safe for concurrent
// use.
type reservation struct {
	budget *memoryBudget
	bytes  atomic.Int64
}

// resize changes the size of a reservation, and reports whether the budget had enough.
func (r *reservation) resize(n int64) bool {
	held := r.bytes.Load()
	switch more := n - held; {
	case more <= 0:
		r.budget.release(-more)
	case r.budget.reserve(more) || r.budget.reserveAlone(held, more):
	default:
		r.budget.collect()
		return false
	}
	r.bytes.Store(n)
	return true
}

// release returns the memory to the budget. Further calls do nothing.
func (r *reservation) release() { r.budget.release(r.bytes.Swap(0)) }

// boundedReader reads from a connection up to a number of bytes that is set for each part of a
// response.
type boundedReader struct {
	source io.Reader
	// left is the number of bytes that may still be read.
	left int64
	// inHead is set while a head is read, and headBytes is what was read of it so far. Its memory
	// comes from head.
	inHead    bool
	headBytes int64
	head      reservation
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errResponseTooLarge
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if b.inHead && !b.reserveHead(int64(n)) {
		return 0, errResponseTooLarge
	}
	return n, err
}

// reserveHead reserves the memory for more bytes of a head.
func (b *boundedReader) reserveHead(n int64) bool {
	b.headBytes += n
	return b.headBytes <= freeHeadBytes || b.head.resize(headMemoryFactor*(b.headBytes-freeHeadBytes))
}

// beginHead and endHead enclose the reading of a head.
func (b *boundedReader) beginHead() { b.inHead, b.headBytes = true, 0 }

func (b *boundedReader) endHead() {
	b.inHead = false
	b.head.release()
}

// headerMemory returns the memory that a parsed header takes.
func headerMemory(h http.Header) int64 {
	size := 0
	for name, values := range h {
		size += len(name) + fieldMemoryBytes
		for _, v := range values {
			size += len(v) + fieldMemoryBytes
		}
	}
	return int64(size)
}

// readAll reads a body of at most limit bytes. Its memory stays reserved until the reservation is
// released.
func (b *memoryBudget) readAll(body io.Reader, limit int64) ([]byte, *reservation, error) {
	r := &budgetedReader{source: body, left: limit, memory: &reservation{budget: b}}
	data, err := io.ReadAll(r)
	if err != nil {
		r.memory.release()
		return nil, r.memory, err
	}
	_ = r.memory.resize(max(r.read-freeReplyBytes, 0)) // less than before, so there is enough
	return data, r.memory, nil
}

// budgetedReader reserves the memory of what it reads.
type budgetedReader struct {
	source io.Reader
	left   int64 // bytes that may still be read
	read   int64
	memory *reservation
}

func (r *budgetedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.left -= int64(n)
	r.read += int64(n)
	if r.left < 0 || r.read > freeReplyBytes && !r.memory.resize(bodyMemoryFactor*(r.read-freeReplyBytes)) {
		return 0, errResponseTooLarge
	}
	return n, err
}

// readRecords reads a body of at most limit bytes and keeps the records that the rule, which must be
// selectable, keeps of it. It returns the length of the body, too.
func readRecords(body io.Reader, rule routing.Merge, limit int64) (kept []byte, length int64, err error) {
	selector := records.NewSelector(rule)
	piece := make([]byte, pieceBytes)
	for {
		n, err := body.Read(piece)
		if length += int64(n); length > limit {
			return nil, length, errResponseTooLarge
		}
		_, _ = selector.Write(piece[:n]) // never fails
		switch {
		case errors.Is(err, io.EOF):
			return selector.Bytes(), length, nil
		case err != nil:
			return nil, length, err
		}
	}
}
