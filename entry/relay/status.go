package relay

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/baobabsail/baobabsail/core/balance"
	"github.com/baobabsail/baobabsail/core/forward"
)

const (
	// retryAfterHeader is the field in which a replica states how long it wants no requests.
	retryAfterHeader = "Retry-After"
	// maxBackoff bounds the time that a replica may ask for in a Retry-After field.
	maxBackoff = 24 * time.Hour
	// maxLoadValue is the largest value that is accepted in a report of the load.
	maxLoadValue = 1e6
	// usualDurationPercent is the duration of requests at a replica that reports none, in percent
	// of the usual one.
	usualDurationPercent = 100
	// maxCold bounds the time for which a replica may say that it is cold.
	maxCold = 24 * time.Hour
)

// replicaStatus returns what a replica states about itself in a response. A value that cannot
// be parsed is reported in Invalid and otherwise ignored.
func replicaStatus(names Headers, response *http.Response) forward.ReplicaStatus {
	var s forward.ReplicaStatus
	var invalid []string
	h := response.Header
	if text := h.Get(names.RateLimit); text != "" {
		rate, ok := parseNonNegative(text)
		s.HasRateLimit, s.RateLimit = ok, rate
		if !ok {
			invalid = append(invalid, names.RateLimit)
		}
	}
	if text := h.Get(names.Cold); text != "" {
		ms, ok := parseNonNegative(text)
		s.HasCold, s.ColdFor = ok, secondsUpTo(ms/1000, maxCold)
		if !ok {
			invalid = append(invalid, names.Cold)
		}
	}
	s.Leaving = h.Get(names.Leaving) == "1"
	if text := h.Get(retryAfterHeader); text != "" && response.StatusCode == http.StatusServiceUnavailable {
		seconds, ok := parseNonNegative(text)
		if ok {
			s.Backoff = secondsUpTo(seconds, maxBackoff)
		} else {
			invalid = append(invalid, retryAfterHeader)
		}
	}
	if values := h.Values(names.Load); names.Load != "" && len(values) > 0 {
		s.Load, s.HasLoad = parseLoad(values)
		if !s.HasLoad {
			s.InvalidLoad = names.Load
		}
	}
	s.Invalid = strings.Join(invalid, ",")
	return s
}

// parseLoad parses a report of a replica's load: the requests that it runs, those that wait, its
// slots, and the present duration of a request in percent of the usual one, which older replicas
// omit. It reports false unless the field is there once and
// all figures are plausible.
func parseLoad(values []string) (balance.Report, bool) {
	if len(values) != 1 {
		return balance.Report{}, false
	}
	figures := [4]float64{3: usualDurationPercent}
	fields := strings.Split(values[0], ",")
	if len(fields) != len(figures) && len(fields) != len(figures)-1 {
		return balance.Report{}, false
	}
	for i, field := range fields {
		v, ok := parseNonNegative(field)
		if !ok || v > maxLoadValue {
			return balance.Report{}, false
		}
		figures[i] = v
	}
	report := balance.Report{Running: figures[0], Waiting: figures[1], Slots: figures[2], DurationPercent: figures[3]}
	if report.Slots < 1 || report.DurationPercent == 0 {
		return balance.Report{}, false
	}
	return report, true
}

// parseNonNegative parses a finite decimal number that is not negative.
func parseNonNegative(text string) (float64, bool) {
	v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return 0, false
	}
	return v, true
}

// secondsUpTo converts seconds to a duration of at most limit.
func secondsUpTo(seconds float64, limit time.Duration) time.Duration {
	if seconds >= limit.Seconds() {
		return limit
	}
	return time.Duration(seconds * float64(time.Second))
}
