package routing

import (
	"encoding/json"
	"fmt"
	"io"
)

// WriteMarkdown writes one table per scenario. Each cell has the median over the seeds,
// with the minimum and maximum in brackets.
func WriteMarkdown(w io.Writer, r Result) error {
	scenario := ""
	for _, row := range r.Rows {
		if row.Scenario != scenario {
			scenario = row.Scenario
			if err := writeHeader(w, scenario); err != nil {
				return err
			}
		}
		if err := writeRow(w, row); err != nil {
			return err
		}
	}
	return nil
}

func writeHeader(w io.Writer, scenario string) error {
	_, err := fmt.Fprintf(w, "\n### %s\n\n"+
		"| policy | on time %% | p50 ms | p99 ms | p99.9 ms | late %% | refused %% | failed %% | wasted %% | others on time %% | recovery s | violations |\n"+
		"|---|---|---|---|---|---|---|---|---|---|---|---|\n", scenario)
	return err
}

func writeRow(w io.Writer, row Row) error {
	_, err := fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %d |\n",
		row.Policy, percent(row.OnTime), decimal(row.P50), decimal(row.P99), decimal(row.P999), percent(row.Late),
		percent(row.Refused), percent(row.Failed), percent(row.Wasted), percent(row.OthersOnTime), decimal(row.Recovery), row.Violations)
	return err
}

func percent(s Spread) string {
	return fmt.Sprintf("%.2f (%.2f-%.2f)", 100*s.Median, 100*s.Min, 100*s.Max)
}

func decimal(s Spread) string {
	return fmt.Sprintf("%.1f (%.1f-%.1f)", s.Median, s.Min, s.Max)
}

// WriteJSON writes the result as indented JSON.
func WriteJSON(w io.Writer, r Result) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
