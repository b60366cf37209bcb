package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/baobabsail/baobabsail/standin/load"
)

const (
	// maxCounterAge is the maximum age of the counters that a node serves, which it
	// exports periodically. They are read this long after the end of a phase, so that
	// they include the whole phase.
	maxCounterAge = 2200 * time.Millisecond
	// healthCheckIntervalMS is the interval of the health checks that the load
	// generator makes in the role of the load balancer.
	healthCheckIntervalMS = 1000
	// loadTimeoutMargin is added to the duration of a load to receive the last
	// responses.
	loadTimeoutMargin = 40 * time.Second
)

// Run measures the selected cells one after another. A failed cell does not end
// the experiment. If ctx or the limit of the options ends it, Run returns the cells
// measured so far with an error.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	cells, err := o.cells()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.Limit)
	defer cancel()
	result := newResult(&o)
	for i, c := range cells {
		if ctx.Err() != nil {
			return result, ErrSystem.Wrap(ctx.Err(), "%d of %d cells were measured", i, len(cells))
		}
		cell := o.measureCell(ctx, c, fmt.Sprintf("%03d-%s-%s-%s", i, c.deployment.Name, c.scenario.Name, c.policy.Name))
		result.Cells = append(result.Cells, cell)
		if o.Progress != nil {
			o.Progress(cell)
		}
	}
	return result, nil
}

// measureCell starts a system for the cell, measures it and stops the system. An
// error is stored in the returned cell.
func (o *Options) measureCell(ctx context.Context, c cellSpec, name string) Cell {
	cell := Cell{Deployment: c.deployment.Name, Scenario: c.scenario.Name, Policy: c.policy.Name, LoadAverage: loadAverage()}
	directory := filepath.Join(o.Directory, name)
	if err := os.MkdirAll(directory, 0o700); err != nil {
		cell.Error = err.Error()
		return cell
	}
	s := &system{
		deployment: &c.deployment, policy: c.policy, programDirectory: o.Programs, directory: directory, seed: o.Seed,
	}
	err := o.runPhases(ctx, s, &c.scenario, &cell)
	s.stop()
	if err != nil {
		cell.Error = err.Error()
	}
	for _, n := range s.nodes {
		cell.NodeProcessorSeconds += n.process.processorTime().Seconds()
		cell.NodePeakBytes = max(cell.NodePeakBytes, n.process.peakMemory())
	}
	return cell
}

// runPhases starts the system, runs the phases of a scenario and appends their
// results to cell.
func (o *Options) runPhases(ctx context.Context, s *system, sc *Scenario, cell *Cell) error {
	if err := s.start(ctx, sc.restartDelay); err != nil {
		return err
	}
	if sc.beforeLoad != nil {
		if err := sc.beforeLoad(ctx, s); err != nil {
			return err
		}
	}
	before := make(counters)
	for i, p := range sc.Phases {
		during := sc.duringLoad
		if i > 0 {
			during = nil
		}
		report, err := o.runPhase(ctx, s, p, during)
		if err != nil {
			return err
		}
		if err := sleep(ctx, maxCounterAge); err != nil {
			return err
		}
		after, err := s.counters(ctx)
		if err != nil {
			return err
		}
		cell.Phases = append(cell.Phases, newPhaseResult(p, report, after.since(before)))
		before = after
	}
	return nil
}

// runPhase runs the load generator once, while the given function, if any,
// injects the fault of the scenario.
func (o *Options) runPhase(ctx context.Context, s *system, p Phase, during func(context.Context, *system, time.Duration) error) (*load.Report, error) {
	share := p.Share
	if o.Share > 0 && share == usualLoad {
		share = o.Share
	}
	warmUp := o.WarmUp
	if p.NoWarmUp {
		warmUp = 0
	}
	requests, rate := s.deployment.requests(share, o.Distinct)
	total := warmUp + o.Measure
	ctx, cancel := context.WithTimeout(ctx, total+loadTimeoutMargin)
	defer cancel()
	file, err := s.writeJSON("load-"+p.Name+".json", load.Settings{
		Endpoints: s.callerURLs(), Caller: "experiment", Seed: o.Seed, RatePerSecond: rate,
		DurationMS: total.Milliseconds(), WarmUpMS: warmUp.Milliseconds(), Requests: requests,
		NetworkDelayMS: s.deployment.ClientMS, HealthCheckMS: healthCheckIntervalMS, TargetAdmins: s.targetAdminURLs,
	})
	if err != nil {
		return nil, err
	}
	reportFile := filepath.Join(s.directory, "report-"+p.Name+".json")
	generator, err := s.startProgram(ctx, "load-"+p.Name, "baobab-load", "--settings="+file, "--json="+reportFile)
	if err != nil {
		return nil, err
	}
	faults := make(chan error, 1)
	go func() { faults <- runFault(ctx, s, warmUp, o.Measure, during) }()
	_, err = generator.waitForEvent(ctx, "stopped")
	cancel() // stops the fault injection if it still runs
	if faultErr := <-faults; err == nil {
		err = faultErr
	}
	if err != nil {
		return nil, err
	}
	return readReport(reportFile)
}

// runFault waits for the end of the warm-up and injects the fault of a scenario.
// An error after the end of ctx is ignored, since the load has ended by then.
func runFault(ctx context.Context, s *system, warmUp, limit time.Duration, during func(context.Context, *system, time.Duration) error) error {
	if during == nil || sleep(ctx, warmUp) != nil {
		return nil
	}
	err := during(ctx, s, limit)
	if ctx.Err() != nil {
		return nil // the load has ended
	}
	return err
}

func readReport(path string) (*load.Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrSystem.Wrap(err, "read the report of the load")
	}
	report := new(load.Report)
	if err := json.Unmarshal(text, report); err != nil {
		return nil, ErrSystem.Wrap(err, "decode the report of the load")
	}
	return report, nil
}

// loadAverage returns the three load averages of the machine in the format of
// /proc/loadavg, or an empty string if they cannot be read.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	parts := strings.Fields(string(text))
	return strings.Join(parts[:min(3, len(parts))], " ")
}
