package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/cmd/internal/program"
	"github.com/baobabsail/baobabsail/standin/platform"
)

// writeSettings writes a settings file in a temporary directory and returns its path.
func writeSettings(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "entry.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Change management checks a settings file by exit code before a restart. Guards
// against an exit code of 0 for invalid settings and against errors without file,
// line and key.
func TestExitCodesOfSettings(t *testing.T) {
	bad := writeSettings(t, "{\n  \"nam\": 1,\n  \"log_level\": \"loud\"\n}")
	cases := []struct {
		args string
		code int
		out  string
	}{
		{"check-settings ../../examples/entry.json", program.ExitOK, "no problems"},
		{"check-settings " + bad, program.ExitUsage, bad + ":2: nam: is not a known key\n" + bad + ":3: log_level: "},
		{"run " + bad, program.ExitUsage, bad + ":1: callers.listen: is missing"},
		{"run /absent", program.ExitUsage, "/absent:0: "},
		{"run", program.ExitUsage, "expected"},
		{"platform --check " + bad, program.ExitUsage, "node_name is missing"},
		{"fly", program.ExitUsage, "fly"},
	}
	for _, c := range cases {
		var out bytes.Buffer
		code := run(context.Background(), strings.Fields(c.args), &out, &out)
		if code != c.code || !strings.Contains(out.String(), c.out) {
			t.Errorf("%s: got code %d and %q, want %d and %q", c.args, code, out.String(), c.code, c.out)
		}
	}
}

// startProcess builds and starts baobabd and waits for its log line event=started.
func startProcess(t *testing.T, acceptFor string) (*exec.Cmd, *bufio.Scanner) {
	t.Helper()
	p, err := platform.New(platform.Settings{Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	file := writeSettings(t, `{"name": "n", "data_centre": "dc", "vm": "vm",
		"callers": {"listen": "127.0.0.1:0"}, "operators": {"listen": "127.0.0.1:0"}, "peers": {"listen": "127.0.0.1:0"},
		"platform": {"stores": ["`+p.URL()+`"], "vm_list": "`+p.URL()+`"},
		"shutdown": {"accept_for": "`+acceptFor+`", "total_limit": "1h"}}`)
	binary := filepath.Join(t.TempDir(), "baobabd")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	cmd := exec.Command(binary, "run", file)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	lines := bufio.NewScanner(stderr)
	waitForLine(t, lines, "event=started")
	return cmd, lines
}

// waitForLine reads lines until one contains want.
func waitForLine(t *testing.T, lines *bufio.Scanner, want string) {
	t.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), want) {
			return
		}
	}
	t.Fatalf("the log ended without a line containing %q", want)
}

// sendSIGTERM signals the process; it is no error if the process has already exited.
func sendSIGTERM(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Fatal(err)
	}
}

// Guards against a non-zero exit code after a complete shutdown.
func TestSIGTERMExitsWithZero(t *testing.T) {
	cmd, lines := startProcess(t, "10ms")
	sendSIGTERM(t, cmd)
	waitForLine(t, lines, "event=stopped")
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// During the accept_for period of a shutdown the node still accepts requests. A
// second SIGTERM must terminate it without waiting for that period to end, and with
// a non-zero exit code.
func TestSecondSIGTERMExitsAtOnce(t *testing.T) {
	cmd, lines := startProcess(t, "1h")
	sendSIGTERM(t, cmd)
	waitForLine(t, lines, "event=shutdown_started")
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	for {
		sendSIGTERM(t, cmd)
		select {
		case err := <-exited:
			if err == nil {
				t.Error("exit code 0 after a forced termination; want non-zero")
			}
			return
		case <-time.After(20 * time.Millisecond):
			// The process may not have restored the default signal handling yet.
		}
	}
}
