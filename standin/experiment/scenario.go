package experiment

import (
	"context"
	"time"
)

// Policy is a load policy of the nodes: what they do when a part of a fan-out
// (a request to one target) is slow.
type Policy struct {
	Name string `json:"name"`
	// SlowParts is the slow_parts setting of a node: hedge, wait or replace.
	SlowParts string `json:"slow_parts"`
	// HedgeDelay is a fixed delay before the extra request; if it is empty, nodes
	// derive the delay from a latency quantile.
	HedgeDelay string `json:"hedge_delay,omitempty"`
	// Budget is the budget setting of a node, for extra requests: bounded or
	// unbounded.
	Budget string `json:"budget"`
}

// DesignPolicy is the name of the project's own policy, which is compared with the
// baselines.
const DesignPolicy = "design"

// Policies returns the project's policy and the baselines.
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

// settings returns the "policy" section of the settings of a node.
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
	// Share is the load as a share of the capacity of the search services.
	Share float64
	// NoWarmUp starts the measurement with the first request.
	NoWarmUp bool
}

// Scenario is a load and an optional fault under which the policies are measured.
type Scenario struct {
	Name   string
	Phases []Phase
	// restartDelay is the time between a crash of a target and its restart.
	restartDelay time.Duration
	// beforeLoad sets up the scenario before the load starts; it may be nil.
	beforeLoad func(context.Context, *system) error
	// duringLoad injects the fault of the scenario in the first phase, starting at
	// the end of the warm-up and for the given time at most; it may be nil.
	duringLoad func(context.Context, *system, time.Duration) error
}

// Loads as shares of the capacity of the search services.
const (
	usualLoad    = 0.4
	peakLoad     = 1.0
	overload     = 1.5
	recoveryLoad = 0.5
)

const (
	stragglerFactor   = 15
	slowFactor        = 10
	crashRestartDelay = time.Second
	// neverRestart is a restart delay that keeps a crashed target down for the rest
	// of the scenario.
	neverRestart = time.Hour
	// poisonValue is the condition value of a search that crashes its targets.
	poisonValue     = "poison"
	poisonInterval  = 100 * time.Millisecond
	versionInterval = time.Second
	// silencedConnectionsPerTarget is half of the connections of a target to which
	// each of the 8 nodes has one connection.
	silencedConnectionsPerTarget = 4
	drainGraceMS                 = 500
	drainPause                   = 600 * time.Millisecond
)

// Scenarios returns all scenarios in the order of the table.
func Scenarios() []Scenario {
	usual := []Phase{{Name: "usual", Share: usualLoad}}
	list := []Scenario{
		{Name: "steady"},
		{Name: "stragglers-1", beforeLoad: setStragglers(0.01)},
		{Name: "stragglers-5", beforeLoad: setStragglers(0.05)},
		{Name: "slow-replica", beforeLoad: slowFirstReplica},
		{Name: "replica-lost", duringLoad: crashFirstReplica, restartDelay: neverRestart},
		{Name: "node-killed", duringLoad: killLastNode},
		{Name: "silenced", duringLoad: silenceConnections},
		{Name: "store-out", beforeLoad: storeOutage},
		{Name: "rolling-restart", duringLoad: rollingRestart},
		{Name: "overload", Phases: []Phase{
			{Name: "peak", Share: peakLoad}, {Name: "overload", Share: overload}, {Name: "after", Share: recoveryLoad, NoWarmUp: true},
		}},
		{Name: "new-versions", duringLoad: advanceVersions},
		{Name: "crashing-request", beforeLoad: setCrashTrigger, duringLoad: sendCrashingRequests},
	}
	for i := range list {
		if list[i].Phases == nil {
			list[i].Phases = usual
		}
		if list[i].restartDelay == 0 {
			list[i].restartDelay = crashRestartDelay
		}
	}
	return list
}

// setStragglers makes the given share of searches slower by stragglerFactor.
func setStragglers(share float64) func(context.Context, *system) error {
	return func(ctx context.Context, s *system) error {
		return s.postToSearchTargets(ctx, "faults", map[string]float64{"straggler_share": share, "straggler_factor": stragglerFactor})
	}
}

// slowFirstReplica slows the first replica of the first search service.
func slowFirstReplica(ctx context.Context, s *system) error {
	return s.postToTarget(ctx, s.firstReplica(), "faults", map[string]float64{"slow_factor": slowFactor})
}

// crashFirstReplica crashes the first replica of the first search service.
func crashFirstReplica(ctx context.Context, s *system, _ time.Duration) error {
	return s.postToTarget(ctx, s.firstReplica(), "crash", struct{}{})
}

// killLastNode kills the entry node that was started last.
func killLastNode(ctx context.Context, s *system, _ time.Duration) error {
	s.killNode(ctx, len(s.nodes)-1)
	return nil
}

// silenceConnections makes half of the connections of the first replica of each
// search service silent, which is silencedConnectionsPerTarget of them.
func silenceConnections(ctx context.Context, s *system, _ time.Duration) error {
	for i := range s.deployment.services {
		service := &s.deployment.services[i]
		if service.isWork {
			continue
		}
		if err := s.postToTarget(ctx, service.replica(0), "connections", map[string]int{"silence": silencedConnectionsPerTarget}); err != nil {
			return err
		}
	}
	return nil
}

// storeOutage makes the configuration store unavailable.
func storeOutage(ctx context.Context, s *system) error {
	return postJSON(ctx, s.platformAdminURL+"/admin/faults", map[string]bool{"down": true}, nil)
}

// rollingRestart drains and restarts the targets of the search services one
// after another, as far as the time limit allows.
func rollingRestart(ctx context.Context, s *system, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, replica := range s.deployment.searchReplicas() {
		if time.Now().Add(drainPause).After(end) {
			return nil
		}
		if err := s.postToTarget(ctx, replica, "drain", map[string]int{"grace_ms": drainGraceMS}); err != nil {
			return err
		}
		if sleep(ctx, drainPause) != nil {
			return nil
		}
		if err := s.postToTarget(ctx, replica, "restart", struct{}{}); err != nil {
			return err
		}
	}
	return nil
}

// advanceVersions advances the index version of all targets at an interval.
func advanceVersions(ctx context.Context, s *system, limit time.Duration) error {
	return repeat(ctx, limit, versionInterval, func(int) error {
		return s.postToAllTargets(ctx, "versions", map[string]bool{"advance": true})
	})
}

// setCrashTrigger makes the targets of the search services crash on a search with
// poisonValue.
func setCrashTrigger(ctx context.Context, s *system) error {
	return s.postToSearchTargets(ctx, "faults", map[string]string{"crash_on": poisonValue})
}

// sendCrashingRequests repeatedly sends the same crashing search, to each node in
// turn, without waiting for the responses.
func sendCrashingRequests(ctx context.Context, s *system, limit time.Duration) error {
	first := s.deployment.services[0].name
	body := map[string]any{"service": first, "conditions": []map[string]string{{"field": "site", "operator": "=", "value": poisonValue}}}
	return repeat(ctx, limit, poisonInterval, func(i int) error {
		url := s.nodes[i%len(s.nodes)].callerURL + "/v1/search"
		go func() { _ = postJSON(ctx, url, body, &statementResponse{}) }()
		return nil
	})
}

// repeat calls step at an interval until the time limit, an error of step or the
// end of ctx, which is no error.
func repeat(ctx context.Context, limit, interval time.Duration, step func(int) error) error {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		if err := step(i); err != nil {
			return err
		}
		if sleep(ctx, interval) != nil {
			return nil
		}
	}
	return nil
}
