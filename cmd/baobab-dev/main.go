// Command baobab-dev runs a complete system in one process on loopback: a stand-in
// platform, stand-in targets with sample data, and entry nodes. It prints curl
// commands to try it out and stops on SIGTERM or SIGINT.
//
// Exit codes: 0 after a complete shutdown, 1 for a failure, 2 for invalid
// arguments.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/google/uuid"

	"github.com/baobabsail/baobabsail/cmd/internal/program"
	"github.com/baobabsail/baobabsail/entry/telemetry"
)

type arguments struct {
	Shards   int    `default:"120" help:"Number of shards of the search service."`
	Targets  int    `default:"6" help:"Number of targets of the search service; at least 2."`
	Nodes    int    `default:"2" help:"Number of entry nodes."`
	Rows     int    `default:"12000" help:"Number of rows of the search service."`
	LogLevel string `default:"warn" enum:"debug,info,warn,error" help:"Lowest level of the log lines on standard error."`
}

func main() {
	ctx, stop := program.Context()
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run parses and executes a command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	parser, err := kong.New(&a, kong.Name("baobab-dev"), kong.Writers(stdout, stderr),
		kong.Description("Runs a whole system in one process on loopback."))
	if err == nil {
		_, err = parser.Parse(args)
	}
	if err == nil {
		err = a.check()
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "baobab-dev: %v\n", err)
		return program.ExitUsage
	}
	log := telemetry.NewLogger(stderr, a.LogLevel)
	defer log.Close()
	s, err := startSystem(ctx, a, log)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "baobab-dev: %v\n", err)
		return program.ExitFailed
	}
	s.printInstructions(stdout)
	<-ctx.Done()
	if err := s.stop(); err != nil {
		_, _ = fmt.Fprintf(stderr, "baobab-dev: %v\n", err)
		return program.ExitFailed
	}
	return program.ExitOK
}

// check validates the numbers; two targets are needed because each shard has two
// replicas.
func (a arguments) check() error {
	if a.Shards < 1 || a.Targets < 2 || a.Nodes < 1 || a.Rows < 1 {
		return fmt.Errorf("needs at least 1 shard, 2 targets, 1 node and 1 row")
	}
	return nil
}

// printInstructions prints the nodes' addresses and sample commands.
func (s *system) printInstructions(w io.Writer) {
	for _, n := range s.nodes {
		_, _ = fmt.Fprintf(w, "node: callers http://%s operators http://%s\n", n.CallersAddress(), n.OperatorsAddress())
	}
	node := s.nodes[0]
	_, _ = fmt.Fprintf(w, "\n# a search over all shards\ncurl -s http://%s/v1/search -d '%s'\n", node.CallersAddress(), sampleSearch)
	_, _ = fmt.Fprintf(w, "\n# a work order; the same line again returns the recorded outcome\ncurl -s http://%s/v1/work -H 'Idempotency-Key: %s' -d '%s'\n",
		node.CallersAddress(), newIdempotencyKey(), sampleWork)
	_, _ = fmt.Fprintf(w, "\n# operators\nbaobabctl exec 'show services' --server http://%s\n", node.OperatorsAddress())
}

const (
	sampleSearch = `{"service":"readings","conditions":[{"field":"state","operator":"=","value":"alarm"}],"order_by":"reading","descending":true,"limit":5}`
	sampleWork   = `{"service":"crews","payload":"clear drain 7 at site-03"}`
)

func newIdempotencyKey() string { return uuid.Must(uuid.NewV7()).String() }

// acceptFor is how long a node still accepts requests during a shutdown. It is short
// because no load balancer has to notice the shutdown first.
const acceptFor = 100 * time.Millisecond
