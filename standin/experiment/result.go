package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"strings"
	"time"

	"github.com/baobabsail/baobabsail/standin/load"
)

const percent = 100

// Result holds the parameters and measurements of an experiment.
type Result struct {
	Seed         uint64  `json:"seed"`
	WarmUpMS     int64   `json:"warm_up_ms"`
	MeasureMS    int64   `json:"measure_ms"`
	UsualShare   float64 `json:"usual_share_of_capacity"`
	Distinct     int     `json:"distinct_searches_per_service"`
	HardwareCPUs int     `json:"hardware_threads"`
	// Notes describe how the deployments were scaled down from those of the design
	// page, and how the processes were run.
	Notes []string `json:"notes"`
	Cells []Cell   `json:"cells"`
}

// Cell holds the measurements of one scenario of a deployment under one policy.
type Cell struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	// LoadAverage holds the load averages of the machine before the cell was run.
	LoadAverage string        `json:"load_average"`
	Phases      []PhaseResult `json:"phases"`
	// NodeProcessorSeconds is the processor time of all entry nodes from start to
	// exit, and NodePeakBytes the largest peak resident set size of a node.
	NodeProcessorSeconds float64 `json:"node_processor_seconds"`
	NodePeakBytes        int64   `json:"node_peak_bytes"`
	Error                string  `json:"error,omitempty"`
}

// PhaseResult holds the measurements of one phase of a scenario.
type PhaseResult struct {
	Name   string       `json:"name"`
	Share  float64      `json:"share_of_capacity"`
	Report *load.Report `json:"report"`
	// Counters holds by how much the counters of all nodes together increased in
	// the phase, by "kind/reason".
	Counters map[string]uint64 `json:"counters"`
	// ExtraPercent is the number of extra attempts (retries and hedges) as a
	// percentage of the first attempts.
	ExtraPercent float64 `json:"extra_percent"`
	// AnsweredPercent is the percentage of searches that were answered.
	AnsweredPercent float64 `json:"answered_percent"`
	// GoodputPerSecond is the number of answered searches per second.
	GoodputPerSecond float64 `json:"goodput_per_second"`
	// WholePerSecond is the number of answers per second that cover the whole index.
	WholePerSecond float64 `json:"whole_per_second"`
	// RecoveredSeconds is the first second of the load, counted from its start
	// including the warm-up, from which on at least 99 % of the searches of every
	// second were answered, or -1 if there is none.
	RecoveredSeconds int `json:"recovered_seconds"`
}

func newResult(o *Options) *Result {
	r := &Result{
		Seed: o.Seed, WarmUpMS: o.WarmUp.Milliseconds(), MeasureMS: o.Measure.Milliseconds(),
		UsualShare: usualLoad, Distinct: o.Distinct, HardwareCPUs: runtime.NumCPU(),
	}
	if o.Share > 0 {
		r.UsualShare = o.Share
	}
	for _, d := range Deployments() {
		r.Notes = append(r.Notes, fmt.Sprintf("%s: %s; %d data centres of %g ms, clients %g ms, capacity %.0f searches/s",
			d.Name, strings.Join(d.Reductions, ", "), d.DataCentres, d.HopMS, d.ClientMS, d.Capacity()))
	}
	r.Notes = append(r.Notes, "every target counts as in another data centre than the node; no delay is added between nodes and the store",
		"entry nodes run with GOMAXPROCS=2, the other processes with 4")
	return r
}

// newPhaseResult derives the figures of a phase from the report of the load
// generator and the increase of the counters of the nodes.
func newPhaseResult(p Phase, report *load.Report, increase counters) PhaseResult {
	out := PhaseResult{Name: p.Name, Share: p.Share, Report: report, Counters: increase, RecoveredSeconds: recoverySecond(report.Seconds)}
	if first := increase["sent/first"]; first > 0 {
		out.ExtraPercent = percent * float64(increase["sent/extra"]) / float64(first)
	}
	search := report.Kinds[load.KindSearch]
	answered := search.Outcomes["answered"]
	if search.Sent > 0 {
		out.AnsweredPercent = percent * float64(answered) / float64(search.Sent)
	}
	if report.ElapsedMS > 0 {
		answered, whole := uint64(0), uint64(0)
		for _, s := range report.Seconds {
			answered += s.Answered
			whole += s.Whole
		}
		out.GoodputPerSecond = float64(answered) / (report.ElapsedMS / 1000)
		out.WholePerSecond = float64(whole) / (report.ElapsedMS / 1000)
	}
	return out
}

// recoveredPercent is the percentage of answered searches from which on a second
// counts as recovered.
const recoveredPercent = 99

// recoverySecond returns the first second from which on all seconds are recovered,
// or -1 if there is none.
func recoverySecond(seconds []load.SecondReport) int {
	from := len(seconds)
	for i := len(seconds) - 1; i >= 0; i-- {
		if seconds[i].Answered*percent < seconds[i].Sent*recoveredPercent {
			break
		}
		from = i
	}
	if from == len(seconds) {
		return -1
	}
	return from
}

// findPhase returns the first phase with the given names, or nil.
func (r *Result) findPhase(deployment, scenario, policy, phase string) *PhaseResult {
	for i := range r.Cells {
		c := &r.Cells[i]
		if c.Deployment != deployment || c.Scenario != scenario || c.Policy != policy {
			continue
		}
		for k := range c.Phases {
			if c.Phases[k].Name == phase {
				return &c.Phases[k]
			}
		}
	}
	return nil
}

// WriteJSON writes the result as indented JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// ReadResult reads a result that WriteJSON wrote.
func ReadResult(in io.Reader) (*Result, error) {
	r := new(Result)
	if err := json.NewDecoder(in).Decode(r); err != nil {
		return nil, ErrSystem.Wrap(err, "decode a result")
	}
	return r, nil
}

// milliseconds returns a duration of ms milliseconds.
func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
