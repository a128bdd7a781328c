// Package apply implements "heatherhub apply", which puts a directory of declarations
// in force.
//
// # Usage
//
//	heatherhub apply -f sites/vanroosbroeck --dry-run
//	heatherhub apply -f sites/vanroosbroeck
//
// The declarations are merged into the configuration in force: declared objects are
// added or changed, others stay unless --prune is given. The preset in force does not
// change.
package apply

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/command/check"
	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/command/output"
	"heatherhub.example/heatherhub/command/streams"
	"heatherhub.example/heatherhub/connection/operatorapi"
	"heatherhub.example/heatherhub/version/declaration"
)

// Options are the command-line options.
type Options struct {
	Dir    string `arg:"-f,--file,required" placeholder:"DIR" help:"directory of declarations"`
	DryRun bool   `arg:"--dry-run" help:"show what would change and change nothing"`
	Prune  bool   `arg:"--prune" help:"delete what the declarations do not name"`
	output.Format
}

// applier is the part of operatorapi.Client that the command uses.
type applier interface {
	Snapshot(ctx context.Context) (*heatherhub.Snapshot, error)
	Apply(ctx context.Context, r operatorapi.ApplyRequest) (*heatherhub.Snapshot, error)
}

var columns = []output.Column[declaration.Change]{
	{Name: "op", Value: func(c declaration.Change) any { return c.Op }},
	{Name: "kind", Value: func(c declaration.Change) any { return c.Kind }},
	{Name: "id", Value: func(c declaration.Change) any { return c.ID }},
	{Name: "fields", Value: func(c declaration.Change) any { return c.Fields }},
}

// Run checks the declarations and puts them in force, unless --dry-run is given or
// nothing changes. If another edit comes first, the result is ErrConflict and nothing
// changes.
func (o *Options) Run(ctx context.Context, f *factory.Factory) error {
	set, err := check.ReadDeclarations(f.IO, o.Dir)
	if err != nil {
		return err
	}
	client, err := f.Client()
	if err != nil {
		return err
	}
	return o.run(ctx, f.IO, client, set)
}

func (o *Options) run(ctx context.Context, s *streams.IO, client applier, set *declaration.Set) error {
	before, err := client.Snapshot(ctx)
	if err != nil {
		return err
	}
	next := set.Merge(before, declaration.UndeclaredPolicy(o.Prune))
	if errs := next.Check(); len(errs) > 0 {
		for _, err := range errs {
			fmt.Fprintln(s.Err, heatherhub.Message(err))
		}
		return exitcode.UsageErrorf("problems in the merged configuration: %d; nothing was changed", len(errs))
	}
	changes := declaration.Diff(before, next)
	if err := o.show(s, changes); err != nil {
		return err
	}
	if len(changes) == 0 || o.DryRun {
		fmt.Fprintf(s.Err, "%d changes; version %d stays in force\n", len(changes), before.Version)
		return nil
	}
	after, err := client.Apply(ctx, operatorapi.ApplyRequest{EditID: uuid.NewString(), ExpectVersion: before.Version, Snapshot: *next})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.Err, "%d changes; version %d is in force\n", len(changes), after.Version)
	return nil
}

// show prints the changes as JSON, or as lines of operation, kind and id, each followed
// by an indented line per changed field.
func (o *Options) show(s *streams.IO, changes []declaration.Change) error {
	if o.JSON != "" {
		return output.Print(s, o.Format, columns, changes)
	}
	for _, c := range changes {
		fmt.Fprintf(s.Out, "%s\t%s\t%s\n", c.Op, c.Kind, c.ID)
		for _, f := range c.Fields {
			fmt.Fprintf(s.Out, "\t%s\t%s -> %s\n", f.Field, f.From, f.To)
		}
	}
	return nil
}
