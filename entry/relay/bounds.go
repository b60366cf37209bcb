package relay

import (
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/baobabsail/baobabsail/core/records"
	"github.com/baobabsail/baobabsail/core/routing"
	"github.com/baobabsail/baobabsail/entry/internal/membudget"
)

// A response may be large, and many may arrive at the same time or wait for the other parts of their
// search. Each one has bounds of its own; a budget bounds them together. A response that is
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
	// bodyMemoryFactor is the memory that a byte of a body takes while it is read and copied.
	bodyMemoryFactor = 2
	// firstBlockBytes is the size of the first block that a body is read into, and blockBytes that
	// of the later ones of a long body.
	firstBlockBytes = 512
	blockBytes      = 64 << 10
	// pieceBytes is the size of the pieces in which the records of a part are read.
	pieceBytes = 2 << 10
)

// errResponseTooLarge means that a response, or all responses together, exceed their bounds.
var errResponseTooLarge = errors.New("the response is too large")

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
	head      *membudget.Reservation
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
	return b.headBytes <= freeHeadBytes || b.head.Resize(headMemoryFactor*(b.headBytes-freeHeadBytes))
}

// beginHead and endHead enclose the reading of a head.
func (b *boundedReader) beginHead() { b.inHead, b.headBytes = true, 0 }

func (b *boundedReader) endHead() {
	b.inHead = false
	b.head.Release()
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
func readAll(budget *membudget.Budget, body io.Reader, limit int64) ([]byte, *membudget.Reservation, error) {
	r := &budgetedReader{source: body, left: limit, factor: bodyMemoryFactor, memory: budget.Reservation()}
	data, err := readBlocks(r)
	if err != nil {
		r.memory.Release()
		return nil, r.memory, err
	}
	_ = r.memory.Resize(max(r.read-freeReplyBytes, 0)) // less than before, so there is enough
	return data, r.memory, nil
}

// readBlocks reads everything. Unlike io.ReadAll, it copies long data only once, so that it takes twice
// its length and leaves less garbage.
func readBlocks(r io.Reader) ([]byte, error) {
	var full [][]byte
	block := make([]byte, 0, firstBlockBytes)
	for {
		n, err := r.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		switch {
		case errors.Is(err, io.EOF) && len(full) == 0:
			return block, nil
		case errors.Is(err, io.EOF):
			return slices.Concat(append(full, block)...), nil
		case err != nil:
			return nil, err
		case len(block) < cap(block):
		case cap(block) < blockBytes:
			block = append(make([]byte, 0, 2*cap(block)), block...)
		default:
			full = append(full, block)
			block = make([]byte, 0, blockBytes)
		}
	}
}

// budgetedReader reserves the memory of what it reads.
type budgetedReader struct {
	source io.Reader
	left   int64 // bytes that may still be read
	read   int64
	factor int64 // reserved bytes for each byte that is read
	memory *membudget.Reservation
}

func (r *budgetedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.left -= int64(n)
	r.read += int64(n)
	if r.left < 0 || r.read > freeReplyBytes && !r.memory.Resize(r.factor*(r.read-freeReplyBytes)) {
		return 0, errResponseTooLarge
	}
	return n, err
}

// readRecords reads a body of at most limit bytes and keeps the records that the rule, which must be
// selectable, keeps of it. It returns the length of the body, too. What is read counts until the end
// of the body, although it is not kept: reading many long bodies at once would take the processor
// from the requests of others.
func readRecords(budget *membudget.Budget, body io.Reader, rule routing.Merge, limit int64) (kept []byte, length int64, err error) {
	r := &budgetedReader{source: body, left: limit, factor: 1, memory: budget.Reservation()}
	defer r.memory.Release()
	selector := records.NewSelector(rule)
	piece := make([]byte, pieceBytes)
	for {
		n, err := r.Read(piece)
		_, _ = selector.Write(piece[:n]) // never fails
		switch {
		case errors.Is(err, io.EOF):
			return selector.Bytes(), r.read, nil
		case err != nil:
			return nil, r.read, err
		}
	}
}
