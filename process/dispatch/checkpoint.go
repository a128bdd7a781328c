package dispatch

import (
	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
)

// A task continues from the newest checkpoint that its workers have reported, while it ran or at its end. The
// tasks of a gang share one: all starts of a run carry the same value, which any member may have reported. Nothing
// of it is stored: the next owner knows the checkpoints of the runs and ends that workers still list.
//
// A checkpoint says nothing by itself, so the newest is that of the latest run; in it the one that was made at a
// stop, as a gang does no work after the first end; and otherwise the one that was reported at the highest progress.

// savedWork is the newest checkpoint of a task, or of a gang.
type savedWork struct {
	ref heatherhub.CheckpointRef
	// run is the run that has made it. For one that a previous owner has started it is the one that lists it.
	run heatherhub.RunID
	// isFinal means that it was made at a stop.
	isFinal bool
	// progress is that of the run when it was reported, in percent.
	progress heatherhub.Percent
	// refused is the last checkpoint with which a start was refused. It is not used again.
	refused heatherhub.CheckpointRef
}

// saved returns what is known of the checkpoints of a task.
func (t *task) saved() *savedWork {
	if t.step.spec.Gang {
		return &t.step.gangSaved
	}
	return &t.ownSaved
}

// add takes over a checkpoint that is newer than the known one. former is the one that the same run has reported
// before it, or empty.
func (s *savedWork) add(n savedWork, former heatherhub.CheckpointRef) {
	if n.ref == "" || n.ref == s.refused {
		return
	}
	isNewer := n.run > s.run
	if n.run == s.run && !s.isFinal {
		isNewer = n.isFinal || n.progress > s.progress || former == s.ref
	}
	if isNewer {
		n.refused = s.refused
		*s = n
	}
}

// noteCheckpoint records a checkpoint that a worker lists with a run, and the progress at which it does.
func (a *attempt) noteCheckpoint(ref heatherhub.CheckpointRef) {
	if ref == "" || ref == a.checkpoint {
		return
	}
	a.task.saved().add(savedWork{ref: ref, run: a.run, progress: a.progress}, a.checkpoint)
	a.checkpoint, a.checkpointProgress, a.isCheckpointSeen = ref, a.progress, true
}

// noteLastCheckpoint records the checkpoint that a worker lists with the end of a run. a is the attempt, or nil if
// this owner has not known that it runs.
func (e *Engine) noteLastCheckpoint(n *node, t *task, a *attempt, end *agent.Ended) {
	last := savedWork{ref: end.Checkpoint, run: end.Run, isFinal: end.Kind == agent.EndStopped}
	former := heatherhub.CheckpointRef("")
	if a != nil {
		last.progress, former = a.progress, a.checkpoint
	}
	switch saved := t.saved(); {
	case last.ref == "" && last.isFinal && last.progress > 0 && t.step.spec.Checkpoints:
		e.recordCheckpointEvent(EventCheckpointMissing, t, n.worker.ID, end.Run, "none at the stop")
	case last.ref == "" || last.ref == former:
	case last.run < saved.run && last.ref != saved.ref:
		e.recordCheckpointEvent(EventCheckpointUnused, t, n.worker.ID, end.Run, "of an earlier run")
	default:
		saved.add(last, former)
	}
}

// dropRefusedCheckpoint forgets the checkpoint of a start that a worker has refused as not valid. The next run does
// not continue from it.
func (e *Engine) dropRefusedCheckpoint(a *attempt) {
	saved := a.task.saved()
	if a.checkpoint == "" || a.checkpoint != saved.ref {
		return
	}
	*saved = savedWork{refused: saved.ref}
	e.recordCheckpointEvent(EventCheckpointUnused, a.task, a.node.worker.ID, a.run, "start refused")
}

func (e *Engine) recordCheckpointEvent(event Event, t *task, id heatherhub.WorkerID, run heatherhub.RunID, reason string) {
	e.recordEvent(EventRecord{
		Event: event, Job: t.step.occ.job.workflow.ID, Step: t.step.index, Index: t.index, Worker: id, Run: run, Reason: reason, Count: 1,
	})
}
