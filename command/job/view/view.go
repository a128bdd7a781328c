// Package view implements "heatherhub job view", which shows one job.
//
// # Usage
//
//	heatherhub job view grades-17 --json state,finished
package view

import (
	"context"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/command/output"
	"heatherhub.example/heatherhub/command/streams"
	"heatherhub.example/heatherhub/connection/operatorapi"
)

// Options are the command-line options.
type Options struct {
	ID string `arg:"positional,required" help:"job to show"`
	output.Format
}

// viewer is the part of operatorapi.Client that the command uses.
type viewer interface {
	Job(ctx context.Context, id heatherhub.JobID) (*operatorapi.JobView, error)
}

var columns = []output.Column[operatorapi.JobView]{
	{Name: "id", Value: func(v operatorapi.JobView) any { return v.Job.ID }},
	{Name: "workload", Value: func(v operatorapi.JobView) any { return v.Job.Workload }},
	{Name: "state", Value: func(v operatorapi.JobView) any { return v.Job.State }},
	{Name: "reason", Value: func(v operatorapi.JobView) any { return v.Job.Reason }},
	{Name: "priority", Value: func(v operatorapi.JobView) any { return v.Job.Priority }},
	{Name: "accepted", Value: func(v operatorapi.JobView) any { return v.Job.Accepted }},
	{Name: "shard", Value: func(v operatorapi.JobView) any { return v.Shard.String() }},
	{Name: "tasks", Value: func(v operatorapi.JobView) any { return v.Job.Tasks }},
	{Name: "running", Value: func(v operatorapi.JobView) any { return v.Running }},
	{Name: "queued", Value: func(v operatorapi.JobView) any { return v.Queued }},
	{Name: "finished", Value: func(v operatorapi.JobView) any { return v.Finished }},
}

// Run shows the job.
func (o *Options) Run(ctx context.Context, f *factory.Factory) error {
	client, err := f.Client()
	if err != nil {
		return err
	}
	return o.run(ctx, f.IO, client)
}

func (o *Options) run(ctx context.Context, s *streams.IO, client viewer) error {
	view, err := client.Job(ctx, heatherhub.JobID(o.ID))
	if err != nil {
		return err
	}
	return output.PrintOne(s, o.Format, columns, *view)
}
