package target

import (
	"context"
	"sync"
)

// admission is the result of a request for a slot.
type admission int

const (
	admitted admission = iota
	shed
	refusedDraining
	// abandoned means that the context ended while the request was queued.
	abandoned
)

// slots limits how many requests run at once and queues a bounded number of further
// requests in order of arrival.
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

// acquire waits for a slot. If the result is admitted, the caller must release the
// slot.
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
	granted := make(chan struct{})
	s.queue = append(s.queue, granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return admitted
	case <-ctx.Done():
		s.abandon(granted)
		return abandoned
	}
}

// abandon removes a request from the queue, or releases its slot if it got one
// meanwhile.
func (s *slots) abandon(granted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, waiting := range s.queue {
		if waiting == granted {
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

// releaseLocked hands the slot to the first request in the queue, if there is one.
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

// drain makes acquire refuse new requests; running and queued requests continue.
// The returned channel is closed when none of them is left.
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
