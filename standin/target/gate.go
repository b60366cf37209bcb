package target

import "sync"

// gate blocks its waiters while it is shut. Create it with newGate, which returns
// an open gate; the zero value is not usable.
type gate struct {
	mu   sync.Mutex
	shut bool
	// open is closed while the gate is open.
	open chan struct{}
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

// set shuts or opens the gate.
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

// wait blocks until the gate is open and returns true, or returns false if done is
// closed first.
func (g *gate) wait(done <-chan struct{}) bool {
	select {
	case <-g.opened():
		return true
	case <-done:
		return false
	}
}
