// Package check implements "heatherhub check", which validates declarations, a
// settings file of the platform, or a configuration for the platform offline.
//
// # Usage
//
//	heatherhub check -f sites/vanroosbroeck
//	heatherhub check --settings /etc/heatherhub/settings.conf
//	heatherhub check --configuration next.json --in-force now.json --pools job,serve
//
// The last form also shows what differs from the configuration in force. The exit status
// is 2 if there are problems; differences alone leave it 0.
package check

import (
	"context"
	"errors"
	"fmt"
	"os"

	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/command/output"
	"heatherhub.example/heatherhub/command/streams"
	"heatherhub.example/heatherhub/platform"
	"heatherhub.example/heatherhub/version/declaration"
)

// Options are the command-line options.
type Options struct {
	Dir           string `arg:"-f,--file" placeholder:"DIR" help:"directory of declarations"`
	SettingsFile  string `arg:"--settings" placeholder:"FILE" help:"settings file of the platform"`
	Configuration string `arg:"--configuration" placeholder:"FILE" help:"configuration for the platform, before it is sent"`
	InForce       string `arg:"--in-force" placeholder:"FILE" help:"with --configuration: show what differs from this configuration"`
	Pools         string `arg:"--pools" placeholder:"NAMES" help:"with --configuration: the pools that have workers, separated by commas"`
	output.Format
}

// Run validates the configuration, else the settings file, or else the declarations, and
// reports all problems.
func (o *Options) Run(_ context.Context, f *factory.Factory) error {
	if o.Configuration != "" {
		return o.checkConfiguration(f.IO)
	}
	if o.InForce != "" || o.Pools != "" || o.JSON != "" {
		return exitcode.UsageErrorf("--in-force, --pools and --json need --configuration FILE")
	}
	if o.SettingsFile != "" {
		return o.checkSettings(f)
	}
	if o.Dir == "" {
		return exitcode.UsageErrorf("missing input: give -f DIR, --settings FILE or --configuration FILE")
	}
	set, err := ReadDeclarations(f.IO, o.Dir)
	if err != nil {
		return err
	}
	fmt.Fprintf(f.IO.Out, "%s: %d teams, %d workloads, %d presets: valid\n",
		o.Dir, len(set.Teams), len(set.Workloads), len(set.Presets))
	return nil
}

// checkSettings validates a settings file; the error names all its problems.
func (o *Options) checkSettings(f *factory.Factory) error {
	s, err := platform.ReadSettings(o.SettingsFile)
	if err != nil {
		return err
	}
	fmt.Fprintf(f.IO.Out, "%s: host %s in %s: valid\n", o.SettingsFile, s.Host, s.Domain)
	return nil
}

// ReadDeclarations reads and validates a directory. It writes every problem to the
// error stream, one per line, and then returns a usage error.
func ReadDeclarations(s *streams.IO, dir string) (*declaration.Set, error) {
	set, err := declaration.ReadDir(os.DirFS(dir))
	var problems declaration.Problems
	if errors.As(err, &problems) {
		for _, p := range problems {
			fmt.Fprintln(s.Err, p)
		}
		return nil, exitcode.UsageErrorf("problems in %s: %d; nothing was changed", dir, len(problems))
	}
	return set, err
}
