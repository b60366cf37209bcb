package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/baobabsail/baobabsail/entry/operatorhttp"
)

// columnPadding is the number of spaces between table columns.
const columnPadding = 2

// maxCellRunes limits the length of a table cell: the text of a change that creates
// a partition map is many KB long.
const maxCellRunes = 120

// printAnswer writes the answer in the format chosen by --output.
func (c *execCommand) printAnswer(w io.Writer, answer operatorhttp.Answer) error {
	if c.Output == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	if len(answer.Results) == 0 {
		_, err := fmt.Fprintln(w, formatOutcome(answer.Outcome, string(answer.Reason), answer.Message))
		return err
	}
	for i, result := range answer.Results {
		if i > 0 {
			_, _ = fmt.Fprintln(w)
		}
		if err := printResult(w, result); err != nil {
			return err
		}
	}
	return nil
}

// printResult prints the result of one statement.
func printResult(w io.Writer, r operatorhttp.Result) error {
	if r.Outcome != operatorhttp.OK {
		_, _ = fmt.Fprintln(w, formatOutcome(r.Outcome, string(r.Reason), r.Message))
	}
	if r.RetryAfterMillis > 0 {
		_, _ = fmt.Fprintf(w, "retry after %d ms\n", r.RetryAfterMillis)
	}
	if c := r.Change; c != nil {
		printChange(w, r.Outcome, c)
	}
	if len(r.Columns) > 0 {
		if err := printTable(w, r.Columns, r.Rows); err != nil {
			return err
		}
	}
	if len(r.Document) > 0 {
		_, _ = fmt.Fprintf(w, "%s\n", r.Document)
	}
	if c := r.Coverage; c != nil {
		printCoverage(w, c, r.LimitReached)
	}
	return nil
}

// formatOutcome joins the outcome, the reason and the message, without empty parts.
func formatOutcome(outcome operatorhttp.Outcome, reason, message string) string {
	parts := []string{string(outcome)}
	for _, p := range []string{reason, message} {
		if p != "" {
			parts = append(parts, p)
		}
	}
	return strings.Join(parts, ": ")
}

// printChange prints an accepted change, or the change that won a conflict.
func printChange(w io.Writer, outcome operatorhttp.Outcome, c *operatorhttp.Change) {
	if outcome == operatorhttp.OK {
		_, _ = fmt.Fprintf(w, "accepted: change %s, revision %d\n", c.ID, c.Revision)
	}
	if winner := c.Winner; winner != nil {
		_, _ = fmt.Fprintf(w, "change %s by %s came first at revision %d: %s\n", winner.ID, winner.Who, winner.Revision, winner.Why)
	}
}

// printTable prints a header and rows in aligned columns.
func printTable(w io.Writer, columns []string, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	for _, row := range append([][]string{columns}, rows...) {
		cells := make([]string, len(row))
		for i, cell := range row {
			// A tab or line break inside a value would be read as the end of a cell or row.
			cells[i] = truncateCell(strings.Join(strings.Fields(cell), " "))
		}
		_, _ = fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	return table.Flush()
}

// truncateCell shortens a cell to maxCellRunes; the JSON output has the whole text.
func truncateCell(cell string) string {
	runes := []rune(cell)
	if len(runes) <= maxCellRunes {
		return cell
	}
	return string(runes[:maxCellRunes]) + " ..."
}

// printCoverage prints which part of the index a search covered.
func printCoverage(w io.Writer, c *operatorhttp.Coverage, limitReached bool) {
	_, _ = fmt.Fprintf(w, "coverage %g%%: %d shards of epoch %d at version %d\n", c.SharePercent, c.CoveredShards, c.Epoch, c.Version)
	for _, m := range c.Missing {
		_, _ = fmt.Fprintf(w, "missing %s: %s\n", m.Shard, m.Reason)
	}
	if limitReached {
		_, _ = fmt.Fprintln(w, "more rows match; the limit is reached")
	}
}
