// Package changes replicates changes of the store between nodes over gRPC. A Feed
// holds a node's copy of the keys and serves it to followers; Follow receives the changes
// from another node. Package core/changefeed decides which node to follow.
package changes

import (
	"sync"
	"time"

	"github.com/baobabsail/baobabsail/core/changefeed"
)

// Feed holds a node's copy of the store's keys and serves it to followers. It is safe
// for concurrent use.
type Feed struct {
	mu  sync.Mutex
	log *changefeed.Log
	// populated is set once Replace has supplied all keys.
	populated bool
	// confirmedAt is when a response of the store last confirmed the copy.
	confirmedAt time.Time
	failing     bool
	direct      bool
	// changed is closed, and replaced by a new channel, when followers have to be sent
	// an update.
	changed    chan struct{}
	packedKeys packedKeysCache
	// closed is closed by Close; followers then have to find another node.
	closed chan struct{}
}

// NewFeed returns a feed without keys. It sends nothing to followers until Replace is
// called.
func NewFeed() *Feed {
	return &Feed{log: changefeed.NewLog(), changed: make(chan struct{}), closed: make(chan struct{})}
}

// Append adds the changes of a batch and advances the position to b.To.
func (f *Feed) Append(b changefeed.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log.Append(b)
	if len(b.Changes) > 0 {
		f.notifyFollowers()
	}
}

// Replace sets the complete set of keys as of a position.
func (f *Feed) Replace(items []changefeed.Change, to changefeed.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log.Replace(items, to)
	f.populated = true
	f.notifyFollowers()
}

// SetHealth records the age of the copy, whether the store itself confirms it and
// whether confirmation fails. An age never moves the last confirmation back.
func (f *Feed) SetHealth(h changefeed.Health) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := time.Now().Add(-h.Age); at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
	f.direct = h.Direct
	f.setFailing(h.Failing)
}

// SetFailing records that neither the store nor another node confirms the copy. Its
// age keeps growing.
func (f *Feed) SetFailing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct = false
	f.setFailing(true)
}

func (f *Feed) setFailing(failing bool) {
	if f.failing != failing {
		f.failing = failing
		f.notifyFollowers()
	}
}

// Age returns the time since a response of the store last confirmed the copy.
func (f *Feed) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.confirmedAt)
}

// Position returns the era and revision up to which the feed holds the store's changes.
func (f *Feed) Position() changefeed.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.log.Position()
}

// Close ends the streams of all followers.
func (f *Feed) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.closed:
	default:
		close(f.closed)
	}
}

func (f *Feed) notifyFollowers() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// message is one update for a follower: changes and the health of the copy.
type message struct {
	changefeed.Batch
	changefeed.Health
}

// messageSince returns the update for a follower at a position, nil until the feed is
// populated, and a channel that is closed when there is a newer update.
func (f *Feed) messageSince(p changefeed.Position) (*message, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.populated {
		return nil, f.changed
	}
	h := changefeed.Health{Age: time.Since(f.confirmedAt), Failing: f.failing, Direct: f.direct}
	return &message{f.log.Since(p), h}, f.changed
}
