// Package command is the command-line interface of heatherhub. It parses the
// arguments and dispatches to one package per command.
//
// # Usage
//
//	code := command.Main(ctx, os.Args[1:], streams.System())
//	os.Exit(int(code))
//
// A setting may be given as a flag or an environment variable; the flag takes
// precedence. Results go to standard output, messages to standard error.
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

// programName is the name of the binary in the help and usage texts.
const programName = "heatherhub"

// Main parses the arguments, runs the command, prints its error and returns the exit
// status. Cancelling ctx stops the command.
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
		return usageError(p, s, "missing command")
	}
	return reportError(s, err)
}

// printHelp writes the help of the chosen subcommand to standard output.
func printHelp(p *arg.Parser, s *streams.IO) {
	if err := p.WriteHelpForSubcommand(s.Out, p.SubcommandNames()...); err != nil {
		p.WriteHelp(s.Out)
	}
}

// usageError writes the usage of the chosen subcommand and the message to standard
// error.
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
