// Package periodic calls functions at intervals.
package periodic

import (
	"context"
	"time"
)

// Run calls f at each interval until ctx is done.
func Run(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}
