// Package status implements "heatherhub status", which shows an entry host's view of
// its site: configuration, hosts, workers, shards and jobs.
//
// # Usage
//
//	heatherhub status --json preset,version,unownedShards
package status

import (
	"context"

	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/command/output"
	"heatherhub.example/heatherhub/command/streams"
	"heatherhub.example/heatherhub/connection/operatorapi"
)

// Options are the command-line options.
type Options struct {
	output.Format
}

// statusReader is the part of operatorapi.Client that the command uses.
type statusReader interface {
	Status(ctx context.Context) (*operatorapi.Status, error)
}

var columns = []output.Column[operatorapi.Status]{
	{Name: "host", Value: func(s operatorapi.Status) any { return s.Host }},
	{Name: "domain", Value: func(s operatorapi.Status) any { return s.Domain }},
	{Name: "started", Value: func(s operatorapi.Status) any { return s.Started }},
	{Name: "version", Value: func(s operatorapi.Status) any { return s.Version }},
	{Name: "preset", Value: func(s operatorapi.Status) any { return s.Preset }},
	{Name: "storeReachable", Value: func(s operatorapi.Status) any { return s.StoreReachable }},
	{Name: "leaving", Value: func(s operatorapi.Status) any { return s.Leaving }},
	{Name: "hosts", Value: func(s operatorapi.Status) any { return s.Hosts }},
	{Name: "workers", Value: func(s operatorapi.Status) any { return s.Workers }},
	{Name: "shards", Value: func(s operatorapi.Status) any { return s.Shards }},
	{Name: "unownedShards", Value: func(s operatorapi.Status) any { return s.UnownedShards }},
	{Name: "jobsQueued", Value: func(s operatorapi.Status) any { return s.JobsQueued }},
	{Name: "jobsParked", Value: func(s operatorapi.Status) any { return s.JobsParked }},
	{Name: "tasksRunning", Value: func(s operatorapi.Status) any { return s.TasksRunning }},
}

// Run prints the status.
func (o *Options) Run(ctx context.Context, f *factory.Factory) error {
	client, err := f.Client()
	if err != nil {
		return err
	}
	return o.run(ctx, f.IO, client)
}

func (o *Options) run(ctx context.Context, s *streams.IO, client statusReader) error {
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	return output.PrintOne(s, o.Format, columns, *status)
}
