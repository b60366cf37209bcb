// Package store is the narrow interface through which an entry node uses the
// platform's key-value service.
package store

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/baobabsail/baobabsail/core/event"
)

// Errors is the namespace of the errors in results.
var Errors = errorx.NewNamespace("platform_store")

var (
	// ErrUnavailable marks a call that got no usable answer.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
	// ErrProtocol marks an answer that breaks the protocol or a size bound.
	ErrProtocol = Errors.NewType("protocol")
	// ErrTooLarge marks a value above the store's limit; nothing was sent.
	ErrTooLarge = Errors.NewType("too_large")
	// ErrWatchEnded marks the end of a watch.
	ErrWatchEnded = Errors.NewType("watch_ended", errorx.Temporary())
	// ErrSettings marks settings that cannot be used.
	ErrSettings = Errors.NewType("settings")
)

// Store reads, conditionally writes and watches single keys. Implementations
// send each call at most once and are safe for concurrent use.
type Store interface {
	// Get reads a key.
	Get(ctx context.Context, key string) Read
	// Revision reads the revision of a key without its value.
	Revision(ctx context.Context, key string) Read
	// CompareAndSwap writes a key if it is still at a revision; revision 0
	// means that the key must not exist.
	CompareAndSwap(ctx context.Context, key string, value []byte, ifRevision int64) Write
	// Watch reports the changes of a key after the given store revision. The
	// context bounds the whole watch.
	Watch(ctx context.Context, key string, after int64) (Watch, error)
}

// Read is the result of Get.
type Read struct {
	Result event.ReadResult
	Value  []byte
	// Revision is the store's revision of the key, 0 if absent.
	Revision int64
	// Err says why, if Result is ReadFailed.
	Err error
}

// Write is the result of CompareAndSwap.
type Write struct {
	Result event.WriteResult
	// Revision is the key's new revision if Result is WriteApplied, or its
	// present one, 0 if absent or unknown, if Result is WriteConflict.
	Revision int64
	// Err says why, if Result is WriteNotSent or WriteUnknown.
	Err error
}

// Change is one change of a watched key.
type Change struct {
	Value    []byte
	Revision int64
	// Deleted means that the key no longer exists; Value is empty.
	Deleted bool
}

// Watch is an open watch. It is used by one goroutine at a time, except for
// Close.
type Watch interface {
	// Next waits for the next change. After an error the watch has ended.
	Next() (Change, error)
	// Close ends the watch and a pending Next.
	Close()
}
