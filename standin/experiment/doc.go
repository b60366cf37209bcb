// Package experiment measures the load policy of entry nodes with real
// processes on loopback: it starts a platform, targets and entry nodes, sends
// load, switches faults during the run, and compares the design's policy with
// baselines. It ends every process that it started, and only those.
package experiment

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("experiment")

var (
	// ErrOptions marks options that cannot be used.
	ErrOptions = Errors.NewType("options")
	// ErrProcess marks a process that did not start or ended early.
	ErrProcess = Errors.NewType("process")
	// ErrSystem marks a system that refused a step of the experiment.
	ErrSystem = Errors.NewType("system")
)
