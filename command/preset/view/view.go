// Package view implements "heatherhub preset view", which shows one preset.
//
// # Usage
//
//	heatherhub preset view peak
package view

import (
	"context"
	"fmt"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/command/output"
	"heatherhub.example/heatherhub/command/streams"
)

// Options are the command-line options.
type Options struct {
	ID string `arg:"positional,required" help:"preset to show"`
	output.Format
}

// snapshotReader is the part of operatorapi.Client that the command uses.
type snapshotReader interface {
	Snapshot(ctx context.Context) (*heatherhub.Snapshot, error)
}

// presetView is a preset with its status in the current snapshot.
type presetView struct {
	heatherhub.Preset
	inForce bool
	version heatherhub.Version
}

var columns = []output.Column[presetView]{
	{Name: "id", Value: func(p presetView) any { return p.ID }},
	{Name: "inForce", Value: func(p presetView) any { return p.inForce }},
	{Name: "version", Value: func(p presetView) any { return p.version }},
	{Name: "batchShare", Value: func(p presetView) any { return p.BatchShare }},
	{Name: "batchFloor", Value: func(p presetView) any { return p.BatchFloor }},
	{Name: "maxEvictionsPerMinute", Value: func(p presetView) any { return p.MaxEvictions }},
	{Name: "drainDomains", Value: func(p presetView) any { return output.StringSlice(p.DrainDomains) }},
	{Name: "drainRacks", Value: func(p presetView) any { return output.StringSlice(p.DrainRacks) }},
	{Name: "services", Value: func(p presetView) any { return p.Services }, JSONOnly: true},
}

// Run shows the preset.
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
	id := heatherhub.PresetID(o.ID)
	preset := snapshot.Preset(id)
	if preset == nil {
		return heatherhub.ErrNotFound.New("no preset %q: list them with heatherhub preset list", id)
	}
	p := presetView{Preset: *preset, inForce: id == snapshot.InForce, version: snapshot.Version}
	if err := output.PrintOne(s, o.Format, columns, p); err != nil || o.JSON != "" {
		return err
	}
	for _, service := range p.Services {
		fmt.Fprintf(s.Out, "service\t%s\t%d replicas\tpriority %d\n", service.Workload, service.Replicas, service.Priority)
	}
	return nil
}
