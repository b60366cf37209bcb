// Package store defines the interface through which an entry node uses the platform's
// key-value service.
package store

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/baobabsail/baobabsail/core/event"
)

// Errors is the namespace of the errors that stores return.
var Errors = errorx.NewNamespace("platform_store")

var (
	// ErrUnavailable marks a call that received no usable response.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
	// ErrProtocol marks a response that violates the protocol or exceeds a size limit.
	ErrProtocol = Errors.NewType("protocol")
	// ErrTooLarge marks a value that exceeds the store's size limit; no request was sent.
	ErrTooLarge = Errors.NewType("too_large")
	// ErrWatchEnded marks the end of a watch.
	ErrWatchEnded = Errors.NewType("watch_ended", errorx.Temporary())
	// ErrSettings marks invalid settings.
	ErrSettings = Errors.NewType("settings")
)

// Store reads, conditionally writes and watches single keys. Implementations send each
// request at most once and are safe for concurrent use.
type Store interface {
	// Get reads the value and the revision of a key.
	Get(ctx context.Context, key string) Read
	// Revision reads the revision of a key without its value.
	Revision(ctx context.Context, key string) Read
	// CompareAndSwap writes a key if its revision is still ifRevision; 0 means that the
	// key must not exist.
	CompareAndSwap(ctx context.Context, key string, value []byte, ifRevision int64) Write
	// Watch reports the changes of a key after a store revision. The watch ends when ctx
	// ends.
	Watch(ctx context.Context, key string, afterRevision int64) (Watch, error)
}

// Read is the result of Get or Revision.
type Read struct {
	Result event.ReadResult
	Value  []byte
	// Revision is the revision of the key, 0 if the key does not exist.
	Revision int64
	// Err is the reason if Result is ReadFailed.
	Err error
}

// Write is the result of CompareAndSwap.
type Write struct {
	Result event.WriteResult
	// Revision is the key's new revision if Result is WriteApplied. If Result is
	// WriteConflict it is the key's current revision, or 0 if the key does not exist or
	// the revision is unknown.
	Revision int64
	// Err is the reason if Result is WriteNotSent or WriteUnknown.
	Err error
}

// Change is one change of a watched key.
type Change struct {
	Value    []byte
	Revision int64
	// Deleted means that the key was deleted; Value is empty.
	Deleted bool
}

// Watch is an open watch of a key. Only Close may be called concurrently with another
// method.
type Watch interface {
	// Next waits for the next change. An error means that the watch has ended.
	Next() (Change, error)
	// Close ends the watch and unblocks a pending Next.
	Close()
}
