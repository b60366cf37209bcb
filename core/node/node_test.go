package node

import (
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/event"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// find returns the first action of type T.
func find[T event.Action](actions []event.Action) (T, bool) {
	for _, a := range actions {
		if t, ok := a.(T); ok {
			return t, true
		}
	}
	var zero T
	return zero, false
}

// Guards against a node that reports ready to the balancer without a
// configuration.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	n := New(Settings{Name: "e1", Life: 1, Seed: 1})
	if got := n.NotReady(start); got != api.ReasonNoConfiguration {
		t.Fatalf("NotReady() = %q", got)
	}
	n.Step(start, event.ShutdownStarted{})
	if got := n.NotReady(start); got != api.ReasonShuttingDown {
		t.Fatalf("NotReady() = %q", got)
	}
}

// Guards against requests that hang at a node without a configuration instead of
// being refused.
func TestRequestsBeforeConfigurationAreRefusedImmediately(t *testing.T) {
	n := New(Settings{Name: "e1", Life: 1, Seed: 1})
	search, ok := find[event.AnswerSearch](n.Step(start, event.SearchArrived{Request: 1}))
	if !ok || search.Answer.Outcome != api.NotRun || search.Answer.Reason != api.ReasonNoConfiguration || search.Answer.RetryAfter == 0 {
		t.Fatalf("answer to the search: %+v", search)
	}
	work, ok := find[event.AnswerWork](n.Step(start, event.WorkArrived{Request: 2}))
	if !ok || work.Answer.Outcome != api.NotRun || work.Answer.Reason != api.ReasonNoConfiguration {
		t.Fatalf("answer to the work order: %+v", work)
	}
}
