package changes

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/baobabsail/baobabsail/wire/nodepb"
)

// latencyCheckInterval is the time between two checks of a connection, as a multiple of the
// timeout of a check.
const latencyCheckInterval = 2

// latencyCheck measures how long messages of a source take. A source states the age of its copy when
// it sends a message: on a connection that has become slow, messages may still come at the usual
// interval, each of them later than the one before.
type latencyCheck struct {
	client  nodepb.NodeClient
	timeout time.Duration
	// latency is the duration of the last check, in nanoseconds.
	latency atomic.Int64
}

// run calls the source from time to time, on the same connection, until ctx is done. It calls slow
// and ends if the source takes longer than the timeout to respond.
func (l *latencyCheck) run(ctx context.Context, slow func()) {
	ticker := time.NewTicker(latencyCheckInterval * l.timeout)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !l.check(ctx) {
			slow()
			return
		}
	}
}

// check calls the source once, with a message without notices, which every version knows. It reports
// whether the source responded in time; an error is a response too.
func (l *latencyCheck) check(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	start := time.Now()
	_, err := l.client.Notify(ctx, &nodepb.Notices{})
	if status.Code(err) == codes.DeadlineExceeded {
		return false
	}
	l.latency.Store(int64(time.Since(start)))
	return true
}

// last returns the duration of the last check; 0 before the first one.
func (l *latencyCheck) last() time.Duration { return time.Duration(l.latency.Load()) }
