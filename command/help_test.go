package command_test

import (
	"strings"
	"testing"

	"heatherhub.example/heatherhub/command"
	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/command/streams"
)

// TestHelpShowsUsageAndExitStatus checks that the help of each command has the usage, the
// examples and the exit statuses.
func TestHelpShowsUsageAndExitStatus(t *testing.T) {
	for _, args := range []string{"", "preset list", "job add", "apply", "check", "status"} {
		io, out, _ := streams.Test()
		got := command.Main(t.Context(), append(strings.Fields(args), "--help"), io)
		if want := exitcode.OK; got != want {
			t.Errorf("%q: got exit status %d, want %d", args, got, want)
		}
		for _, want := range []string{"Usage: heatherhub", "Examples:", exitcode.Help} {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%q: got help without %q, want it", args, want)
			}
		}
	}
}
