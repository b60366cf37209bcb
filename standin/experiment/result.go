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

// Result is what an experiment measured.
type Result struct {
	Seed         uint64  `json:"seed"`
	WarmUpMS     int64   `json:"warm_up_ms"`
	MeasureMS    int64   `json:"measure_ms"`
	UsualShare   float64 `json:"usual_share_of_capacity"`
	Distinct     int     `json:"distinct_searches_per_service"`
	HardwareCPUs int     `json:"hardware_threads"`
	// Notes say what is smaller than in the design page.
	Notes []string `json:"notes"`
	Cells []Cell   `json:"cells"`
}

// Cell is one scenario under one policy.
type Cell struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	// LoadAverage is that of the machine before the cell.
	LoadAverage string        `json:"load_average"`
	Phases      []PhaseResult `json:"phases"`
	// NodeProcessorSeconds is the processor time of all entry nodes over their
	// whole life; NodePeakBytes the largest resident size of any.
	NodeProcessorSeconds float64 `json:"node_processor_seconds"`
	NodePeakBytes        int64   `json:"node_peak_bytes"`
	Error                string  `json:"error,omitempty"`
}

// PhaseResult is what one load showed.
type PhaseResult struct {
	Name   string       `json:"name"`
	Share  float64      `json:"share_of_capacity"`
	Report *load.Report `json:"report"`
	// Counters are those of all nodes, by kind/reason.
	Counters map[string]uint64 `json:"counters"`
	// ExtraPercent is the share of retries and hedges among first attempts.
	ExtraPercent float64 `json:"extra_percent"`
	// AnsweredPercent is the share of searches that were answered.
	AnsweredPercent float64 `json:"answered_percent"`
	// GoodputPerSecond counts answered searches per second.
	GoodputPerSecond float64 `json:"goodput_per_second"`
	// WholePerSecond counts answers that cover the whole index.
	WholePerSecond float64 `json:"whole_per_second"`
	// RecoveredSeconds is the time from which on 99 % of the searches of every
	// later second were answered; -1 if that never was the case.
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
			d.Name, strings.Join(d.Scaled, ", "), d.DataCentres, d.HopMS, d.ClientMS, d.Capacity()))
	}
	r.Notes = append(r.Notes, "every target counts as in another data centre than the node; no delay is added between nodes and the store",
		"entry nodes run with GOMAXPROCS=2, the other processes with 4")
	return r
}

func newPhaseResult(p Phase, report *load.Report, grown counters) PhaseResult {
	out := PhaseResult{Name: p.Name, Share: p.Share, Report: report, Counters: grown, RecoveredSeconds: recovered(report.Seconds)}
	if first := grown["sent/first"]; first > 0 {
		out.ExtraPercent = percent * float64(grown["sent/extra"]) / float64(first)
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

// recoveredShare is the share of answered searches of a second that counts as
// recovered, in percent.
const recoveredShare = 99

// recovered returns the first second from which on every second is recovered.
func recovered(seconds []load.SecondReport) int {
	from := len(seconds)
	for i := len(seconds) - 1; i >= 0; i-- {
		if seconds[i].Answered*percent < seconds[i].Sent*recoveredShare {
			break
		}
		from = i
	}
	if from == len(seconds) {
		return -1
	}
	return from
}

// phase returns a phase of a cell, or nil.
func (r *Result) phase(deployment, scenario, policy, phase string) *PhaseResult {
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

// WriteJSON writes the result as JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// ReadResult reads what WriteJSON wrote.
func ReadResult(in io.Reader) (*Result, error) {
	r := new(Result)
	if err := json.NewDecoder(in).Decode(r); err != nil {
		return nil, ErrSystem.Wrap(err, "decode a result")
	}
	return r, nil
}

// duration is a number of milliseconds.
func duration(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
