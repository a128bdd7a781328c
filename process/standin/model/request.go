package model

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
)

// request is a running request of a caller.
type request struct {
	task *task
	// executionIndex is the index of the request in History.Executions.
	executionIndex int
	startedAt      time.Time
}

// BeginRequest starts a request that takes the time work on an idle worker and
// returns the time that it takes under the present load; the caller ends it with
// EndRequest after that time. It returns ErrNotRun if the named replica does not
// run here or the request id is in use. A request beyond the worker's slots runs
// too and is recorded as a violation.
func (w *Worker) BeginRequest(now time.Time, r worker.Request, work time.Duration) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if err := w.checkReachable(); err != nil {
		return 0, err
	}
	t, ok := w.tasks[r.Task]
	if !ok || !t.isRunning() || t.status.Task.Workload != r.Workload {
		return 0, heatherhub.ErrNotRun.New("worker %s has no replica %s of %s: choose another one", w.id, r.Task, r.Workload)
	}
	if _, ok := w.requests[r.ID]; ok {
		return 0, heatherhub.ErrNotRun.New("request %s runs here already: send a new request id", r.ID)
	}
	t.activeRequests++
	w.load.stale = true
	w.requests[r.ID] = &request{task: t, startedAt: w.currentTime, executionIndex: w.history.openExecution(r, w.id, w.currentTime)}
	if slots := w.cfg.Host.Slots; slots > 0 && len(w.requests) > slots {
		w.history.addViolation(w.id, ViolationSlots, w.currentTime, len(w.requests), slots)
	}
	return w.serviceTime(t, work), nil
}

// serviceTime returns the time that a request takes under the present load and
// throttle.
func (w *Worker) serviceTime(t *task, work time.Duration) time.Duration {
	factor := w.slowdownFactor(t.status.Task.Workload)
	share := max(t.status.Throttle, 1)
	return time.Duration(float64(work) * factor * float64(fullShare) / float64(share))
}

// EndRequest ends a request. It returns ErrUnknown if the replica ended before the
// request did, which then has no answer.
func (w *Worker) EndRequest(now time.Time, id heatherhub.RequestID) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	r, ok := w.requests[id]
	if !ok {
		return heatherhub.ErrUnknown.New("request %s was cut off: its replica ended", id)
	}
	delete(w.requests, id)
	r.task.activeRequests--
	w.load.stale = true
	r.task.servedRequests++
	r.task.totalLatency += w.currentTime.Sub(r.startedAt)
	w.history.Executions[r.executionIndex].To = w.currentTime
	return nil
}

// ObserveConnections records a violation if n, the number of open connections,
// exceeds the worker's limit.
func (w *Worker) ObserveConnections(now time.Time, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if limit := w.cfg.Host.Connections; limit > 0 && n > limit {
		w.history.addViolation(w.id, ViolationConnections, w.currentTime, n, limit)
	}
}

// cutOffRequests ends the requests of a task that ends before them.
func (w *Worker) cutOffRequests(t *task, at time.Time, why endCause) {
	if t.activeRequests == 0 {
		return
	}
	for id, r := range w.requests {
		if r.task != t {
			continue
		}
		e := &w.history.Executions[r.executionIndex]
		e.To = at
		e.CutOff = true
		e.CutByCommand = why == causeStopped
		delete(w.requests, id)
	}
	t.activeRequests = 0
	w.load.stale = true
}
