package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/baobabsail/baobabsail/entry/operatorhttp"
)

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// maxCellRunes bounds the length of a table's cell: the text of a change that
// creates a partition map has many KB.
const maxCellRunes = 120

// print writes the answer in the chosen form.
func (c *execCommand) print(w io.Writer, answer operatorhttp.Answer) error {
	if c.Output == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	if len(answer.Results) == 0 {
		_, err := fmt.Fprintln(w, verdict(answer.Outcome, string(answer.Reason), answer.Message))
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

func printResult(w io.Writer, r operatorhttp.Result) error {
	if r.Outcome != operatorhttp.OK {
		_, _ = fmt.Fprintln(w, verdict(r.Outcome, string(r.Reason), r.Message))
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

func verdict(o operatorhttp.Outcome, reason, message string) string {
	parts := []string{string(o)}
	for _, p := range []string{reason, message} {
		if p != "" {
			parts = append(parts, p)
		}
	}
	return strings.Join(parts, ": ")
}

func printChange(w io.Writer, o operatorhttp.Outcome, c *operatorhttp.Change) {
	if o == operatorhttp.OK {
		_, _ = fmt.Fprintf(w, "accepted: change %s, revision %d\n", c.ID, c.Revision)
	}
	if win := c.Winner; win != nil {
		_, _ = fmt.Fprintf(w, "change %s by %s came first at revision %d: %s\n", win.ID, win.Who, win.Revision, win.Why)
	}
}

func printTable(w io.Writer, columns []string, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, line := range append([][]string{columns}, rows...) {
		cells := make([]string, len(line))
		for i, cell := range line {
			// A tab or line break inside a value would break the table.
			cells[i] = shorten(strings.Join(strings.Fields(cell), " "))
		}
		_, _ = fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	return table.Flush()
}

// shorten cuts a long cell; the JSON form has the whole text.
func shorten(cell string) string {
	runes := []rune(cell)
	if len(runes) <= maxCellRunes {
		return cell
	}
	return string(runes[:maxCellRunes]) + " ..."
}

func printCoverage(w io.Writer, c *operatorhttp.Coverage, limitReached bool) {
	_, _ = fmt.Fprintf(w, "coverage %g%%: %d shards of epoch %d at version %d\n", c.SharePercent, c.CoveredShards, c.Epoch, c.Version)
	for _, m := range c.Missing {
		_, _ = fmt.Fprintf(w, "missing %s: %s\n", m.Shard, m.Reason)
	}
	if limitReached {
		_, _ = fmt.Fprintln(w, "more rows match; the limit is reached")
	}
}
