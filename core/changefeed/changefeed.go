// Package changefeed decides how changes of the store spread between nodes. A few
// nodes of each data centre watch the store; the others follow one of them. The
// package does no I/O: it selects the nodes that watch (Rankings) and the node that
// each other one follows (Chooser), and computes what followers are sent (Log).
package changefeed

import "time"

// Position is the point up to which the changes of the store are known: a revision within
// an era of the store. Revisions of different eras cannot be compared.
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

// Change is a new value of a key, or its deletion.
type Change struct {
	Key   string
	Value []byte
	// Revision is the revision of the store at which the change was made.
	Revision int64
	Deleted  bool
}

// Batch holds changes ordered by revision.
type Batch struct {
	Changes []Change
	// To is the position after these changes.
	To Position
	// Gapped is set if the source does not know every change before To: a key that was
	// created and deleted in between may be missing.
	Gapped bool
	// Complete is set if the batch holds all keys of the store: keys that are not in
	// it no longer exist.
	Complete bool
	// Waited is how long the store sent nothing before these changes. It is 0 if
	// unknown, for example if the batch is not exactly the last one of the source.
	Waited time.Duration
}

// Health describes how current a node's knowledge of the store is.
type Health struct {
	// Age is the time since an answer of the store confirmed the node's knowledge.
	Age time.Duration
	// Failing is set while neither the store nor another node confirms it.
	Failing bool
	// Direct is set if the store itself answers the node.
	Direct bool
}
