// Package load is an open-loop load generator for the HTTP interface that an
// entry node offers to callers. Requests start on a seeded schedule and never
// wait for earlier answers, and latency is measured from the scheduled start, so
// that a stall of the server shows in the latencies (no coordinated omission).
// The report covers latency, index coverage, outcomes and the ratio of requests
// that targets received to requests that the answers needed.
package load

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("standin_load")

var (
	// ErrSettings is the type of errors for invalid settings.
	ErrSettings = Errors.NewType("settings")
	// ErrAdmin is the type of errors from reading a target's admin interface.
	ErrAdmin = Errors.NewType("admin")
	// ErrContradiction is the type of errors for answers to work orders that
	// contradict the targets' journals.
	ErrContradiction = Errors.NewType("contradiction")
)
