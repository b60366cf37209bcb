package relay

import "sync"

// pending holds the channels of goroutines that wait for responses of the engine, by the ID of
// the request that the engine responds to. It is safe for concurrent use.
type pending[T any] struct {
	// capacity is the largest number of responses to one request.
	capacity int

	mu       sync.Mutex
	lastID   uint64
	channels map[uint64]chan T
}

func newPending[T any](capacity int) *pending[T] {
	return &pending[T]{capacity: capacity, channels: make(map[uint64]chan T)}
}

// register allocates an ID and returns it with the channel that receives the responses.
func (p *pending[T]) register() (uint64, chan T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	c := make(chan T, p.capacity)
	p.channels[p.lastID] = c
	return p.lastID, c
}

// unregister removes an ID whose responses nobody waits for any more.
func (p *pending[T]) unregister(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.channels, id)
}

// deliver passes a response on if somebody waits for it. The last one removes the ID.
func (p *pending[T]) deliver(id uint64, response T, last bool) {
	p.mu.Lock()
	c := p.channels[id]
	if last {
		delete(p.channels, id)
	}
	p.mu.Unlock()
	if c != nil {
		c <- response
	}
}
