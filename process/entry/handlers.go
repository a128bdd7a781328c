package entry

import (
	"context"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/operatorapi"
)

// The peer handlers in this file cover only the shards that this host owns.

func (e *Entry) handleJobAdd(ctx context.Context, _ heatherhub.HostID, m jobMessage) (jobMessage, error) {
	j, err := e.runtime.AddJob(ctx, m.Job)
	return jobMessage{Job: j}, err
}

func (e *Entry) handleJobCancel(ctx context.Context, _ heatherhub.HostID, m jobCancelRequest) (jobMessage, error) {
	j, err := e.runtime.CancelJob(ctx, m.ID)
	return jobMessage{Job: j}, err
}

func (e *Entry) handleJobList(_ context.Context, _ heatherhub.HostID, c jobListRequest) (jobListReply, error) {
	reply := jobListReply{Shards: e.runtime.Owned()}
	limit := c.Limit
	if limit <= 0 || limit > operatorapi.MaxListedJobs {
		limit = operatorapi.MaxListedJobs
	}
	for _, v := range e.runtime.Jobs() {
		if !c.matches(&v.Job) {
			continue
		}
		if len(reply.Jobs) == limit {
			reply.Truncated = true
			break
		}
		reply.Jobs = append(reply.Jobs, v)
	}
	return reply, nil
}

func (e *Entry) handleWorkerList(context.Context, heatherhub.HostID, emptyRequest) (workerListReply, error) {
	return workerListReply{Workers: e.runtime.Workers(), Shards: e.runtime.Owned()}, nil
}

func (e *Entry) handleStatus(context.Context, heatherhub.HostID, emptyRequest) (statusReply, error) {
	reply := statusReply{
		Version: e.keeper.Current().Version,
		Shards:  e.runtime.Owned(),
		Leaving: e.isLeaving.Load(),
	}
	for _, v := range e.runtime.Jobs() {
		switch v.Job.State {
		case heatherhub.JobQueued:
			reply.JobsQueued++
		case heatherhub.JobParked:
			reply.JobsParked++
		}
	}
	for _, w := range e.runtime.Workers() {
		reply.TasksRunning += len(w.Tasks)
	}
	return reply, nil
}
