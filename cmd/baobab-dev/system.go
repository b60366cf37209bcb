package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/baobabsail/baobabsail/entry"
	"github.com/baobabsail/baobabsail/entry/operatorhttp"
	"github.com/baobabsail/baobabsail/entry/settings"
	"github.com/baobabsail/baobabsail/entry/telemetry"
	"github.com/baobabsail/baobabsail/standin/platform"
	"github.com/baobabsail/baobabsail/standin/target"
)

const (
	loopbackAddress = "127.0.0.1:0"
	dataCentre      = "dc-a"
	// slotsPerTarget and maxConnections are the limits of each target; the replicas are
	// configured with the same values.
	slotsPerTarget  = 4
	maxConnections  = 45
	seed            = 1
	workTargetCount = 2
	// setupTimeout limits the wait until the configuration is in effect on every node.
	setupTimeout = 20 * time.Second
	// pollInterval is the time between two attempts at a setup step.
	pollInterval = 50 * time.Millisecond
)

// system is a complete query tier with the stand-ins that it needs. The search service
// is called readings, the work service crews.
type system struct {
	platform      *platform.Platform
	hosts         []*target.Host
	searchTargets []*target.Target
	workTargets   []*target.Target
	nodes         []*entry.Entry
}

// startSystem starts all components and waits until every node is ready with the
// configuration in effect. After an error, it stops what it has started.
func startSystem(ctx context.Context, a arguments, log *telemetry.Logger) (*system, error) {
	s := &system{}
	if err := s.start(ctx, a, log); err != nil {
		_ = s.stop()
		return nil, err
	}
	return s, nil
}

func (s *system) start(ctx context.Context, a arguments, log *telemetry.Logger) error {
	if err := s.startPlatform(); err != nil {
		return err
	}
	if err := s.startTargets(a); err != nil {
		return err
	}
	for i := range a.Nodes {
		node, err := entry.Start(s.nodeSettings(i), entry.Options{Log: log})
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, node)
	}
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	if err := s.configure(ctx, a); err != nil {
		return err
	}
	for _, n := range s.nodes {
		if err := waitReady(ctx, n.CallersAddress()); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) startPlatform() error {
	p, err := platform.New(platform.Settings{Listen: loopbackAddress})
	if err != nil {
		return err
	}
	if err := p.Start(); err != nil {
		return err
	}
	s.platform = p
	return nil
}

// startTargets starts the targets of both services. Shard i has a replica on target i
// and one on target i+1, modulo the number of targets.
func (s *system) startTargets(a arguments) error {
	searchSettings := make([]target.Settings, a.Targets)
	for i := range searchSettings {
		searchSettings[i] = targetSettings("readings", i, a.Rows)
	}
	for i := range a.Shards {
		first, last := shardRange(i, a.Shards)
		shard := target.Shard{Epoch: 1, Name: shardName(i), First: first, Last: last}
		for _, targetIndex := range []int{i % a.Targets, (i + 1) % a.Targets} {
			searchSettings[targetIndex].Shards = append(searchSettings[targetIndex].Shards, shard)
		}
	}
	workSettings := make([]target.Settings, workTargetCount)
	for i := range workSettings {
		workSettings[i] = targetSettings("crews", i, 1)
	}
	var err error
	if s.searchTargets, err = s.startHost(searchSettings); err != nil {
		return err
	}
	s.workTargets, err = s.startHost(workSettings)
	return err
}

// startHost starts a host, which runs several targets in this process.
func (s *system) startHost(configs []target.Settings) ([]*target.Target, error) {
	host, err := target.NewHost(configs)
	if err != nil {
		return nil, err
	}
	if err := host.Start(); err != nil {
		return nil, err
	}
	s.hosts = append(s.hosts, host)
	return host.Targets(), nil
}

func targetSettings(service string, i, rows int) target.Settings {
	return target.Settings{
		Name: targetName(service, i), Listen: loopbackAddress, Service: service, Seed: seed, Rows: rows,
		Versions: []uint64{1}, KeepVersions: 2, Slots: slotsPerTarget, Queue: 64, Connections: maxConnections,
		ServiceTime: target.ServiceTime{MedianMS: 0.2, Sigma: 0.5},
	}
}

// targetName returns a short name, because the statements for 620 shards must fit in
// one change.
func targetName(service string, i int) string { return fmt.Sprintf("%c%d", service[0], i) }

