package relay

import (
	"context"
	"time"
)

const (
	// startupWait is how long a request waits at a process that has just started for the
	// configuration and the replicas. It is longer than a process takes to read them from another
	// node; a caller that is refused may not retry often enough to be served at all.
	startupWait = 300 * time.Millisecond
	// startupPhase is the time after the start in which requests wait. A process that cannot
	// serve by then will not be able to soon, so requests are refused at once.
	startupPhase = 2 * time.Second
)

// awaitStartup waits for a short time until this process can serve requests, if it has just
// started, and returns how long it has waited. timeLeft is how long the caller waits; 0 if it is
// unknown.
func (l *Loop) awaitStartup(ctx context.Context, timeLeft time.Duration) time.Duration {
	began := time.Now()
	wait := min(startupWait, startupPhase-began.Sub(l.started))
	if timeLeft > 0 {
		wait = min(wait, timeLeft/2)
	}
	select {
	case <-l.startup:
		return 0
	default:
	}
	if wait <= 0 {
		return 0
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-l.startup:
	case <-timer.C:
	case <-ctx.Done():
	}
	return time.Since(began)
}
