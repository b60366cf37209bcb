package telemetry

import (
	"sync"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and linesBurst bound the lines of each event. A node that
	// serves more requests than that logs a sample of them.
	linesPerSecond = 100
	linesBurst     = 300
)

// Limited writes the lines of each event up to a rate. The lines that were left
// out are counted in the field suppressed of the next line of that event.
type Limited struct {
	logger *Logger
	mu     sync.Mutex
	events map[string]*limiter
}

type limiter struct {
	rate       *rate.Limiter
	suppressed int
}

// NewLimited returns a Limited that writes to logger.
func NewLimited(logger *Logger) *Limited {
	return &Limited{logger: logger, events: make(map[string]*limiter)}
}

// Info writes a line at level info.
func (l *Limited) Info(event string, pairs ...any) {
	if pairs, ok := l.admit(event, pairs); ok {
		l.logger.Info(event, pairs...)
	}
}

// Warn writes a line at level warn.
func (l *Limited) Warn(event string, pairs ...any) {
	if pairs, ok := l.admit(event, pairs); ok {
		l.logger.Warn(event, pairs...)
	}
}

// admit reports whether a line may be written, and adds the number of those
// that were left out before it.
func (l *Limited) admit(event string, pairs []any) ([]any, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.events[event]
	if e == nil {
		e = &limiter{rate: rate.NewLimiter(linesPerSecond, linesBurst)}
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
