// Command baobabctl sends statements of the query and command language to the
// operator listener of an entry node and prints the results. It also generates
// idempotency keys for work orders, and explains where a node on the users'
// platform would send a request.
//
// Exit codes: 0 if every statement was carried out; 1 if one was refused,
// invalid, in conflict or failed, or if a name to explain is not known; 2 for
// invalid arguments; 3 if the node could not be reached, so that nothing was
// run; 4 if the outcome is unknown.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kong"
	"github.com/google/uuid"

	"github.com/baobabsail/baobabsail/entry/operatorhttp"
)

// Exit codes; the package comment describes them.
const (
	exitOK          = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnreachable = 3
	exitUnknown     = 4
)

type arguments struct {
	Exec    execCommand    `cmd:"" help:"Run statements given as an argument, in a file, or on standard input."`
	Explain explainCommand `cmd:"" help:"Explain where a node on the users' platform would send a request now, and why. Nothing is sent."`
	Key     struct{}       `cmd:"" help:"Print a new idempotency key for a work order (a UUID version 7)."`
}

type execCommand struct {
	Statements string        `arg:"" optional:"" help:"Statements, separated by semicolons; see docs/language.md."`
	File       string        `short:"f" help:"File with statements; - is standard input."`
	Server     string        `help:"URL of a node's operator listener." env:"BAOBAB_SERVER" default:"http://127.0.0.1:8081"`
	Who        string        `help:"Name of the operator; recorded with changes." env:"BAOBAB_WHO,USER"`
	Why        string        `help:"Reason of a change, with its change ID; recorded."`
	Expect     *uint64       `help:"Refuse a change unless the configuration is at this revision." placeholder:"REVISION"`
	Output     string        `short:"o" enum:"table,json" default:"table" help:"Form of the results: table or json."`
	Timeout    time.Duration `default:"30s" help:"Time to wait for the results."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// run parses and executes a command line and returns the exit code.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	var a arguments
	parser, err := kong.New(&a, kong.Name("baobabctl"), kong.Writers(stdout, stderr),
		kong.Description("Searches the index and changes the configuration of the query tier."))
	if err != nil {
		return reportUsageError(stderr, err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return reportUsageError(stderr, err)
	}
	switch parsed.Command() {
	case "key":
		_, _ = fmt.Fprintln(stdout, uuid.Must(uuid.NewV7()))
		return exitOK
	case "explain <target>":
		return a.Explain.run(ctx, stdout, stderr)
	}
	text, err := a.Exec.readStatements(stdin)
	if err != nil {
		return reportUsageError(stderr, err)
	}
	answer, err := a.Exec.send(ctx, text)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "baobabctl: %v\n", err)
		if errors.Is(err, errUnreachable) {
			return exitUnreachable
		}
		return exitUnknown
	}
	if err := a.Exec.printAnswer(stdout, answer); err != nil {
		_, _ = fmt.Fprintf(stderr, "baobabctl: %v\n", err)
	}
	return exitCode(answer.Outcome)
}

// reportUsageError prints err and returns the exit code for invalid arguments.
func reportUsageError(stderr io.Writer, err error) int {
	_, _ = fmt.Fprintf(stderr, "baobabctl: %v\n", err)
	return exitUsage
}

// readStatements returns the statements from the argument, the file or, if neither is
// given, standard input.
func (c *execCommand) readStatements(stdin io.Reader) (string, error) {
	switch {
	case c.Statements != "" && c.File != "":
		return "", errors.New("statements are given both as an argument and in a file")
	case c.Statements != "":
		return c.Statements, nil
	case c.File == "" || c.File == "-":
		text, err := io.ReadAll(stdin)
		return string(text), err
	}
	text, err := os.ReadFile(c.File)
	return string(text), err
}

// exitCode maps the outcome of the statements to an exit code.
func exitCode(outcome operatorhttp.Outcome) int {
	switch outcome {
	case operatorhttp.OK:
		return exitOK
	case operatorhttp.Unknown:
		return exitUnknown
	}
	return exitRefused
}
