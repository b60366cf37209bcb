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
	// startTimeout is the time limit for the start of a system.
	startTimeout = 30 * time.Second
	// pollInterval is the delay between attempts at a step of the start.
	pollInterval = 50 * time.Millisecond
	anyPort      = "127.0.0.1:0"
)

// node is an entry node of the system.
type node struct {
	name        string
	process     *process
	callerURL   string // base URL
	operatorURL string // base URL
	peerAddress string // host:port
	// lastCounters holds the counters that were last read. They are the ones used
	// after the node has ended.
	lastCounters counters
}

// system is a deployment under one policy and the processes that run it.
type system struct {
	deployment       *Deployment
	policy           Policy
	programDirectory string
	directory        string
	seed             uint64

	processes        []*process
	storeURL         string // base URL
	platformAdminURL string // base URL
	targetAdminURLs  []string
	adminURLOf       map[string]string // replica to base URL of its admin interface
	nodes            []*node
}

// start starts the processes of the deployment and waits until every node is
// ready. The caller must call stop, also after an error.
func (s *system) start(ctx context.Context, restartDelay time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
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
		if err := waitReady(ctx, n.callerURL); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes of the system and waits for them.
func (s *system) stop() { stopAll(s.processes) }

// startProgram starts a program of the project; stop ends it.
func (s *system) startProgram(ctx context.Context, name, program string, args ...string) (*process, error) {
	if err := ctx.Err(); err != nil {
		return nil, ErrProcess.Wrap(err, "start %s", name)
	}
	p, err := startProcess(s.directory, name, maxProcs(program), filepath.Join(s.programDirectory, program), args...)
	if err == nil {
		s.processes = append(s.processes, p)
	}
	return p, err
}

// maxProcs returns GOMAXPROCS for a program: 2 for an entry node, which runs on a
// small VM, and 4 for others.
func maxProcs(program string) int {
	if program == "baobabd" {
		return 2
	}
	return 4
}

// startPlatform starts the stand-in platform with a VM for each node and replica.
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
	p, err := s.startProgram(ctx, "platform", "baobab-platform", args...)
	if err != nil {
		return err
	}
	listening, err := p.waitForEvent(ctx, "listening")
	if err != nil {
		return err
	}
	s.storeURL, s.platformAdminURL = "http://"+listening["store"], "http://"+listening["admin"]
	return nil
}

// startTargets starts the processes that host the targets and returns the
// addresses of the replicas by name. Replica i of each service runs in process
// i modulo targetProcesses.
func (s *system) startTargets(ctx context.Context, restartDelay time.Duration) (map[string]string, error) {
	hosts := make([]target.FileSettings, targetProcesses)
	for i := range s.deployment.services {
		delayMS := float64(restartDelay.Milliseconds())
		for r, t := range s.deployment.targets(&s.deployment.services[i], delayMS) {
			host := &hosts[r%targetProcesses]
			host.Targets = append(host.Targets, t)
		}
	}
	s.adminURLOf = make(map[string]string)
	addresses := make(map[string]string)
	for i := range hosts {
		file, err := s.writeJSON(fmt.Sprintf("targets-%d.json", i), hosts[i])
		if err != nil {
			return nil, err
		}
		p, err := s.startProgram(ctx, fmt.Sprintf("targets-%d", i), "baobab-target", "--settings="+file, "--crash=restart", "--drain=0")
		if err != nil {
			return nil, err
		}
		listening, err := p.waitForEvent(ctx, "listening")
		if err != nil {
			return nil, err
		}
		admin := "http://" + listening["admin"]
		s.targetAdminURLs = append(s.targetAdminURLs, admin)
		for _, t := range hosts[i].Targets {
			addresses[t.Name] = listening[t.Name]
			s.adminURLOf[t.Name] = admin
		}
	}
	return addresses, nil
}

