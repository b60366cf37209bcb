// Package membudget bounds the memory that several users take together, such as all responses that
// are being read.
package membudget

import (
	"runtime"
	"sync/atomic"
	"time"
)

// collectInterval is the least time between two garbage collections for an exhausted budget.
const collectInterval = time.Second

// Budget is an amount of memory. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
	// collectedAt is when garbage was last collected because the budget was exhausted, in Unix
	// nanoseconds.
	collectedAt atomic.Int64
}

// New returns a budget of the given number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Reserve takes bytes from the budget and reports whether there were enough.
func (b *Budget) Reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Release returns bytes to the budget.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// reserveAlone takes bytes for a user that already holds all that is in use, whatever the limit: the
// longest response must be served on a small VM, if no other one is there.
func (b *Budget) reserveAlone(held, more int64) bool {
	return b.used.CompareAndSwap(held, held+more)
}

// collect starts a garbage collection, unless one was started a short time ago: what was dropped
// without a release returns to the budget with it.
func (b *Budget) collect() {
	now, last := time.Now().UnixNano(), b.collectedAt.Load()
	if now-last >= int64(collectInterval) && b.collectedAt.CompareAndSwap(last, now) {
		go runtime.GC()
	}
}

// Reservation is memory that one user has taken from a budget. Only Release is safe for concurrent
// use.
type Reservation struct {
	budget *Budget
	bytes  atomic.Int64
}

// Reservation returns an empty reservation.
func (b *Budget) Reservation() *Reservation { return &Reservation{budget: b} }

// Bytes returns the size of the reservation.
func (r *Reservation) Bytes() int64 { return r.bytes.Load() }

// Resize changes the size of a reservation, and reports whether the budget had enough.
func (r *Reservation) Resize(n int64) bool {
	held := r.bytes.Load()
	switch more := n - held; {
	case more <= 0:
		r.budget.Release(-more)
	case r.budget.Reserve(more) || r.budget.reserveAlone(held, more):
	default:
		r.budget.collect()
		return false
	}
	r.bytes.Store(n)
	return true
}

// Release returns the memory to the budget. Further calls do nothing.
func (r *Reservation) Release() { r.budget.Release(r.bytes.Swap(0)) }

// ReleaseWith releases a reservation once the object that holds the memory is garbage, unless it is
// released before.
func ReleaseWith[T any](holder *T, r *Reservation) {
	runtime.AddCleanup(holder, (*Reservation).Release, r)
}
