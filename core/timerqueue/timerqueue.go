// Package timerqueue implements a priority queue of timers ordered by time.
package timerqueue

import (
	"container/heap"
	"time"
)

// Queue is a heap of timers. Timers cannot be cancelled: an obsolete timer stays
// in the queue, and the code that handles it checks whether there is still
// something to do. The zero value is an empty queue.
type Queue[T any] struct {
	heap entries[T]
	seq  uint64
}

// Add adds a timer that carries value and is due at the given time.
func (q *Queue[T]) Add(at time.Time, value T) {
	q.seq++
	heap.Push(&q.heap, entry[T]{at: at, seq: q.seq, value: value})
}

// Next returns the time of the earliest timer; the zero time if there is none.
func (q *Queue[T]) Next() time.Time {
	if len(q.heap) == 0 {
		return time.Time{}
	}
	return q.heap[0].at
}

// PopDue removes the earliest timer and returns its value if the timer is due at
// now. Otherwise it returns false.
func (q *Queue[T]) PopDue(now time.Time) (T, bool) {
	if len(q.heap) == 0 || q.heap[0].at.After(now) {
		var zero T
		return zero, false
	}
	return heap.Pop(&q.heap).(entry[T]).value, true
}

type entry[T any] struct {
	at    time.Time
	seq   uint64 // insertion order, which breaks ties
	value T
}

type entries[T any] []entry[T]

func (h entries[T]) Len() int { return len(h) }

func (h entries[T]) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h entries[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *entries[T]) Push(x any) { *h = append(*h, x.(entry[T])) }

// Pop implements heap.Interface.
func (h *entries[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
