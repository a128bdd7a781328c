// Package list implements "heatherhub host list", which lists the entry hosts.
//
// # Usage
//
//	heatherhub host list --json id,version
package list

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

// lister is the part of operatorapi.Client that the command uses.
type lister interface {
	Hosts(ctx context.Context) (*operatorapi.HostList, error)
}

var columns = []output.Column[operatorapi.HostView]{
	{Name: "id", Value: func(v operatorapi.HostView) any { return v.ID }},
	{Name: "domain", Value: func(v operatorapi.HostView) any { return v.Domain }},
	{Name: "address", Value: func(v operatorapi.HostView) any { return v.Address }},
	{Name: "state", Value: func(v operatorapi.HostView) any { return v.State }},
	{Name: "reachable", Value: func(v operatorapi.HostView) any { return v.Reachable }},
	{Name: "version", Value: func(v operatorapi.HostView) any { return v.Version }},
	{Name: "shards", Value: func(v operatorapi.HostView) any { return output.StringerSlice(v.Shards) }},
}

// Run lists the entry hosts.
func (o *Options) Run(ctx context.Context, f *factory.Factory) error {
	client, err := f.Client()
	if err != nil {
		return err
	}
	return o.run(ctx, f.IO, client)
}

func (o *Options) run(ctx context.Context, s *streams.IO, client lister) error {
	list, err := client.Hosts(ctx)
	if err != nil {
		return err
	}
	return output.Print(s, o.Format, columns, list.Hosts)
}
