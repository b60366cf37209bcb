package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of one run. Times are in milliseconds, shares in percent.
type Report struct {
	Seed      uint64  `json:"seed"`
	Rate      float64 `json:"rate_per_second"`
	ElapsedMS float64 `json:"elapsed_ms"`
	// Kinds has one report for searches and one for work orders. A kind without
	// requests is left out.
	Kinds    map[Kind]KindReport `json:"kinds"`
	Coverage *CoverageReport     `json:"coverage,omitempty"`
	// Seconds counts the searches by the second of their scheduled start, relative
	// to the start of the run and including the warm-up.
	Seconds []SecondReport `json:"seconds,omitempty"`
	// Targets is set if Settings.TargetAdmins was given.
	Targets *TargetReport `json:"targets,omitempty"`
	// Work has one record for each work order request sent, for CheckWork.
	Work []WorkRecord `json:"-"`

	needed uint64
}

// SecondReport counts the searches scheduled in one second of the run.
type SecondReport struct {
	Sent     uint64 `json:"sent"`
	Answered uint64 `json:"answered"`
	// Whole counts answers that cover the whole index.
	Whole uint64 `json:"whole"`
}

// KindReport summarises the requests of one kind.
type KindReport struct {
	Sent uint64 `json:"sent"`
	// All covers every request sent, Answered only those with outcome "answered".
	All      Latency           `json:"all"`
	Answered Latency           `json:"answered"`
	Outcomes map[string]uint64 `json:"outcomes"`
	Reasons  map[string]uint64 `json:"reasons"`
	Statuses map[string]uint64 `json:"statuses"`
	Replayed uint64            `json:"replayed"`
}

// Latency summarises latencies, measured from the scheduled start.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// CoverageReport summarises the index coverage of the answered searches.
type CoverageReport struct {
	Answers      uint64  `json:"answers"`
	MeanPercent  float64 `json:"mean_percent"`
	WorstPercent float64 `json:"worst_percent"`
	WholePercent float64 `json:"whole_answers_percent"`
	// Missing counts missing shards by reason.
	Missing map[string]uint64 `json:"missing"`
}

// TargetReport compares the number of requests that targets received, including
// refused ones, with the number that the answers needed: one for each shard of an
// answered search and one for each work order that ran.
type TargetReport struct {
	Received  uint64  `json:"received"`
	Needed    uint64  `json:"needed"`
	PerNeeded float64 `json:"received_per_needed"`
}

func (r *results) report(s Settings, elapsed time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{
		Seed: s.Seed, Rate: s.RatePerSecond, ElapsedMS: float64(elapsed.Microseconds()) / 1000,
		Kinds: make(map[Kind]KindReport), Work: r.records, needed: r.needed, Seconds: r.seconds,
	}
	for kind, k := range r.kinds {
		out.Kinds[kind] = KindReport{
			Sent: k.sent, All: latencyOf(k.all), Answered: latencyOf(k.answered),
			Outcomes: k.outcomes, Reasons: k.reasons, Statuses: k.statuses, Replayed: k.replayed,
		}
	}
	if c := r.coverage; c.answers > 0 {
		out.Coverage = &CoverageReport{
			Answers: c.answers, MeanPercent: c.sum / float64(c.answers), WorstPercent: c.worst,
			WholePercent: wholePercent * float64(c.whole) / float64(c.answers), Missing: c.missing,
		}
	}
	return out
}

func (r *Report) setTargetRequests(known bool, received uint64) {
	if !known {
		return
	}
	r.Targets = &TargetReport{Received: received, Needed: r.needed}
	if r.needed > 0 {
		r.Targets.PerNeeded = float64(received) / float64(r.needed)
	}
}

func latencyOf(h *hdr.Histogram) Latency {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)), P99: ms(h.ValueAtQuantile(99)),
		P999: ms(h.ValueAtQuantile(99.9)), Max: ms(h.Max()),
	}
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report as human-readable text.
func (r *Report) WriteText(w io.Writer) error {
	t := &textWriter{w: w}
	t.line("seed %d, %.1f requests/s, %.1f s", r.Seed, r.Rate, r.ElapsedMS/1000)
	for _, kind := range slices.Sorted(maps.Keys(r.Kinds)) {
		k := r.Kinds[kind]
		t.line("%s: sent %d, replayed %d", kind, k.Sent, k.Replayed)
		t.latency("all", k.All)
		t.latency("answered", k.Answered)
		t.counts("outcomes", k.Outcomes)
		t.counts("reasons", k.Reasons)
		t.counts("statuses", k.Statuses)
	}
	if c := r.Coverage; c != nil {
		t.line("coverage: mean %.3f %%, worst %.3f %%, whole answers %.3f %% of %d", c.MeanPercent, c.WorstPercent, c.WholePercent, c.Answers)
		t.counts("missing shards", c.Missing)
	}
	if n := r.Targets; n != nil {
		t.line("target requests: received %d, needed %d, received per needed %.3f", n.Received, n.Needed, n.PerNeeded)
	}
	return t.err
}

// textWriter writes lines until the first error, which it keeps.
type textWriter struct {
	w   io.Writer
	err error
}

func (t *textWriter) line(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.w, format+"\n", args...)
	}
}

func (t *textWriter) latency(name string, l Latency) {
	t.line("  latency of %s (%d): p50 %.3f ms, p99 %.3f ms, p99.9 %.3f ms, max %.3f ms", name, l.Count, l.P50, l.P99, l.P999, l.Max)
}

func (t *textWriter) counts(name string, counts map[string]uint64) {
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		t.line("  %s: %s %d", name, key, counts[key])
	}
}