func nodeName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// startNode starts entry node i with the nodes started before it as its peers.
func (s *system) startNode(ctx context.Context, i int) error {
	name := nodeName(i)
	peers := []map[string]string{}
	for _, n := range s.nodes {
		peers = append(peers, map[string]string{"name": n.name, "address": n.peerAddress})
	}
	listen := map[string]string{"listen": anyPort}
	file, err := s.writeJSON(name+".json", map[string]any{
		"name": name, "data_centre": s.deployment.dataCentre(i), "vm": "vm-" + name,
		"callers": listen, "operators": listen,
		"peers":     map[string]any{"listen": anyPort, "list": peers},
		"platform":  map[string]any{"stores": []string{s.storeURL}, "vm_list": s.storeURL},
		"shutdown":  map[string]string{"accept_for": "10ms", "total_limit": "4s"},
		"policy":    s.policy.settings(),
		"log_level": "info",
		"seed":      s.seed + uint64(i) + 1,
	})
	if err != nil {
		return err
	}
	p, err := s.startProgram(ctx, name, "baobabd", "run", file)
	if err != nil {
		return err
	}
	started, err := p.waitForEvent(ctx, "started")
	if err != nil {
		return err
	}
	s.nodes = append(s.nodes, &node{
		name: name, process: p, callerURL: "http://" + started["callers"],
		operatorURL: "http://" + started["operators"], peerAddress: started["peers"],
	})
	return nil
}

// writeJSON writes a JSON file to the directory of the system and returns its path.
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

// statementResponse holds the fields that are used of a response to statements.
type statementResponse struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

// configure sends the statements that create the deployment to the first node until
// it accepts them, since a node that has just started may not have read the store yet.
func (s *system) configure(ctx context.Context, addresses map[string]string) error {
	body := map[string]string{"text": s.deployment.statements(addresses), "who": "experiment", "why": "EXP-1: set up"}
	var response statementResponse
	for {
		err := postJSON(ctx, s.nodes[0].operatorURL+"/v1/statements", body, &response)
		switch {
		case response.Outcome == "ok":
			return nil
		case response.Outcome == "invalid":
			return ErrSystem.New("configuration: %s", response.Message)
		}
		if sleep(ctx, pollInterval) != nil {
			return ErrSystem.New("the configuration was not accepted: %s %s %v", response.Outcome, response.Reason, err)
		}
	}
}

// waitReady polls a node until it reports that it is ready or ctx ends.
func waitReady(ctx context.Context, callerURL string) error {
	for {
		if err := checkStatusOK(ctx, callerURL+"/readyz"); err == nil {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return ErrSystem.Wrap(err, "%s does not become ready", callerURL)
		}
	}
}

// sleep waits for d or until ctx ends, and returns the error of ctx if it ended.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// callerURLs returns the base URLs for callers of all nodes.
func (s *system) callerURLs() []string {
	var out []string
	for _, n := range s.nodes {
		out = append(out, n.callerURL)
	}
	return out
}

// postToTarget posts body to an endpoint of the admin interface for one target.
func (s *system) postToTarget(ctx context.Context, replica, endpoint string, body any) error {
	admin := s.adminURLOf[replica]
	if admin == "" {
		return ErrSystem.New("no target %s", replica)
	}
	return postJSON(ctx, admin+"/targets/"+replica+"/"+endpoint, body, nil)
}

// postToAllTargets posts body to an admin endpoint for all targets.
func (s *system) postToAllTargets(ctx context.Context, endpoint string, body any) error {
	for _, admin := range s.targetAdminURLs {
		if err := postJSON(ctx, admin+"/targets/all/"+endpoint, body, nil); err != nil {
			return err
		}
	}
	return nil
}

// postToSearchTargets posts body to an admin endpoint for each target of the search
// services.
func (s *system) postToSearchTargets(ctx context.Context, endpoint string, body any) error {
	for _, replica := range s.deployment.searchReplicas() {
		if err := s.postToTarget(ctx, replica, endpoint, body); err != nil {
			return err
		}
	}
	return nil
}

// killNode reads the counters of an entry node if they are available and kills the
// node with SIGKILL.
func (s *system) killNode(ctx context.Context, i int) {
	n := s.nodes[i]
	if last, err := readCounters(ctx, n.operatorURL); err == nil {
		n.lastCounters = last
	}
	n.process.kill()
}

// firstReplica returns the first replica of the first search service.
func (s *system) firstReplica() string { return s.deployment.searchReplicas()[0] }
