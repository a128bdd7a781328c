// Package list implements "heatherhub workload list", which lists the workloads.
//
// # Usage
//
//	heatherhub workload list --json id,kind,replicas
package list

import (
	"context"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/command/output"
	"heatherhub.example/heatherhub/command/streams"
)

// Options are the command-line options.
type Options struct {
	output.Format
}

// snapshotReader is the part of operatorapi.Client that the command uses.
type snapshotReader interface {
	Snapshot(ctx context.Context) (*heatherhub.Snapshot, error)
}

// row is a workload with its number of replicas in the preset in force.
type row struct {
	heatherhub.Workload
	replicas int
}

var columns = []output.Column[row]{
	{Name: "id", Value: func(r row) any { return r.ID }},
	{Name: "kind", Value: func(r row) any { return r.Kind }},
	{Name: "team", Value: func(r row) any { return r.Team }},
	{Name: "replicas", Value: func(r row) any { return r.replicas }},
	{Name: "cpuMilli", Value: func(r row) any { return r.Size.CPU }},
	{Name: "memoryMb", Value: func(r row) any { return r.Size.Memory }},
	{Name: "accelerators", Value: func(r row) any { return r.Size.Accelerators }, JSONOnly: true},
	{Name: "deadline", Value: func(r row) any { return output.Duration(r.Deadline) }},
	{Name: "idempotent", Value: func(r row) any { return r.Idempotent }},
	{Name: "runTime", Value: func(r row) any { return output.Duration(r.RunTime) }},
}

// Run lists the workloads.
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
	rows := make([]row, len(snapshot.Workloads))
	for i, w := range snapshot.Workloads {
		rows[i] = row{Workload: w}
		if p := snapshot.PresetInForce(); p != nil {
			rows[i].replicas = p.Replicas(w.ID)
		}
	}
	return output.Print(s, o.Format, columns, rows)
}
