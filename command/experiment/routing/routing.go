// Package routing implements "heatherhub experiment routing", which compares routing
// policies with baselines in simulation and writes a table or JSON.
//
// # Usage
//
//	err := routing.Run(ctx, stdout, stderr, &routing.Options{Seeds: 5})
package routing

import (
	"context"
	"fmt"
	"io"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/experiment/routing"
)

// Options are the command-line options.
type Options struct {
	Seeds     int           `arg:"--seeds,env:HEATHERHUB_EXPERIMENT_SEEDS" default:"5" help:"number of seeds"`
	Duration  time.Duration `arg:"--duration,env:HEATHERHUB_EXPERIMENT_DURATION" default:"20s" help:"virtual time of one run"`
	Scenarios []string      `arg:"--scenario,separate" help:"scenario by name; all if none is given"`
	Policies  []string      `arg:"--policy,separate" help:"policy by name; all if none is given"`
	JSON      bool          `arg:"--json" help:"write JSON in place of tables"`
}

// Run runs the experiment with seeds 1 to o.Seeds and writes the result to stdout. A
// run that has begun does not stop with ctx.
func Run(ctx context.Context, stdout, stderr io.Writer, o *Options) error {
	if o.Seeds < 1 || o.Duration < time.Second {
		return heatherhub.ErrInvalid.New("seeds %d and duration %s: use at least 1 seed and 1s", o.Seeds, o.Duration)
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	cfg := routing.Config{Duration: o.Duration, Scenarios: o.Scenarios, Policies: o.Policies}
	for i := range o.Seeds {
		cfg.Seeds = append(cfg.Seeds, uint64(i+1))
	}
	start := time.Now()
	result, err := routing.Run(cfg)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(stderr, "%d rows over %d seeds in %s\n", len(result.Rows), o.Seeds, time.Since(start).Round(time.Second)); err != nil {
		return err
	}
	if o.JSON {
		return routing.WriteJSON(stdout, result)
	}
	return routing.WriteMarkdown(stdout, result)
}
