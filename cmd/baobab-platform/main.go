// Command baobab-platform runs the stand-in for the platform's store and VM list.
//
// Exit codes: 0 after SIGTERM or SIGINT, 2 if it failed to start.
package main

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/baobabsail/baobabsail/cmd/internal/program"
	"github.com/baobabsail/baobabsail/standin/platform"
)

type arguments struct {
	Listen   string   `help:"Address of the store and the VM list." default:"127.0.0.1:0"`
	Admin    string   `help:"Address of the admin listener." default:"127.0.0.1:0"`
	Writes   int      `help:"Writes accepted per second." default:"500"`
	Reads    int      `help:"Reads and watches accepted per second." default:"2000"`
	MaxValue int      `help:"Largest value in bytes." default:"1048576"`
	VM       []string `name:"vm" help:"Name of a live VM in the first list; may be repeated."`
}

func main() {
	ctx, stop := program.Context()
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout))
}

// run parses a command line, serves until ctx is cancelled and returns the exit code.
func run(ctx context.Context, args []string, out io.Writer) int {
	logger := program.NewLogger(out)
	p, admin, err := start(args)
	if err != nil {
		_ = logger.Log("level", "error", "event", "start_failed", "err", err)
		return program.ExitUsage
	}
	_ = logger.Log("level", "info", "event", "listening", "store", p.Address(), "admin", admin.Address)
	<-ctx.Done()
	admin.Close()
	p.Close()
	_ = logger.Log("level", "info", "event", "stopped")
	return program.ExitOK
}

// start parses the flags and starts the stand-in and its admin listener.
func start(args []string) (*platform.Platform, *program.Admin, error) {
	var a arguments
	parser, err := kong.New(&a, kong.Name("baobab-platform"), kong.Description("Runs the stand-in for the platform."))
	if err != nil {
		return nil, nil, err
	}
	if _, err := parser.Parse(args); err != nil {
		return nil, nil, err
	}
	settings := platform.Settings{Listen: a.Listen, WritesPerSecond: a.Writes, ReadsPerSecond: a.Reads, MaxValue: a.MaxValue}
	for _, name := range a.VM {
		settings.VMs = append(settings.VMs, platform.VM{Name: name})
	}
	p, err := platform.New(settings)
	if err != nil {
		return nil, nil, err
	}
	if err := p.Start(); err != nil {
		return nil, nil, err
	}
	admin, err := program.ServeAdmin(a.Admin, p.AdminHandler())
	if err != nil {
		p.Close()
		return nil, nil, err
	}
	return p, admin, nil
}
