// Package load is an open-loop load generator for the callers' HTTP interface
// of an entry node: arrivals follow a seeded schedule and never wait for
// answers, and latency counts from the intended start, so that a stalled server
// cannot hide its stall. It reports latency, coverage, outcomes and the requests
// that targets received for each needed one.
package load

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("standin_load")

var (
	// ErrSettings marks settings that cannot be used.
	ErrSettings = Errors.NewType("settings")
	// ErrAdmin marks a target's admin interface that could not be read.
	ErrAdmin = Errors.NewType("admin")
	// ErrContradiction marks answers to work orders that do not fit the journals.
	ErrContradiction = Errors.NewType("contradiction")
)
