package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/baobabsail/baobabsail/standin/platform"
	"github.com/baobabsail/baobabsail/standin/target"
)

// system holds running processes: a platform, targets and nodes.
type system struct {
	t            *testing.T
	dir          string
	processCount int
	platform     *process
	// targets holds one process for each target, by name.
	targets map[string]*process
	nodes   []*process
	// nodeSettings are further settings of the nodes that are started next, each with a comma
	// before it.
	nodeSettings string
}

const (
	searchBody = `{"service":"readings","conditions":[{"field":"state","operator":"=","value":"alarm"}],"limit":3}`
	orderBody  = `{"service":"crews","payload":"clear drain 7"}`
	shardCount = 8
)

// newSystem starts a system whose configuration has the service readings on the
// targets r1, r2 and so on, all with all shards, and the service crews on c1, c2
// and so on.
func newSystem(t *testing.T, readings, crews, nodes int) *system {
	t.Helper()
	s := &system{t: t, dir: t.TempDir(), targets: map[string]*process{}}
	s.platform = s.start("baobab-platform")
	text := "create service readings kind search deadline 5s; create service crews kind work deadline 20s"
	var on []string
	for i := range readings + crews {
		name, service, slots := fmt.Sprintf("r%d", i+1), "readings", 4
		if i >= readings {
			name, service, slots = fmt.Sprintf("c%d", i-readings+1), "crews", 64
		} else {
			on = append(on, name)
		}
		s.startTarget(name, service, slots)
		text += fmt.Sprintf("; create replica %s of %s address %s data centre dc vm vm-%s slots %d connections 25",
			name, service, s.targets[name].listenFields[name], name, slots)
	}
	for i := range shardCount {
		const size = 1 << 32 / shardCount
		text += fmt.Sprintf("; create shard s%03d of readings range %d to %d on %s", i, i*size, (i+1)*size-1, strings.Join(on, ", "))
	}
	for range nodes {
		s.startNode()
	}
	out, code := s.exec(0, "ana", "CHG-1", text)
	if code != 0 {
		t.Fatalf("exit code %d: %s", code, out)
	}
	for i := range s.nodes {
		s.waitReady(i)
	}
	return s
}

// start starts a program and kills it at the end of the test.
func (s *system) start(name string, args ...string) *process {
	s.t.Helper()
	s.processCount++
	p, err := launch(s.dir, filepath.Join(s.dir, fmt.Sprintf("%02d-%s.log", s.processCount, name)), name, args...)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(p.kill)
	s.t.Cleanup(func() {
		if text, err := os.ReadFile(p.logFile); err == nil && s.t.Failed() {
			s.t.Logf("%s:\n%s", filepath.Base(p.logFile), text)
		}
	})
	return p
}

func (s *system) writeFile(name, text string) string {
	s.t.Helper()
	file := filepath.Join(s.dir, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return file
}

func (s *system) startTarget(name, service string, slots int) {
	s.t.Helper()
	file := s.writeFile(name+".json", fmt.Sprintf(`{"targets": [{"name": %q, "service": %q, "rows": 500, "seed": 1,
		"even_shards": {"epoch": 1, "count": %d}, "slots": %d, "queue": 64, "connections": 25,
		"service_time": {"median_ms": 1}, "work_journal_file": %q}]}`, name, service, shardCount, slots, s.journalFile(name)))
	s.targets[name] = s.start("baobab-target", "--settings", file, "--drain=1500")
}

// startNode starts a node whose settings list the running nodes as peers.
func (s *system) startNode() *process {
	s.t.Helper()
	var peers []string
	for _, n := range s.nodes {
		if n.running() {
			peers = append(peers, fmt.Sprintf(`{"name": %q, "address": %q}`, n.listenFields["name"], n.listenFields["peers"]))
		}
	}
	name := fmt.Sprintf("entry-%d", len(s.nodes)+1)
	file := s.writeFile(name+".json", fmt.Sprintf(`{"name": %q, "data_centre": "dc", "vm": "vm-%s",
		"callers": {"listen": "127.0.0.1:0"}, "operators": {"listen": "127.0.0.1:0"},
		"peers": {"listen": "127.0.0.1:0", "list": [%s]},
		"platform": {"stores": ["http://%s"]}, "shutdown": {"accept_for": "2s"}%s}`,
		name, name, strings.Join(peers, ","), s.platform.listenFields["store"], s.nodeSettings))
	n := s.start("baobabd", "run", file)
	s.nodes = append(s.nodes, n)
	s.t.Cleanup(func() { s.logCounters(n) })
	return n
}

// logCounters logs the counters of a node if the test has failed.
func (s *system) logCounters(n *process) {
	if !s.t.Failed() || !n.running() {
		return
	}
	reply, err := client.Get("http://" + n.listenFields["operators"] + "/metrics")
	if err != nil {
		return
	}
	defer reply.Body.Close()
	for lines := bufio.NewScanner(reply.Body); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "baobabsail_events_total") {
			s.t.Log(lines.Text())
		}
	}
}

// exec runs statements through a node with baobabctl, and returns its output and
// exit code.
func (s *system) exec(node int, who, why, statements string) (string, int) {
	s.t.Helper()
	return runProgram(s.t, "baobabctl", "exec", statements, "--who", who, "--why", why,
		"--server", "http://"+s.nodes[node].listenFields["operators"])
}

// answer is the response to a caller. Without a valid response, Status is 0 and
// Outcome is the text of the error.
type answer struct {
	Status       int
	RetryAfter   string
	Outcome      string  `json:"outcome"`
	Reason       string  `json:"reason"`
	Replayed     bool    `json:"replayed"`
	RetryAfterMS float64 `json:"retry_after_ms"`
	Coverage     struct {
		SharePercent float64 `json:"share_percent"`
		Missing      []struct{ Shard, Reason string }
	} `json:"coverage"`
}