func shardName(i int) string { return fmt.Sprintf("s%03d", i) }

// shardRange returns the hash range of shard i; the shards divide 0..2^32-1 evenly.
func shardRange(i, shards int) (first, last uint32) {
	const hashes = 1 << 32
	start := func(k int) uint64 { return uint64(k) * hashes / uint64(shards) }
	return uint32(start(i)), uint32(start(i+1) - 1)
}

// nodeSettings returns the settings of node i, with the nodes started before as peers.
func (s *system) nodeSettings(i int) *settings.Settings {
	out := settings.Defaults()
	out.Name = settings.Name(fmt.Sprintf("entry-%d", i+1))
	out.DataCentre, out.VM = dataCentre, settings.Name(fmt.Sprintf("vm-%d", i+1))
	out.Callers.Listen, out.Operators.Listen, out.Peers.Listen = loopbackAddress, loopbackAddress, loopbackAddress
	out.Platform.Stores = []settings.URL{settings.URL(s.platform.URL())}
	out.Shutdown.AcceptFor = settings.Duration(acceptFor)
	for j, n := range s.nodes {
		out.Peers.List = append(out.Peers.List, settings.Peer{
			Name:    settings.Name(fmt.Sprintf("entry-%d", j+1)),
			Address: settings.RemoteAddress(n.PeersAddress()),
		})
	}
	return out
}

// setupStatements returns the statements, sent as one change, that create both
// services with their replicas and shards.
func (s *system) setupStatements(a arguments) string {
	lines := []string{
		"create service readings kind search deadline 2s",
		"create service crews kind work deadline 5s",
	}
	for _, group := range [][]*target.Target{s.searchTargets, s.workTargets} {
		for _, t := range group {
			lines = append(lines, fmt.Sprintf("create replica %s of %s address %s data centre %s vm vm-%s slots %d connections %d",
				t.Name(), t.Service(), t.Address(), dataCentre, t.Name(), slotsPerTarget, maxConnections))
		}
	}
	for i := range a.Shards {
		first, last := shardRange(i, a.Shards)
		lines = append(lines, fmt.Sprintf("create shard %s of readings range %d to %d on %s, %s",
			shardName(i), first, last, targetName("readings", i%a.Targets), targetName("readings", (i+1)%a.Targets)))
	}
	return strings.Join(lines, ";\n")
}

// configure sends the change until it is accepted, because a node that has just
// started may not have read the store yet. If a change took effect but its response
// was lost, the next attempt is rejected as invalid since the services already exist;
// configure then returns an error.
func (s *system) configure(ctx context.Context, a arguments) error {
	body, err := json.Marshal(operatorhttp.Request{Text: s.setupStatements(a), Who: "baobab-dev", Why: "sample system"})
	if err != nil {
		return err
	}
	url := "http://" + s.nodes[0].OperatorsAddress() + "/v1/statements"
	for {
		answer, err := post(ctx, url, body)
		switch {
		case err == nil && answer.Outcome == operatorhttp.OK:
			return nil
		case err == nil && answer.Outcome == operatorhttp.Invalid:
			return fmt.Errorf("configuration: %s", answer.Message)
		}
		if waitPollInterval(ctx) != nil {
			return fmt.Errorf("the node did not accept the configuration: %s %s %w", answer.Outcome, answer.Reason, errors.Join(err, ctx.Err()))
		}
	}
}

func post(ctx context.Context, url string, body []byte) (operatorhttp.Answer, error) {
	var answer operatorhttp.Answer
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

// waitReady polls /readyz until the node is ready or ctx is cancelled.
func waitReady(ctx context.Context, address string) error {
	for {
		response, err := http.Get("http://" + address + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := waitPollInterval(ctx); err != nil {
			return fmt.Errorf("node at %s did not become ready: %w", address, err)
		}
	}
}

// waitPollInterval waits for pollInterval, or returns an error if ctx is cancelled.
func waitPollInterval(ctx context.Context) error {
	select {
	case <-time.After(pollInterval):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stop shuts the nodes down and then closes the stand-ins.
func (s *system) stop() error {
	var errs []error
	for _, n := range s.nodes {
		errs = append(errs, n.Shutdown())
	}
	for _, h := range s.hosts {
		h.Close()
	}
	if s.platform != nil {
		s.platform.Close()
	}
	return errors.Join(errs...)
}
