// Command baobabd runs one entry node.
//
// Exit codes: 0 after a complete shutdown, 1 if the node failed to start or the
// shutdown timed out with requests in flight, 2 for invalid arguments or settings.
// A second SIGTERM or SIGINT terminates the process immediately.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"github.com/baobabsail/baobabsail/cmd/internal/program"
	"github.com/baobabsail/baobabsail/core/connlimit"
	"github.com/baobabsail/baobabsail/entry"
	"github.com/baobabsail/baobabsail/entry/settings"
	"github.com/baobabsail/baobabsail/entry/telemetry"
	"github.com/baobabsail/baobabsail/platform"
)

type arguments struct {
	Run           runCommand           `cmd:"" help:"Run an entry node until SIGTERM."`
	Platform      platformCommand      `cmd:"" help:"Run an entry node on the users' platform until SIGTERM; see docs/platform.md."`
	CheckSettings checkSettingsCommand `cmd:"" help:"Check a settings file and report every problem."`
	Version       kong.VersionFlag     `help:"Print the version."`
}

type runCommand struct {
	File string `arg:"" help:"Settings file; see docs/settings.md."`
}

type platformCommand struct {
	Check string `help:"Check a settings file of the platform instead, and report every problem." placeholder:"FILE"`
}

type checkSettingsCommand struct {
	File string `arg:"" help:"Settings file; see docs/settings.md."`
}

func main() {
	ctx, stop := program.Context()
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run parses and executes a command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	parser, err := kong.New(&a, kong.Name("baobabd"), kong.Description("Runs one entry node of the query tier."),
		kong.Writers(stdout, stderr), kong.Vars{"version": version()})
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return program.ExitUsage
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "baobabd: %v\n", err)
		return program.ExitUsage
	}
	if parsed.Command() == "platform" {
		return runPlatform(a.Platform, stdout, stderr)
	}
	file := a.Run.File
	check := parsed.Command() == "check-settings <file>"
	if check {
		file = a.CheckSettings.File
	}
	s, problems := settings.Load(file)
	for _, p := range problems {
		_, _ = fmt.Fprintln(stderr, p)
	}
	switch {
	case len(problems) > 0:
		return program.ExitUsage
	case check:
		_, _ = fmt.Fprintf(stdout, "%s: no problems\n", file)
		return program.ExitOK
	}
	return serve(ctx, s, stderr)
}

// serve runs a node until ctx is cancelled and then shuts it down.
func serve(ctx context.Context, s *settings.Settings, logOutput io.Writer) int {
	log := telemetry.NewLogger(logOutput, string(s.LogLevel))
	defer log.Close()
	debug.SetMemoryLimit(connlimit.ForProcess(int64(s.Limits.Memory), int(s.Limits.Descriptors)).HeapBytes)
	node, err := entry.Start(s, entry.Options{Log: log})
	if err != nil {
		log.Error("start_failed", "error", err.Error())
		return program.ExitFailed
	}
	<-ctx.Done()
	if err := node.Shutdown(); err != nil {
		log.Error("shutdown_failed", "error", err.Error())
		return program.ExitFailed
	}
	return program.ExitOK
}

// runPlatform runs a node on the users' platform, or only validates a settings
// file if --check is given. The platform passes the path of the settings file in
// an environment variable and collects the log from standard output.
func runPlatform(c platformCommand, stdout, stderr io.Writer) int {
	loadSettings := platform.LoadSettings
	if c.Check != "" {
		loadSettings = func() (*platform.Settings, error) { return platform.ReadSettings(c.Check) }
	}
	s, err := loadSettings()
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "baobabd: %v\n", err)
		return program.ExitUsage
	}
	if c.Check != "" {
		_, _ = fmt.Fprintf(stdout, "%s: no problems\n", c.Check)
		return program.ExitOK
	}
	if err := platform.Run(s, stdout); err != nil {
		return program.ExitFailed
	}
	return program.ExitOK
}

// version returns the module version recorded in the binary, or "(devel)" if
// there is none.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}
