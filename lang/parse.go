package lang

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
)

// MaxTextBytes is the largest accepted length of a text. A change of that size would not
// fit in the store anyway.
const MaxTextBytes = 1 << 20

// Parse parses a script. All its errors are of type ErrSyntax.
func Parse(text string) (*Script, error) {
	if len(text) > MaxTextBytes {
		return nil, ErrSyntax.New("the text has %d bytes, the limit is %d", len(text), MaxTextBytes)
	}
	node, err := parser.ParseString("", text)
	if err != nil {
		return nil, convertParserError(text, err)
	}
	c := &converter{}
	script := c.script(node)
	if c.err != nil {
		return nil, c.err
	}
	return script, nil
}

// converter converts syntax nodes to statements and keeps the first error.
type converter struct{ err error }

// fail records a syntax error, unless an earlier one is recorded.
func (c *converter) fail(pos lexer.Position, found, expected string) {
	if c.err == nil {
		c.err = syntaxErrorAt(pos, found, expected)
	}
}

func (c *converter) script(n *scriptNode) *Script {
	s := &Script{}
	for _, h := range n.Heads {
		c.head(s, h)
	}
	changes := 0
	for _, st := range n.Statements {
		out := c.statement(st)
		if _, ok := out.(Change); ok {
			changes++
		}
		s.Statements = append(s.Statements, out)
		if changes != 0 && changes != len(s.Statements) {
			c.fail(st.Pos, "a statement of another kind", "a list of changes only, or of searches and reports only, because a list of changes is applied as one")
		}
	}
	if changes == 0 && len(n.Heads) > 0 {
		c.fail(n.Heads[0].Pos, "an option", "a list of changes after expect revision and because")
	}
	return s
}

// head converts an option at the start of a script: expect revision or because.
func (c *converter) head(s *Script, h *headNode) {
	if h.Expect != nil {
		if s.Expected != nil {
			c.fail(h.Pos, "expect revision", "it only once")
		}
		v := c.number(h.Expect, 0, math.MaxInt64)
		s.Expected = &v
		return
	}
	if s.Why != "" {
		c.fail(h.Pos, "because", "it only once")
	}
	s.Why = c.unquote(h.Why.Pos, h.Why.Raw)
	if strings.TrimSpace(s.Why) == "" {
		c.fail(h.Why.Pos, h.Why.Raw, "a reason that is not empty")
	}
}

func (c *converter) statement(n *statementNode) Statement {
	switch {
	case n.Search != nil:
		return c.search(n.Search)
	case n.Explain != nil:
		return Explain{Search: c.search(n.Explain)}
	case n.Show != nil:
		return c.show(n.Show)
	}
	return Change{Op: c.op(n)}
}

func (c *converter) show(n *showNode) Show {
	switch {
	case n.Services:
		return Show{Subject: ShowServices}
	case n.Service != nil:
		return Show{Subject: ShowService, Service: c.service(*n.Service)}
	case n.Replicas != nil && n.Replicas.Of != nil:
		return Show{Subject: ShowReplicas, Service: c.service(*n.Replicas.Of)}
	case n.Replicas != nil:
		return Show{Subject: ShowReplicas}
	case n.Shards != nil:
		return Show{Subject: ShowShards, Service: c.service(*n.Shards)}
	case n.History != nil && n.History.Limit != nil:
		return Show{Subject: ShowHistory, Limit: int(c.number(n.History.Limit, 1, config.MaxHistory))}
	case n.History != nil:
		return Show{Subject: ShowHistory}
	case n.Status:
		return Show{Subject: ShowStatus}
	}
	return Show{Subject: ShowConfiguration}
}

// operators maps the text of each comparison operator to its api.Operator.
var operators = map[string]api.Operator{
	"=": api.Equal, "!=": api.NotEqual, "<": api.Less, "<=": api.LessOrEqual,
	">": api.Greater, ">=": api.GreaterOrEqual, "contains": api.Contains,
}

func (c *converter) search(n *searchNode) Search {
	out := Search{}
	q := &out.Search.Query
	q.Service = c.service(n.Service)
	for _, cond := range n.Conditions {
		q.Conditions = append(q.Conditions, api.Condition{
			Field:    c.text(cond.Field),
			Operator: operators[strings.ToLower(cond.Compare)],
			Value:    c.unquote(cond.Value.Pos, cond.Value.Raw),
		})
	}
	seen := map[string]bool{}
	for _, o := range n.Options {
		c.searchOption(&out, o, seen)
	}
	return out
}