var client = &http.Client{Timeout: waitTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

func send(url, key, body string) answer {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return answer{Outcome: err.Error()}
	}
	// Without GetBody, net/http cannot resend the request on another connection.
	request.GetBody = nil
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	reply, err := client.Do(request)
	if err != nil {
		return answer{Outcome: err.Error()}
	}
	defer reply.Body.Close()
	a := answer{Status: reply.StatusCode, RetryAfter: reply.Header.Get("Retry-After")}
	if err := json.NewDecoder(reply.Body).Decode(&a); err != nil {
		return answer{Outcome: err.Error()}
	}
	return a
}

// search sends a search through a node.
func (s *system) search(node int, body string) answer {
	return send("http://"+s.nodes[node].listenFields["callers"]+"/v1/search", "", body)
}

// searchWithRetry sends a search, and sends it again after the time that the node
// asks for as long as the node refuses it with status 429.
func (s *system) searchWithRetry(node int, body string) answer {
	deadline := time.Now().Add(waitTimeout)
	for {
		a := s.search(node, body)
		if a.Status != http.StatusTooManyRequests || a.Outcome != "not_run" || time.Now().After(deadline) {
			return a
		}
		time.Sleep(time.Duration(a.RetryAfterMS * float64(time.Millisecond)))
	}
}

// work sends a work order through a node.
func (s *system) work(node int, key, body string) answer {
	return send("http://"+s.nodes[node].listenFields["callers"]+"/v1/work", key, body)
}

// complete reports whether a search was answered with all shards.
func (a answer) complete() bool {
	return a.Status == http.StatusOK && a.Outcome == "answered" && a.Coverage.SharePercent == 100
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// postAdmin sends a POST request to a program's admin listener.
func (s *system) postAdmin(p *process, path, body string) {
	s.t.Helper()
	reply, err := client.Post("http://"+p.listenFields["admin"]+path, "application/json", strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	_ = reply.Body.Close()
	if reply.StatusCode >= 300 {
		s.t.Fatalf("%s %s: status %d", path, body, reply.StatusCode)
	}
}

// getAdmin sends a GET request to a program's admin listener and decodes the response
// into to.
func (s *system) getAdmin(p *process, path string, to any) {
	s.t.Helper()
	reply, err := client.Get("http://" + p.listenFields["admin"] + path)
	if err != nil {
		s.t.Fatal(err)
	}
	defer reply.Body.Close()
	if err := json.NewDecoder(reply.Body).Decode(to); err != nil {
		s.t.Fatal(err)
	}
}

// counters reads the counters of the platform.
func (s *system) counters() platform.Counters {
	s.t.Helper()
	var counters platform.Counters
	s.getAdmin(s.platform, "/admin/counters", &counters)
	return counters
}

// claimHolder returns the node that holds the claim of a work order, which is the
// one that sent the order to the target c1.
func (s *system) claimHolder(key string) *process {
	s.t.Helper()
	var journal struct {
		Work []struct {
			Key     string
			Attempt struct {
				Life uint64 `json:",string"`
			}
		}
	}
	s.getAdmin(s.targets["c1"], "/targets/c1/journal", &journal)
	for _, w := range journal.Work {
		for i, n := range s.nodes {
			if w.Key != key || !n.running() {
				continue
			}
			if out, _ := s.exec(i, "x", "", "show status"); strings.Contains(out, fmt.Sprintf("%016x", w.Attempt.Life)) {
				return n
			}
		}
	}
	s.t.Fatalf("no running node holds the claim of work order %s", key)
	return nil
}

// runningNode returns the index of the first node that is running.
func (s *system) runningNode() int {
	return slices.IndexFunc(s.nodes, (*process).running)
}

// openConnections returns how many connections a target has.
func (s *system) openConnections(name string) int {
	var list []target.Status
	s.getAdmin(s.targets[name], "/targets", &list)
	return list[0].Connections
}

func (s *system) journalFile(target string) string {
	return filepath.Join(s.dir, target+".work.jsonl")
}

// runCount counts how often the targets of the service crews started the work order
// of a key.
func (s *system) runCount(key string) int {
	s.t.Helper()
	n := 0
	for name := range s.targets {
		text, err := os.ReadFile(s.journalFile(name))
		if err != nil && !os.IsNotExist(err) {
			s.t.Fatal(err)
		}
		n += bytes.Count(text, []byte(key))
	}
	return n
}

// waitFor waits until a condition holds and ends the test after waitTimeout.
func (s *system) waitFor(what string, holds func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			s.t.Fatalf("%s: did not happen in time", what)
		}
	}
}

// readyStatus returns the HTTP status of a node's readiness check, or 0 if the node
// cannot be reached.
func (s *system) readyStatus(node int) int {
	reply, err := client.Get("http://" + s.nodes[node].listenFields["callers"] + "/readyz")
	if err != nil {
		return 0
	}
	defer reply.Body.Close()
	_, _ = io.Copy(io.Discard, reply.Body)
	return reply.StatusCode
}

func (s *system) waitReady(node int) {
	s.t.Helper()
	s.waitFor("readiness", func() bool { return s.readyStatus(node) == http.StatusOK })
}

// runProgram runs a program to its end and returns its output and exit code.
func runProgram(t *testing.T, name string, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(programDir, name), args...)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, sig os.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
}

// waitExitCode waits for the end of the process and returns its exit code.
func (p *process) waitExitCode(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not end", p.cmd.Path)
		return -1
	}
}
