// Command heatherhub is the scheduler in one binary: the entry host, the commands for
// operators and the tools for load, demos and experiments.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"heatherhub.example/heatherhub/command"
	"heatherhub.example/heatherhub/command/streams"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Main(ctx, os.Args[1:], streams.System())
	stop()
	os.Exit(int(code))
}
