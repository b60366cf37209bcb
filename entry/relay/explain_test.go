package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/baobabsail/baobabsail/core/forward"
)

// Guards against explanations that race with events, are lost while another goroutine processes
// events, or do not end when their client is gone.
func TestExplainBetweenEvents(t *testing.T) {
	c, _ := newCallerServer(t)
	if _, err := c.loop.Explain(context.Background(), forward.ExplainQuery{Host: "h", Path: "/x"}); !errorx.IsOfType(err, forward.ErrNoConfiguration) {
		t.Errorf("without a configuration: %v", err)
	}
	configure(c.loop)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var workers sync.WaitGroup
	for range 8 {
		workers.Go(func() {
			for range 100 {
				c.loop.Post(forward.Timer{})
				if _, err := c.loop.Explain(ctx, forward.ExplainQuery{Host: "nobody", Path: "/x"}); !errorx.IsOfType(err, forward.ErrUnknownRoute) {
					t.Errorf("error %v", err)
				}
			}
		})
	}
	workers.Wait()
	c.loop.mu.Lock()
	c.loop.running = true // another goroutine processes an event
	c.loop.mu.Unlock()
	gone, leave := context.WithCancel(context.Background())
	leave()
	if _, err := c.loop.Explain(gone, forward.ExplainQuery{}); err == nil {
		t.Error("an explanation for a client that is gone")
	}
}
