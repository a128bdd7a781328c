// Package view implements "heatherhub workload view", which shows one workload.
//
// # Usage
//
//	heatherhub workload view compile
package view

import (
	"context"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/command/output"
	"heatherhub.example/heatherhub/command/streams"
)

// Options are the command-line options.
type Options struct {
	ID string `arg:"positional,required" help:"workload to show"`
	output.Format
}

// snapshotReader is the part of operatorapi.Client that the command uses.
type snapshotReader interface {
	Snapshot(ctx context.Context) (*heatherhub.Snapshot, error)
}

var columns = []output.Column[heatherhub.Workload]{
	{Name: "id", Value: func(w heatherhub.Workload) any { return w.ID }},
	{Name: "kind", Value: func(w heatherhub.Workload) any { return w.Kind }},
	{Name: "team", Value: func(w heatherhub.Workload) any { return w.Team }},
	{Name: "cpuMilli", Value: func(w heatherhub.Workload) any { return w.Size.CPU }},
	{Name: "memoryMb", Value: func(w heatherhub.Workload) any { return w.Size.Memory }},
	{Name: "accelerators", Value: func(w heatherhub.Workload) any { return w.Size.Accelerators }},
	{Name: "deadline", Value: func(w heatherhub.Workload) any { return output.Duration(w.Deadline) }},
	{Name: "idempotent", Value: func(w heatherhub.Workload) any { return w.Idempotent }},
	{Name: "concurrency", Value: func(w heatherhub.Workload) any { return w.Concurrency }},
	{Name: "runTime", Value: func(w heatherhub.Workload) any { return output.Duration(w.RunTime) }},
	{Name: "class", Value: func(w heatherhub.Workload) any { return w.Class }},
	{Name: "gang", Value: func(w heatherhub.Workload) any { return w.Gang }},
	{Name: "tailLatencyWeight", Value: func(w heatherhub.Workload) any { return w.Weights.TailLatency }},
	{Name: "throughputWeight", Value: func(w heatherhub.Workload) any { return w.Weights.Throughput }},
	{Name: "evictionsWeight", Value: func(w heatherhub.Workload) any { return w.Weights.Evictions }},
}

// Run shows the workload.
func (o *Options) Run(ctx context.Context, f *factory.Factory) error {
	client, err := f.Client()
	if err != nil {
		return err
	}
	return o.run(ctx, f.IO, client)
}

func (o *Options) run(ctx context.Context, s *streams.IO, client snapshotReader) error {
	snapshot, err := client.Snapshot(ctx)
	if err != nil {
		return err
	}
	w := snapshot.Workload(heatherhub.WorkloadID(o.ID))
	if w == nil {
		return heatherhub.ErrNotFound.New("no workload %q: list them with heatherhub workload list", o.ID)
	}
	return output.PrintOne(s, o.Format, columns, *w)
}
