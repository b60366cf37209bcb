package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/baobabsail/baobabsail/standin/target"
)

const (
	// targetProcesses is the number of processes that host the targets.
	targetProcesses = 3
	// startLimit bounds the start of a system.
	startLimit = 30 * time.Second
	// pollPause is the pause between two tries of a step of the start.
	pollPause = 50 * time.Millisecond
	anyPort   = "127.0.0.1:0"
)

// node is one entry node.
type node struct {
	name      string
	process   *process
	callers   string // base URL
	operators string // base URL
	peers     string // host:port
	// last holds the counters at the last reading, for nodes that end.
	last counters
}

// system is a running deployment.
type system struct {
	deployment *Deployment
	policy     Policy
	programs   string
	directory  string
	seed       uint64

	processes     []*process
	store         string // base URL
	platformAdmin string // base URL
	targetAdmins  []string
	adminOf       map[string]string // replica to base URL of its admin interface
	nodes         []*node
}

// start starts the processes of a deployment, and waits until every node
// is ready. The caller must call stop, also after an error.
func (s *system) start(ctx context.Context, restartDelay time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := s.startPlatform(ctx); err != nil {
		return err
	}
	addresses, err := s.startTargets(ctx, restartDelay)
	if err != nil {
		return err
	}
	for i := range s.deployment.Nodes {
		if err := s.startNode(ctx, i); err != nil {
			return err
		}
	}
	if err := s.configure(ctx, addresses); err != nil {
		return err
	}
	for _, n := range s.nodes {
		if err := waitReady(ctx, n.callers); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes of the system and waits for them.
func (s *system) stop() { stopAll(s.processes) }

func (s *system) run(ctx context.Context, name, program string, args ...string) (*process, error) {
	if err := ctx.Err(); err != nil {
		return nil, ErrProcess.Wrap(err, "start %s", name)
	}
	p, err := startProcess(s.directory, name, threadsOf(program), filepath.Join(s.programs, program), args...)
	if err == nil {
		s.processes = append(s.processes, p)
	}
	return p, err
}

// threadsOf is 2 for an entry node, which runs on a small VM.
func threadsOf(program string) int {
	if program == "baobabd" {
		return 2
	}
	return 4
}

func (s *system) startPlatform(ctx context.Context) error {
	var args []string
	for i := range s.deployment.Nodes {
		args = append(args, "--vm=vm-"+nodeName(i))
	}
	for i := range s.deployment.services {
		service := &s.deployment.services[i]
		for r := range service.replicas {
			args = append(args, "--vm=vm-"+service.replica(r))
		}
	}
	p, err := s.run(ctx, "platform", "baobab-platform", args...)
	if err != nil {
		return err
	}
	listening, err := p.event(ctx, "listening")
	if err != nil {
		return err
	}
	s.store, s.platformAdmin = "http://"+listening["store"], "http://"+listening["admin"]
	return nil
}

// startTargets starts the targets, replica i of each service in process i modulo
// their number, and returns the addresses of the replicas.
func (s *system) startTargets(ctx context.Context, restartDelay time.Duration) (map[string]string, error) {
	hosts := make([]target.FileSettings, targetProcesses)
	for i := range s.deployment.services {
		delayMS := float64(restartDelay.Milliseconds())
		for r, t := range s.deployment.targets(&s.deployment.services[i], delayMS) {
			host := &hosts[r%targetProcesses]
			host.Targets = append(host.Targets, t)
		}
	}
	s.adminOf = make(map[string]string)
	addresses := make(map[string]string)
	for i := range hosts {
		file, err := s.writeJSON(fmt.Sprintf("targets-%d.json", i), hosts[i])
		if err != nil {
			return nil, err
		}
		p, err := s.run(ctx, fmt.Sprintf("targets-%d", i), "baobab-target", "--settings="+file, "--crash=restart", "--drain=0")
		if err != nil {
			return nil, err
		}
		listening, err := p.event(ctx, "listening")
		if err != nil {
			return nil, err
		}
		admin := "http://" + listening["admin"]
		s.targetAdmins = append(s.targetAdmins, admin)
		for _, t := range hosts[i].Targets {
			addresses[t.Name] = listening[t.Name]
			s.adminOf[t.Name] = admin
		}
	}
	return addresses, nil
}

func nodeName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// startNode starts an entry node that knows the nodes started before it.
func (s *system) startNode(ctx context.Context, i int) error {
	name := nodeName(i)
	peers := []map[string]string{}
	for _, n := range s.nodes {
		peers = append(peers, map[string]string{"name": n.name, "address": n.peers})
	}
	listen := map[string]string{"listen": anyPort}
	file, err := s.writeJSON(name+".json", map[string]any{
		"name": name, "data_centre": s.deployment.dataCentre(i), "vm": "vm-" + name,
		"callers": listen, "operators": listen,
		"peers":     map[string]any{"listen": anyPort, "list": peers},
		"platform":  map[string]any{"stores": []string{s.store}, "vm_list": s.store},
		"shutdown":  map[string]string{"accept_for": "10ms", "total_limit": "4s"},
		"policy":    s.policy.settings(),
		"log_level": "info",
		"seed":      s.seed + uint64(i) + 1,
	})
	if err != nil {
		return err
	}
	p, err := s.run(ctx, name, "baobabd", "run", file)
	if err != nil {
		return err
	}
	started, err := p.event(ctx, "started")
	if err != nil {
		return err
	}
	s.nodes = append(s.nodes, &node{
		name: name, process: p, callers: "http://" + started["callers"],
		operators: "http://" + started["operators"], peers: started["peers"],
	})
	return nil
}

func (s *system) writeJSON(name string, value any) (string, error) {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return "", ErrSystem.Wrap(err, "encode %s", name)
	}
	path := filepath.Join(s.directory, name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return "", ErrSystem.Wrap(err, "write %s", name)
	}
	return path, nil
}

// statementAnswer is the part of an answer to statements that is used.
type statementAnswer struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

// configure sends the change that creates the deployment until it is accepted:
// a node that has just started may not have read the store yet.
func (s *system) configure(ctx context.Context, addresses map[string]string) error {
	body := map[string]string{"text": s.deployment.statements(addresses), "who": "experiment", "why": "EXP-1: set up"}
	var answer statementAnswer
	for {
		err := postJSON(ctx, s.nodes[0].operators+"/v1/statements", body, &answer)
		switch {
		case answer.Outcome == "ok":
			return nil
		case answer.Outcome == "invalid":
			return ErrSystem.New("configuration: %s", answer.Message)
		}
		if pause(ctx, pollPause) != nil {
			return ErrSystem.New("the configuration was not accepted: %s %s %v", answer.Outcome, answer.Reason, err)
		}
	}
}

func waitReady(ctx context.Context, callers string) error {
	for {
		if err := getStatus(ctx, callers+"/readyz"); err == nil {
			return nil
		}
		if err := pause(ctx, pollPause); err != nil {
			return ErrSystem.Wrap(err, "%s does not become ready", callers)
		}
	}
}

// pause waits for a time or until the context ends.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *system) callers() []string {
	var out []string
	for _, n := range s.nodes {
		out = append(out, n.callers)
	}
	return out
}

