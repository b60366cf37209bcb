package target

import (
	"context"
	"sync"
)

// admission is the result of asking for a slot.
type admission int

const (
	admitted admission = iota
	shed
	refusedDraining
	// abandoned means that the context ended while the request was queued.
	abandoned
)

// slots runs a bounded number of requests at once and queues a bounded number
// in order of arrival.
type slots struct {
	mu       sync.Mutex
	limit    int
	queueCap int
	running  int
	queue    []chan struct{}
	draining bool
	idle     chan struct{}
	idleOnce sync.Once
}

func newSlots(limit, queueCap int) *slots {
	return &slots{limit: limit, queueCap: queueCap, idle: make(chan struct{})}
}

// acquire waits for a slot; the caller must release an admitted one.
func (s *slots) acquire(ctx context.Context) admission {
	s.mu.Lock()
	switch {
	case s.draining:
		s.mu.Unlock()
		return refusedDraining
	case s.running < s.limit:
		s.running++
		s.mu.Unlock()
		return admitted
	case len(s.queue) >= s.queueCap:
		s.mu.Unlock()
		return shed
	}
	turn := make(chan struct{})
	s.queue = append(s.queue, turn)
	s.mu.Unlock()
	select {
	case <-turn:
		return admitted
	case <-ctx.Done():
		s.abandon(turn)
		return abandoned
	}
}

// abandon leaves the queue, or gives back the slot if the turn came meanwhile.
func (s *slots) abandon(turn chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, waiting := range s.queue {
		if waiting == turn {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			s.checkIdle()
			return
		}
	}
	s.releaseLocked()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

// releaseLocked passes the slot to the first request in the queue, if any.
func (s *slots) releaseLocked() {
	if len(s.queue) > 0 {
		close(s.queue[0])
		s.queue = s.queue[1:]
		return
	}
	s.running--
	s.checkIdle()
}

func (s *slots) checkIdle() {
	if s.draining && s.running == 0 && len(s.queue) == 0 {
		s.idleOnce.Do(func() { close(s.idle) })
	}
}

// drain refuses new requests; what runs or waits is finished. The returned
// channel is closed when nothing is left.
func (s *slots) drain() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.checkIdle()
	return s.idle
}

func (s *slots) state() (running, queued int, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.queue), s.draining
}
