package once

import (
	"fmt"
	"testing"

	"github.com/baobabsail/baobabsail/core/api"
)

// traceKind is the kind of a traceEvent.
type traceKind int

const (
	sent     traceKind = iota + 1 // a target received the request
	refused                       // the target refused it before running
	ran                           // the target ran it, or whether it did is unknown
	answered                      // the caller received an answer
)

// traceEvent is one event that a target or a caller observed.
type traceEvent struct {
	kind    traceKind
	request uint64
	order   string // identifies the work order: caller, service and key
	result  string
	answer  api.WorkAnswer
	onTime  bool
}

// checkTrace checks the guarantees of the package on a trace of what targets and
// callers observed, independently of the claims in the store.
func checkTrace(trace []traceEvent) error {
	sentOrders := make(map[string]bool) // orders that were sent and not refused
	sentRequests := make(map[uint64]bool)
	notRunRequests := make(map[uint64]bool)
	results := make(map[string]string)
	for _, s := range trace {
		switch s.kind {
		case sent:
			if sentOrders[s.order] {
				return fmt.Errorf("order %s sent twice", s.order)
			}
			if sentRequests[s.request] || notRunRequests[s.request] {
				return fmt.Errorf("request %d sent again or after it was answered as not run", s.request)
			}
			if !s.onTime {
				return fmt.Errorf("request %d sent after its deadline", s.request)
			}
			sentOrders[s.order], sentRequests[s.request] = true, true
		case refused:
			sentOrders[s.order] = false
		case ran:
			results[s.order] = s.result
		case answered:
			if s.answer.Outcome == api.NotRun && sentRequests[s.request] {
				return fmt.Errorf("request %d answered as not run although it was sent", s.request)
			}
			notRunRequests[s.request] = s.answer.Outcome == api.NotRun
			if s.answer.Replayed && (!sentOrders[s.order] || string(s.answer.Result) != results[s.order]) {
				return fmt.Errorf("request %d received a replayed result that no target returned", s.request)
			}
		}
	}
	return nil
}

// Guards against a checkTrace that accepts invalid traces: each check must fail on
// a trace that violates it.
func TestOracleFails(t *testing.T) {
	notRunAnswer := api.WorkAnswer{Outcome: api.NotRun}
	bad := map[string][]traceEvent{
		"twice":          {{kind: sent, request: 1, order: "a", onTime: true}, {kind: sent, request: 2, order: "a", onTime: true}},
		"twice, run":     {{kind: sent, request: 1, order: "a", onTime: true}, {kind: ran, request: 1, order: "a"}, {kind: sent, request: 2, order: "a", onTime: true}},
		"not run, sent":  {{kind: answered, request: 1, order: "a", answer: notRunAnswer}, {kind: sent, request: 1, order: "a", onTime: true}},
		"sent, not run":  {{kind: sent, request: 1, order: "a", onTime: true}, {kind: answered, request: 1, order: "a", answer: notRunAnswer}},
		"late":           {{kind: sent, request: 1, order: "a"}},
		"invented":       {{kind: answered, request: 1, order: "a", answer: api.WorkAnswer{Outcome: api.Answered, Replayed: true}}},
		"another result": {{kind: sent, request: 1, order: "a", onTime: true}, {kind: ran, request: 1, order: "a", result: "x"}, {kind: answered, request: 2, order: "a", answer: api.WorkAnswer{Outcome: api.Answered, Replayed: true, Result: []byte("y")}}},
	}
	for name, trace := range bad {
		if checkTrace(trace) == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	good := []traceEvent{
		{kind: sent, request: 1, order: "a", onTime: true}, {kind: refused, request: 1, order: "a"},
		{kind: sent, request: 2, order: "a", onTime: true},
	}
	if err := checkTrace(good); err != nil {
		t.Error(err)
	}
}
