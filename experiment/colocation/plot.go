package colocation

import (
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"heatherhub.example/heatherhub"
)

const (
	plotWidth  = 30 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	barWidth   = 9 * vg.Length(1)
)

// WritePlot writes a bar chart of the median score of each policy in each scenario at a
// site. The extension of the path determines the format, for example .svg or .png.
func WritePlot(path, site string, rows []Row) error {
	p := plot.New()
	p.Title.Text = site + ": median score by scenario"
	p.Y.Label.Text = "score (0 to 100)"
	p.Legend.Top = true
	var scenarios, policies []string
	for i := range rows {
		if rows[i].Site == site {
			scenarios = appendUnique(scenarios, string(rows[i].Scenario))
			policies = appendUnique(policies, rows[i].Policy)
		}
	}
	for k, policy := range policies {
		if err := addBars(p, rows, site, policy, k, len(policies)); err != nil {
			return err
		}
	}
	p.NominalX(scenarios...)
	p.Y.Min, p.Y.Max = 0, 120
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return heatherhub.ErrUnavailable.Wrap(err, "cannot write plot %s: check the path and the file extension", path)
	}
	return nil
}

// addBars adds the bars of the k-th of n policies.
func addBars(p *plot.Plot, rows []Row, site, policy string, k, n int) error {
	var values plotter.Values
	for i := range rows {
		if rows[i].Site == site && rows[i].Policy == policy {
			values = append(values, rows[i].SpreadOf(func(r *Result) float64 { return r.Score }).Median)
		}
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return heatherhub.ErrInvalid.Wrap(err, "cannot plot policy %s: it has no results; run at least one scenario", policy)
	}
	bars.Color = plotutil.Color(k)
	bars.Offset = barWidth * vg.Length(float64(k)-float64(n-1)/2)
	p.Add(bars)
	p.Legend.Add(policy, bars)
	return nil
}

func appendUnique(list []string, s string) []string {
	if slices.Contains(list, s) {
		return list
	}
	return append(list, s)
}
