package telemetry

import (
	"sync"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst limit the log lines of each event. A node that
	// serves more requests than that logs only a sample of them.
	linesPerSecond = 100
	lineBurst      = 300
)

// RateLimitedLogger limits the rate of log lines per event. The field suppressed
// in the next line of an event is the number of its lines that were left out.
type RateLimitedLogger struct {
	logger *Logger
	mu     sync.Mutex
	events map[string]*eventLimiter
}

// eventLimiter holds the rate limiter of one event and the number of lines
// suppressed since its last written line.
type eventLimiter struct {
	rate       *rate.Limiter
	suppressed int
}

// NewRateLimitedLogger returns a RateLimitedLogger that writes to logger.
func NewRateLimitedLogger(logger *Logger) *RateLimitedLogger {
	return &RateLimitedLogger{logger: logger, events: make(map[string]*eventLimiter)}
}

// Info writes a line at level info.
func (l *RateLimitedLogger) Info(event string, pairs ...any) {
	if pairs, ok := l.allow(event, pairs); ok {
		l.logger.Info(event, pairs...)
	}
}

// Warn writes a line at level warn.
func (l *RateLimitedLogger) Warn(event string, pairs ...any) {
	if pairs, ok := l.allow(event, pairs); ok {
		l.logger.Warn(event, pairs...)
	}
}

// allow reports whether a line may be written. If so, it returns pairs with the
// number of lines suppressed before it appended.
func (l *RateLimitedLogger) allow(event string, pairs []any) ([]any, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.events[event]
	if e == nil {
		e = &eventLimiter{rate: rate.NewLimiter(linesPerSecond, lineBurst)}
		l.events[event] = e
	}
	if !e.rate.Allow() {
		e.suppressed++
		return nil, false
	}
	if e.suppressed > 0 {
		pairs = append(pairs, "suppressed", e.suppressed)
		e.suppressed = 0
	}
	return pairs, true
}
