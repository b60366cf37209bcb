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

// ErrSyntax is the type of all errors returned by Parse. DiagnosticOf returns the position
// and the expected input.
var ErrSyntax = Errors.NewType("syntax")

var diagnosticProperty = errorx.RegisterProperty("fault")

// Diagnostic describes a syntax error: its position, the text found there and what was
// expected instead.
type Diagnostic struct {
	// Line and Column start at 1; Column counts characters, not bytes.
	Line, Column int
	// Found is the text at the position; empty at the end of the input.
	Found string
	// Expected describes in words what was expected.
	Expected string
}

// DiagnosticOf returns the Diagnostic of an error from Parse, and false if it has none.
func DiagnosticOf(err error) (Diagnostic, bool) {
	v, ok := errorx.ExtractProperty(err, diagnosticProperty)
	if !ok {
		return Diagnostic{}, false
	}
	f, ok := v.(Diagnostic)
	return f, ok
}

// syntaxErrorAt returns an ErrSyntax with a Diagnostic. It shortens a long found text.
func syntaxErrorAt(pos lexer.Position, found, expected string) error {
	const longest = 40
	if r := []rune(found); len(r) > longest {
		found = string(r[:longest]) + "..."
	}
	f := Diagnostic{Line: pos.Line, Column: pos.Column, Found: found, Expected: expected}
	what := "the end of the text"
	if found != "" {
		what = found
	}
	return ErrSyntax.New("line %d, column %d: found %s, expected %s", f.Line, f.Column, what, expected).WithProperty(diagnosticProperty, f)
}

// convertParserError converts an error of the parser library to an ErrSyntax.
func convertParserError(text string, err error) error {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		tok := unexpected.Unexpected
		found := tok.Value
		if tok.EOF() {
			found = ""
		}
		expected, ok := expectedTokens(unexpected.Message())
		if !ok {
			expected = expectedAfterStatement(text[:min(tok.Pos.Offset, len(text))])
		}
		return syntaxErrorAt(tok.Pos, found, expected)
	}
	var perr participle.Error
	if !errors.As(err, &perr) {
		return ErrSyntax.New("%v", err)
	}
	// The text matches no token. The lexer reports it only in its message.
	msg := perr.Message()
	if _, rest, ok := strings.Cut(msg, "invalid input text "); ok {
		return syntaxErrorAt(perr.Position(), rest, "a word, number, string, comparison, ',' or ';' (a name that starts with a digit or contains other characters needs double quotes)")
	}
	return syntaxErrorAt(perr.Position(), "this", msg)
}

// productions maps the names of grammar productions and tokens, as the parser library
// prints them, to words for the operator.
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

// optionalParts matches the optional parts of the grammar in a list of expected tokens.
var optionalParts = regexp.MustCompile(`\s*(\([^()]*\)|";")[*?]`)

// expectedTokens extracts the expected tokens from a message of the parser library. It
// returns false if the message names none, because the error comes after a complete
// statement.
func expectedTokens(msg string) (string, bool) {
	_, expected, ok := strings.Cut(msg, "(expected ")
	if !ok {
		return "", false
	}
	expected = strings.TrimSuffix(expected, ")")
	expected = optionalParts.ReplaceAllString(expected, "")
	for _, p := range productions {
		expected = strings.ReplaceAll(expected, p.production, p.words)
	}
	return expected, true
}

// expectedAfterStatement describes what may follow a complete statement, which it
// recognizes by its keywords. before is the text up to the error.
func expectedAfterStatement(before string) string {
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
