// Package add implements "heatherhub job add", which adds a job.
//
// # Usage
//
//	heatherhub job add course-grading --tasks 40 --id grades-17
//
// Adding a job is idempotent by its id, so a command with --id can be repeated safely.
package add

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
	Workload string `arg:"positional,required" help:"batch workload of the job"`
	ID       string `arg:"--id" placeholder:"ID" help:"name of the job; the same name adds it once [default: a random one]"`
	Tasks    int    `arg:"--tasks" default:"1" placeholder:"N" help:"number of tasks"`
	Urgent   bool   `arg:"--urgent" help:"start within a second"`
}

// adder is the part of operatorapi.Client that the command uses.
type adder interface {
	AddJob(ctx context.Context, r operatorapi.JobRequest) (*operatorapi.JobView, error)
}

// Run adds the job and prints its id, workload, size and state. If the outcome is
// unknown, the error tells how to repeat the command safely.
func (o *Options) Run(ctx context.Context, f *factory.Factory) error {
	client, err := f.Client()
	if err != nil {
		return err
	}
	return o.run(ctx, f.IO, client)
}

func (o *Options) run(ctx context.Context, s *streams.IO, client adder) error {
	r := operatorapi.JobRequest{
		ID:       heatherhub.JobID(o.ID),
		Workload: heatherhub.WorkloadID(o.Workload),
		Tasks:    o.Tasks,
	}
	if r.ID == "" {
		r.ID = heatherhub.JobID(uuid.NewString())
	}
	if o.Urgent {
		r.Priority = heatherhub.PriorityUrgent
	}
	view, err := client.AddJob(ctx, r)
	if heatherhub.IsUnknown(err) {
		return heatherhub.ErrUnknown.New("%s; repeat the command with --id %s, which adds the job only once", heatherhub.Message(err), r.ID)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "%s\t%s\t%d tasks\t%s\n", view.Job.ID, view.Job.Workload, view.Job.Tasks, view.Job.State)
	return nil
}
