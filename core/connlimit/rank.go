package connlimit

import (
	"cmp"
	"time"
)

// rank orders connections by who is closed first.
type rank int

const (
	// rankSilent: nothing arrives or is taken, in the middle of a request or a response or before
	// the first request.
	rankSilent rank = iota
	// rankIdle: the client can send its next request on a new connection.
	rankIdle
	// rankActive: a request or a response that makes progress.
	rankActive
)

// rankOf returns the rank of a connection.
func rankOf(c *conn, now time.Time) rank {
	silent := now.Sub(c.progressAt) >= SilentAfter
	switch {
	case c.phase == Idle && c.used:
		return rankIdle
	case silent:
		return rankSilent
	case c.phase == Idle:
		return rankIdle
	}
	return rankActive
}

// closable reports whether a connection may be closed for another one.
func closable(c *conn) bool { return c.phase != Running }

// compare orders connections by who is closed first: by rank, and then by how long they have been
// in their phase. A client that sends a byte now and then thus does not outlast the others.
func compare(a, b *conn, now time.Time) int {
	if d := cmp.Compare(rankOf(a, now), rankOf(b, now)); d != 0 {
		return d
	}
	if d := a.since.Compare(b.since); d != 0 {
		return d
	}
	return cmp.Compare(a.id, b.id)
}

// precedes reports whether a is closed before b.
func precedes(a, b *conn, now time.Time) bool { return compare(a, b, now) < 0 }

// worst returns the connection to close first of those that match, or nil.
func (t *Table) worst(now time.Time, matches func(*conn) bool) *conn {
	var found *conn
	for _, c := range t.conns {
		if matches(c) && (found == nil || precedes(c, found, now)) {
			found = c
		}
	}
	return found
}
