// Package standin implements "heatherhub standin", which runs a stand-in for the
// platform: the key-value service, a host list with lag and simulated workers. Faults
// are injected over HTTP.
//
// # Usage
//
//	heatherhub standin --workers 50 --domains mechelen,leuven,gent
//	curl -d '{"store":{"down":true}}' 127.0.0.1:7400/faults
//	curl 127.0.0.1:7400/audit
package standin

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/connection/store/memory"
	"heatherhub.example/heatherhub/process/logs"
	"heatherhub.example/heatherhub/process/standin"
	"heatherhub.example/heatherhub/process/standin/model"
)

// Options are the command-line options.
type Options struct {
	Listen       string   `arg:"--listen,env:HEATHERHUB_STANDIN_LISTEN" default:"127.0.0.1:7400" placeholder:"IP:PORT" help:"address of the store, the host list and the fault switches; workers take free ports of the same IP"`
	Workers      int      `arg:"--workers,env:HEATHERHUB_STANDIN_WORKERS" default:"50" placeholder:"N" help:"number of workers, spread evenly over the failure domains"`
	Domains      []string `arg:"--domains,separate,env:HEATHERHUB_STANDIN_DOMAINS" placeholder:"NAMES" help:"failure domains, separated by commas [default: mechelen,leuven,gent]"`
	RackSize     int      `arg:"--rack-size,env:HEATHERHUB_STANDIN_RACK_SIZE" default:"8" placeholder:"N" help:"workers in a rack"`
	CPU          string   `arg:"--cpu,env:HEATHERHUB_STANDIN_CPU" default:"30000m" placeholder:"AMOUNT" help:"processors of a worker, 1000m is one"`
	Memory       string   `arg:"--memory,env:HEATHERHUB_STANDIN_MEMORY" default:"125000MB" placeholder:"AMOUNT" help:"memory of a worker"`
	Accelerators int      `arg:"--accelerators,env:HEATHERHUB_STANDIN_ACCELERATORS" default:"0" placeholder:"N" help:"accelerators of an accelerated worker"`
	Accelerated  int      `arg:"--accelerated,env:HEATHERHUB_STANDIN_ACCELERATED" default:"2" placeholder:"N" help:"workers with accelerators in each failure domain"`
	Slots        int      `arg:"--slots,env:HEATHERHUB_STANDIN_SLOTS" default:"8" placeholder:"N" help:"requests that a worker serves at once"`
	Connections  int      `arg:"--connections,env:HEATHERHUB_STANDIN_CONNECTIONS" default:"60" placeholder:"N" help:"connections that a worker takes"`

	Work         []string      `arg:"--work,separate,env:HEATHERHUB_STANDIN_WORK" placeholder:"WORKLOAD=TIME" help:"work of one request on an idle worker, 5ms where not given"`
	Interference []string      `arg:"--interference,separate,env:HEATHERHUB_STANDIN_INTERFERENCE" placeholder:"WORKLOAD:CLASS=SLOWDOWN" help:"slowdown of a workload when a batch class uses a whole worker"`
	SizeError    float64       `arg:"--size-error,env:HEATHERHUB_STANDIN_SIZE_ERROR" default:"0.3" placeholder:"X" help:"largest relative error of declared sizes"`
	RunTimeError float64       `arg:"--run-time-error,env:HEATHERHUB_STANDIN_RUN_TIME_ERROR" default:"0.3" placeholder:"X" help:"largest relative error of declared run times"`
	UsageLag     time.Duration `arg:"--usage-lag,env:HEATHERHUB_STANDIN_USAGE_LAG" default:"5s" help:"age of reported usage"`
	HostListLag  time.Duration `arg:"--host-list-lag,env:HEATHERHUB_STANDIN_HOST_LIST_LAG" default:"2s" help:"age of the host list"`
	Seed         uint64        `arg:"--seed,env:HEATHERHUB_STANDIN_SEED" default:"1" placeholder:"N" help:"seed of true sizes and lost answers"`

	ReadRate  float64 `arg:"--reads,env:HEATHERHUB_STANDIN_READS" default:"2000" placeholder:"N" help:"reads that the store takes in a second, 0 for any number"`
	WriteRate float64 `arg:"--writes,env:HEATHERHUB_STANDIN_WRITES" default:"400" placeholder:"N" help:"writes that the store takes in a second, 0 for any number"`
	LogLevel  string  `arg:"--log-level,env:HEATHERHUB_LOG_LEVEL" default:"info" placeholder:"LEVEL" help:"debug, info, warn or error"`
}

