package colocation

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// Spread is the median, minimum and maximum over the seeds.
type Spread struct {
	Median, Min, Max float64
}

// SpreadOf returns the spread of a measure over the results of the row.
func (r *Row) SpreadOf(measure func(*Result) float64) Spread {
	values := make([]float64, len(r.Results))
	for i := range r.Results {
		values[i] = measure(&r.Results[i])
	}
	slices.Sort(values)
	return Spread{values[len(values)/2], values[0], values[len(values)-1]}
}

// column is a column of the table: its heading, number format and measure.
type column struct {
	name   string
	format string
	value  func(*Result) float64
}

func columns() []column {
	return []column{
		{"score", "%.1f", func(r *Result) float64 { return r.Score }},
		{"worst p99 / deadline", "%.2f", func(r *Result) float64 { return r.WorstP99 }},
		{"on time %", "%.2f", func(r *Result) float64 { return 100 * r.OnTime }},
		{"batch finished", "%.0f", func(r *Result) float64 { return float64(r.Finished) }},
		{"batch done %", "%.1f", func(r *Result) float64 { return 100 * r.Throughput }},
		{"slowdown", "%.1f", func(r *Result) float64 { return r.Slowdown }},
		{"evictions", "%.0f", func(r *Result) float64 { return float64(r.Evictions) }},
		{"lost cpu min", "%.1f", func(r *Result) float64 { return r.LostCPU.Minutes() }},
		{"longest wait s", "%.0f", func(r *Result) float64 { return r.MaxWait.Seconds() }},
		{"urgent late %", "%.1f", func(r *Result) float64 { return 100 * r.UrgentLateShare }},
		{"windows missed", "%.0f", func(r *Result) float64 { return float64(r.MissedWindows) }},
		{"used %", "%.0f", func(r *Result) float64 { return 100 * r.Utilisation }},
		{"failures", "%.0f", func(r *Result) float64 { return float64(r.Failures) }},
		{"overcommits", "%.0f", func(r *Result) float64 { return float64(r.Overcommits) }},
	}
}

// WriteMarkdown writes one table per site and scenario. Each cell has the median over the
// seeds, with the minimum and maximum in brackets.
func WriteMarkdown(w io.Writer, rows []Row) error {
	title := ""
	for i := range rows {
		r := &rows[i]
		if t := r.Site + ", " + string(r.Scenario); t != title {
			title = t
			if err := writeHeader(w, title); err != nil {
				return err
			}
		}
		if err := writeRow(w, r); err != nil {
			return err
		}
	}
	return nil
}

func writeHeader(w io.Writer, title string) error {
	head, rule := "| policy |", "|---|"
	for _, c := range columns() {
		head += " " + c.name + " |"
		rule += "---|"
	}
	_, err := fmt.Fprintf(w, "\n### %s\n\n%s\n%s\n", title, head, rule)
	return err
}

func writeRow(w io.Writer, r *Row) error {
	line := "| " + r.Policy + " |"
	for _, c := range columns() {
		s := r.SpreadOf(c.value)
		line += fmt.Sprintf(" "+c.format+" ("+c.format+" to "+c.format+") |", s.Median, s.Min, s.Max)
	}
	_, err := fmt.Fprintln(w, line)
	return err
}

// WriteJSON writes the rows as JSON Lines, one row per line.
func WriteJSON(w io.Writer, rows []Row) error {
	e := json.NewEncoder(w)
	for i := range rows {
		if err := e.Encode(&rows[i]); err != nil {
			return err
		}
	}
	return nil
}

// ReadJSON reads rows that WriteJSON has written. It returns ErrInvalid if one cannot be
// decoded.
func ReadJSON(r io.Reader) ([]Row, error) {
	var rows []Row
	for d := json.NewDecoder(r); d.More(); {
		var row Row
		if err := d.Decode(&row); err != nil {
			return nil, heatherhub.ErrInvalid.Wrap(err, "cannot decode row %d: use a file that this experiment has written with --json", len(rows)+1)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// WriteSummary writes a table with one row per policy and site, over all scenarios and
// seeds. The values are means, except that the longest wait is the maximum.
func WriteSummary(w io.Writer, rows []Row) error {
	if _, err := fmt.Fprint(w, "\n| site | policy | mean score | worst p99 / deadline | on time % | batch done % | evictions | longest wait | urgent late % | failures |\n|---|---|---|---|---|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, s := range summarize(rows) {
		n := float64(s.runs)
		_, err := fmt.Fprintf(w, "| %s | %s | %.1f | %.2f | %.2f | %.1f | %.0f | %s | %.1f | %.0f |\n", s.site, s.policy,
			s.score/n, s.worstP99/n, 100*s.onTime/n, 100*s.throughput/n, s.evictions/n, s.maxWait.Round(time.Second), 100*s.urgentLate/n, s.failures/n)
		if err != nil {
			return err
		}
	}
	return nil
}

// summary holds the sums over the runs of one policy at one site, and the longest wait.
type summary struct {
	site, policy                                   string
	score, worstP99, onTime, throughput, evictions float64
	urgentLate, failures                           float64
	maxWait                                        time.Duration
	runs                                           int
}

// summarize groups the results by site and policy, in the order of their first rows.
func summarize(rows []Row) []*summary {
	var all []*summary
	for i := range rows {
		r := &rows[i]
		k := slices.IndexFunc(all, func(s *summary) bool { return s.site == r.Site && s.policy == r.Policy })
		if k < 0 {
			k = len(all)
			all = append(all, &summary{site: r.Site, policy: r.Policy})
		}
		for j := range r.Results {
			all[k].add(&r.Results[j])
		}
	}
	return all
}

func (s *summary) add(r *Result) {
	s.score += r.Score
	s.worstP99 += r.WorstP99
	s.onTime += r.OnTime
	s.throughput += r.Throughput
	s.evictions += float64(r.Evictions)
	s.urgentLate += r.UrgentLateShare
	s.failures += float64(r.Failures)
	s.maxWait = max(s.maxWait, r.MaxWait)
	s.runs++
}
