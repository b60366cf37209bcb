package operatorhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/entry/driver"
	"github.com/baobabsail/baobabsail/lang"
)

// Outcome is the result status of a script or of one of its statements.
type Outcome string

// Outcomes. The outcome of a script is the outcome of its first statement that is
// not OK, or OK.
const (
	// OK means that the statement was executed.
	OK Outcome = "ok"
	// Invalid means that the request, its text, the statement or the change is not
	// valid; it was not executed.
	Invalid Outcome = "invalid"
	// Conflict means that another change was applied first; this change was not
	// applied.
	Conflict Outcome = "conflict"
	// Refused means that the node did not execute the statement.
	Refused Outcome = "refused"
	// Failed means that a search ran and failed, or that the configuration could
	// not be encoded.
	Failed Outcome = "failed"
	// Unknown means that it is not known whether a change took effect, or how a
	// search ended.
	Unknown Outcome = "unknown"
)

// Answer is the response body of POST /v1/statements.
type Answer struct {
	Outcome Outcome    `json:"outcome"`
	Reason  api.Reason `json:"reason,omitempty"`
	Message string     `json:"message,omitempty"`
	// Line and Column are the position of a syntax error in the text.
	Line    int      `json:"line,omitempty"`
	Column  int      `json:"column,omitempty"`
	Results []Result `json:"results"`
}

// Result is the result of one statement. A script of changes has a single
// result.
type Result struct {
	Statement string     `json:"statement"`
	Outcome   Outcome    `json:"outcome"`
	Reason    api.Reason `json:"reason,omitempty"`
	Message   string     `json:"message,omitempty"`
	// Columns and Rows form a table: the rows of a search or of a report.
	Columns []string   `json:"columns,omitempty"`
	Rows    [][]string `json:"rows,omitempty"`
	// Coverage is set for an answered search.
	Coverage *Coverage `json:"coverage,omitempty"`
	// LimitReached is true if more rows match than Rows contains.
	LimitReached bool `json:"limit_reached,omitempty"`
	// Change is set for a script of changes.
	Change *Change `json:"change,omitempty"`
	// Document is the encoded configuration; set for "show configuration".
	Document         json.RawMessage `json:"document,omitempty"`
	RetryAfterMillis int64           `json:"retry_after_ms,omitempty"`
}

// Coverage states which part of the data a search covers and at which version.
type Coverage struct {
	Epoch         uint64         `json:"epoch"`
	Version       uint64         `json:"version"`
	SharePercent  float64        `json:"share_percent"`
	CoveredShards int            `json:"covered_shards"`
	Missing       []MissingShard `json:"missing"`
}

// MissingShard is a shard that a search does not cover, with the reason.
type MissingShard struct {
	Shard  api.ShardName `json:"shard"`
	Reason api.Reason    `json:"reason"`
}

// Change identifies a change and, in a conflict, the change that was applied
// first.
type Change struct {
	ID       config.ChangeID `json:"id,omitempty"`
	Revision uint64          `json:"revision"`
	Winner   *Winner         `json:"winner,omitempty"`
}

// Winner is the change that was applied first in a conflict.
type Winner struct {
	ID       config.ChangeID `json:"id"`
	Revision uint64          `json:"revision"`
	Who      string          `json:"who"`
	Why      string          `json:"why"`
	When     time.Time       `json:"when"`
	Text     string          `json:"text"`
}

// invalidAnswer returns an answer without results for an invalid request.
func invalidAnswer(message string) Answer {
	return Answer{Outcome: Invalid, Message: message, Results: []Result{}}
}

// refusedAnswer returns an answer without results for a refused request.
func refusedAnswer(reason api.Reason) Answer {
	return Answer{Outcome: Refused, Reason: reason, Results: []Result{}}
}

// runScript parses a script and runs its statements in order. A script of changes
// is proposed as a single change.
func (s *server) runScript(ctx context.Context, request Request) Answer {
	script, err := lang.Parse(request.Text)
	if err != nil {
		answer := invalidAnswer(err.Error())
		if syntaxError, ok := lang.DiagnosticOf(err); ok {
			answer.Line, answer.Column = syntaxError.Line, syntaxError.Column
		}
		return answer
	}
	if ops := script.Ops(); len(ops) > 0 {
		return s.proposeChange(ctx, request, script, ops)
	}
	answer := Answer{Outcome: OK, Results: []Result{}}
	for _, statement := range script.Statements {
		result := s.runStatement(ctx, request, statement)
		result.Statement = lang.FormatStatement(statement)
		answer.add(result)
	}
	return answer
}

// add appends a result and updates the outcome of the script.
func (a *Answer) add(r Result) {
	a.Results = append(a.Results, r)
	if a.Outcome == OK && r.Outcome != OK {
		a.Outcome, a.Reason, a.Message = r.Outcome, r.Reason, r.Message
	}
}

// runStatement runs one statement that is not a change.
func (s *server) runStatement(ctx context.Context, request Request, statement lang.Statement) Result {
	switch statement := statement.(type) {
	case lang.Search:
		return s.runSearch(ctx, request, statement)
	case lang.Explain:
		return s.runExplain(ctx, statement)
	case lang.Show:
		return s.runShow(ctx, statement)
	}
	return Result{Outcome: Invalid, Message: fmt.Sprintf("statement %T is not supported", statement)}
}

