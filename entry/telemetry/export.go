package telemetry

import (
	"context"
	"sort"
	"time"

	"github.com/baobabsail/baobabsail/core/count"
)

// exportInterval is how often counters are read from the node: each read
// occupies the node's goroutine for some microseconds.
const exportInterval = time.Second

// Sample holds the counters and gauges read from the node at one time.
type Sample struct {
	Totals map[count.Key]uint64
	Gauges map[string]float64
}

// Exporter copies counters and gauges to the metrics and, less often, to the log.
type Exporter struct {
	// Read takes a sample; it returns false if the node has stopped.
	Read    func(context.Context) (Sample, bool)
	Metrics *Metrics
	Log     *Logger
	// LogInterval is how often the counters that changed are logged.
	LogInterval time.Duration
}

// Run exports until ctx ends.
func (e *Exporter) Run(ctx context.Context) {
	ticker := time.NewTicker(exportInterval)
	defer ticker.Stop()
	logged := make(map[count.Key]uint64)
	nextLog := time.Now().Add(e.LogInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			sample, ok := e.Read(ctx)
			if !ok {
				continue
			}
			e.export(sample)
			if !now.Before(nextLog) {
				e.logChanges(sample.Totals, logged)
				nextLog = now.Add(e.LogInterval)
			}
		}
	}
}

func (e *Exporter) export(s Sample) {
	e.Metrics.Export(s.Totals)
	for name, value := range s.Gauges {
		e.Metrics.Gauge(name, value)
	}
}

// logChanges writes one line per counter that has grown since the last call.
func (e *Exporter) logChanges(totals, logged map[count.Key]uint64) {
	keys := make([]count.Key, 0, len(totals))
	for key, value := range totals {
		if value != logged[key] {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Kind != keys[j].Kind {
			return keys[i].Kind < keys[j].Kind
		}
		return keys[i].Detail < keys[j].Detail
	})
	for _, key := range keys {
		e.Log.Info("counter", "kind", key.Kind, "reason", key.Detail,
			"total", totals[key], "grown", totals[key]-logged[key])
		logged[key] = totals[key]
	}
}
