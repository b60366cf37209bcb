package once

import (
	"fmt"
	"testing"

	"github.com/baobabsail/baobabsail/core/api"
)

type sight int

const (
	sent     sight = iota + 1 // a target received the request
	refused                   // the target refused it before running
	ran                       // the target ran it, or it is not known
	answered                  // the caller received an answer
)

// seen is one thing that a target or a caller saw.
type seen struct {
	what    sight
	request uint64
	order   string // caller, service and key
	result  string
	answer  api.WorkAnswer
	onTime  bool
}

// judgeTrace checks what targets and callers saw, without knowledge of claims.
func judgeTrace(trace []seen) error {
	open := make(map[string]bool) // order was sent and not refused
	sentRequests := make(map[uint64]bool)
	notRunRequests := make(map[uint64]bool)
	results := make(map[string]string)
	for _, s := range trace {
		switch s.what {
		case sent:
			if open[s.order] {
				return fmt.Errorf("order %s sent twice", s.order)
			}
			if sentRequests[s.request] || notRunRequests[s.request] {
				return fmt.Errorf("request %d sent again or after its end", s.request)
			}
			if !s.onTime {
				return fmt.Errorf("request %d sent after its deadline", s.request)
			}
			open[s.order], sentRequests[s.request] = true, true
		case refused:
			open[s.order] = false
		case ran:
			results[s.order] = s.result
		case answered:
			if s.answer.Outcome == api.NotRun && sentRequests[s.request] {
				return fmt.Errorf("request %d not run though it was sent", s.request)
			}
			notRunRequests[s.request] = s.answer.Outcome == api.NotRun
			if s.answer.Replayed && (!open[s.order] || string(s.answer.Result) != results[s.order]) {
				return fmt.Errorf("request %d got a result that no target gave", s.request)
			}
		}
	}
	return nil
}

// Guards against an oracle that accepts everything: each check must fail on a
// trace made to break it.
func TestOracleFails(t *testing.T) {
	notRunAnswer := api.WorkAnswer{Outcome: api.NotRun}
	bad := map[string][]seen{
		"twice":          {{what: sent, request: 1, order: "a", onTime: true}, {what: sent, request: 2, order: "a", onTime: true}},
		"twice, run":     {{what: sent, request: 1, order: "a", onTime: true}, {what: ran, request: 1, order: "a"}, {what: sent, request: 2, order: "a", onTime: true}},
		"not run, sent":  {{what: answered, request: 1, order: "a", answer: notRunAnswer}, {what: sent, request: 1, order: "a", onTime: true}},
		"sent, not run":  {{what: sent, request: 1, order: "a", onTime: true}, {what: answered, request: 1, order: "a", answer: notRunAnswer}},
		"late":           {{what: sent, request: 1, order: "a"}},
		"invented":       {{what: answered, request: 1, order: "a", answer: api.WorkAnswer{Outcome: api.Answered, Replayed: true}}},
		"another result": {{what: sent, request: 1, order: "a", onTime: true}, {what: ran, request: 1, order: "a", result: "x"}, {what: answered, request: 2, order: "a", answer: api.WorkAnswer{Outcome: api.Answered, Replayed: true, Result: []byte("y")}}},
	}
	for name, trace := range bad {
		if judgeTrace(trace) == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	good := []seen{
		{what: sent, request: 1, order: "a", onTime: true}, {what: refused, request: 1, order: "a"},
		{what: sent, request: 2, order: "a", onTime: true},
	}
	if err := judgeTrace(good); err != nil {
		t.Error(err)
	}
}
