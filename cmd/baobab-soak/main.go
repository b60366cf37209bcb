// Command baobab-soak is a soak test: it runs several "baobabd platform" processes on
// loopback, injects faults from outside, and checks that the guarantees to callers and
// replicas hold; see docs/soak.md.
//
// Exit codes: 0 if every guarantee held, 1 if one was violated or the run failed, 2 for
// invalid arguments.
package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kong"

	"github.com/baobabsail/baobabsail/cmd/internal/program"
	"github.com/baobabsail/baobabsail/platform/standin/soak"
)

type arguments struct {
	Seed       uint64        `default:"1" help:"First seed; it decides faults, load and victims."`
	Runs       int           `default:"1" help:"Number of runs, with one seed after the other."`
	For        time.Duration `default:"30s" help:"Time with faults in each run."`
	Nodes      int           `default:"4" help:"Processes of baobabd."`
	Targets    int           `default:"4" help:"Shards, each with three stand-in targets."`
	Callers    int           `default:"12" help:"Callers beside those of fatal requests."`
	Each       time.Duration `default:"40ms" help:"Mean time between two requests of a caller."`
	DownLeast  time.Duration `default:"1s" help:"Least time for which a target is down after a fatal request."`
	DownMost   time.Duration `default:"5s" help:"Most time for which a target is down after a fatal request."`
	Pause      time.Duration `default:"1200ms" help:"Mean time between two faults."`
	Statements bool          `help:"Let targets name rate limits, state their leave, ask for pauses and respond without end as well."`
	Correlated bool          `help:"Pause most nodes, and cut others from the store, at the same time as well."`
	Halves     bool          `help:"Let shards of a route change with each configuration, and check that no node goes back to an older one."`
	Accounts   bool          `help:"Let configurations name client accounts, whose keys change."`
	Clients    bool          `help:"Let clients outside the limits stay connected to nodes as well."`
	Conns      int           `default:"50" help:"Connections that each target accepts. Few, compared with the nodes, make nodes run requests for each other."`
	Binary     string        `default:"target/baobabd" help:"Program to run."`
	Old        string        `help:"Another version of the program. Every second node starts with it, and each restart of a node changes its version."`
	KeepLogs   string        `help:"Directory for settings and logs, which is kept; else they are removed unless a promise is broken."`
}

func main() {
	ctx, stop := program.Context()
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run parses and executes a command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	parser, err := kong.New(&a, kong.Name("baobab-soak"), kong.Description("Runs nodes under faults and checks the promises."),
		kong.Writers(stdout, stderr))
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return program.ExitUsage
	}
	if _, err := parser.Parse(args); err != nil {
		_, _ = fmt.Fprintf(stderr, "baobab-soak: %v\n", err)
		return program.ExitUsage
	}
	code := program.ExitOK
	for i := range a.Runs {
		if ctx.Err() != nil {
			return program.ExitFailed
		}
		if ok := runSeed(ctx, &a, a.Seed+uint64(i), stdout, stderr); !ok {
			code = program.ExitFailed
		}
	}
	return code
}

// runSeed runs the soak test with one seed and reports whether it completed without a
// violation. The logs are kept after a violation or an error.
func runSeed(ctx context.Context, a *arguments, seed uint64, stdout, stderr io.Writer) bool {
	dir, err := os.MkdirTemp(a.KeepLogs, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "baobab-soak: %v\n", err)
		return false
	}
	result, err := soak.Run(ctx, soak.Options{
		Seed:        seed,
		Duration:    a.For,
		Nodes:       a.Nodes,
		Shards:      a.Targets,
		Callers:     a.Callers,
		CallerPause: a.Each,
		DownLeast:   a.DownLeast,
		DownMost:    a.DownMost,
		Pause:       a.Pause,
		Statements:  a.Statements,
		Correlated:  a.Correlated,
		Binary:      a.Binary,
		OldBinary:   a.Old,

		MaxConnections:    a.Conns,
		AlternatingShards: a.Halves,
		Accounts:          a.Accounts,
		Clients:           a.Clients,
		Dir:               dir,
	})
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "seed %d: %v; logs in %s\n", seed, err, dir)
		return false
	}
	printResult(stdout, seed, result)
	if len(result.Violations) > 0 {
		_, _ = fmt.Fprintf(stdout, "  logs in %s\n", dir)
		return false
	}
	if a.KeepLogs == "" {
		_ = os.RemoveAll(dir) // anything that cannot be removed stays in the system's temporary directory
	}
	return true
}

// printResult prints a summary of one run, examples of violations and notes.
func printResult(out io.Writer, seed uint64, r *soak.Result) {
	_, _ = fmt.Fprintf(out, "seed %d: %s; %d faults, %d fatal requests, %d replicas ended under them; broken: %s\n",
		seed, formatCounts(r.Outcomes), sumCounts(r.Faults), r.FatalRequests, r.ReplicaCrashes, formatCounts(r.Violations))
	for _, lines := range [][]string{r.Examples, r.Notes} {
		for _, line := range lines {
			_, _ = fmt.Fprintln(out, "  "+line)
		}
	}
}

// formatCounts lists the counts sorted by name.
func formatCounts(m map[string]int) string {
	if len(m) == 0 {
		return "none"
	}
	out := ""
	for _, key := range slices.Sorted(maps.Keys(m)) {
		if out != "" {
			out += ", "
		}
		out += fmt.Sprintf("%s %d", key, m[key])
	}
	return out
}

func sumCounts(m map[string]int) int {
	sum := 0
	for _, n := range m {
		sum += n
	}
	return sum
}
