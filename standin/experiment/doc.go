// Package experiment measures the load policy of entry nodes with real
// processes on loopback: it starts a stand-in platform, targets and entry nodes,
// generates load, injects faults during the run, and compares the project's
// policy with baselines. It ends every process that it started, and no others.
package experiment

import "github.com/joomcode/errorx"

// Errors is the errorx namespace of the errors of this package.
var Errors = errorx.NewNamespace("experiment")

var (
	// ErrOptions is the type of errors for invalid options.
	ErrOptions = Errors.NewType("options")
	// ErrProcess is the type of errors for a process that failed to start or exited
	// too early.
	ErrProcess = Errors.NewType("process")
	// ErrSystem is the type of errors for a step of the experiment that failed, such
	// as a call to a node or a file that could not be read.
	ErrSystem = Errors.NewType("system")
)
