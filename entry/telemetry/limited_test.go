package telemetry

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/time/rate"
)

// Guards against a log that grows with the load, and against lines that are
// left out without being counted.
func TestLinesOfOneEventAreBoundedAndCounted(t *testing.T) {
	var out bytes.Buffer
	logger := NewLogger(&out, "info")
	limited := NewRateLimitedLogger(logger)
	const lines = 3 * lineBurst
	start := time.Now()
	for i := range lines {
		limited.Info("busy", "i", i)
	}
	limited.Info("rare")
	refilled := int(time.Since(start).Seconds()*linesPerSecond) + 1
	for _, e := range limited.events {
		e.rate.SetLimit(rate.Inf) // lifts the limit, so that the next line is written
	}
	limited.Info("busy", "i", lines)
	logger.Close()
	text := out.String()
	written := strings.Count(text, "event=busy")
	if written < lineBurst || written > lineBurst+refilled+1 {
		t.Errorf("wrong number of lines written: %d", written)
	}
	// The limiter refills during the loop, so that suppressed lines may be counted
	// in several written ones.
	suppressed := 0
	for _, m := range regexp.MustCompile(`suppressed=(\d+)`).FindAllStringSubmatch(text, -1) {
		n, err := strconv.Atoi(m[1])
		if err != nil {
			t.Fatal(err)
		}
		suppressed += n
	}
	if written+suppressed != lines+1 {
		t.Errorf("%d lines written and %d counted as suppressed, of %d", written, suppressed, lines+1)
	}
	if !strings.Contains(text, "event=rare") {
		t.Error("a busy event suppresses the lines of another event")
	}
}
