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

// patience bounds every wait. It is far above what a wait takes and only ends a
// test that would otherwise hang.
const patience = 30 * time.Second

// pause is the time between two looks at a condition.
const pause = 20 * time.Millisecond

// wholeLine is the key of the line itself among its pairs.
const wholeLine = "whole line"

// programs is the directory of the built programs.
var programs string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "baobab-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	// Without -race: the programs are tested as they ship.
	build := exec.Command("go", "build", "-o", dir+"/", "github.com/baobabsail/baobabsail/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v: %s\n", err, out)
		return 1
	}
	programs = dir
	_ = os.Setenv("PATH", dir+string(os.PathListSeparator)+os.Getenv("PATH"))
	return m.Run()
}

// process is a running program.
type process struct {
	cmd *exec.Cmd
	// pairs are those of the line that says where the program listens.
	pairs map[string]string
	log   string
	done  chan struct{}
}

// launch starts a program and waits until it says where it listens. The caller
// ends it with kill.
func launch(dir, log, name string, args ...string) (*process, error) {
	out, err := os.Create(log)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p := &process{cmd: exec.Command(filepath.Join(programs, name), args...), log: log, done: make(chan struct{})}
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = dir, out, out
	// It ends with the test process, also if that ends without cleaning up.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	if p.pairs, err = waitListening(log, p.done); err != nil {
		p.kill()
		return nil, err
	}
	return p, nil
}

// waitListening returns the pairs of the line of a log that says where a program
// listens.
func waitListening(log string, ended <-chan struct{}) (map[string]string, error) {
	for limit := time.Now().Add(patience); time.Now().Before(limit); time.Sleep(pause) {
		text, err := os.ReadFile(log)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, err
		}
		if pairs := listening(strings.NewReader(string(text))); pairs != nil {
			return pairs, nil
		}
		select {
		case <-ended:
			return nil, fmt.Errorf("the program ended: %s", text)
		default:
		}
	}
	return nil, fmt.Errorf("%s: the program does not say where it listens", log)
}

func listening(log io.Reader) map[string]string {
	for lines := bufio.NewScanner(log); lines.Scan(); {
		pairs := map[string]string{wholeLine: lines.Text()}
		for d := logfmt.NewDecoder(strings.NewReader(lines.Text())); d.ScanRecord(); {
			for d.ScanKeyval() {
				pairs[string(d.Key())] = string(d.Value())
			}
		}
		if pairs["event"] == "listening" || pairs["event"] == "started" {
			return pairs
		}
	}
	return nil
}

// kill ends the process at once, also if it is stopped, and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}
