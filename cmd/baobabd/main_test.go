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

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "entry.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Change management checks settings by the exit code before a restart.
func TestExitCodesOfSettings(t *testing.T) {
	bad := write(t, "{\n  \"nam\": 1,\n  \"log_level\": \"loud\"\n}")
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

// startProcess runs baobabd and waits for its line event=started.
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
	file := write(t, `{"name": "n", "data_centre": "dc", "vm": "vm",
		"callers": {"listen": "127.0.0.1:0"}, "operators": {"listen": "127.0.0.1:0"}, "peers": {"listen": "127.0.0.1:0"},
		"platform": {"stores": ["`+p.URL()+`"], "vm_list": "`+p.URL()+`"},
		"shutdown": {"accept_for": "`+acceptFor+`", "total_limit": "1h"}}`)
	program := filepath.Join(t.TempDir(), "baobabd")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	cmd := exec.Command(program, "run", file)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	lines := bufio.NewScanner(stderr)
	waitLine(t, lines, "event=started")
	return cmd, lines
}

func waitLine(t *testing.T, lines *bufio.Scanner, want string) {
	t.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), want) {
			return
		}
	}
	t.Fatalf("no line with %q", want)
}

func signal(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Fatal(err)
	}
}

func TestTermEndsWithZero(t *testing.T) {
	cmd, lines := startProcess(t, "10ms")
	signal(t, cmd)
	waitLine(t, lines, "event=stopped")
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// An operator must be able to end a node that is still accepting requests.
func TestSecondTermEndsAtOnce(t *testing.T) {
	cmd, lines := startProcess(t, "1h")
	signal(t, cmd)
	waitLine(t, lines, "event=shutdown_started")
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	for {
		signal(t, cmd)
		select {
		case err := <-ended:
			if err == nil {
				t.Error("the exit looks like that of a complete shutdown")
			}
			return
		case <-time.After(20 * time.Millisecond):
			// The process may not have restored the signal's default yet.
		}
	}
}
