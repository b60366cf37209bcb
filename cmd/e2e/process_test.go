// Package e2e tests the programs as separate processes on loopback.
package e2e

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-logfmt/logfmt"
)

// waitTimeout bounds every wait. It is far above what a wait takes and only ends
// a test that would otherwise hang.
const waitTimeout = 15 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// fullLineKey is the key under which the parsed fields of a log line hold the
// line itself.
const fullLineKey = "whole line"

// programDir is the directory that holds the built programs.
var programDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "baobab-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	// Built without -race, so that the tests run the programs as they are shipped.
	build := exec.Command("go", "build", "-o", dir+"/", "github.com/baobabsail/baobabsail/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v: %s\n", err, out)
		return 1
	}
	programDir = dir
	_ = os.Setenv("PATH", dir+string(os.PathListSeparator)+os.Getenv("PATH"))
	return m.Run()
}

// process is a running program.
type process struct {
	cmd *exec.Cmd
	// listenFields are the fields of the log line with the listen addresses.
	listenFields map[string]string
	logFile      string
	done         chan struct{}
}

// launch starts a program in dir, with its output in the file log, and waits
// until it logs its listen addresses. The caller ends it with kill.
func launch(dir, log, name string, args ...string) (*process, error) {
	return launchWithEnv(nil, dir, log, name, args...)
}

// launchWithEnv is like launch, with further environment variables.
func launchWithEnv(env []string, dir, log, name string, args ...string) (*process, error) {
	out, err := os.Create(log)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p := &process{cmd: exec.Command(filepath.Join(programDir, name), args...), logFile: log, done: make(chan struct{})}
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = dir, out, out
	p.cmd.Env = append(os.Environ(), env...)
	// The kernel kills the program when the test process ends, even if that ends
	// without cleaning up.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	if p.listenFields, err = waitForListenFields(log, p.done); err != nil {
		p.kill()
		return nil, err
	}
	return p, nil
}

// waitForListenFields returns the fields of the log line in which a program
// writes its listen addresses. It gives up when ended is closed.
func waitForListenFields(log string, ended <-chan struct{}) (map[string]string, error) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		text, err := os.ReadFile(log)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, err
		}
		if fields := findListenFields(strings.NewReader(string(text))); fields != nil {
			return fields, nil
		}
		select {
		case <-ended:
			return nil, fmt.Errorf("the program ended before it logged its listen addresses: %s", text)
		default:
		}
	}
	return nil, fmt.Errorf("%s: the program did not log its listen addresses", log)
}

// findListenFields returns the fields of the first log line with the event
// "listening" or "started", or nil.
func findListenFields(log io.Reader) map[string]string {
	for lines := bufio.NewScanner(log); lines.Scan(); {
		fields := map[string]string{fullLineKey: lines.Text()}
		for d := logfmt.NewDecoder(strings.NewReader(lines.Text())); d.ScanRecord(); {
			for d.ScanKeyval() {
				fields[string(d.Key())] = string(d.Value())
			}
		}
		if fields["event"] == "listening" || fields["event"] == "started" {
			return fields
		}
	}
	return nil
}

// kill sends SIGKILL, which also ends a process that is stopped by SIGSTOP, and
// waits for the process to end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}
