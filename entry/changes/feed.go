// Package changes passes the changes of the store between nodes over gRPC: a Feed
// holds what a node knows and serves its followers, Follow receives from another
// node. Whom to follow is decided in core/changefeed.
package changes

import (
	"sync"
	"time"

	"github.com/baobabsail/baobabsail/core/changefeed"
)

// Feed is what a node knows of the store. It is safe for concurrent use.
type Feed struct {
	mu  sync.Mutex
	log *changefeed.Log
	// known is set once the feed has had all keys.
	known     bool
	confirmed time.Time
	failing   bool
	direct    bool
	// changed is closed when there is something new for followers.
	changed chan struct{}
	packer  packer
	// closed is closed when followers are to look for another node.
	closed chan struct{}
}

// NewFeed returns a feed that knows nothing.
func NewFeed() *Feed {
	return &Feed{log: changefeed.NewLog(), changed: make(chan struct{}), closed: make(chan struct{})}
}

// Append adds changes up to a position.
func (f *Feed) Append(b changefeed.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log.Append(b)
	if len(b.Changes) > 0 {
		f.wake()
	}
}

// Replace takes over all keys of the store.
func (f *Feed) Replace(items []changefeed.Change, to changefeed.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log.Replace(items, to)
	f.known = true
	f.wake()
}

// SetHealth says how old what the feed knows is, and who confirms it.
func (f *Feed) SetHealth(h changefeed.Health) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := time.Now().Add(-h.Age); at.After(f.confirmed) {
		f.confirmed = at
	}
	f.direct = h.Direct
	f.setFailing(h.Failing)
}

// SetFailing says that nothing confirms what the feed knows. Its age goes on.
func (f *Feed) SetFailing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct = false
	f.setFailing(true)
}

func (f *Feed) setFailing(failing bool) {
	if f.failing != failing {
		f.failing = failing
		f.wake()
	}
}

// Age returns the time since an answer of the store confirmed what the feed knows.
func (f *Feed) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.confirmed)
}

// Position returns how far the feed knows the store.
func (f *Feed) Position() changefeed.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.log.Position()
}

// Close makes the followers leave.
func (f *Feed) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.closed:
	default:
		close(f.closed)
	}
}

func (f *Feed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// message is what a follower is told.
type message struct {
	changefeed.Batch
	changefeed.Health
}

// since returns what a follower at a position is told, nil while the feed knows
// nothing, and a channel that is closed when there is more.
func (f *Feed) since(p changefeed.Position) (*message, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		return nil, f.changed
	}
	h := changefeed.Health{Age: time.Since(f.confirmed), Failing: f.failing, Direct: f.direct}
	return &message{f.log.Since(p), h}, f.changed
}
