package telemetry

import (
	"bytes"
	"strconv"
	"strings"
	"testing"
)

// Guards against a log that grows with the load, and against lines that are
// left out without being counted.
func TestLinesOfOneEventAreBoundedAndCounted(t *testing.T) {
	var out bytes.Buffer
	logger := NewLogger(&out, "info")
	limited := NewLimited(logger)
	const lines = 3 * linesBurst
	for i := range lines {
		limited.Info("busy", "i", i)
	}
	limited.Info("rare")
	for _, e := range limited.events {
		e.rate.SetBurst(lines) // as after some time
		e.rate.SetLimit(1e9)
	}
	limited.Info("busy", "i", lines)
	logger.Close()
	text := out.String()
	written := strings.Count(text, "event=busy")
	if written < linesBurst || written > linesBurst+linesPerSecond {
		t.Errorf("%d lines written", written)
	}
	if want := "suppressed=" + strconv.Itoa(lines+1-written); !strings.Contains(text, want) {
		t.Errorf("no %s in the last lines", want)
	}
	if !strings.Contains(text, "event=rare") {
		t.Error("a busy event keeps another one from being logged")
	}
}
