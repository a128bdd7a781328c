package scenario

import (
	"context"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/operatorapi"
)

// AddJob adds a job and records it, so that the audit checks that its tasks finish.
func (cl *Cluster) AddJob(r operatorapi.JobRequest) error {
	c, err := cl.OperatorClient()
	if err != nil {
		return err
	}
	v, err := c.AddJob(context.Background(), r)
	if err != nil {
		return err
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, j := range cl.jobs {
		if j.ID == v.Job.ID {
			return nil
		}
	}
	cl.jobs = append(cl.jobs, v.Job)
	return nil
}

// CancelJob cancels a job and excludes its tasks from the audit's unfinished tasks.
func (cl *Cluster) CancelJob(id heatherhub.JobID) error {
	c, err := cl.OperatorClient()
	if err != nil {
		return err
	}
	if _, err := c.CancelJob(context.Background(), id); err != nil {
		return err
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for i := range cl.jobs {
		if cl.jobs[i].ID == id {
			cl.jobs[i].State = heatherhub.JobCancelled
		}
	}
	return nil
}
