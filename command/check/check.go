// Package check is the command that validates declarations, or a platform's settings
// file, without a network.
//
// # Usage
//
//	heatherhub check -f sites/vanroosbroeck
//	heatherhub check --settings /etc/heatherhub/settings.conf
package check

import (
	"context"
	"errors"
	"fmt"
	"os"

	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/command/streams"
	"heatherhub.example/heatherhub/platform"
	"heatherhub.example/heatherhub/version/declaration"
)

// Options are the settings of the command.
type Options struct {
	Dir          string `arg:"-f,--file" placeholder:"DIR" help:"directory of declarations"`
	SettingsFile string `arg:"--settings" placeholder:"FILE" help:"settings file of the platform"`
}

// Run validates the declarations and lists every mistake.
func (o *Options) Run(_ context.Context, f *factory.Factory) error {
	if o.SettingsFile != "" {
		return o.checkSettings(f)
	}
	if o.Dir == "" {
		return exitcode.UsageErrorf("name what to check: -f DIR or --settings FILE")
	}
	set, err := ReadDeclarations(f.IO, o.Dir)
	if err != nil {
		return err
	}
	fmt.Fprintf(f.IO.Out, "%s: %d teams, %d workloads, %d presets: no mistakes\n",
		o.Dir, len(set.Teams), len(set.Workloads), len(set.Presets))
	return nil
}

// checkSettings validates a settings file and names all its mistakes.
func (o *Options) checkSettings(f *factory.Factory) error {
	s, err := platform.ReadSettings(o.SettingsFile)
	if err != nil {
		return err
	}
	fmt.Fprintf(f.IO.Out, "%s: host %s in %s: no mistakes\n", o.SettingsFile, s.Host, s.Domain)
	return nil
}

// ReadDeclarations reads a directory and writes every mistake to the error stream.
func ReadDeclarations(s *streams.IO, dir string) (*declaration.Set, error) {
	set, err := declaration.ReadDir(os.DirFS(dir))
	var problems declaration.Problems
	if errors.As(err, &problems) {
		for _, p := range problems {
			fmt.Fprintln(s.Err, p)
		}
		return nil, exitcode.UsageErrorf("mistakes in %s: %d; nothing was changed", dir, len(problems))
	}
	return set, err
}
