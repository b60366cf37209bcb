package experiment

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/baobabsail/baobabsail/standin/load"
)

// maxReasonsShown is the maximum number of reasons listed in a table field.
const maxReasonsShown = 4

// WriteText writes a table of all cells, a table with the ratios of the project's
// policy to the baselines, a table of refusals and retries by reason, and the
// errors of failed cells. The tables are in Markdown.
func (r *Result) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	p := &printer{w: t}
	p.line("%s warm-up and %s measured per phase, seed %d, usual load %.2f of the capacity, %d different searches per service, %d hardware threads",
		milliseconds(r.WarmUpMS), milliseconds(r.MeasureMS), r.Seed, r.UsualShare, r.Distinct, r.HardwareCPUs)
	for _, n := range r.Notes {
		p.line("%s", n)
	}
	p.line("")
	p.row("deployment", "scenario", "phase", "policy", "searches", "p50 ms", "p99 ms", "p99.9 ms", "coverage mean %", "worst %", "whole %",
		"answered %", "answered/s", "whole/s", "received/needed", "extra %", "recovered s", "node us/request", "load avg")
	p.separator(19)
	r.eachPhase(func(c *Cell, ph *PhaseResult) {
		p.row(append([]string{c.Deployment, c.Scenario, ph.Name, c.Policy}, ph.columns(c)...)...)
	})
	p.line("")
	r.writeRatios(p)
	r.writeReasons(p)
	for _, c := range r.Cells {
		if c.Error != "" {
			p.line("%s %s %s failed: %s", c.Deployment, c.Scenario, c.Policy, c.Error)
		}
	}
	if p.err != nil {
		return p.err
	}
	return t.Flush()
}

// eachPhase calls f for each phase of each cell.
func (r *Result) eachPhase(f func(*Cell, *PhaseResult)) {
	for i := range r.Cells {
		for k := range r.Cells[i].Phases {
			f(&r.Cells[i], &r.Cells[i].Phases[k])
		}
	}
}

// columns returns the table columns that follow the names.
func (ph *PhaseResult) columns(c *Cell) []string {
	search := ph.Report.Kinds[load.KindSearch]
	out := []string{fmt.Sprint(search.Sent), formatMS(search.All.P50), formatMS(search.All.P99), formatMS(search.All.P999)}
	if cov := ph.Report.Coverage; cov != nil {
		out = append(out, fmt.Sprintf("%.2f", cov.MeanPercent), fmt.Sprintf("%.1f", cov.WorstPercent), fmt.Sprintf("%.2f", cov.WholePercent))
	} else {
		out = append(out, "-", "-", "-")
	}
	perNeeded := "-"
	if ph.Report.Targets != nil {
		perNeeded = fmt.Sprintf("%.3f", ph.Report.Targets.PerNeeded)
	}
	return append(out, fmt.Sprintf("%.2f", ph.AnsweredPercent), fmt.Sprintf("%.0f", ph.GoodputPerSecond), fmt.Sprintf("%.0f", ph.WholePerSecond), perNeeded,
		fmt.Sprintf("%.2f", ph.ExtraPercent), fmt.Sprint(ph.RecoveredSeconds), c.processorTimePerRequest(), c.LoadAverage)
}

// processorTimePerRequest returns the processor time of the nodes per request to a
// target in microseconds, over the whole cell including the start of the nodes.
func (c *Cell) processorTimePerRequest() string {
	sent := uint64(0)
	for i := range c.Phases {
		sent += c.Phases[i].Counters["sent/first"] + c.Phases[i].Counters["sent/extra"]
	}
	if sent == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", c.NodeProcessorSeconds*1e6/float64(sent))
}

// formatMS formats a number of milliseconds.
func formatMS(v float64) string { return fmt.Sprintf("%.1f", v) }

// writeRatios writes the ratios of the project's policy to each baseline. The
// project's policy is better where the ratio is below 1 for latency and requests, or
// above 1 for coverage and answers.
func (r *Result) writeRatios(p *printer) {
	p.row("deployment", "scenario", "phase", "design to", "p50", "p99", "p99.9", "coverage", "whole", "answered", "received/needed")
	p.separator(11)
	r.eachPhase(func(c *Cell, ph *PhaseResult) {
		if c.Policy == DesignPolicy {
			return
		}
		design := r.findPhase(c.Deployment, c.Scenario, DesignPolicy, ph.Name)
		if design == nil {
			return
		}
		p.row(append([]string{c.Deployment, c.Scenario, ph.Name, c.Policy}, ratios(design, ph)...)...)
	})
	p.line("")
}

// ratios returns the columns of the table of ratios that follow the names.
func ratios(design, base *PhaseResult) []string {
	a, b := design.Report.Kinds[load.KindSearch].All, base.Report.Kinds[load.KindSearch].All
	out := []string{ratio(a.P50, b.P50), ratio(a.P99, b.P99), ratio(a.P999, b.P999)}
	if x, y := design.Report.Coverage, base.Report.Coverage; x != nil && y != nil {
		out = append(out, ratio(x.MeanPercent, y.MeanPercent), ratio(x.WholePercent, y.WholePercent))
	} else {
		out = append(out, "-", "-")
	}
	out = append(out, ratio(design.AnsweredPercent, base.AnsweredPercent))
	if x, y := design.Report.Targets, base.Report.Targets; x != nil && y != nil {
		return append(out, ratio(x.PerNeeded, y.PerNeeded))
	}
	return append(out, "-")
}

func ratio(a, b float64) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", a/b)
}

// writeReasons writes a table of the largest counters of each kind.
func (r *Result) writeReasons(p *printer) {
	p.row("deployment", "scenario", "phase", "policy", "caller outcomes", "refused", "retried and hedged", "retry denied", "missing")
	p.separator(9)
	r.eachPhase(func(c *Cell, ph *PhaseResult) {
		outcomes := make(map[string]uint64)
		for kind, k := range ph.Report.Kinds {
			for name, n := range k.Outcomes {
				outcomes[string(kind)+" "+name] = n
			}
		}
		p.row(c.Deployment, c.Scenario, ph.Name, c.Policy, topCounts(outcomes, ""), topCounts(ph.Counters, "refused/"),
			joinRetriesAndHedges(topCounts(ph.Counters, "retried/"), topCounts(ph.Counters, "hedged/")), topCounts(ph.Counters, "retry_denied/"), topCounts(ph.Counters, "missing/"))
	})
}

// joinRetriesAndHedges joins two lists of counts, either of which may be "-".
func joinRetriesAndHedges(retries, hedges string) string {
	switch {
	case retries == "-":
		return hedges
	case hedges == "-":
		return retries
	}
	return retries + "; hedged " + hedges
}

// topCounts lists the largest counts whose names start with prefix, without the
// prefix, or returns "-" if there are none.
func topCounts(counts map[string]uint64, prefix string) string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if strings.HasPrefix(name, prefix) && counts[name] > 0 {
			names = append(names, name)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(counts[b], counts[a]) })
	var parts []string
	for _, name := range names[:min(maxReasonsShown, len(names))] {
		parts = append(parts, fmt.Sprintf("%s %d", strings.TrimPrefix(name, prefix), counts[name]))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

// printer writes lines and keeps the first error, after which it writes nothing.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (p *printer) row(columns ...string) { p.line("%s", "| "+strings.Join(columns, "\t| ")+"\t|") }

func (p *printer) separator(columns int) { p.line("%s", "|"+strings.Repeat("---|", columns)) }
