// Package list implements "heatherhub domain list", which lists failure domains and what
// still runs in those that are evacuated. An evacuation is done once no batch task is left.
//
// # Usage
//
//	heatherhub domain list --entry HOST:9464
package list

import (
	"context"
	"time"

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
	Domains(ctx context.Context) (*operatorapi.DomainList, error)
}

var columns = []output.Column[operatorapi.DomainView]{
	{Name: "domain", Value: func(v operatorapi.DomainView) any { return v.Domain }},
	{Name: "evacuated", Value: func(v operatorapi.DomainView) any { return v.Evacuated }},
	{Name: "since", Value: func(v operatorapi.DomainView) any { return formatSince(v.Since) }},
	{Name: "workers", Value: func(v operatorapi.DomainView) any { return v.Workers }},
	{Name: "batch", Value: func(v operatorapi.DomainView) any { return v.Batch }},
	{Name: "longRunning", Value: func(v operatorapi.DomainView) any { return v.LongRunning }},
	{Name: "waiting", Value: func(v operatorapi.DomainView) any { return v.Waiting }},
}

// formatSince returns the time in UTC, or "" for a domain that is not evacuated.
func formatSince(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

// Run lists the failure domains. If owners of some shards did not answer, it prints what
// the others know and returns ErrUnavailable.
func (o *Options) Run(ctx context.Context, f *factory.Factory) error {
	client, err := f.Client()
	if err != nil {
		return err
	}
	return o.run(ctx, f.IO, client)
}

func (o *Options) run(ctx context.Context, s *streams.IO, client lister) error {
	list, err := client.Domains(ctx)
	if err != nil {
		return err
	}
	if err := output.Print(s, o.Format, columns, list.Domains); err != nil {
		return err
	}
	return factory.CheckComplete(list.MissingShards)
}
