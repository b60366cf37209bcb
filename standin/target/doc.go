// Package target is a stand-in for a back-end server: it serves
// targetpb.Target over gRPC with deterministic sample data, bounded slots and
// connections, a seeded service time, and fault switches. It keeps a journal of
// the work orders it ran and the searches it started, which a test's oracle
// reads. One process can hold many targets, each with its own listener.
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
