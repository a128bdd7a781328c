package command

import (
	"context"

	"heatherhub.example/heatherhub/command/apply"
	"heatherhub.example/heatherhub/command/check"
	"heatherhub.example/heatherhub/command/demo"
	domainlist "heatherhub.example/heatherhub/command/domain/list"
	"heatherhub.example/heatherhub/command/entry"
	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/command/experiment/colocation"
	"heatherhub.example/heatherhub/command/experiment/routing"
	"heatherhub.example/heatherhub/command/explain"
	"heatherhub.example/heatherhub/command/factory"
	hostlist "heatherhub.example/heatherhub/command/host/list"
	jobadd "heatherhub.example/heatherhub/command/job/add"
	jobcancel "heatherhub.example/heatherhub/command/job/cancel"
	joblist "heatherhub.example/heatherhub/command/job/list"
	jobview "heatherhub.example/heatherhub/command/job/view"
	"heatherhub.example/heatherhub/command/load"
	presetlist "heatherhub.example/heatherhub/command/preset/list"
	"heatherhub.example/heatherhub/command/preset/switchto"
	presetview "heatherhub.example/heatherhub/command/preset/view"
	"heatherhub.example/heatherhub/command/serve"
	"heatherhub.example/heatherhub/command/standin"
	"heatherhub.example/heatherhub/command/status"
	workerlist "heatherhub.example/heatherhub/command/worker/list"
	workloadlist "heatherhub.example/heatherhub/command/workload/list"
	workloadview "heatherhub.example/heatherhub/command/workload/view"
)

// Root holds the arguments of every command. At most one is set.
type Root struct {
	factory.Target

	Preset   *Preset          `arg:"subcommand:preset" help:"list, view and switch presets"`
	Workload *Workload        `arg:"subcommand:workload" help:"list and view workloads"`
	Job      *Job             `arg:"subcommand:job" help:"add, cancel, list and view jobs"`
	Worker   *Worker          `arg:"subcommand:worker" help:"list workers"`
	Host     *Host            `arg:"subcommand:host" help:"list entry hosts"`
	Domain   *Domain          `arg:"subcommand:domain" help:"list failure domains and their evacuation"`
	Status   *status.Options  `arg:"subcommand:status" help:"sum up what an entry host knows"`
	Apply    *apply.Options   `arg:"subcommand:apply" help:"put declarations in force"`
	Check    *check.Options   `arg:"subcommand:check" help:"validate declarations, settings or a configuration without a network"`
	Entry    *entry.Options   `arg:"subcommand:entry" help:"run one entry host"`
	Serve    *serve.Options   `arg:"subcommand:serve" help:"run one host on the users' platform"`
	Explain  *explain.Options `arg:"subcommand:explain" help:"tell the story of a job from logs"`
	Demo     *demo.Options    `arg:"subcommand:demo" help:"run a day of both sites in one process"`
	Load     *load.Options    `arg:"subcommand:load" help:"send an open-loop load and check every answer"`
	Standin  *standin.Options `arg:"subcommand:standin" help:"run a small stand-in for the platform"`

	Experiment *Experiment `arg:"subcommand:experiment" help:"run an experiment in virtual time"`
}

// Preset holds the subcommands of "heatherhub preset".
type Preset struct {
	List   *presetlist.Options `arg:"subcommand:list" help:"list the presets"`
	View   *presetview.Options `arg:"subcommand:view" help:"show a preset"`
	Switch *switchto.Options   `arg:"subcommand:switch" help:"put a preset in force"`
}

// Workload holds the subcommands of "heatherhub workload".
type Workload struct {
	List *workloadlist.Options `arg:"subcommand:list" help:"list the workloads"`
	View *workloadview.Options `arg:"subcommand:view" help:"show a workload"`
}

// Job holds the subcommands of "heatherhub job".
type Job struct {
	Add    *jobadd.Options    `arg:"subcommand:add" help:"add a job"`
	Cancel *jobcancel.Options `arg:"subcommand:cancel" help:"cancel jobs"`
	List   *joblist.Options   `arg:"subcommand:list" help:"list jobs"`
	View   *jobview.Options   `arg:"subcommand:view" help:"show a job"`
}

// Worker holds the subcommands of "heatherhub worker".
type Worker struct {
	List *workerlist.Options `arg:"subcommand:list" help:"list workers"`
}

// Host holds the subcommands of "heatherhub host".
type Host struct {
	List *hostlist.Options `arg:"subcommand:list" help:"list entry hosts"`
}

// Domain holds the subcommands of "heatherhub domain".
type Domain struct {
	List *domainlist.Options `arg:"subcommand:list" help:"list failure domains and their evacuation"`
}

// Experiment holds the subcommands of "heatherhub experiment".
type Experiment struct {
	Routing    *routing.Options    `arg:"subcommand:routing" help:"compare ways to choose replicas"`
	Colocation *colocation.Options `arg:"subcommand:colocation" help:"compare ways to place tasks"`
}

// Description implements arg.Described: the first lines of the help text.
func (Root) Description() string {
	return "heatherhub schedules latency-critical services and batch work on the same machines.\n"
}

// Epilogue implements arg.Epilogued: the examples and exit statuses after the options.
func (Root) Epilogue() string {
	return `Examples:
  heatherhub check -f sites/vanroosbroeck
  heatherhub check --configuration next.json --in-force now.json --pools job,serve
  heatherhub apply -f sites/vanroosbroeck --dry-run
  heatherhub preset switch peak
  heatherhub job add course-grading --tasks 40 --id grades-17
  heatherhub job list --state parked --json id,reason

` + exitcode.Help
}

// runner is implemented by every command except the experiments, which write to the
// output streams only.
type runner interface {
	Run(ctx context.Context, f *factory.Factory) error
}

// dispatch runs the parsed subcommand. It returns false if the arguments name no
// command.
func dispatch(ctx context.Context, subcommand any, f *factory.Factory) (bool, error) {
	switch c := subcommand.(type) {
	case runner:
		return true, c.Run(ctx, f)
	case *colocation.Options:
		return true, colocation.Run(ctx, f.IO.Out, f.IO.Err, c)
	case *routing.Options:
		return true, routing.Run(ctx, f.IO.Out, f.IO.Err, c)
	default:
		return false, nil
	}
}
