package model

import (
	"slices"
	"strings"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
)

// Start starts a task, from its checkpoint if it names one. If the task runs here
// already, no second copy starts: its epoch and its lease become the later ones.
// Start returns ErrNotRun if the lease has expired.
func (w *Worker) Start(now time.Time, c worker.StartCommand) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if err := w.checkReachable(); err != nil {
		return err
	}
	if !c.LeaseUntil.After(w.currentTime) {
		return heatherhub.ErrNotRun.New("the lease of task %s expired before the start arrived: send it with a new lease", c.Task.ID)
	}
	if t, ok := w.tasks[c.Task.ID]; ok && t.isRunning() {
		t.renew(c.Epoch, c.LeaseUntil)
		return nil
	}
	done, err := w.cfg.Checkpoints.Progress(c.Task.Resume)
	if err != nil {
		return err
	}
	w.startTask(c, done)
	return nil
}

// startTask runs a task of which the part done is completed.
func (w *Worker) startTask(c worker.StartCommand, done time.Duration) {
	t := &task{
		status: worker.TaskStatus{
			Task:       c.Task,
			State:      worker.TaskRunning,
			Epoch:      c.Epoch,
			LeaseUntil: c.LeaseUntil,
			Throttle:   fullShare,
			Checkpoint: c.Task.Resume,
			Started:    w.currentTime,
		},
		work: time.Duration(float64(c.Task.RunTime) * errorFactor(w.cfg.Seed, "runTime", c.Task.Workload, w.cfg.RunTimeError)),
		done: done,
		size: trueSize(c.Task, w.cfg.Seed, w.cfg.SizeError),
	}
	w.tasks[c.Task.ID] = t
	w.load.stale = true
	t.runIndex = w.history.openRun(t.status.Task, w.id, w.currentTime)
	w.recordOvercommit()
	if w.cfg.FailTasks {
		w.endTask(t, worker.TaskFailed, w.currentTime, causeFailed)
	}
}

// renew raises the epoch and extends the lease; neither ever goes back.
func (t *task) renew(e heatherhub.Epoch, until time.Time) {
	t.status.Epoch = max(t.status.Epoch, e)
	if until.After(t.status.LeaseUntil) {
		t.status.LeaseUntil = until
	}
}

// Renew renews the leases of the named running tasks, removes the ended tasks
// whose result is confirmed, and reports all tasks and the lagged usage.
func (w *Worker) Renew(now time.Time, c worker.RenewCommand) (worker.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if err := w.checkReachable(); err != nil {
		return worker.Report{}, err
	}
	for _, id := range c.Confirmed {
		w.removeConfirmed(id)
	}
	for _, id := range c.Tasks {
		if t, ok := w.tasks[id]; ok && t.isRunning() {
			t.renew(c.Epoch, c.LeaseUntil)
		}
	}
	return w.report(), nil
}

// removeConfirmed removes an ended task whose result the owner has taken.
func (w *Worker) removeConfirmed(id heatherhub.TaskID) {
	t, ok := w.tasks[id]
	if !ok || t.isRunning() {
		return
	}
	w.history.Runs[t.runIndex].Confirmed = true
	delete(w.tasks, id)
}

func (w *Worker) report() worker.Report {
	return worker.Report{Incarnation: w.incarnation, Tasks: w.statuses(), Usage: w.laggedUsage()}
}

// statuses returns the status of all tasks, in order of task id.
func (w *Worker) statuses() []worker.TaskStatus {
	var all []worker.TaskStatus
	for _, t := range w.tasks {
		all = append(all, t.status)
	}
	slices.SortFunc(all, func(a, b worker.TaskStatus) int {
		return strings.Compare(string(a.Task.ID), string(b.Task.ID))
	})
	return all
}

// Tasks returns the status of all tasks in order of task id, also of a frozen
// worker.
func (w *Worker) Tasks(now time.Time) []worker.TaskStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.statuses()
}

// Checkpoint stores the progress of a running task and returns its reference. It
// returns ErrNotFound if the task does not run here.
func (w *Worker) Checkpoint(now time.Time, id heatherhub.TaskID) (heatherhub.CheckpointRef, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	t, err := w.runningTask(id)
	if err != nil {
		return "", err
	}
	ref := w.cfg.Checkpoints.save(id, t.done)
	t.status.Checkpoint = ref
	return ref, nil
}

// Throttle limits a running task to a share of its processors, in percent. It
// returns ErrNotFound if the task does not run here.
func (w *Worker) Throttle(now time.Time, id heatherhub.TaskID, share heatherhub.Percent) error {
	if share < 0 || share > fullShare {
		return heatherhub.ErrInvalid.New("cannot throttle task %s to %d percent: use 0 to 100", id, share)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	t, err := w.runningTask(id)
	if err != nil {
		return err
	}
	t.status.Throttle = share
	w.load.stale = true
	return nil
}

// Stop stops a task. It succeeds if the task does not run here.
func (w *Worker) Stop(now time.Time, id heatherhub.TaskID) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if err := w.checkReachable(); err != nil {
		return err
	}
	if t, ok := w.tasks[id]; ok && t.isRunning() {
		w.endTask(t, worker.TaskStopped, w.currentTime, causeStopped)
	}
	return nil
}

// runningTask returns a running task. It returns ErrNotFound if there is none, and
// the error of checkReachable.
func (w *Worker) runningTask(id heatherhub.TaskID) (*task, error) {
	if err := w.checkReachable(); err != nil {
		return nil, err
	}
	t, ok := w.tasks[id]
	if !ok || !t.isRunning() {
		return nil, heatherhub.ErrNotFound.New("task %s does not run on worker %s: list the worker's tasks", id, w.id)
	}
	return t, nil
}
