// Package target implements a stand-in for a target (a back-end server). It
// serves targetpb.Target over gRPC with deterministic sample data, a bounded
// number of slots and connections, random service times from a seeded generator,
// and fault switches. It records the work orders and searches that it started in
// a journal, which a test oracle reads. One process can host many targets, each
// with its own listener.
package target

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("standin_target")

var (
	// ErrSettings marks settings that cannot be used.
	ErrSettings = Errors.NewType("settings")
	// ErrListen marks a listener that could not be opened.
	ErrListen = Errors.NewType("listen")
	// ErrState marks a call that does not fit the target's state or a bad fault.
	ErrState = Errors.NewType("state")
	// ErrJournal marks a journal file that could not be written.
	ErrJournal = Errors.NewType("journal")
)
