package telemetry

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// Counters of the node and of the packages around it must be summed, and a second
// export of the same totals must not count them again.
func TestCountersAreExportedWithKindAndReason(t *testing.T) {
	outer, core := NewCounts(), count.NewSet()
	outer.Inc(count.Refused, api.ReasonOverloaded)
	core.Add(count.Refused, api.ReasonOverloaded, 4)
	core.Inc(count.WorkEnded, "")
	m := NewMetrics("entry-1")
	for range 2 {
		m.Export(Sum(outer.Totals(), core.Totals()))
	}
	m.Gauge("in_flight", 3)
	m.Close()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`baobabsail_events_total{kind="refused",node="entry_1",reason="overloaded"} 5`,
		`baobabsail_events_total{kind="work_ended",node="entry_1",reason=""} 1`,
		`baobabsail_in_flight{node="entry_1"} 3`,
	} {
		if !strings.Contains(w.Body.String(), want+"\n") {
			t.Errorf("no line %s in\n%s", want, w.Body)
		}
	}
}

// Guards against lines below the configured level, and against values with line
// breaks that split one log line into several.
func TestLogLevelsAndFormat(t *testing.T) {
	var out bytes.Buffer
	l := NewLogger(&out, "warn")
	l.Info("hidden")
	l.Warn("vm_list_failed", "error", "no route", "line", "a\nb")
	l.Close()
	got := out.String()
	if strings.Count(got, "\n") != 1 || !strings.Contains(got, `level=warn event=vm_list_failed error="no route" line="a\nb"`) {
		t.Errorf("got %q", got)
	}
}

// blockingWriter blocks until release is closed, like a full pipe.
type blockingWriter struct{ release chan struct{} }

func (s blockingWriter) Write(p []byte) (int, error) { <-s.release; return len(p), nil }

// Guards against a slow log reader that blocks the node's goroutine: lines beyond
// the queue must be dropped and counted.
func TestSlowLogReaderDoesNotBlock(t *testing.T) {
	w := blockingWriter{make(chan struct{})}
	l := NewLogger(w, "info")
	for range maxQueuedLines + 10 {
		l.Event("e", []api.Field{{Name: "k", Value: "v"}})
	}
	if l.dropped.Load() == 0 {
		t.Error("no dropped lines are counted")
	}
	close(w.release)
	l.Close()
}
