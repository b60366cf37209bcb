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

// processesKey is the key in a script's environment of its started programs, by name.
const processesKey = "running"

// Guards against a README.md that does not match the programs, and against
// mistakes of callers and operators that end a program or get no clear answer.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Values[processesKey] = map[string]*process{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"walk":          commandWalk,
			"start":         commandStart,
			"stop":          commandStop,
			"exits":         commandExits,
			"platform-node": commandPlatformNode,
		},
	})
}

// commandStart implements "start NAME PROGRAM ARGS": it starts a program in the
// background and sets the variable NAME_key for each key of the log line that
// holds the program's listen addresses.
func commandStart(ts *testscript.TestScript, neg bool, args []string) {
	work := ts.Getenv("WORK")
	p, err := launch(work, filepath.Join(work, args[0]+".log"), args[1], args[2:]...)
	ts.Check(err)
	ts.Defer(p.kill)
	for key, value := range p.listenFields {
		ts.Setenv(args[0]+"_"+key, value)
	}
	ts.Value(processesKey).(map[string]*process)[args[0]] = p
}

// commandStop implements "stop NAME": it sends SIGTERM to a started program and
// fails unless the program ends with exit code 0.
func commandStop(ts *testscript.TestScript, neg bool, args []string) {
	p := ts.Value(processesKey).(map[string]*process)[args[0]]
	ts.Check(p.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		ts.Fatalf("%s did not end after SIGTERM", args[0])
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		ts.Fatalf("%s ended with exit code %d", args[0], code)
	}
}

// commandExits implements "exits CODE PROGRAM ARGS": it runs a program and fails
// unless it ends with the exit code.
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
