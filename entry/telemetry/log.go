// Package telemetry holds the logger, the counters of the packages around the
// node, and the export of all counters to Prometheus and to the log.
package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// maxQueuedLines bounds the lines queued for a slow log reader. Further lines are
// dropped and counted: the node's goroutine writes log lines and must never block
// on a full pipe.
const maxQueuedLines = 4096

// Logger writes one line of key=value pairs per event.
type Logger struct {
	logger  log.Logger
	lines   chan []byte
	dropped atomic.Uint64
	closing chan struct{}
	writer  sync.WaitGroup
}

// NewLogger returns a logger that writes the lines of the given level (debug,
// info, warn or error) and above to w.
func NewLogger(w io.Writer, lowest string) *Logger {
	l := &Logger{lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{})}
	lines := log.With(log.NewLogfmtLogger(queueWriter{l}), "ts", log.DefaultTimestampUTC)
	l.logger = level.NewFilter(lines, level.Allow(level.ParseDefault(lowest, level.InfoValue())))
	l.writer.Go(func() { l.writeQueued(w) })
	return l
}

// queueWriter queues one line per Write.
type queueWriter struct{ l *Logger }

func (q queueWriter) Write(line []byte) (int, error) {
	select {
	case q.l.lines <- append([]byte(nil), line...):
	default:
		q.l.dropped.Add(1)
	}
	return len(line), nil
}

// writeQueued copies the queued lines to w until Close.
func (l *Logger) writeQueued(w io.Writer) {
	for {
		select {
		case line := <-l.lines:
			l.writeLine(w, line)
		case <-l.closing:
			for len(l.lines) > 0 {
				l.writeLine(w, <-l.lines)
			}
			return
		}
	}
}

func (l *Logger) writeLine(w io.Writer, line []byte) {
	if n := l.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, "level=warn event=log_lines_dropped count=%d\n", n)
	}
	// A failure to write the log cannot be reported anywhere.
	_, _ = w.Write(line)
}

// Close writes the queued lines and stops the logger.
func (l *Logger) Close() {
	close(l.closing)
	l.writer.Wait()
}

// Event writes an event of the node at level info.
func (l *Logger) Event(name string, fields []api.Field) {
	pairs := make([]any, 0, 2*len(fields))
	for _, f := range fields {
		pairs = append(pairs, f.Name, f.Value)
	}
	l.Info(name, pairs...)
}

// Info writes a line at level info; pairs are alternating keys and values.
func (l *Logger) Info(event string, pairs ...any) { logLine(level.Info(l.logger), event, pairs) }

// Warn writes a line at level warn.
func (l *Logger) Warn(event string, pairs ...any) { logLine(level.Warn(l.logger), event, pairs) }

// Error writes a line at level error.
func (l *Logger) Error(event string, pairs ...any) { logLine(level.Error(l.logger), event, pairs) }

func logLine(logger log.Logger, event string, pairs []any) {
	// Queueing a line cannot fail, and the encoder prints an error in place of
	// a value that it cannot encode.
	_ = logger.Log(append([]any{"event", event}, pairs...)...)
}
