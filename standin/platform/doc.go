// Package platform is an in-memory stand-in for the platform's services: the
// subset of the etcd v3 HTTP/JSON API that the tier uses (range, transactions
// with MOD compares, watches of single keys) and the list of VMs. It limits
// the rate of store calls, counts requests and can inject faults.
package platform

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("standin_platform")

var (
	// ErrSettings is the type of errors for invalid settings.
	ErrSettings = Errors.NewType("settings")
	// ErrListen is the type of errors from opening the listener.
	ErrListen = Errors.NewType("listen")
	// ErrState is the type of errors for calls that are invalid or not allowed
	// in the stand-in's current state.
	ErrState = Errors.NewType("state")
)
