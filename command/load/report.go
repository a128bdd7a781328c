package load

import (
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/command/output"
)

var columns = []output.Column[*WorkloadStats]{
	{Name: "workload", Value: func(t *WorkloadStats) any { return t.Workload }},
	{Name: "sent", Value: func(t *WorkloadStats) any { return t.Sent }},
	{Name: "answered", Value: func(t *WorkloadStats) any { return t.Answered }},
	{Name: "onTime", Value: func(t *WorkloadStats) any { return t.OnTime }},
	{Name: "notRun", Value: func(t *WorkloadStats) any { return t.NotRun }},
	{Name: "unknown", Value: func(t *WorkloadStats) any { return t.Unknown }},
	{Name: "retried", Value: func(t *WorkloadStats) any { return t.Retried }},
	{Name: "foreign", Value: func(t *WorkloadStats) any { return t.Foreign }},
	{Name: "truncated", Value: func(t *WorkloadStats) any { return t.Truncated }},
	{Name: "doubled", Value: func(t *WorkloadStats) any { return t.Doubled }},
	{Name: "p50Ms", Value: func(t *WorkloadStats) any { return milliseconds(t.Percentile(50)) }},
	{Name: "p90Ms", Value: func(t *WorkloadStats) any { return milliseconds(t.Percentile(90)) }},
	{Name: "p99Ms", Value: func(t *WorkloadStats) any { return milliseconds(t.Percentile(99)) }},
	{Name: "p999Ms", Value: func(t *WorkloadStats) any { return milliseconds(t.Percentile(99.9)) }},
	{Name: "maxMs", Value: func(t *WorkloadStats) any { return milliseconds(t.Percentile(100)) }},
	{Name: "refusals", Value: func(t *WorkloadStats) any { return t.Refusals }, JSONOnly: true},
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// Size of the plot file.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// plotLatencies plots for each workload the latency against the percentage of answers
// that took longer. Both axes are logarithmic, so that the tail is visible.
func plotLatencies(file string, workloads []*WorkloadStats) error {
	p := plot.New()
	p.Title.Text = "Latency from the intended send time"
	p.Legend.Top = true
	p.X.Label.Text = "percentage of answers that took longer"
	p.Y.Label.Text = "milliseconds"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	lines := 0
	for i, t := range workloads {
		points := latencyTail(t)
		if len(points) < 2 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return exitcode.UsageErrorf("cannot plot %s: %s", t.Workload, err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(string(t.Workload), line)
		lines++
	}
	if lines == 0 {
		return heatherhub.ErrUnavailable.New("too few answers for a plot: increase --duration, or list the refusals with --json all")
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return exitcode.UsageErrorf("cannot write the plot: %s: name a file in a directory that exists", err)
	}
	return nil
}

// latencyTail returns the points of the plot: X is the percentage of answers that took
// longer, Y the latency in milliseconds.
func latencyTail(t *WorkloadStats) plotter.XYs {
	var points plotter.XYs
	for _, b := range t.Latency.CumulativeDistribution() {
		if longer := 100 - b.Quantile; longer > 0 && b.ValueAt > 0 {
			points = append(points, plotter.XY{X: longer, Y: float64(b.ValueAt) / 1000})
		}
	}
	return points
}
