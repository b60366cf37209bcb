package relay

import (
	"context"

	"github.com/baobabsail/baobabsail/core/forward"
)

// explainEvent asks for an explanation between two events of the engine. It is handled by the loop
// and not passed to the engine.
type explainEvent struct {
	forward.Event
	query  forward.ExplainQuery
	result chan<- explained
}

// explained is the result of an explainEvent.
type explained struct {
	explanation *forward.Explanation
	err         error
}

// Explain returns where a request would go now, and why. It changes no state of the engine, which
// processes no events meanwhile.
func (l *Loop) Explain(ctx context.Context, q forward.ExplainQuery) (*forward.Explanation, error) {
	result := make(chan explained, 1)
	l.Post(explainEvent{query: q, result: result})
	select {
	case r := <-result:
		return r.explanation, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// explain handles an explainEvent.
func (l *Loop) explain(ev explainEvent) {
	explanation, err := l.engine.Explain(l.now(), ev.query)
	ev.result <- explained{explanation, err}
}
