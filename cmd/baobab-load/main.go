// Command baobab-load generates open-loop load for entry nodes and prints a report.
//
// Exit codes: 0 on success, 1 if the run failed or --check found a
// contradiction, 2 for invalid arguments or settings.
package main

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-kit/log"

	"github.com/baobabsail/baobabsail/cmd/internal/program"
	"github.com/baobabsail/baobabsail/standin/load"
)

type arguments struct {
	Settings string        `help:"Settings file (JSON with comments). Flags that are given override it." type:"existingfile" required:""`
	Endpoint []string      `help:"Base URL of an entry node; may be repeated."`
	Targets  []string      `help:"Base URL of a targets' admin interface; may be repeated."`
	Rate     float64       `help:"Requests per second."`
	Duration time.Duration `help:"Length of the run."`
	Seed     uint64        `help:"Seed of the schedule."`
	JSON     string        `name:"json" help:"File for the report as JSON." type:"path"`
	Check    bool          `help:"Compare the answers to work orders with the targets' journals; a contradiction ends with exit code 1."`
}

func main() {
	ctx, stop := program.Context()
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout))
}

// run parses a command line, sends the load and returns the exit code.
func run(ctx context.Context, args []string, out io.Writer) int {
	logger := program.NewLogger(out)
	var a arguments
	generator, err := newGenerator(args, &a)
	if err != nil {
		_ = logger.Log("level", "error", "event", "start_failed", "err", err)
		return program.ExitUsage
	}
	_ = logger.Log("level", "info", "event", "started")
	if err := sendAndReport(ctx, generator, &a, logger, out); err != nil {
		_ = logger.Log("level", "error", "event", "run_failed", "err", err)
		return program.ExitFailed
	}
	_ = logger.Log("level", "info", "event", "stopped")
	return program.ExitOK
}

// newGenerator parses args into a, reads the settings file and applies the flags, which
// override it.
func newGenerator(args []string, a *arguments) (*load.Generator, error) {
	parser, err := kong.New(a, kong.Name("baobab-load"), kong.Description("Sends open-loop load to entry nodes."))
	if err != nil {
		return nil, err
	}
	if _, err := parser.Parse(args); err != nil {
		return nil, err
	}
	s, err := load.ReadSettings(a.Settings)
	if err != nil {
		return nil, err
	}
	if len(a.Endpoint) > 0 {
		s.Endpoints = a.Endpoint
	}
	if len(a.Targets) > 0 {
		s.TargetAdmins = a.Targets
	}
	if a.Rate > 0 {
		s.RatePerSecond = a.Rate
	}
	if a.Duration > 0 {
		s.DurationMS = a.Duration.Milliseconds()
	}
	if a.Seed > 0 {
		s.Seed = a.Seed
	}
	if a.Check && len(s.TargetAdmins) == 0 {
		return nil, load.ErrSettings.New("--check needs the targets' admin addresses")
	}
	return load.New(s)
}

// sendAndReport runs the generator, writes the report and, if --check is given, compares
// the answers to work orders with the targets' journals. The journals are read even if
// ctx was cancelled.
func sendAndReport(ctx context.Context, g *load.Generator, a *arguments, logger log.Logger, out io.Writer) error {
	report, err := g.Run(ctx)
	if err != nil {
		return err
	}
	if err := report.WriteText(out); err != nil {
		return err
	}
	if a.JSON != "" {
		if err := writeJSON(a.JSON, report); err != nil {
			return err
		}
	}
	if !a.Check {
		return nil
	}
	journals, err := g.Journals(context.WithoutCancel(ctx))
	if err != nil {
		return err
	}
	contradictions := load.CheckWork(report.Work, journals)
	for _, contradiction := range contradictions {
		_ = logger.Log("level", "error", "event", "work_contradiction", "detail", contradiction)
	}
	if len(contradictions) > 0 {
		return load.ErrContradiction.New("%d contradictions between answers and journals", len(contradictions))
	}
	_ = logger.Log("level", "info", "event", "work_checked", "sent", len(report.Work))
	return nil
}

func writeJSON(path string, report *load.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := report.WriteJSON(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
