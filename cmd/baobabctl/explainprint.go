package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/forward"
)

// maxListedServices is the number of services that a line of the summary names.
const maxListedServices = 10

// printExplanation prints an explanation as text.
func printExplanation(w io.Writer, x *forward.Explanation) error {
	line := func(label, format string, args ...any) {
		_, _ = fmt.Fprintf(w, "%-12s %s\n", label, fmt.Sprintf(format, args...))
	}
	line("decision", "%s", withReason(string(x.Decision), x.Reason))
	line("node", "%s in %s, configuration version %d%s", x.Node, x.DataCentre, x.Version, optional(x.StoreLost, ", store lost"))
	line("route", "%s", formatRoute(x.Route))
	switch a := x.Account; {
	case a != nil:
		line("account", "%s", formatAccount(a))
	case x.Route.KeyNeeded:
		line("account", "none, but the route needs a key")
	}
	if len(x.Evacuated) > 0 {
		line("evacuated", "%s", join(x.Evacuated))
	}
	if a := x.Admission; a != nil {
		line("admission", "%s of the requests are admitted, the next one %s", percent(a.Share), yesNo(a.Next, "is", "is not"))
	}
	printSummary(line, x)
	for _, g := range x.Groups {
		line("range", "%d: %d shards %s to %s run at %s (%s)%s", g.Group, g.Shards, g.First, g.Last,
			yesNo(g.OwnRange, "this node", "one of "+strings.Join(g.Nodes, " ")), g.Reason,
			optional(len(g.Suspected) > 0, "; suspect: "+strings.Join(g.Suspected, " ")))
	}
	if len(x.Parts) == 0 {
		return nil
	}
	_, _ = fmt.Fprintln(w)
	return printReplicas(w, x)
}

// printSummary prints where the parts of a request go.
func printSummary(line func(label, format string, args ...any), x *forward.Explanation) {
	s := x.Summary
	var decisions []string
	for _, d := range slices.Sorted(maps.Keys(s.ByDecision)) {
		decisions = append(decisions, fmt.Sprintf("%d %s", s.ByDecision[d], d))
	}
	for _, reason := range slices.Sorted(maps.Keys(s.ByReason)) {
		decisions = append(decisions, fmt.Sprintf("reason %s: %d", reason, s.ByReason[reason]))
	}
	line(yesNo(x.Route.Sharded, "shards", "services"), "%d (%s)", s.Parts, strings.Join(decisions, ", "))
	var shares []string
	for _, dc := range slices.SortedFunc(maps.Keys(s.DataCentres), func(a, b api.DataCentre) int {
		return cmp.Or(cmp.Compare(s.DataCentres[b], s.DataCentres[a]), cmp.Compare(a, b))
	}) {
		shares = append(shares, fmt.Sprintf("%s to %s", percent(s.DataCentres[dc]), dc))
	}
	if len(shares) > 0 {
		line("attempts", "%s", strings.Join(shares, ", "))
	}
	if len(s.NoLocal) > 0 {
		line("no local", "%d without a usable replica in %s: %s", len(s.NoLocal), x.DataCentre, shorten(s.NoLocal))
	}
	if len(s.NoReplica) > 0 {
		line("no replica", "%d without any usable replica: %s", len(s.NoReplica), shorten(s.NoReplica))
	}
}

// printReplicas prints a table of the replicas of each listed part.
func printReplicas(w io.Writer, x *forward.Explanation) error {
	columns := []string{"service", "decision", "replica", "data centre", "use", "share", "state", "connections", "latency", "load"}
	var rows [][]string
	for _, p := range x.Parts {
		service, decision := string(p.Service), withReason(string(p.Decision), p.Reason)
		if p.Weight < 1 {
			service += " (" + percent(p.Weight) + ")"
		}
		if len(p.Replicas) == 0 {
			rows = append(rows, []string{service, decision, "none", "-", "-", "-", "-", "-", "-", "-"})
		}
		for i := range p.Replicas {
			r := &p.Replicas[i]
			rows = append(rows, []string{
				service, decision, string(r.Replica), string(r.DataCentre) + optional(r.Local, " (local)"), formatUse(r), percent(r.Share),
				formatState(r), fmt.Sprintf("%d of %d, %d open", r.Used, r.Quota, r.Open), formatLatency(r), formatLoad(r.Load),
			})
		}
	}
	if err := printTable(w, columns, rows); err != nil {
		return err
	}
	if x.OmittedReplicas > 0 {
		_, _ = fmt.Fprintf(w, "%d more replicas are not listed\n", x.OmittedReplicas)
	}
	return nil
}

