package relay

import (
	"errors"
	"io"
	"sync/atomic"
)

// errResponseTooLarge means that a response, or all responses being read, exceed their bounds.
var errResponseTooLarge = errors.New("the response is too large")

// boundedReader reads from a connection up to a number of bytes that is set for each part of a
// response.
type boundedReader struct {
	source io.Reader
	// left is the number of bytes that may still be read.
	left int64
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errResponseTooLarge
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// memoryBudget bounds the memory of several users together, such as all response bodies that are
// being read. It is safe for concurrent use.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve takes bytes from the budget and reports whether there were enough.
func (b *memoryBudget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *memoryBudget) release(n int64) { b.used.Add(-n) }

// readAll reads a body of at most limit bytes whose memory comes from the budget until the body
// is complete.
func (b *memoryBudget) readAll(body io.Reader, limit int64) ([]byte, error) {
	r := &budgetedReader{source: body, budget: b, left: limit}
	defer func() { b.release(r.reserved) }()
	return io.ReadAll(r)
}

// budgetedReader reserves the memory of what it reads.
type budgetedReader struct {
	source   io.Reader
	budget   *memoryBudget
	left     int64 // bytes that may still be read
	reserved int64
}

func (r *budgetedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	size := int64(n)
	if size > r.left || !r.budget.reserve(size) {
		return 0, errResponseTooLarge
	}
	r.left -= size
	r.reserved += size
	return n, err
}
