// Package platform is an in-memory stand-in for the platform's services: the
// subset of the etcd v3 HTTP/JSON API that the tier uses (range, transaction
// with one MOD compare, watch of single keys) and the list of VMs. It bounds
// its call rates, counts its requests and has fault switches.
package platform

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("standin_platform")

var (
	// ErrSettings marks settings that cannot be used.
	ErrSettings = Errors.NewType("settings")
	// ErrListen marks a listener that could not be opened.
	ErrListen = Errors.NewType("listen")
	// ErrState marks a call that does not fit the stand-in's state.
	ErrState = Errors.NewType("state")
)
