package e2e

import (
	"errors"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// runningKey is the key of a script's running programs by name.
const runningKey = "running"

// The scripts guard against a README.md that does not match the programs, and
// against faults of callers and operators that end a program or get no clear
// answer.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Values[runningKey] = map[string]*process{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"walk":  commandWalk,
			"start": commandStart,
			"stop":  commandStop,
			"exits": commandExits,
		},
	})
}

// commandStart is "start NAME PROGRAM ARGS": it starts a program in the
// background and sets NAME_key for each pair of the line in which it says where
// it listens.
func commandStart(ts *testscript.TestScript, neg bool, args []string) {
	work := ts.Getenv("WORK")
	p, err := launch(work, filepath.Join(work, args[0]+".log"), args[1], args[2:]...)
	ts.Check(err)
	ts.Defer(p.kill)
	for key, value := range p.pairs {
		ts.Setenv(args[0]+"_"+key, value)
	}
	ts.Value(runningKey).(map[string]*process)[args[0]] = p
}

// commandStop is "stop NAME": the program must end with exit code 0 on SIGTERM.
func commandStop(ts *testscript.TestScript, neg bool, args []string) {
	p := ts.Value(runningKey).(map[string]*process)[args[0]]
	ts.Check(p.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.done:
	case <-time.After(patience):
		ts.Fatalf("%s does not end", args[0])
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		ts.Fatalf("%s ended with exit code %d", args[0], code)
	}
}

// commandExits is "exits CODE PROGRAM ARGS".
func commandExits(ts *testscript.TestScript, neg bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	code := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		code = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if code != want {
		ts.Fatalf("exit code %d, want %d", code, want)
	}
}