// target posts to the admin interface of one target.
func (s *system) target(ctx context.Context, replica, what string, body any) error {
	admin := s.adminOf[replica]
	if admin == "" {
		return ErrSystem.New("no target %s", replica)
	}
	return postJSON(ctx, admin+"/targets/"+replica+"/"+what, body, nil)
}

// allTargets posts to the admin interfaces of all targets.
func (s *system) allTargets(ctx context.Context, what string, body any) error {
	for _, admin := range s.targetAdmins {
		if err := postJSON(ctx, admin+"/targets/all/"+what, body, nil); err != nil {
			return err
		}
	}
	return nil
}

// searchTargets posts to the admin interfaces of the targets of all search
// services.
func (s *system) searchTargets(ctx context.Context, what string, body any) error {
	for _, replica := range s.deployment.searchReplicas() {
		if err := s.target(ctx, replica, what, body); err != nil {
			return err
		}
	}
	return nil
}

// endNode kills an entry node at once.
func (s *system) endNode(ctx context.Context, i int) {
	n := s.nodes[i]
	if last, err := readCounters(ctx, n.operators); err == nil {
		n.last = last
	}
	n.process.kill()
}

// firstReplica returns the first replica of the first search service.
func (s *system) firstReplica() string { return s.deployment.searchReplicas()[0] }
