// Package command is the command line of heatherhub: the root that parses
// arguments and hands over to one package per command.
//
// # Usage
//
//	code := command.Main(ctx, os.Args[1:], streams.System())
//	os.Exit(int(code))
//
// Every setting is a flag and an environment variable; the flag goes first.
// Results go to standard output, messages to standard error.
package command

import (
	"context"
	"errors"
	"fmt"

	"github.com/alexflint/go-arg"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/command/streams"
)

// program is the name of the binary.
const programName = "heatherhub"

// Main parses the arguments, runs the command and reports its error.
func Main(ctx context.Context, args []string, s *streams.IO) exitcode.Code {
	var root Root
	p, err := arg.NewParser(arg.Config{Program: programName, Out: s.Err, Exit: func(int) {}}, &root)
	if err != nil {
		fmt.Fprintln(s.Err, "error:", err)
		return exitcode.Failed
	}
	err = p.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		printHelp(p, s)
		return exitcode.OK
	case err != nil:
		return usageError(p, s, err.Error())
	}
	found, err := dispatch(ctx, p.Subcommand(), &factory.Factory{IO: s, Target: root.Target})
	if !found {
		return usageError(p, s, "name a command")
	}
	return reportError(s, err)
}

func printHelp(p *arg.Parser, s *streams.IO) {
	if err := p.WriteHelpForSubcommand(s.Out, p.SubcommandNames()...); err != nil {
		p.WriteHelp(s.Out)
	}
}

func usageError(p *arg.Parser, s *streams.IO, message string) exitcode.Code {
	if err := p.WriteUsageForSubcommand(s.Err, p.SubcommandNames()...); err != nil {
		p.WriteUsage(s.Err)
	}
	fmt.Fprintln(s.Err, "error:", message)
	return exitcode.Usage
}

func reportError(s *streams.IO, err error) exitcode.Code {
	if err != nil {
		fmt.Fprintln(s.Err, "error:", heatherhub.Message(err))
	}
	return exitcode.Of(err)
}
