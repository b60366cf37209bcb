package lang

import (
	"errors"
	"regexp"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/joomcode/errorx"
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("lang")

// ErrSyntax is the type of all errors returned by Parse. DiagnosticOf gives the place.
var ErrSyntax = Errors.NewType("syntax")

var faultProperty = errorx.RegisterProperty("fault")

// Fault is the place and kind of a syntax error.
type Fault struct {
	// Line and Column start at 1; Column counts characters.
	Line, Column int
	// Found is the text at the place; empty at the end of the input.
	Found string
	// Expected says in words what was expected.
	Expected string
}

// DiagnosticOf returns the fault of an error from Parse.
func DiagnosticOf(err error) (Fault, bool) {
	v, ok := errorx.ExtractProperty(err, faultProperty)
	if !ok {
		return Fault{}, false
	}
	f, ok := v.(Fault)
	return f, ok
}

// faultAt makes a syntax error.
func faultAt(pos lexer.Position, found, expected string) error {
	const longest = 40
	if r := []rune(found); len(r) > longest {
		found = string(r[:longest]) + "..."
	}
	f := Fault{Line: pos.Line, Column: pos.Column, Found: found, Expected: expected}
	what := "the end of the text"
	if found != "" {
		what = found
	}
	return ErrSyntax.New("line %d, column %d: found %s, expected %s", f.Line, f.Column, what, expected).WithProperty(faultProperty, f)
}

// fromParser converts an error of the parser library.
func fromParser(text string, err error) error {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		tok := unexpected.Unexpected
		found := tok.Value
		if tok.EOF() {
			found = ""
		}
		expected, ok := expectation(unexpected.Message())
		if !ok {
			expected = continuation(text[:min(tok.Pos.Offset, len(text))])
		}
		return faultAt(tok.Pos, found, expected)
	}
	var perr participle.Error
	if !errors.As(err, &perr) {
		return ErrSyntax.New("%v", err)
	}
	// The lexer reports the text that no token matches.
	msg := perr.Message()
	if _, rest, ok := strings.Cut(msg, "invalid input text "); ok {
		return faultAt(perr.Position(), rest, "a word, number, string, comparison, ',' or ';' (a name that starts with a digit or contains other characters needs double quotes)")
	}
	return faultAt(perr.Position(), "this", msg)
}

// productions maps the names of grammar productions and tokens to words.
var productions = []struct{ production, words string }{
	{"StatementNode", "search, explain, show, create, alter, drop, split, merge, drain, undrain or recover"},
	{"SearchOptionNode", "order by, limit, deadline, coverage or early return"},
	{"SettingNode", "deadline, coverage, early return, extra load, canary or max rows"},
	{"PlaceNode", "address, data centre, vm, slots or connections"},
	{"ConditionNode", "a condition"},
	{"TextNode", "a name"},
	{"PartNode", "a shard name"},
	{"ListNode", "a list of replicas or none"},
	{"StringNode", "a text in double quotes"},
	{"NumberNode", "a number"},
	{"DurationNode", "a duration such as 80ms"},
	{"ShareNode", "a share such as 99.5%"},
	{"SwitchNode", "on or off"},
	{"AddressNode", "IP:port"},
	{"ValueNode", "a value"},
	{"OrderNode", "a field name"},
	{"ShowNode", "services, service, replicas, shards of, history, status or configuration"},
	{"CreateNode", "service, replica or shard"},
	{"AlterNode", "service, replica or shard"},
	{"DropNode", "service, replica or shard"},
	{"DrainNode", "replica or vm"},
	{"SearchNode", "a service name"},
	{"RecoverNode", "configuration"},
	{"SplitNode", "a shard name"},
	{"MergeNode", "a shard name"},
	{"CreateServiceNode", "a service name"},
	{"CreateReplicaNode", "a replica name"},
	{"CreateShardNode", "a shard name"},
	{"AlterServiceNode", "a service name"},
	{"AlterReplicaNode", "a replica name"},
	{"AlterShardNode", "a shard name"},
	{"DropShardNode", "a shard name"},
	{"<ident>", "a name"},
	{"<string>", "a text in double quotes"},
	{"<number>", "a number"},
	{"<hex>", "a hexadecimal number"},
	{"<duration>", "a duration such as 80ms"},
	{"<share>", "a share such as 99.5%"},
	{"<address>", "IP:port"},
	{"<compare>", "a comparison"},
}

// optional matches the parts of an expectation that may be left out.
var optional = regexp.MustCompile(`\s*(\([^()]*\)|";")[*?]`)

// expectation extracts what was expected from a message of the parser library.
// It reports false if the text ends with a complete statement and continues
// with something else.
func expectation(msg string) (string, bool) {
	_, expected, ok := strings.Cut(msg, "(expected ")
	if !ok {
		return "", false
	}
	expected = strings.TrimSuffix(expected, ")")
	expected = optional.ReplaceAllString(expected, "")
	for _, p := range productions {
		expected = strings.ReplaceAll(expected, p.production, p.words)
	}
	return expected, true
}

// continuation says what may follow a complete statement, by its first words.
func continuation(before string) string {
	const end = "';' or the end of the text"
	statement := before[strings.LastIndexByte(before, ';')+1:]
	words := strings.Fields(strings.ToLower(statement))
	for i, w := range words {
		switch {
		case w == "search":
			return "where, and, order by, limit, deadline, coverage, early return, " + end
		case i == 0 || words[i-1] != "create" && words[i-1] != "alter":
			continue
		case w == "service":
			return "deadline, coverage, early return, extra load, canary, max rows, " + end
		case w == "replica":
			return "address, data centre, vm, slots, connections, " + end
		}
	}
	return end
}
