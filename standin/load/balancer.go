package load

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// balancer chooses endpoints in turn and passes over those that were not ready
// at their last health check.
type balancer struct {
	endpoints []string
	down      []atomic.Bool
}

func newBalancer(endpoints []string) balancer {
	return balancer{endpoints: endpoints, down: make([]atomic.Bool, len(endpoints))}
}

// choose returns the first ready endpoint from the given position on, or that
// at the position if none is ready.
func (b *balancer) choose(position int) string {
	n := len(b.endpoints)
	for i := range n {
		at := (position + i) % n
		if !b.down[at].Load() {
			return b.endpoints[at]
		}
	}
	return b.endpoints[position%n]
}

// watch reads the readiness of each endpoint until the context ends.
func (b *balancer) watch(ctx context.Context, client *http.Client, interval time.Duration) {
	if interval <= 0 {
		return
	}
	for i := range b.endpoints {
		go func() {
			for ctx.Err() == nil {
				b.down[i].Store(!ready(ctx, client, b.endpoints[i], interval))
				select {
				case <-time.After(interval):
				case <-ctx.Done():
				}
			}
		}()
	}
}

// ready reports whether an endpoint answers its readiness check in time.
func ready(ctx context.Context, client *http.Client, endpoint string, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(endpoint, "/")+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}
