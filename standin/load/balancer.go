package load

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// balancer picks endpoints round-robin and skips those that were not ready at
// their last health check.
type balancer struct {
	endpoints []string
	notReady  []atomic.Bool
}

func newBalancer(endpoints []string) balancer {
	return balancer{endpoints: endpoints, notReady: make([]atomic.Bool, len(endpoints))}
}

// pick returns the first ready endpoint at or after the position, wrapping
// around. If none is ready, it returns the endpoint at the position.
func (b *balancer) pick(position int) string {
	n := len(b.endpoints)
	for i := range n {
		index := (position + i) % n
		if !b.notReady[index].Load() {
			return b.endpoints[index]
		}
	}
	return b.endpoints[position%n]
}

// watchReadiness starts to poll the readiness of each endpoint at the interval,
// until the context ends. An interval of 0 disables it.
func (b *balancer) watchReadiness(ctx context.Context, client *http.Client, interval time.Duration) {
	if interval <= 0 {
		return
	}
	for i := range b.endpoints {
		go func() {
			for ctx.Err() == nil {
				b.notReady[i].Store(!checkReady(ctx, client, b.endpoints[i], interval))
				select {
				case <-time.After(interval):
				case <-ctx.Done():
				}
			}
		}()
	}
}

// checkReady reports whether the endpoint's /readyz answers 200 within the limit.
func checkReady(ctx context.Context, client *http.Client, endpoint string, limit time.Duration) bool {
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
