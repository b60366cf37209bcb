package targetclient

import (
	"context"
	"errors"
	"sync"

	"google.golang.org/grpc/stats"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/entry/internal/membudget"
)

// Replies of targets are bounded one by one by gRPC, and together here: what has been received of
// replies that are not complete yet, and the rows of those that wait for the rest of their search.

const (
	// freeConnBytes is what a connection may have received of incomplete messages, and freeReplyBytes
	// the size of a reply, that take nothing from the budget.
	freeConnBytes  = 32 << 10
	freeReplyBytes = 16 << 10
	// rowMemoryBytes is the memory of a row and of each of its fields beside their text.
	rowMemoryBytes = 64
	// frameOverheadBytes is what HTTP/2 adds to a message, at most, for each frameBytes of it.
	frameOverheadBytes = 64
	frameBytes         = 1 << 10
	// defaultReplyBytes is the budget if the configuration names none.
	defaultReplyBytes = 64 << 20
	// maxHeaderListBytes bounds the header and the trailer of a response.
	maxHeaderListBytes = 64 << 10
	// windowBytes is the flow-control window of a call and of a connection. gRPC enlarges it for a
	// message that is longer, up to the size of the message.
	windowBytes = 64 << 10
)

// errTooMuchReceived ends a connection whose incomplete messages exceed the budget.
var errTooMuchReceived = errors.New("too much received of incomplete messages")

// received counts what a connection has received of messages that are not complete.
type received struct {
	mu     sync.Mutex
	bytes  int64
	memory *membudget.Reservation
}

// add counts bytes that were read from the connection. It reports whether the budget has room for
// them.
func (r *received) add(n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes += n
	return r.bytes <= freeConnBytes || r.memory.Resize(r.bytes-freeConnBytes)
}

// complete takes off a message that has been received, with its frames.
func (r *received) complete(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes = max(r.bytes-n-frameOverheadBytes*(1+n/frameBytes), 0)
	_ = r.memory.Resize(max(r.bytes-freeConnBytes, 0)) // not more than before, so there is enough
}

// release forgets everything, once the connection is closed.
func (r *received) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memory.Release()
}

// TagRPC and the other methods implement stats.Handler, which tells of each complete message.
func (r *received) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC takes complete messages and headers off.
func (r *received) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s := s.(type) {
	case *stats.InPayload:
		r.complete(int64(s.WireLength))
	case *stats.InHeader:
		r.complete(int64(s.WireLength))
	case *stats.InTrailer:
		r.complete(int64(s.WireLength))
	}
}

// TagConn implements stats.Handler.
func (r *received) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (r *received) HandleConn(context.Context, stats.ConnStats) {}

// holdRows reserves the memory of the rows of a reply until they are garbage. It reports whether the
// budget has room for them.
func holdRows(budget *membudget.Budget, rows []api.Row) bool {
	return len(rows) == 0 || hold(budget, &rows[0], rowBytes(rows))
}

// holdResult does the same for the result of a work order.
func holdResult(budget *membudget.Budget, result []byte) bool {
	return len(result) == 0 || hold(budget, &result[0], int64(len(result)))
}

// hold reserves memory until its holder is garbage.
func hold[T any](budget *membudget.Budget, holder *T, size int64) bool {
	if size <= freeReplyBytes {
		return true
	}
	memory := budget.Reservation()
	if !memory.Resize(size) {
		return false
	}
	membudget.ReleaseWith(holder, memory)
	return true
}

// rowBytes returns the memory that rows take.
func rowBytes(rows []api.Row) int64 {
	size := 0
	for _, r := range rows {
		size += rowMemoryBytes + len(r.Key)
		for _, f := range r.Fields {
			size += rowMemoryBytes + len(f.Name) + len(f.Value)
		}
	}
	return int64(size)
}