// Description implements arg.Described: the first lines of the help text.
func (Options) Description() string {
	return "Runs a stand-in for the platform until it is interrupted.\n"
}

// Epilogue implements arg.Epilogued: the examples and exit statuses after the options.
func (Options) Epilogue() string {
	return `Examples:
  heatherhub standin --workers 70 --domains bole,kirkos,arada,lideta --cpu 16000m --memory 60000MB
  heatherhub standin --work compile=40ms --interference compile:render=0.8
  curl -d '{"store":{"down":true}}' 127.0.0.1:7400/faults
  curl -d '{"workers":[{"id":"gent-w000","action":"kill"}]}' 127.0.0.1:7400/faults
  curl '127.0.0.1:7400/audit?idempotent=simulate'

` + exitcode.Help
}

// Run checks the options, prints all their problems, and serves until ctx ends. It prints
// the address of the store and the number of workers when it is listening.
func (o *Options) Run(ctx context.Context, f *factory.Factory) error {
	cfg, problems := o.config()
	for _, p := range problems {
		fmt.Fprintln(f.IO.Err, p)
	}
	if len(problems) > 0 {
		return exitcode.UsageErrorf("invalid options: %d", len(problems))
	}
	log, err := logs.New(logs.Config{Out: f.IO.Err, Level: o.LogLevel, Host: "standin"})
	if err != nil {
		return err
	}
	cfg.Log = log
	s, err := standin.New(cfg)
	if err != nil {
		return err
	}
	fmt.Fprintf(f.IO.Out, "store\t%s\nworkers\t%d\n", s.Address(), o.Workers)
	return s.Run(ctx)
}

// config converts the options to the configuration of the stand-in and returns all their
// problems.
func (o *Options) config() (standin.Config, []error) {
	p := parser{}
	cfg := standin.Config{
		Listen:      o.Listen,
		HostListLag: o.HostListLag,
		Store:       memory.Config{ReadRate: rate.Limit(o.ReadRate), WriteRate: rate.Limit(o.WriteRate), Seed: o.Seed},
		Work:        p.parseWork(o.Work),
		Worker: model.Config{
			Seed: o.Seed, UsageLag: o.UsageLag, SizeError: o.SizeError, RunTimeError: o.RunTimeError,
			Interference: p.parseInterference(o.Interference),
		},
	}
	p.checkAddress("--listen", o.Listen)
	p.checkMin("--workers", float64(o.Workers), 1)
	p.checkMin("--rack-size", float64(o.RackSize), 1)
	p.checkMin("--slots", float64(o.Slots), 1)
	p.checkMin("--connections", float64(o.Connections), 1)
	p.checkMin("--accelerators", float64(o.Accelerators), 0)
	p.checkMin("--accelerated", float64(o.Accelerated), 0)
	p.checkMin("--size-error", o.SizeError, 0)
	p.checkMin("--run-time-error", o.RunTimeError, 0)
	p.checkMin("--usage-lag", float64(o.UsageLag), 0)
	p.checkMin("--host-list-lag", float64(o.HostListLag), 0)
	p.checkMin("--reads", o.ReadRate, 0)
	p.checkMin("--writes", o.WriteRate, 0)
	fleet := standin.FleetConfig{
		Workers: o.Workers, Domains: p.parseDomains(o.Domains), RackSize: o.RackSize, Capacity: p.parseCapacity(o),
		Accelerated: o.Accelerated, Slots: o.Slots, Connections: o.Connections,
	}
	if len(p.problems) == 0 {
		cfg.Hosts = standin.Fleet(fleet)
	}
	return cfg, p.problems
}
