// Command baobab-target runs stand-in targets for tests.
//
// Exit codes: 0 after SIGTERM or SIGINT, 2 if it failed to start, 3 after an injected
// crash with --crash=exit.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-kit/log"

	"github.com/baobabsail/baobabsail/cmd/internal/program"
	"github.com/baobabsail/baobabsail/standin/target"
)

// exitCrashed is the exit code after an injected crash.
const exitCrashed = 3

type arguments struct {
	Settings string `help:"Settings file (JSON with comments) with any number of targets. The flags of a single target are not used then." type:"existingfile"`
	Admin    string `help:"Address of the admin listener; overrides the file."`
	Crash    string `help:"What a crash does: exit ends the process, restart starts a new incarnation in it." enum:"exit,restart" default:"exit"`
	Drain    int64  `help:"Time in ms for which a target answers DRAINING after SIGTERM, at least." default:"1000"`

	Name         string   `help:"Name of the target." default:"target"`
	Listen       string   `help:"Address of the gRPC listener." default:"127.0.0.1:0"`
	Service      string   `help:"Service that the target serves." default:"service"`
	Seed         uint64   `help:"Seed of the data and the service times." default:"1"`
	Rows         int      `help:"Rows of the whole service." default:"1000"`
	Shard        []string `help:"Shard held, as epoch:name:first:last; may be repeated." default:"1:all:0:4294967295"`
	Version      []uint64 `help:"Index version held; may be repeated." default:"1"`
	KeepVersions int      `help:"Versions kept after an advance." default:"2"`
	Slots        int      `help:"Requests that run at once." default:"2"`
	Queue        int      `help:"Requests that wait." default:"4"`
	Connections  int      `help:"Connections accepted; 0 sets no limit." default:"25"`
	ConnectDelay float64  `help:"Time in ms to open a connection." default:"0"`
	RetryAfter   uint32   `help:"Retry-after time in ms of refusals for load." default:"20"`

	Median          float64 `help:"Median service time in ms." default:"1"`
	Sigma           float64 `help:"Sigma of the log-normal service time." default:"0"`
	StragglerShare  float64 `help:"Share of stragglers, 0 to 1." default:"0"`
	StragglerFactor float64 `help:"Factor on the service time of stragglers." default:"1"`
	ColdDuration    float64 `help:"Length of the cold start in ms." default:"0"`
	ColdFactor      float64 `help:"Factor on the service time at the start." default:"1"`
	RestartDelay    float64 `help:"Time in ms between a crash and the restart in the process." default:"0"`
	WorkJournal     string  `help:"File that receives one JSON line per work order before it runs."`
}

func main() {
	ctx, stop := program.Context()
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Exit))
}

// run parses a command line, serves until ctx is cancelled, drains the targets and
// returns the exit code.
func run(ctx context.Context, args []string, out io.Writer, exit func(int)) int {
	logger := program.NewLogger(out)
	host, admin, a, err := start(args, logger, exit)
	if err != nil {
		_ = logger.Log("level", "error", "event", "start_failed", "err", err)
		return program.ExitUsage
	}
	defer admin.Close()
	defer host.Close()
	keyvals := []any{"level", "info", "event", "listening", "admin", admin.Address}
	for _, t := range host.Targets() {
		keyvals = append(keyvals, t.Name(), t.Address())
	}
	_ = logger.Log(keyvals...)
	<-ctx.Done()
	_ = logger.Log("level", "info", "event", "draining")
	host.Drain(time.Duration(a.Drain) * time.Millisecond)
	_ = logger.Log("level", "info", "event", "stopped")
	return program.ExitOK
}

// start parses the flags and starts the targets and the admin listener. With
// --crash=exit, an injected crash of any target calls exit.
func start(args []string, logger log.Logger, exit func(int)) (*target.Host, *program.Admin, *arguments, error) {
	var a arguments
	parser, err := kong.New(&a, kong.Name("baobab-target"), kong.Description("Runs stand-in targets."))
	if err != nil {
		return nil, nil, nil, err
	}
	if _, err := parser.Parse(args); err != nil {
		return nil, nil, nil, err
	}
	file, err := a.loadSettings()
	if err != nil {
		return nil, nil, nil, err
	}
	for i := range file.Targets {
		if a.Crash == "exit" {
			name := file.Targets[i].Name
			file.Targets[i].OnCrash = func() {
				_ = logger.Log("level", "error", "event", "crashed", "target", name)
				exit(exitCrashed)
			}
		}
	}
	host, err := target.NewHost(file.Targets)
	if err != nil {
		return nil, nil, nil, err
	}
	if err := host.Start(); err != nil {
		return nil, nil, nil, err
	}
	admin, err := program.ServeAdmin(file.Admin, host.Handler())
	if err != nil {
		host.Close()
		return nil, nil, nil, err
	}
	return host, admin, &a, nil
}

// loadSettings reads the settings file, or builds settings for a single target from the
// flags if no file is given.
func (a *arguments) loadSettings() (target.FileSettings, error) {
	file := target.FileSettings{}
	if a.Settings != "" {
		var err error
		if file, err = target.ReadSettings(a.Settings); err != nil {
			return file, err
		}
	} else {
		shards, err := parseShards(a.Shard)
		if err != nil {
			return file, err
		}
		file.Targets = []target.Settings{a.targetFromFlags(shards)}
	}
	if a.Admin != "" {
		file.Admin = a.Admin
	}
	if file.Admin == "" {
		file.Admin = "127.0.0.1:0"
	}
	return file, nil
}

// targetFromFlags returns the settings of a single target.
func (a *arguments) targetFromFlags(shards []target.Shard) target.Settings {
	return target.Settings{
		Name: a.Name, Listen: a.Listen, Service: a.Service, Seed: a.Seed, Rows: a.Rows,
		Shards: shards, Versions: a.Version, KeepVersions: a.KeepVersions,
		Slots: a.Slots, Queue: a.Queue, Connections: a.Connections,
		ConnectDelayMS: a.ConnectDelay, RetryAfterMS: a.RetryAfter, RestartDelayMS: a.RestartDelay,
		ServiceTime: target.ServiceTime{
			MedianMS: a.Median, Sigma: a.Sigma, StragglerShare: a.StragglerShare, StragglerFactor: a.StragglerFactor,
		},
		ColdStart:       target.ColdStart{DurationMS: a.ColdDuration, Factor: a.ColdFactor},
		WorkJournalFile: a.WorkJournal,
	}
}

// parseShards parses shards of the form epoch:name:first:last, with the first and last
// hash of the shard.
func parseShards(specs []string) ([]target.Shard, error) {
	var out []target.Shard
	for _, spec := range specs {
		parts := strings.Split(spec, ":")
		if len(parts) != 4 {
			return nil, fmt.Errorf("shard %q is not epoch:name:first:last", spec)
		}
		epoch, err := strconv.ParseUint(parts[0], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("epoch of shard %q: %w", spec, err)
		}
		first, err := strconv.ParseUint(parts[2], 10, 32)
		if err != nil {
			return nil, fmt.Errorf("first hash of shard %q: %w", spec, err)
		}
		last, err := strconv.ParseUint(parts[3], 10, 32)
		if err != nil {
			return nil, fmt.Errorf("last hash of shard %q: %w", spec, err)
		}
		out = append(out, target.Shard{Epoch: epoch, Name: parts[1], First: uint32(first), Last: uint32(last)})
	}
	return out, nil
}
