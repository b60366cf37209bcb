package experiment

import (
	"context"
	"time"
)

// Policy is how the nodes treat slow parts.
type Policy struct {
	Name      string `json:"name"`
	SlowParts string `json:"slow_parts"`
	// HedgeDelay is empty for the delay from the latency quantile.
	HedgeDelay string `json:"hedge_delay,omitempty"`
	Budget     string `json:"budget"`
}

// DesignPolicy is the name of the policy that the others are compared with.
const DesignPolicy = "design"

// Policies returns the design's policy and the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: DesignPolicy, SlowParts: "hedge", Budget: "bounded"},
		{Name: "wait", SlowParts: "wait", Budget: "bounded"},
		// 100 ms is about ten times the mean service time.
		{Name: "timeout", SlowParts: "replace", HedgeDelay: "100ms", Budget: "unbounded"},
		// 40 ms is near the 0.95 quantile of an attempt in the steady state.
		{Name: "hedge-fixed", SlowParts: "hedge", HedgeDelay: "40ms", Budget: "unbounded"},
	}
}

func (p Policy) settings() map[string]string {
	out := map[string]string{"slow_parts": p.SlowParts, "budget": p.Budget}
	if p.HedgeDelay != "" {
		out["hedge_delay"] = p.HedgeDelay
	}
	return out
}

// Phase is one run of the load generator within a scenario.
type Phase struct {
	Name string
	// Share is the load as a part of the capacity.
	Share float64
	// NoWarmUp reports from the first request on.
	NoWarmUp bool
}

// Scenario is one situation to measure.
type Scenario struct {
	Name   string
	Phases []Phase
	// restartDelay is how long a crashed target is gone.
	restartDelay time.Duration
	// before runs before the load.
	before func(context.Context, *system) error
	// during runs with the first phase, from the end of the warm-up on, for the
	// given time at most.
	during func(context.Context, *system, time.Duration) error
}

// Loads as parts of the capacity.
const (
	usualLoad = 0.4
	peakLoad  = 1.0
	overload  = 1.5
	calmLoad  = 0.5
)

const (
	stragglerFactor = 15
	slowFactor      = 10
	crashRestart    = time.Second
	goneForGood     = time.Hour
	poison          = "poison"
	poisonEvery     = 100 * time.Millisecond
	versionEvery    = time.Second
	// silencedPerTarget is half of the connections of 8 nodes.
	silencedPerTarget = 4
	drainGraceMS      = 500
	drainPause        = 600 * time.Millisecond
)

// Scenarios returns all scenarios in the order of the table.
func Scenarios() []Scenario {
	usual := []Phase{{Name: "usual", Share: usualLoad}}
	list := []Scenario{
		{Name: "steady"},
		{Name: "stragglers-1", before: stragglers(0.01)},
		{Name: "stragglers-5", before: stragglers(0.05)},
		{Name: "slow-replica", before: slowReplica},
		{Name: "replica-lost", during: loseReplica, restartDelay: goneForGood},
		{Name: "node-killed", during: killNode},
		{Name: "silenced", during: silence},
		{Name: "store-out", before: storeOut},
		{Name: "rolling-restart", during: rollingRestart},
		{Name: "overload", Phases: []Phase{
			{Name: "peak", Share: peakLoad}, {Name: "overload", Share: overload}, {Name: "after", Share: calmLoad, NoWarmUp: true},
		}},
		{Name: "new-versions", during: newVersions},
		{Name: "crashing-request", before: armCrash, during: crashingRequest},
	}
	for i := range list {
		if list[i].Phases == nil {
			list[i].Phases = usual
		}
		if list[i].restartDelay == 0 {
			list[i].restartDelay = crashRestart
		}
	}
	return list
}

func stragglers(share float64) func(context.Context, *system) error {
	return func(ctx context.Context, s *system) error {
		return s.searchTargets(ctx, "faults", map[string]float64{"straggler_share": share, "straggler_factor": stragglerFactor})
	}
}

func slowReplica(ctx context.Context, s *system) error {
	return s.target(ctx, s.firstReplica(), "faults", map[string]float64{"slow_factor": slowFactor})
}

func loseReplica(ctx context.Context, s *system, _ time.Duration) error {
	return s.target(ctx, s.firstReplica(), "crash", struct{}{})
}

func killNode(ctx context.Context, s *system, _ time.Duration) error {
	s.endNode(ctx, len(s.nodes)-1)
	return nil
}

// silence makes half of the connections of every first replica silent.
func silence(ctx context.Context, s *system, _ time.Duration) error {
	for i := range s.deployment.services {
		service := &s.deployment.services[i]
		if service.work {
			continue
		}
		if err := s.target(ctx, service.replica(0), "connections", map[string]int{"silence": silencedPerTarget}); err != nil {
			return err
		}
	}
	return nil
}

func storeOut(ctx context.Context, s *system) error {
	return postJSON(ctx, s.platformAdmin+"/admin/faults", map[string]bool{"down": true}, nil)
}

// rollingRestart drains and restarts the targets of the search services one
// after the other.
func rollingRestart(ctx context.Context, s *system, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, replica := range s.deployment.searchReplicas() {
		if time.Now().Add(drainPause).After(end) {
			return nil
		}
		if err := s.target(ctx, replica, "drain", map[string]int{"grace_ms": drainGraceMS}); err != nil {
			return err
		}
		if pause(ctx, drainPause) != nil {
			return nil
		}
		if err := s.target(ctx, replica, "restart", struct{}{}); err != nil {
			return err
		}
	}
	return nil
}

func newVersions(ctx context.Context, s *system, limit time.Duration) error {
	return repeat(ctx, limit, versionEvery, func(int) error {
		return s.allTargets(ctx, "versions", map[string]bool{"advance": true})
	})
}

func armCrash(ctx context.Context, s *system) error {
	return s.searchTargets(ctx, "faults", map[string]string{"crash_on": poison})
}

// crashingRequest sends the same crashing search through the nodes in turn.
func crashingRequest(ctx context.Context, s *system, limit time.Duration) error {
	first := s.deployment.services[0].name
	body := map[string]any{"service": first, "conditions": []map[string]string{{"field": "site", "operator": "=", "value": poison}}}
	return repeat(ctx, limit, poisonEvery, func(i int) error {
		url := s.nodes[i%len(s.nodes)].callers + "/v1/search"
		go func() { _ = postJSON(ctx, url, body, &statementAnswer{}) }()
		return nil
	})
}

// repeat runs a step at an interval until the limit or the end of the context.
func repeat(ctx context.Context, limit, interval time.Duration, step func(int) error) error {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		if err := step(i); err != nil {
			return err
		}
		if pause(ctx, interval) != nil {
			return nil
		}
	}
	return nil
}