func formatRoute(r forward.ExplainedRoute) string {
	text := fmt.Sprintf("%s (%s%s), priority %d, %s, up to %d attempts", r.Name, r.Host, r.Prefix, r.Priority,
		yesNo(r.Idempotent, "idempotent", "not idempotent"), r.MaxAttempts)
	if r.Sharded {
		text += fmt.Sprintf(", at least %s of the shards", percent(r.MinCoverage))
	}
	return text + optional(r.Public, ", public") + optional(len(r.HomeRegions) > 0, ", home regions "+join(r.HomeRegions))
}

func formatAccount(a *forward.ExplainedAccount) string {
	quota := "no quota"
	if a.PerSecond > 0 {
		quota = fmt.Sprintf("quota %g/s, burst %g", a.PerSecond, a.Burst)
		if a.Remaining != nil {
			quota += fmt.Sprintf(", %g left", *a.Remaining)
		} else {
			quota += ", remainder not known here"
		}
		quota += optional(a.OverQuota, ", refused here as over its quota a moment ago")
	}
	return fmt.Sprintf("%s, priority %d, %s", a.Name, a.Priority, quota) +
		optional(len(a.HomeRegions) > 0, ", home regions "+join(a.HomeRegions))
}

// formatUse says whether a replica may get the first attempt, and why not.
func formatUse(r *forward.ExplainedReplica) string {
	use := "no"
	switch {
	case r.Candidate == forward.CandidateNow:
		use = "candidate"
	case r.Candidate == forward.CandidateWithPermit:
		use = "with a permit"
	case r.Eligible:
		use = "if no other"
	}
	return withReason(use, r.Reason)
}

// formatState lists what is unusual about a replica.
func formatState(r *forward.ExplainedReplica) string {
	var list []string
	add := func(on bool, format string, args ...any) {
		if on {
			list = append(list, fmt.Sprintf(format, args...))
		}
	}
	add(!r.Registered, "registration lapsed")
	add(r.Draining, "draining")
	add(r.Leaving, "leaving")
	add(r.Evacuated, "evacuated")
	add(r.ColdPerSecond > 0, "%scold for %.0f ms (%g/s)", optional(r.ColdSuspected, "perhaps "), r.ColdMS, r.ColdPerSecond)
	add(r.RateLimit > 0, "limit %g/s", r.RateLimit)
	add(r.RateLimit > 0 || r.ColdPerSecond > 0, "%d permits%s", r.Permits, optional(r.Requesting, ", more requested"))
	add(r.Ramp < 1, "ramp %s", percent(r.Ramp))
	add(r.BackoffMS > 0, "backoff %.0f ms", r.BackoffMS)
	add(r.OverdueMS > 0, "overdue %.0f ms", r.OverdueMS)
	add(r.Stalled, "stalled")
	add(r.Suspect, "suspect%s", optional(r.ProbeDue, ", probe due"))
	if len(list) == 0 {
		return "ok"
	}
	return strings.Join(list, "; ")
}

func formatLatency(r *forward.ExplainedReplica) string {
	if r.LatencyMS == 0 {
		return "unknown"
	}
	return strconv.FormatFloat(r.LatencyMS, 'f', 1, 64) + " ms"
}

func formatLoad(l *forward.ExplainedLoad) string {
	if l == nil {
		return "none"
	}
	return fmt.Sprintf("%.2f, %.0f ms ago", l.Wait, l.AgeMS)
}

// withReason appends a reason, if there is one.
func withReason(text string, reason api.Reason) string {
	return text + optional(reason != "", ": "+string(reason))
}

func optional(on bool, text string) string { return yesNo(on, text, "") }

func yesNo(on bool, yes, no string) string {
	if on {
		return yes
	}
	return no
}

func percent(share float64) string { return strconv.FormatFloat(100*share, 'f', 0, 64) + "%" }

func join[T ~string](list []T) string { return shortenTo(list, len(list)) }

func shorten[T ~string](list []T) string { return shortenTo(list, maxListedServices) }

// shortenTo joins the first n elements of a list.
func shortenTo[T ~string](list []T, n int) string {
	var parts []string
	for _, s := range list[:min(n, len(list))] {
		parts = append(parts, string(s))
	}
	text := strings.Join(parts, " ")
	if len(list) > n {
		text += fmt.Sprintf(" and %d more", len(list)-n)
	}
	return text
}
