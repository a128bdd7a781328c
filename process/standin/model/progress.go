package model

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
)

// Advance simulates the worker up to a time: batch tasks make progress and finish,
// leases expire and usage is sampled, each at its exact time.
func (w *Worker) Advance(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
}

// advance is Advance with the lock held. Between two events all rates are constant.
func (w *Worker) advance(now time.Time) {
	if w.currentTime.IsZero() {
		w.currentTime = now
		w.nextSample = now.Add(w.cfg.UsagePeriod)
	}
	w.skipOldSamples(now)
	for now.After(w.currentTime) {
		until := w.nextEvent(now)
		w.advanceTasks(until.Sub(w.currentTime))
		w.currentTime = until
		w.handleEvents()
	}
}

// skipOldSamples skips samples that would be too old to be reported, so that a long
// step takes no sample for each period.
func (w *Worker) skipOldSamples(now time.Time) {
	oldest := now.Add(-w.cfg.UsageLag - 2*w.cfg.UsagePeriod)
	if behind := oldest.Sub(w.nextSample); behind > 0 {
		periods := behind / w.cfg.UsagePeriod
		w.nextSample = w.nextSample.Add(periods * w.cfg.UsagePeriod)
	}
}

// nextEvent returns the time of the next sample, lease expiry or task end, but at
// most limit.
func (w *Worker) nextEvent(limit time.Time) time.Time {
	next := limit
	if w.nextSample.Before(next) {
		next = w.nextSample
	}
	for _, t := range w.tasks {
		if !t.isRunning() {
			continue
		}
		if t.status.LeaseUntil.Before(next) {
			next = t.status.LeaseUntil
		}
		if end, ok := w.finishTime(t); ok && end.Before(next) {
			next = end
		}
	}
	if next.Before(w.currentTime) {
		return w.currentTime
	}
	return next
}

// finishTime returns when a batch task finishes at its present rate.
func (w *Worker) finishTime(t *task) (time.Time, bool) {
	rate := w.rate(t)
	if t.status.Task.Kind != heatherhub.KindBatch || rate <= 0 {
		return time.Time{}, false
	}
	// The extra nanosecond makes up for rounding, so that the work is done by then.
	left := time.Duration(float64(t.work-t.done)/rate) + 1
	return w.currentTime.Add(left), true
}

// advanceTasks adds the progress and the request time of an interval without
// events.
func (w *Worker) advanceTasks(d time.Duration) {
	for _, t := range w.tasks {
		if !t.isRunning() {
			continue
		}
		t.requestTime += d * time.Duration(t.activeRequests)
		if t.status.Task.Kind == heatherhub.KindBatch {
			t.done += time.Duration(float64(d) * w.rate(t))
		}
	}
}

// handleEvents ends the tasks that finish or whose lease expires now, and takes a
// sample if one is due.
func (w *Worker) handleEvents() {
	for _, t := range w.tasks {
		switch {
		case !t.isRunning():
		case t.status.Task.Kind == heatherhub.KindBatch && t.done >= t.work:
			w.endTask(t, worker.TaskFinished, w.currentTime, causeFinished)
		case !t.status.LeaseUntil.After(w.currentTime):
			w.endTask(t, worker.TaskStopped, w.currentTime, causeLeaseExpired)
		}
	}
	if !w.nextSample.After(w.currentTime) {
		w.takeSample()
		w.nextSample = w.nextSample.Add(w.cfg.UsagePeriod)
	}
}

// endTask sets the final state of a task, closes its run in the history and cuts
// off its requests.
func (w *Worker) endTask(t *task, s worker.TaskState, at time.Time, why endCause) {
	t.status.State = s
	w.load.stale = true
	w.history.closeRun(t.runIndex, at, s)
	w.cutOffRequests(t, at, why)
}

// takeSample records the usage of the period that ends now.
func (w *Worker) takeSample() {
	u := worker.Usage{Worker: w.id, At: w.currentTime}
	for id, t := range w.tasks {
		if t.isRunning() {
			u.Tasks = append(u.Tasks, w.sampleTask(id, t))
		}
	}
	sortUsage(u.Tasks)
	w.samples = append(w.samples, u)
	w.dropOldSamples()
}

// sampleTask returns the usage of a task since the last sample and resets its
// counters.
func (w *Worker) sampleTask(id heatherhub.TaskID, t *task) worker.TaskUsage {
	concurrency := float64(t.requestTime) / float64(w.cfg.UsagePeriod)
	u := worker.TaskUsage{Task: id, Used: taskUsage(t, concurrency), Requests: t.servedRequests}
	if t.servedRequests > 0 {
		u.Latency = t.totalLatency / time.Duration(t.servedRequests)
	}
	t.requestTime, t.servedRequests, t.totalLatency = 0, 0, 0
	return u
}

// dropOldSamples keeps the newest sample that is at least UsageLag old, and all
// later ones.
func (w *Worker) dropOldSamples() {
	limit := w.currentTime.Add(-w.cfg.UsageLag)
	for len(w.samples) > 1 && !w.samples[1].At.After(limit) {
		w.samples = w.samples[1:]
	}
}

// laggedUsage returns the newest sample that is at least UsageLag old, or an empty
// one.
func (w *Worker) laggedUsage() worker.Usage {
	w.dropOldSamples()
	if len(w.samples) == 0 || w.samples[0].At.After(w.currentTime.Add(-w.cfg.UsageLag)) {
		return worker.Usage{Worker: w.id}
	}
	return w.samples[0]
}
