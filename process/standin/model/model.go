// Package model simulates one worker of the platform. The stand-in, the demo, the
// tests and the experiments share it and pass in the time of their own clocks: the
// model has no clock, no goroutine and no network.
//
// A worker gives only the platform's guarantees: a start whose lease has expired
// on arrival runs nothing, a task whose lease expires is stopped, and usage is
// reported with a lag. It accepts work beyond its capacity and does not check
// epochs. It records what it ran, and every excess over its limits, in its
// History; Audit checks the histories of a whole site for violations.
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
// Methods that depend on the time take it as an argument; a time before that of
// an earlier call counts as the time of that call. All methods may be called
// concurrently.
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

// InterferencePair names a workload and a batch class that slows it down.
type InterferencePair struct {
	Workload heatherhub.WorkloadID
	Class    string
}

// Interference is the slowdown of each pair: 0.5 means that the workload takes
// 1.5 times as long when the class uses all processors of the worker. The slowdown
// is proportional to the share that the class uses. Absent pairs do not interfere.
type Interference map[InterferencePair]float64

// Config configures one worker.
type Config struct {
	Host hostlist.Host
	// Seed seeds the true sizes and run times. Workers of one site share it, so
	// that a workload has the same true size everywhere.
	Seed uint64
	// UsageLag is the minimum age of the usage that the worker reports.
	UsageLag time.Duration
	// UsagePeriod is the time between two samples; it defaults to
	// DefaultUsagePeriod.
	UsagePeriod  time.Duration
	Interference Interference
	// SizeError is the largest relative error of the declared size: with 1.0 the
	// true usage is between half and twice the declared size.
	SizeError float64
	// RunTimeError is the largest relative error of the declared run time, by the
	// same scale.
	RunTimeError float64
	// FailTasks makes the worker fail every task that it starts.
	FailTasks bool
	// Checkpoints stores the checkpoints of all workers of a site. If nil, the
	// worker gets a store of its own.
	Checkpoints *Checkpoints
}

// Worker simulates one worker.
type Worker struct {
	mu  sync.Mutex
	cfg Config
	id  heatherhub.WorkerID
	// currentTime is the time up to which the worker has been simulated.
	currentTime time.Time
	nextSample  time.Time
	// incarnation is the start of the worker's present life, in Unix milliseconds.
	incarnation heatherhub.Incarnation
	dead        bool
	frozen      bool
	// tasks holds the running tasks, and the ended ones until they are confirmed.
	tasks    map[heatherhub.TaskID]*task
	requests map[heatherhub.RequestID]*request
	// samples are in order of time; the first is the one to report, once it is
	// UsageLag old.
	samples   []worker.Usage
	load      load
	slowdowns map[heatherhub.WorkloadID][]slowdown
	history   History
}

// task is a task that runs on the worker, or has ended and is not confirmed yet.
type task struct {
	status worker.TaskStatus
	// work is the true run time at full speed; done is the completed part of it.
	work, done time.Duration
	// size is the true size.
	size heatherhub.Resources
	// runIndex is the index of the run in History.Runs.
	runIndex int
	// activeRequests is the number of requests that the replica runs.
	activeRequests int
	// requestTime, servedRequests and totalLatency count since the last sample:
	// the summed run time of all requests, the requests that ended and the sum of
	// their latencies.
	requestTime    time.Duration
	servedRequests int
	totalLatency   time.Duration
}

func (t *task) isRunning() bool {
	return t.status.State == worker.TaskRunning
}

// New returns a live worker without tasks.
func New(cfg Config) *Worker {
	if cfg.UsagePeriod <= 0 {
		cfg.UsagePeriod = DefaultUsagePeriod
	}
	if cfg.Checkpoints == nil {
		cfg.Checkpoints = NewCheckpoints()
	}
	id := heatherhub.WorkerID(cfg.Host.ID)
	return &Worker{
		cfg: cfg,
		id:  id,
		// Its first life began before the simulation.
		incarnation: 1,
		tasks:       make(map[heatherhub.TaskID]*task),
		requests:    make(map[heatherhub.RequestID]*request),
		history:     History{Worker: id},
		load:        load{byClass: make(map[string]heatherhub.MilliCPU)},
		slowdowns:   slowdownsByWorkload(cfg.Interference),
	}
}

// Host returns the worker's entry in the host list.
func (w *Worker) Host() hostlist.Host {
	return w.cfg.Host
}

// Kill stops the worker and drops its tasks, requests and usage. The history is
// kept.
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

// Revive starts a killed worker again, as another incarnation without tasks.
func (w *Worker) Revive(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.dead = false
	w.incarnation = max(heatherhub.Incarnation(now.UnixMilli()), w.incarnation+1)
}

// Freeze pauses the worker: commands and new requests get ErrUnknown and batch
// tasks make no progress, while leases still expire.
func (w *Worker) Freeze(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.frozen = true
}

// Thaw resumes a frozen worker.
func (w *Worker) Thaw(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.frozen = false
}

// SetFailTasks sets whether the worker fails every task that it starts.
func (w *Worker) SetFailTasks(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.FailTasks = fail
}

// IsDead reports whether the worker has been killed and not revived.
func (w *Worker) IsDead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead
}

// IsFrozen reports whether the worker is frozen.
func (w *Worker) IsFrozen() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.frozen
}

// checkReachable returns ErrUnavailable for a dead worker, to which a call did not
// get through, and ErrUnknown for a frozen one.
func (w *Worker) checkReachable() error {
	switch {
	case w.dead:
		return heatherhub.ErrUnavailable.New("worker %s refuses connections: choose another one", w.id)
	case w.frozen:
		return heatherhub.ErrUnknown.New("worker %s does not answer: list its tasks when it does", w.id)
	}
	return nil
}
