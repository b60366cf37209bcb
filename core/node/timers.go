package node

import (
	"container/heap"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// timer wakes one request, or the parts that wait for a replica if that is set.
type timer struct {
	at      time.Time
	seq     uint64 // breaks ties in the order of setting
	request api.RequestID
	replica api.ReplicaName
}

// timerQueue is a heap of timers. Timers are not removed when they become
// obsolete; whoever is woken checks what is due.
type timerQueue struct {
	heap timerHeap
	seq  uint64
}

func (q *timerQueue) set(t timer) {
	q.seq++
	t.seq = q.seq
	heap.Push(&q.heap, t)
}

func (q *timerQueue) next() time.Time {
	if len(q.heap) == 0 {
		return time.Time{}
	}
	return q.heap[0].at
}

// due removes and returns the first timer that is due.
func (q *timerQueue) due(now time.Time) (timer, bool) {
	if len(q.heap) == 0 || q.heap[0].at.After(now) {
		return timer{}, false
	}
	return heap.Pop(&q.heap).(timer), true
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}

// runTimers wakes the requests whose time has come.
func (n *Node) runTimers(now time.Time) {
	for {
		t, ok := n.timers.due(now)
		if !ok {
			return
		}
		if t.replica != "" {
			n.resume(now, t.replica)
			continue
		}
		if s := n.searches[t.request]; s != nil {
			n.wakeSearch(now, s)
		}
		if w := n.works[t.request]; w != nil {
			n.wakeWork(now, w)
		}
	}
}
