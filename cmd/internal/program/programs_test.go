package program_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/go-logfmt/logfmt"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/baobabsail/baobabsail/wire/targetpb"
)

// buildPrograms compiles the programs into a temporary directory and returns it.
func buildPrograms(t *testing.T, names ...string) string {
	t.Helper()
	dir := t.TempDir()
	args := []string{"build", "-o", dir}
	for _, name := range names {
		args = append(args, "github.com/baobabsail/baobabsail/cmd/"+name)
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return dir
}

// startProgram starts a program and returns it with the fields of its log line
// event=listening.
func startProgram(t *testing.T, path string, args ...string) (*exec.Cmd, map[string]string) {
	t.Helper()
	cmd := exec.Command(path, args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.Copy(io.Discard, out) }()
	pairs := map[string]string{}
	decoder := logfmt.NewDecoder(strings.NewReader(line))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			pairs[string(decoder.Key())] = string(decoder.Value())
		}
	}
	if pairs["event"] != "listening" {
		t.Fatalf("first line is %q", line)
	}
	return cmd, pairs
}

func post(t *testing.T, url, body string) {
	t.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= 300 {
		t.Fatalf("%s: status %d", url, response.StatusCode)
	}
}

func terminate(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("%s after SIGTERM: %v", cmd.Path, err)
	}
}

// Guards against a program that does not log its listen addresses, does not end
// cleanly on SIGTERM, or loses its work journal when it crashes.
func TestTargetAndPlatformPrograms(t *testing.T) {
	dir := buildPrograms(t, "baobab-target", "baobab-platform")
	platform, addresses := startProgram(t, filepath.Join(dir, "baobab-platform"), "--vm=vm-1")
	post(t, "http://"+addresses["admin"]+"/admin/faults", `{"lose_writes":1}`)
	post(t, "http://"+addresses["store"]+"/v3/kv/range", `{"key":"YQ=="}`)
	terminate(t, platform)

	settings := filepath.Join(t.TempDir(), "targets.json")
	text := `{"targets": [ // two targets in one process
		{"name":"a","service":"s","shards":[{"epoch":1,"name":"all","first":0,"last":4294967295}],"rows":10},
		{"name":"b","service":"s"}]}`
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	targets, addresses := startProgram(t, filepath.Join(dir, "baobab-target"), "--settings="+settings, "--drain=0")
	conn, err := grpc.NewClient(addresses["a"], grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	health, err := targetpb.NewTargetClient(conn).Health(t.Context(), &targetpb.HealthRequest{})
	if err != nil || len(health.GetLoad().GetHeld()) != 1 || addresses["b"] == "" {
		t.Fatalf("health %v, %v, addresses %v", health, err, addresses)
	}
	terminate(t, targets)

	journal := filepath.Join(t.TempDir(), "work.jsonl")
	crashing, addresses := startProgram(t, filepath.Join(dir, "baobab-target"), "--service=s", "--work-journal="+journal)
	post(t, "http://"+addresses["admin"]+"/targets/all/faults", `{"crash_on":"poison"}`)
	conn, err = grpc.NewClient(addresses["target"], grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	request := &targetpb.ExecuteRequest{Service: "s", Payload: []byte("poison"), DeadlineMs: 600_000}
	if reply, err := targetpb.NewTargetClient(conn).Execute(t.Context(), request); err == nil {
		t.Fatalf("the request that crashes the target was answered: %v", reply)
	}
	if _ = crashing.Wait(); crashing.ProcessState.ExitCode() != 3 {
		t.Fatalf("exit code %d after a crash, want 3", crashing.ProcessState.ExitCode())
	}
	if lines, err := os.ReadFile(journal); err != nil || bytes.Count(lines, []byte("\n")) != 1 {
		t.Fatalf("work journal %q, %v", lines, err)
	}
}

// Guards against a load program that writes no report or accepts invalid settings.
func TestLoadProgram(t *testing.T) {
	load := filepath.Join(buildPrograms(t, "baobab-load"), "baobab-load")
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"outcome":"answered","coverage":{"share_percent":100,"covered_shards":2}}`))
	}))
	t.Cleanup(entry.Close)
	dir := t.TempDir()
	settings, report := filepath.Join(dir, "load.json"), filepath.Join(dir, "report.json")
	text := `{"rate_per_second": 200, "duration_ms": 100, "requests": [{"search": {"service": "s"}}]}`
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(load, "--settings="+settings, "--endpoint="+entry.URL, "--json="+report).CombinedOutput()
	if err != nil || !bytes.Contains(out, []byte("whole answers 100.000 %")) {
		t.Fatalf("%v: %s", err, out)
	}
	if text, err := os.ReadFile(report); err != nil || !bytes.Contains(text, []byte(`"p99_9_ms"`)) {
		t.Fatalf("report %s, %v", text, err)
	}
	wrong := exec.Command(load, "--settings="+settings)
	if out, _ := wrong.CombinedOutput(); wrong.ProcessState.ExitCode() != 2 || !bytes.Contains(out, []byte("no endpoint")) {
		t.Fatalf("exit code %d without an endpoint: %s", wrong.ProcessState.ExitCode(), out)
	}
}