// proposeChange proposes all operations of a script as one configuration change.
// The reason and the expected revision in the script override those of the
// request.
func (s *server) proposeChange(ctx context.Context, request Request, script *lang.Script, ops []config.Op) Answer {
	why := script.Why
	if why == "" {
		why = request.Why
	}
	switch {
	case strings.TrimSpace(request.Who) == "":
		return invalidAnswer("a change needs the name of the operator: who is missing")
	case strings.TrimSpace(why) == "":
		return invalidAnswer(`a change needs a reason: give why, or start the list with because "..."`)
	}
	expected := script.Expected
	if expected == nil {
		expected = request.ExpectedRevision
	}
	got := s.Node.Change(ctx, event.ChangeArrived{
		Ops: ops, Text: request.Text, Who: request.Who, Why: why, Expected: expected,
	})
	result := Result{
		Statement:        request.Text,
		Outcome:          changeOutcome(got.Outcome),
		Reason:           got.Reason,
		Message:          got.Message,
		Change:           &Change{ID: got.ID, Revision: got.Revision},
		RetryAfterMillis: got.RetryAfter.Milliseconds(),
	}
	if w := got.Winner; w != nil {
		result.Change.Winner = &Winner{ID: w.ID, Revision: w.Revision, Who: w.Who, Why: w.Why, When: w.When, Text: w.Text}
	}
	answer := Answer{Outcome: OK}
	answer.add(result)
	return answer
}

// changeOutcome converts the outcome of a change.
func changeOutcome(o event.ChangeOutcome) Outcome {
	switch o {
	case event.ChangeAccepted:
		return OK
	case event.ChangeInvalid:
		return Invalid
	case event.ChangeConflict:
		return Conflict
	case event.ChangeRefused:
		return Refused
	}
	return Unknown
}

// runSearch runs a search. Its caller is "operator:" and the operator's name.
func (s *server) runSearch(ctx context.Context, request Request, statement lang.Search) Result {
	var deadline time.Time
	if statement.Deadline > 0 {
		deadline = time.Now().Add(statement.Deadline)
	}
	caller := api.CallerID("operator:" + request.Who)
	answer := s.Node.Search(ctx, caller, statement.Search, deadline)
	result := Result{
		Outcome:          searchOutcome(answer.Outcome),
		Reason:           answer.Reason,
		LimitReached:     answer.LimitReached,
		RetryAfterMillis: answer.RetryAfter.Milliseconds(),
	}
	if answer.Outcome != api.Answered {
		return result
	}
	result.Columns, result.Rows = rowTable(answer.Rows)
	c := answer.Coverage
	result.Coverage = &Coverage{
		Epoch: c.Snapshot.Epoch, Version: c.Snapshot.Version,
		SharePercent: c.Share.Percent(), CoveredShards: len(c.Covered), Missing: []MissingShard{},
	}
	for _, m := range c.Missing {
		result.Coverage.Missing = append(result.Coverage.Missing, MissingShard(m))
	}
	return result
}

// searchOutcome converts the outcome of a search.
func searchOutcome(o api.Outcome) Outcome {
	switch o {
	case api.Answered:
		return OK
	case api.NotRun:
		return Refused
	case api.Failed:
		return Failed
	}
	return Unknown
}

// rowTable converts rows to a table. Its columns are the key and every field that
// occurs in a row, in the order of first occurrence.
func rowTable(rows []api.Row) (columns []string, table [][]string) {
	columns = []string{"key"}
	position := make(map[string]int)
	for _, row := range rows {
		for _, f := range row.Fields {
			if _, known := position[f.Name]; !known {
				position[f.Name] = len(columns)
				columns = append(columns, f.Name)
			}
		}
	}
	for _, row := range rows {
		line := make([]string, len(columns))
		line[0] = row.Key
		for _, f := range row.Fields {
			line[position[f.Name]] = f.Value
		}
		table = append(table, line)
	}
	return columns, table
}

// runExplain reports how the node would run a search, without running it.
func (s *server) runExplain(ctx context.Context, statement lang.Explain) Result {
	result := Result{Outcome: OK, Columns: []string{"what", "value"}}
	err := s.Node.Inspect(ctx, func(n driver.Node, now time.Time) {
		plan := n.Explain(now, statement.Search.Search)
		if plan.Refused != api.ReasonNone {
			result = Result{Outcome: Refused, Reason: plan.Refused}
			return
		}
		add := func(what, value string) { result.Rows = append(result.Rows, []string{what, value}) }
		add("epoch", formatUint(plan.Snapshot.Epoch))
		add("version", formatUint(plan.Snapshot.Version))
		add("expected coverage", formatShare(plan.Expected))
		add("deadline", plan.Deadline.String())
		add("hedge delay", plan.HedgeDelay.String())
		add("budget tokens", strconv.FormatFloat(plan.BudgetTokens, 'f', 1, 64))
		add("connections", strconv.Itoa(plan.Connections))
		add("canary", strconv.FormatBool(plan.Canary))
		for _, shard := range plan.Shards {
			value := joinNames(shard.Replicas)
			if shard.Missing != api.ReasonNone {
				value = "missing: " + string(shard.Missing)
			}
			add("shard "+string(shard.Shard), value)
		}
	})
	if err != nil {
		return Result{Outcome: Refused, Reason: api.ReasonShuttingDown}
	}
	return result
}

// formatLife formats a process's life as 16 hexadecimal digits.
func formatLife(l api.Life) string { return fmt.Sprintf("%016x", uint64(l)) }
func formatUint(v uint64) string   { return strconv.FormatUint(v, 10) }
func formatShare(share api.PPM) string {
	return strconv.FormatFloat(share.Percent(), 'f', -1, 64) + "%"
}

// joinNames joins names with commas.
func joinNames[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, n := range names {
		texts[i] = string(n)
	}
	return strings.Join(texts, ", ")
}
