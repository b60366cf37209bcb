package target

import "sync"

// gate blocks its waiters while it is shut. The zero value is not usable.
type gate struct {
	mu   sync.Mutex
	shut bool
	open chan struct{}
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut == shut {
		return
	}
	g.shut = shut
	if shut {
		g.open = make(chan struct{})
		return
	}
	close(g.open)
}

// opened returns a channel that is closed while the gate is open.
func (g *gate) opened() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// wait returns true once the gate is open, false if done is closed first.
func (g *gate) wait(done <-chan struct{}) bool {
	select {
	case <-g.opened():
		return true
	case <-done:
		return false
	}
}
