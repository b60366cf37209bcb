// Package quota keeps the requests of a client account that all nodes together admit within
// the account's quota.
//
// For each account, two nodes grant admissions: the allocator and its standby (Ranking). The
// allocator runs a token bucket of the whole quota; the standby, and an allocator that cannot
// be sure to be the only one, grant from fixed parts of the tolerance (Allocator). The node that
// a request reaches asks them (Requester). An admission is used at once or never, so the number
// of admissions granted in any window bounds the number of requests that run.
package quota

import "time"

// Quota is the quota of an account over all nodes. PerSecond 0 means that there is none.
type Quota struct {
	// Version is the version of the configuration that names the quota.
	Version uint64
	// PerSecond is the rate; Burst is the number of requests that may exceed it at once.
	PerSecond, Burst float64
}

// Bounds is what all nodes together may admit: in any Window, at most the quota of that time
// times 1 + Overage, plus Slack.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// DefaultBounds apply if the settings name none.
var DefaultBounds = Bounds{Window: 5 * time.Second}

// Limit returns the number of requests that may be admitted in any window.
func (b Bounds) Limit(q Quota) float64 { return b.base(q) + b.tolerance(q) }

// base returns the number of requests in a window that the quota itself allows.
func (b Bounds) base(q Quota) float64 { return q.PerSecond*b.Window.Seconds() + q.Burst }

// tolerance returns the number of requests in a window by which the quota may be exceeded.
func (b Bounds) tolerance(q Quota) float64 { return b.Overage*b.base(q) + b.Slack }

// Request asks a node to admit requests of an account.
type Request struct {
	Account string
	// Wanted is the number of requests that wait.
	Wanted int
	// Quota is the newest quota that the asking node knows.
	Quota Quota
}

// Grant is the response to a Request.
type Grant struct {
	Admitted int
	// RetryAfter is how long to wait before the next request if Admitted is less than Wanted.
	RetryAfter time.Duration
	// NotAllocator is set if the node may grant nothing for this account.
	NotAllocator bool
	// Reduced is set if the node grants only a part of the tolerance, so that a refusal does
	// not mean that the account is over its quota.
	Reduced bool
	// Used is the fraction of the quota that the account used in the last window.
	Used float64
	// Quota is the newest quota that the node knows.
	Quota Quota
}
