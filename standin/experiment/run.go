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
	// counterAge is how old the counters of a node may be.
	counterAge = 2200 * time.Millisecond
	// healthCheckMS is the interval of the health checks of the load balancer.
	healthCheckMS = 1000
	// loadSlack is added to the length of a load for its last answers.
	loadSlack = 40 * time.Second
)

// Run measures all cells one after the other. It returns what was measured also
// with an error, which ends the experiment.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.check(); err != nil {
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
		cell := o.measure(ctx, c, fmt.Sprintf("%03d-%s-%s-%s", i, c.deployment.Name, c.scenario.Name, c.policy.Name))
		result.Cells = append(result.Cells, cell)
		if o.Progress != nil {
			o.Progress(cell)
		}
	}
	return result, nil
}

// measure runs one cell in a system of its own. An error is part of the cell.
func (o *Options) measure(ctx context.Context, c cellOf, name string) Cell {
	cell := Cell{Deployment: c.deployment.Name, Scenario: c.scenario.Name, Policy: c.policy.Name, LoadAverage: loadAverage()}
	directory := filepath.Join(o.Directory, name)
	if err := os.MkdirAll(directory, 0o700); err != nil {
		cell.Error = err.Error()
		return cell
	}
	s := &system{
		deployment: &c.deployment, policy: c.policy, programs: o.Programs, directory: directory, seed: o.Seed,
	}
	err := o.phases(ctx, s, &c.scenario, &cell)
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

// phases starts the system, and runs the phases of a scenario.
func (o *Options) phases(ctx context.Context, s *system, sc *Scenario, cell *Cell) error {
	if err := s.start(ctx, sc.restartDelay); err != nil {
		return err
	}
	if sc.before != nil {
		if err := sc.before(ctx, s); err != nil {
			return err
		}
	}
	before := make(counters)
	for i, p := range sc.Phases {
		during := sc.during
		if i > 0 {
			during = nil
		}
		report, err := o.phase(ctx, s, p, during)
		if err != nil {
			return err
		}
		if err := pause(ctx, counterAge); err != nil {
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

// phase runs the load generator once, with the fault of the scenario.
func (o *Options) phase(ctx context.Context, s *system, p Phase, during func(context.Context, *system, time.Duration) error) (*load.Report, error) {
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
	ctx, cancel := context.WithTimeout(ctx, total+loadSlack)
	defer cancel()
	file, err := s.writeJSON("load-"+p.Name+".json", load.Settings{
		Endpoints: s.callers(), Caller: "experiment", Seed: o.Seed, RatePerSecond: rate,
		DurationMS: total.Milliseconds(), WarmUpMS: warmUp.Milliseconds(), Requests: requests,
		NetworkDelayMS: s.deployment.ClientMS, HealthCheckMS: healthCheckMS, TargetAdmins: s.targetAdmins,
	})
	if err != nil {
		return nil, err
	}
	reportFile := filepath.Join(s.directory, "report-"+p.Name+".json")
	generator, err := s.run(ctx, "load-"+p.Name, "baobab-load", "--settings="+file, "--json="+reportFile)
	if err != nil {
		return nil, err
	}
	faults := make(chan error, 1)
	go func() { faults <- runFault(ctx, s, warmUp, o.Measure, during) }()
	_, err = generator.event(ctx, "stopped")
	cancel() // ends the fault if it still runs
	if faultErr := <-faults; err == nil {
		err = faultErr
	}
	if err != nil {
		return nil, err
	}
	return readReport(reportFile)
}

// runFault waits for the end of the warm-up and runs the fault of a scenario.
func runFault(ctx context.Context, s *system, warmUp, limit time.Duration, during func(context.Context, *system, time.Duration) error) error {
	if during == nil || pause(ctx, warmUp) != nil {
		return nil
	}
	err := during(ctx, s, limit)
	if ctx.Err() != nil {
		return nil // the load is over
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

// loadAverage returns the load averages of the machine as the kernel prints
// them, or an empty text.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	parts := strings.Fields(string(text))
	return strings.Join(parts[:min(3, len(parts))], " ")
}
