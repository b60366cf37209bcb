// Command baobab-experiment measures the load policies of entry nodes with real
// processes on loopback and prints a table; see docs/measurements.md. A cell of the
// table is one scenario under one policy in one deployment.
//
// Exit codes: 0 if every cell was measured, 1 if one failed or the time limit or a
// signal ended the experiment, 2 for invalid arguments.
package main

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"github.com/baobabsail/baobabsail/cmd/internal/program"
	"github.com/baobabsail/baobabsail/standin/experiment"
)

type arguments struct {
	Programs   string        `help:"Directory of the project's programs; that of this program if empty." type:"existingdir"`
	Deployment []string      `help:"Deployments to measure; all if none is given."`
	Scenario   []string      `help:"Scenarios to measure; all if none is given."`
	Policy     []string      `help:"Policies to measure; all if none is given."`
	WarmUp     time.Duration `help:"Time before the measured time of each phase." default:"3s"`
	Measure    time.Duration `help:"Measured time of each phase." default:"8s"`
	Limit      time.Duration `help:"Limit of the whole experiment." default:"30m"`
	Repeat     int           `help:"How often each cell is measured." default:"1"`
	Seed       uint64        `help:"Seed of the load and of the nodes." default:"1"`
	Distinct   int           `help:"Different searches of each service." default:"5"`
	Share      float64       `help:"Usual load as a part of the capacity; 0 takes that of the scenarios." default:"0"`
	JSON       string        `name:"json" help:"File for the result as JSON." type:"path"`
	Text       string        `help:"File for the table; standard output if empty." type:"path"`
	Keep       string        `help:"Directory for settings and logs; a temporary one that is removed if empty." type:"path"`
}

func main() {
	ctx, stop := program.Context()
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run parses a command line, runs the experiment and returns the exit code. The cells
// measured before an error are written as well.
func run(ctx context.Context, args []string, out, logOutput io.Writer) int {
	logger := program.NewLogger(logOutput)
	var a arguments
	parser, err := kong.New(&a, kong.Name("baobab-experiment"), kong.Description("Measures the load policy of entry nodes."))
	if err == nil {
		_, err = parser.Parse(args)
	}
	if err == nil {
		err = a.resolvePrograms()
	}
	if err != nil {
		_ = logger.Log("level", "error", "event", "start_failed", "err", err)
		return program.ExitUsage
	}
	failed := 0
	progress := func(c experiment.Cell) {
		level := "info"
		if c.Error != "" {
			failed++
			level = "error"
		}
		_ = logger.Log("level", level, "event", "measured", "deployment", c.Deployment, "scenario", c.Scenario,
			"policy", c.Policy, "err", c.Error)
	}
	result, err := a.measure(ctx, progress)
	if result != nil {
		if writeErr := a.writeResult(result, out); err == nil {
			err = writeErr
		}
	}
	switch {
	case err != nil:
		_ = logger.Log("level", "error", "event", "experiment_failed", "err", err)
		return program.ExitFailed
	case failed > 0:
		return program.ExitFailed
	}
	return program.ExitOK
}

// resolvePrograms sets the directory of the programs to that of this executable if the
// flag is not given.
func (a *arguments) resolvePrograms() error {
	if a.Programs != "" {
		return nil
	}
	executable, err := os.Executable()
	a.Programs = filepath.Dir(executable)
	return err
}

// measure runs the experiment in the directory given by --keep, or in a temporary one
// that is removed afterwards.
func (a *arguments) measure(ctx context.Context, progress func(experiment.Cell)) (*experiment.Result, error) {
	directory := a.Keep
	if directory == "" {
		temporary, err := os.MkdirTemp("", "baobab-experiment-")
		if err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		directory = temporary
	}
	return experiment.Run(ctx, experiment.Options{
		Programs: a.Programs, Directory: directory,
		Deployments: a.Deployment, Scenarios: a.Scenario, Policies: a.Policy,
		Seed: a.Seed, WarmUp: a.WarmUp, Measure: a.Measure, Limit: a.Limit,
		Repeat: a.Repeat, Distinct: a.Distinct, Share: a.Share, Progress: progress,
	})
}

// writeResult writes the JSON file, if one is given, and the table.
func (a *arguments) writeResult(result *experiment.Result, out io.Writer) error {
	if a.JSON != "" {
		if err := writeFile(a.JSON, result.WriteJSON); err != nil {
			return err
		}
	}
	if a.Text != "" {
		return writeFile(a.Text, result.WriteText)
	}
	return result.WriteText(out)
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
