package telemetry

import (
	"io"
	"math"
	"net/http"
	"time"

	"github.com/baobabsail/baobabsail/core/count"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	// metricPrefix starts the name of every metric.
	metricPrefix = "baobabsail"
	// reportInterval is how often tally passes values to Prometheus, and so the
	// maximum age of the values in a scrape.
	reportInterval = time.Second
)

// latencyBuckets range from 1 ms to 16 s, with two buckets per doubling.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, math.Pow(2, 0.5), 29)

// Metrics exports counters and gauges in the Prometheus text format.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	registry *prom.Registry
	// exported holds the totals at the last Export.
	exported map[count.Key]uint64
}

// NewMetrics returns an empty set of metrics. node is the label of every metric.
func NewMetrics(node string) *Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         metricPrefix,
		Tags:           map[string]string{"node": node},
		CachedReporter: reporter,
		// The reporter panics on "." in names, tally's default separator, and on
		// the names of tally's own cardinality metrics.
		Separator:              "_",
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, registry: registry, exported: make(map[count.Key]uint64)}
}

// Export adds the growth of the counters since the last call to the metrics. It
// must not be called concurrently.
func (m *Metrics) Export(totals map[count.Key]uint64) {
	for key, value := range totals {
		if delta := value - m.exported[key]; delta > 0 {
			m.scope.Tagged(map[string]string{
				"kind": string(key.Kind), "reason": string(key.Detail),
			}).Counter("events_total").Inc(int64(delta))
		}
		m.exported[key] = value
	}
}

// Gauge sets a gauge.
func (m *Metrics) Gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// Latency records how long a request to a route took until its final answer.
func (m *Metrics) Latency(route, outcome string, took time.Duration) {
	tags := map[string]string{"route": route, "outcome": outcome}
	m.scope.Tagged(tags).Histogram("request_seconds", latencyBuckets).RecordDuration(took)
}

// Handler returns the HTTP handler for scrapes.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close reports the remaining values and stops reporting.
func (m *Metrics) Close() { _ = m.closer.Close() }

// Sum adds up the counters of several sources by key.
func Sum(sources ...[]count.Total) map[count.Key]uint64 {
	out := make(map[count.Key]uint64)
	for _, totals := range sources {
		for _, t := range totals {
			out[t.Key] += t.Value
		}
	}
	return out
}
