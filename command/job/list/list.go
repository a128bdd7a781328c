// Package list implements "heatherhub job list", which lists jobs.
//
// # Usage
//
//	heatherhub job list --state parked --json id,reason
package list

import (
	"context"
	"fmt"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/command/output"
	"heatherhub.example/heatherhub/command/streams"
	"heatherhub.example/heatherhub/connection/operatorapi"
)

// Options are the command-line options.
type Options struct {
	Workload string `arg:"--workload" placeholder:"ID" help:"only jobs of this workload"`
	State    string `arg:"--state" placeholder:"STATE" help:"only queued, running, done, failed, cancelled or parked jobs"`
	Limit    int    `arg:"--limit" default:"100" placeholder:"N" help:"largest number of jobs"`
	output.Format
}

// lister is the part of operatorapi.Client that the command uses.
type lister interface {
	Jobs(ctx context.Context, f operatorapi.JobFilter) (*operatorapi.JobList, error)
}

var columns = []output.Column[operatorapi.JobView]{
	{Name: "id", Value: func(v operatorapi.JobView) any { return v.Job.ID }},
	{Name: "workload", Value: func(v operatorapi.JobView) any { return v.Job.Workload }},
	{Name: "state", Value: func(v operatorapi.JobView) any { return v.Job.State }},
	{Name: "tasks", Value: func(v operatorapi.JobView) any { return v.Job.Tasks }},
	{Name: "running", Value: func(v operatorapi.JobView) any { return v.Running }},
	{Name: "queued", Value: func(v operatorapi.JobView) any { return v.Queued }},
	{Name: "finished", Value: func(v operatorapi.JobView) any { return v.Finished }},
	{Name: "priority", Value: func(v operatorapi.JobView) any { return v.Job.Priority }, JSONOnly: true},
	{Name: "shard", Value: func(v operatorapi.JobView) any { return v.Shard.String() }, JSONOnly: true},
	{Name: "accepted", Value: func(v operatorapi.JobView) any { return v.Job.Accepted }, JSONOnly: true},
	{Name: "reason", Value: func(v operatorapi.JobView) any { return v.Job.Reason }},
}

// Run lists the jobs. If owners of some shards did not answer, it prints the others'
// jobs and returns ErrUnavailable.
func (o *Options) Run(ctx context.Context, f *factory.Factory) error {
	client, err := f.Client()
	if err != nil {
		return err
	}
	return o.run(ctx, f.IO, client)
}

func (o *Options) run(ctx context.Context, s *streams.IO, client lister) error {
	list, err := client.Jobs(ctx, operatorapi.JobFilter{
		Workload: heatherhub.WorkloadID(o.Workload),
		State:    heatherhub.JobState(o.State),
		Limit:    o.Limit,
	})
	if err != nil {
		return err
	}
	if err := output.Print(s, o.Format, columns, list.Jobs); err != nil {
		return err
	}
	if list.Truncated {
		fmt.Fprintf(s.Err, "there are more jobs: raise --limit above %d\n", o.Limit)
	}
	return factory.CheckComplete(list.MissingShards)
}
