// Package cancel implements "heatherhub job cancel", which cancels jobs.
//
// # Usage
//
//	heatherhub job cancel grades-17 grades-18
package cancel

import (
	"context"
	"fmt"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/command/streams"
	"heatherhub.example/heatherhub/connection/operatorapi"
)

// Options are the command-line options.
type Options struct {
	IDs []string `arg:"positional,required" placeholder:"ID" help:"jobs to cancel"`
}

// canceller is the part of operatorapi.Client that the command uses.
type canceller interface {
	CancelJob(ctx context.Context, id heatherhub.JobID) (*operatorapi.JobView, error)
}

// Run cancels the jobs and prints the state of each.
func (o *Options) Run(ctx context.Context, f *factory.Factory) error {
	client, err := f.Client()
	if err != nil {
		return err
	}
	return o.run(ctx, f.IO, client)
}

// run continues after a failure, printing each error, and returns the first one.
func (o *Options) run(ctx context.Context, s *streams.IO, client canceller) error {
	var firstErr error
	for _, id := range o.IDs {
		view, err := client.CancelJob(ctx, heatherhub.JobID(id))
		if err != nil {
			fmt.Fprintf(s.Err, "%s: %s\n", id, heatherhub.Message(err))
			if firstErr == nil {
				firstErr = err
			}
			continue
		}
		fmt.Fprintf(s.Out, "%s\t%s\n", view.Job.ID, view.Job.State)
	}
	return firstErr
}
