// Package list implements "heatherhub worker list", which lists workers.
//
// # Usage
//
//	heatherhub worker list --domain gent
package list

import (
	"context"
	"strings"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/command/output"
	"heatherhub.example/heatherhub/command/streams"
	"heatherhub.example/heatherhub/connection/operatorapi"
)

// Options are the command-line options.
type Options struct {
	Domain string `arg:"--domain" placeholder:"NAME" help:"only workers of this failure domain"`
	output.Format
}

// lister is the part of operatorapi.Client that the command uses.
type lister interface {
	Workers(ctx context.Context, f operatorapi.WorkerFilter) (*operatorapi.WorkerList, error)
}

var columns = []output.Column[operatorapi.WorkerView]{
	{Name: "id", Value: func(v operatorapi.WorkerView) any { return v.Host.ID }},
	{Name: "domain", Value: func(v operatorapi.WorkerView) any { return v.Host.Domain }},
	{Name: "rack", Value: func(v operatorapi.WorkerView) any { return v.Host.Rack }},
	{Name: "state", Value: func(v operatorapi.WorkerView) any { return v.Host.State }},
	{Name: "reachable", Value: func(v operatorapi.WorkerView) any { return v.Reachable }},
	{Name: "quarantined", Value: func(v operatorapi.WorkerView) any { return v.Quarantined }},
	{Name: "tasks", Value: func(v operatorapi.WorkerView) any { return v.TaskCount }},
	{Name: "cpuReserved", Value: func(v operatorapi.WorkerView) any { return v.Reserved.CPU }},
	{Name: "cpuMilli", Value: func(v operatorapi.WorkerView) any { return v.Host.Capacity.CPU }},
	{Name: "memoryReserved", Value: func(v operatorapi.WorkerView) any { return v.Reserved.Memory }},
	{Name: "memoryMb", Value: func(v operatorapi.WorkerView) any { return v.Host.Capacity.Memory }},
	{Name: "accelerators", Value: func(v operatorapi.WorkerView) any { return v.Host.Capacity.Accelerators }, JSONOnly: true},
	{Name: "shard", Value: func(v operatorapi.WorkerView) any { return v.Shard.String() }, JSONOnly: true},
	{Name: "taskIds", Value: func(v operatorapi.WorkerView) any { return output.StringSlice(v.Tasks) }, JSONOnly: true},
}

// Run lists the workers. If owners of some shards did not answer, it prints the others'
// workers and returns ErrUnavailable. Task ids are requested only if they are printed.
func (o *Options) Run(ctx context.Context, f *factory.Factory) error {
	client, err := f.Client()
	if err != nil {
		return err
	}
	return o.run(ctx, f.IO, client)
}

func (o *Options) run(ctx context.Context, s *streams.IO, client lister) error {
	list, err := client.Workers(ctx, operatorapi.WorkerFilter{
		Domain:    heatherhub.FailureDomain(o.Domain),
		WithTasks: o.JSON == "all" || strings.Contains(o.JSON, "taskIds"),
	})
	if err != nil {
		return err
	}
	if err := output.Print(s, o.Format, columns, list.Workers); err != nil {
		return err
	}
	return factory.CheckComplete(list.MissingShards)
}