func (c *converter) searchOption(out *Search, o *searchOptionNode, seen map[string]bool) {
	q := &out.Search.Query
	switch {
	case o.Order != nil:
		c.rejectRepeated(seen, o.Pos, "order by")
		q.OrderBy = c.text(o.Order.Field)
		if q.OrderBy == "" {
			c.fail(o.Order.Field.Pos, o.Order.Field.Raw, "a field name")
		}
		q.Descending = strings.EqualFold(o.Order.Direction, "desc")
	case o.Limit != nil:
		c.rejectRepeated(seen, o.Pos, "limit")
		q.Limit = int(c.number(o.Limit, 1, config.MaxRowsLimit))
	case o.Deadline != nil:
		c.rejectRepeated(seen, o.Pos, "deadline")
		out.Deadline = c.duration(o.Deadline)
	case o.Coverage != nil:
		c.rejectRepeated(seen, o.Pos, "coverage")
		out.Search.Coverage = c.share(o.Coverage)
		if out.Search.Coverage == 0 {
			c.fail(o.Coverage.Pos, o.Coverage.Raw, "more than 0%")
		}
	case o.Early != nil:
		c.rejectRepeated(seen, o.Pos, "early return")
		v := isOn(o.Early)
		out.Search.EarlyReturn = &v
	}
}

// rejectRepeated records an error if an option is given a second time, and marks it as
// seen.
func (c *converter) rejectRepeated(seen map[string]bool, pos lexer.Position, name string) {
	if seen[name] {
		c.fail(pos, name, "it only once in a statement")
	}
	seen[name] = true
}

// unquote returns the value of a quoted string, and other text unchanged.
func (c *converter) unquote(pos lexer.Position, raw string) string {
	if !strings.HasPrefix(raw, `"`) {
		return raw
	}
	out, err := strconv.Unquote(raw)
	if err != nil {
		c.fail(pos, raw, `a string with the escapes \" \\ \n \t \xhh or \uhhhh only`)
	}
	return out
}

func (c *converter) text(n textNode) string { return c.unquote(n.Pos, n.Raw) }

func (c *converter) service(n textNode) api.ServiceName {
	name := c.text(n)
	if name == "" {
		c.fail(n.Pos, n.Raw, "a service name")
	}
	return api.ServiceName(name)
}

func (c *converter) number(n *numberNode, low, high uint64) uint64 {
	v, err := strconv.ParseUint(n.Raw, 0, 64)
	if strings.HasPrefix(n.Raw, "0") && !strings.HasPrefix(strings.ToLower(n.Raw), "0x") {
		// ParseUint with base 0 would read a number with a leading zero as octal.
		v, err = strconv.ParseUint(n.Raw, 10, 64)
	}
	if err != nil || v < low || v > high {
		c.fail(n.Pos, n.Raw, fmt.Sprintf("a whole number from %d to %d", low, high))
		return low
	}
	return v
}

func (c *converter) duration(n *durationNode) time.Duration {
	d, err := time.ParseDuration(n.Raw)
	if err != nil || d <= 0 || d > config.MaxDeadline {
		c.fail(n.Pos, n.Raw, fmt.Sprintf("a duration above 0 and up to %v", config.MaxDeadline))
	}
	return d
}

// share converts a percentage with up to four decimals, which is the resolution of
// api.PPM.
func (c *converter) share(n *shareNode) api.PPM {
	const ppmPerPercent, tolerance = 10_000, 1e-6
	f, err := strconv.ParseFloat(strings.TrimSuffix(n.Raw, "%"), 64)
	ppm := math.Round(f * ppmPerPercent)
	if err != nil || f > 100 || math.Abs(f*ppmPerPercent-ppm) > tolerance {
		c.fail(n.Pos, n.Raw, "a share from 0% to 100% with at most four decimals")
		return 0
	}
	return api.PPM(ppm)
}

func isOn(n *switchNode) bool { return strings.EqualFold(n.Raw, "on") }
