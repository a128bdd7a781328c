// Package model is a small model of one worker of the platform. The stand-in,
// the demo, the tests and the experiments all drive this one model, each with
// its own clock: the model has no clock, no goroutine and no network.
//
// A worker keeps the platform's promises and no others: a start whose lease has
// lapsed on arrival runs nothing, a task whose lease lapses is stopped, usage is
// reported with a lag. It refuses nothing for lack of room and checks no epoch.
// What it is given beyond its capacity it writes into its History, and Audit
// judges the histories of a whole site.
//
// # Usage
//
//	w := model.New(model.Config{Host: host, Seed: 1, UsageLag: 5 * time.Second})
//	err := w.Start(now, worker.StartCommand{Task: t, LeaseUntil: now.Add(worker.TaskLease)})
//	now = now.Add(worker.RenewInterval)
//	report, err := w.Renew(now, worker.RenewCommand{LeaseUntil: now.Add(worker.TaskLease), Tasks: ids})
//	took, err := w.BeginRequest(now, request, 20*time.Millisecond)
//	err = w.EndRequest(now.Add(took), request.ID)
//	result := model.Audit([]model.History{w.History()}, "compile")
//
// All methods take the current time, and may be called by several goroutines.
// A time before the last one counts as the last one.
package model

import (
	"sync"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/worker"
)

// DefaultUsagePeriod is the time between two samples of usage.
const DefaultUsagePeriod = 2 * time.Second

// InterferencePair names a workload that is slowed and the batch class that slows it.
type InterferencePair struct {
	Workload heatherhub.WorkloadID
	Class    string
}

// Interference is the slowdown of each pair: 0.5 means that the workload takes
// 1.5 times as long when the class uses all processors of the worker. An absent
// pair does not interfere.
type Interference map[InterferencePair]float64

// Config describes one worker.
type Config struct {
	Host hostlist.Host
	// Seed draws the true sizes and run times. Workers of one site share it, so
	// that a workload has the same true size everywhere.
	Seed uint64
	// UsageLag is the age of the newest usage that the worker reports.
	UsageLag time.Duration
	// UsagePeriod is the time between two samples; zero is DefaultUsagePeriod.
	UsagePeriod  time.Duration
	Interference Interference
	// SizeError is the largest relative error of the declared size: with 1.0 the
	// true usage is between half and twice the declared size.
	SizeError float64
	// RunTimeError is the largest relative error of the declared run time.
	RunTimeError float64
	// FailTasks makes the worker fail every task that it starts.
	FailTasks bool
	// Checkpoints keeps the checkpoints of all workers of a site. Nil makes a
	// registry for this worker alone.
	Checkpoints *Checkpoints
}

// Worker is the model of one worker.
type Worker struct {
	mu          sync.Mutex
	cfg         Config
	id          heatherhub.WorkerID
	currentTime time.Time
	nextSample  time.Time
	dead        bool
	frozen      bool
	tasks       map[heatherhub.TaskID]*task
	requests    map[heatherhub.RequestID]*request
	samples     []worker.Usage
	load        load
	slowdowns   map[heatherhub.WorkloadID][]slowdown
	history     History
}

type task struct {
	status worker.TaskStatus
	// work is the true run time at full speed; done is the part that is done.
	work, done     time.Duration
	size           heatherhub.Resources
	runIndex       int
	activeRequests int
	requestTime    time.Duration
	servedRequests int
	totalLatency   time.Duration
}

func (t *task) isRunning() bool {
	return t.status.State == worker.TaskRunning
}

// New makes a live worker without tasks.
func New(cfg Config) *Worker {
	if cfg.UsagePeriod <= 0 {
		cfg.UsagePeriod = DefaultUsagePeriod
	}
	if cfg.Checkpoints == nil {
		cfg.Checkpoints = NewCheckpoints()
	}
	id := heatherhub.WorkerID(cfg.Host.ID)
	return &Worker{
		cfg:       cfg,
		id:        id,
		tasks:     make(map[heatherhub.TaskID]*task),
		requests:  make(map[heatherhub.RequestID]*request),
		history:   History{Worker: id},
		load:      load{byClass: make(map[string]heatherhub.MilliCPU)},
		slowdowns: slowdownsByWorkload(cfg.Interference),
	}
}

// Host returns the worker's line in the host list.
func (w *Worker) Host() hostlist.Host {
	return w.cfg.Host
}

// Kill ends the worker and everything on it. Nothing but the ledger is kept.
func (w *Worker) Kill(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	for _, t := range w.tasks {
		if t.isRunning() {
			w.endTask(t, worker.TaskStopped, w.currentTime, causeKilled)
		}
	}
	w.dead = true
	w.frozen = false
	clear(w.tasks)
	w.load.stale = true
	clear(w.requests)
	w.samples = nil
}

// Revive starts a killed worker again, without tasks.
func (w *Worker) Revive(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.dead = false
}

// Freeze pauses the worker: it answers nothing and makes no progress, while its
// leases lapse as time goes on.
func (w *Worker) Freeze(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.frozen = true
}

// Thaw ends a pause.
func (w *Worker) Thaw(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.frozen = false
}

// SetFailTasks makes the worker fail every task that it starts, or ends that.
func (w *Worker) SetFailTasks(bad bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.FailTasks = bad
}

// IsDead reports whether the worker is killed.
func (w *Worker) IsDead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead
}

// IsFrozen reports whether the worker is paused.
func (w *Worker) IsFrozen() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.frozen
}

// checkReachable returns the error of a call to a dead or paused worker.
func (w *Worker) checkReachable() error {
	switch {
	case w.dead:
		return heatherhub.ErrUnavailable.New("worker %s refuses connections: choose another one", w.id)
	case w.frozen:
		return heatherhub.ErrUnknown.New("worker %s does not answer: list its tasks when it does", w.id)
	}
	return nil
}
