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
	loopback    = "127.0.0.1:0"
	dataCentre  = "dc-a"
	slots       = 4
	connections = 45
	seed        = 1
	crewTargets = 2
	// setUpLimit bounds the wait for the configuration to be in effect.
	setUpLimit = 20 * time.Second
	// pollPause is the pause between two tries of a step of the set-up.
	pollPause = 50 * time.Millisecond
)

// system is a whole query tier with its surroundings.
type system struct {
	platform *platform.Platform
	hosts    []*target.Host
	readings []*target.Target
	crews    []*target.Target
	nodes    []*entry.Entry
}

// startSystem starts everything and waits until every node has the
// configuration.
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
	ctx, cancel := context.WithTimeout(ctx, setUpLimit)
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
	p, err := platform.New(platform.Settings{Listen: loopback})
	if err != nil {
		return err
	}
	if err := p.Start(); err != nil {
		return err
	}
	s.platform = p
	return nil
}

// startTargets starts the targets of both services. Shard i is on the targets i
// and i+1, modulo their number.
func (s *system) startTargets(a arguments) error {
	readings := make([]target.Settings, a.Targets)
	for i := range readings {
		readings[i] = targetSettings("readings", i, a.Rows)
	}
	for i := range a.Shards {
		first, last := shardRange(i, a.Shards)
		shard := target.Shard{Epoch: 1, Name: shardName(i), First: first, Last: last}
		for _, on := range []int{i % a.Targets, (i + 1) % a.Targets} {
			readings[on].Shards = append(readings[on].Shards, shard)
		}
	}
	crews := make([]target.Settings, crewTargets)
	for i := range crews {
		crews[i] = targetSettings("crews", i, 1)
	}
	var err error
	if s.readings, err = s.startHost(readings); err != nil {
		return err
	}
	s.crews, err = s.startHost(crews)
	return err
}

func (s *system) startHost(list []target.Settings) ([]*target.Target, error) {
	host, err := target.NewHost(list)
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
		Name: targetName(service, i), Listen: loopback, Service: service, Seed: seed, Rows: rows,
		Versions: []uint64{1}, KeepVersions: 2, Slots: slots, Queue: 64, Connections: connections,
		ServiceTime: target.ServiceTime{MedianMS: 0.2, Sigma: 0.5},
	}
}

// targetName is short: the statements of 620 shards must fit in one change.
func targetName(service string, i int) string { return fmt.Sprintf("%c%d", service[0], i) }

func shardName(i int) string { return fmt.Sprintf("s%03d", i) }

// shardRange divides the hash range 0..2^32-1 evenly.
func shardRange(i, shards int) (first, last uint32) {
	const hashes = 1 << 32
	at := func(k int) uint64 { return uint64(k) * hashes / uint64(shards) }
	return uint32(at(i)), uint32(at(i+1) - 1)
}

func (s *system) nodeSettings(i int) *settings.Settings {
	out := settings.Defaults()
	out.Name = settings.Name(fmt.Sprintf("entry-%d", i+1))
	out.DataCentre, out.VM = dataCentre, settings.Name(fmt.Sprintf("vm-%d", i+1))
	out.Callers.Listen, out.Operators.Listen, out.Peers.Listen = loopback, loopback, loopback
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

// statements returns the change that creates both services.
func (s *system) statements(a arguments) string {
	lines := []string{
		"create service readings kind search deadline 2s",
		"create service crews kind work deadline 5s",
	}
	for _, group := range [][]*target.Target{s.readings, s.crews} {
		for _, t := range group {
			lines = append(lines, fmt.Sprintf("create replica %s of %s address %s data centre %s vm vm-%s slots %d connections %d",
				t.Name(), t.Service(), t.Address(), dataCentre, t.Name(), slots, connections))
		}
	}
	for i := range a.Shards {
		first, last := shardRange(i, a.Shards)
		lines = append(lines, fmt.Sprintf("create shard %s of readings range %d to %d on %s, %s",
			shardName(i), first, last, targetName("readings", i%a.Targets), targetName("readings", (i+1)%a.Targets)))
	}
	return strings.Join(lines, ";\n")
}

// configure sends the change until it is accepted: a node that has just started
// may not have read the store yet. A change that was lost and did take effect
// is found invalid when it is sent again, since the services exist.
func (s *system) configure(ctx context.Context, a arguments) error {
	body, err := json.Marshal(operatorhttp.Request{Text: s.statements(a), Who: "baobab-dev", Why: "sample system"})
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
		if pause(ctx) != nil {
			return fmt.Errorf("configuration is not accepted: %s %s %w", answer.Outcome, answer.Reason, errors.Join(err, ctx.Err()))
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
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, err
	}
	defer reply.Body.Close()
	return answer, json.NewDecoder(reply.Body).Decode(&answer)
}

func waitReady(ctx context.Context, address string) error {
	for {
		reply, err := http.Get("http://" + address + "/readyz")
		if err == nil {
			_ = reply.Body.Close()
			if reply.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := pause(ctx); err != nil {
			return fmt.Errorf("node at %s does not become ready: %w", address, err)
		}
	}
}

func pause(ctx context.Context) error {
	select {
	case <-time.After(pollPause):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stop shuts the nodes down and ends the stand-ins.
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
