// Package changefeed passes the changes of the store from node to node. A few nodes
// of each data centre watch the store; the others follow one of them. It holds the
// decisions only: which nodes watch (Rankings), whom a node follows (Chooser), and
// what a node tells its followers (Log).
package changefeed

import "time"

// Position is how far the changes of the store are known: all those up to a
// revision of an era. Revisions of different eras have nothing to do with each
// other.
type Position struct {
	Era      uint64
	Revision int64
}

// Before reports whether a position is older than another one.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}

// Change is the newest value of a key, or its deletion.
type Change struct {
	Key   string
	Value []byte
	// Revision is that of the change.
	Revision int64
	Deleted  bool
}

// Batch holds changes in the order of their revisions.
type Batch struct {
	Changes []Change
	// To is the position after these changes.
	To Position
	// Gapped says that the source does not know all that happened before To: a key that
	// came and went may not be named.
	Gapped bool
	// Complete says that the batch holds all keys of the store: those that it does
	// not name are gone.
	Complete bool
	// Waited is how long the store was silent before it sent these changes; 0 if it
	// is not known, as of changes that were sent to others before.
	Waited time.Duration
}

// Health is what a node knows of its own knowledge.
type Health struct {
	// Age is the time since an answer of the store confirmed what the node knows.
	Age time.Duration
	// Failing says that neither the store nor another node confirms it now.
	Failing bool
	// Direct says that the store itself answers the node.
	Direct bool
}
