// Package list implements "heatherhub preset list", which lists the presets.
//
// # Usage
//
//	heatherhub preset list --json id,inForce
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

// row is one listed preset.
type row struct {
	heatherhub.Preset
	inForce bool
}

var columns = []output.Column[row]{
	{Name: "id", Value: func(r row) any { return r.ID }},
	{Name: "inForce", Value: func(r row) any { return r.inForce }},
	{Name: "services", Value: func(r row) any { return len(r.Services) }},
	{Name: "batchShare", Value: func(r row) any { return r.BatchShare }},
	{Name: "batchFloor", Value: func(r row) any { return r.BatchFloor }},
	{Name: "maxEvictionsPerMinute", Value: func(r row) any { return r.MaxEvictions }, JSONOnly: true},
	{Name: "drainDomains", Value: func(r row) any { return output.StringSlice(r.DrainDomains) }},
	{Name: "drainRacks", Value: func(r row) any { return output.StringSlice(r.DrainRacks) }},
}

// Run lists the presets.
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
	rows := make([]row, len(snapshot.Presets))
	for i, p := range snapshot.Presets {
		rows[i] = row{Preset: p, inForce: p.ID == snapshot.InForce}
	}
	return output.Print(s, o.Format, columns, rows)
}
