package relay

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/baobabsail/baobabsail/core/forward"
)

const (
	retryAfterHeader = "Retry-After"
	// maxBackoff bounds the time that a replica may ask for in a Retry-After field.
	maxBackoff = 24 * time.Hour
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
	s.Invalid = strings.Join(invalid, ",")
	return s
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
