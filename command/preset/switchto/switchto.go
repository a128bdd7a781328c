// Package switchto implements "heatherhub preset switch", which puts a preset in force.
//
// # Usage
//
//	heatherhub preset switch peak
package switchto

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/command/streams"
	"heatherhub.example/heatherhub/connection/operatorapi"
)

// Options are the command-line options.
type Options struct {
	ID            string `arg:"positional,required" help:"preset to put in force"`
	ExpectVersion uint64 `arg:"--expect-version" placeholder:"N" help:"fail if another version is in force [default: the version read first]"`
}

// switcher is the part of operatorapi.Client that the command uses.
type switcher interface {
	Snapshot(ctx context.Context) (*heatherhub.Snapshot, error)
	SwitchPreset(ctx context.Context, id heatherhub.PresetID, r operatorapi.SwitchRequest) (*heatherhub.Snapshot, error)
}

// Run puts the preset in force. It makes no edit if the preset is in force already at
// the expected version; if another edit comes first, the result is ErrConflict.
func (o *Options) Run(ctx context.Context, f *factory.Factory) error {
	client, err := f.Client()
	if err != nil {
		return err
	}
	return o.run(ctx, f.IO, client)
}

func (o *Options) run(ctx context.Context, s *streams.IO, client switcher) error {
	before, err := client.Snapshot(ctx)
	if err != nil {
		return err
	}
	id := heatherhub.PresetID(o.ID)
	expect := before.Version
	if o.ExpectVersion > 0 {
		expect = heatherhub.Version(o.ExpectVersion)
	}
	if before.InForce == id && expect == before.Version {
		fmt.Fprintf(s.Out, "preset %s is already in force, version %d\n", id, before.Version)
		return nil
	}
	after, err := client.SwitchPreset(ctx, id, operatorapi.SwitchRequest{EditID: uuid.NewString(), ExpectVersion: expect})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "preset %s is in force, version %d\n", after.InForce, after.Version)
	return nil
}
