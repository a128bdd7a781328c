//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, as in the settings of the hosts.
const (
	maxHold            = 6000 // ms
	stopTime           = 300 * time.Millisecond
	gangTimeout        = 3 * time.Second
	checkpointInterval = 2 * time.Second
	restoreTime        = 100 * time.Millisecond
	heartbeat          = 1100 * time.Millisecond
	drainTime          = 2 * time.Second
)

// run is one run of a task on a worker.
type run struct {
	task       string
	step       *step
	number     uint64
	startedAt  time.Time
	stopAt     time.Time
	checkpoint string // that the start carried
	saved      string // the last one that was produced
	base       time.Duration
	// since is when the work began; zero while a gang is incomplete.
	since time.Time
	gang  *gang
}

// gang is one run of all tasks of a gang.
type gang struct {
	members  map[string]*run
	isBroken bool
	isDone   bool
}

type end struct {
	n    uint64
	task string
	run  uint64
	how  string
	save string
}

// fleet has all workers and what they share: gangs find each other, and all use one lock.
type fleet struct {
	mu      sync.Mutex
	scene   *scene
	workers []*worker
	gangs   map[string]*gang
	count   int
}

// worker is one life of a worker machine.
type worker struct {
	fleet     *fleet
	id        string
	rack      string
	cpu       int
	startedAt time.Time
	token     uint64
	until     int64
	running   map[string]*run
	last      map[string]uint64
	ends      []end
	lastEnd   uint64
	isGone    bool
	drainEnd  time.Time
	sequence  int
	listener  net.Listener
	server    *http.Server
}

// start begins the life of a worker at an address; an empty one selects a free port.
func (f *fleet) start(address, rack string, cpu int) (*worker, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.count++
	w := &worker{
		fleet: f, id: fmt.Sprintf("i-%08x", 0x5eed0000+f.count), rack: rack, cpu: cpu, startedAt: time.Now().Add(-time.Minute),
		running: make(map[string]*run), last: make(map[string]uint64), listener: l,
	}
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.handle(w.runStart))
	mux.HandleFunc("POST /v1/run-stop", w.handle(w.runStop))
	mux.HandleFunc("POST /v1/pace", w.handle(func(http.ResponseWriter, *call) (int, map[string]any) { return 200, map[string]any{} }))
	mux.HandleFunc("POST /v1/hold", w.handle(w.hold))
	w.server = &http.Server{Handler: mux}
	f.scene.group.Go(func() { _ = w.server.Serve(l) })
	f.scene.group.Go(w.beat)
	return w, nil
}

// address is where the worker serves.
func (w *worker) address() string { return w.listener.Addr().String() }

// crash ends the worker without a word. Its entry is removed after three heartbeats.
func (w *worker) crash() {
	w.fleet.mu.Lock()
	w.isGone = true
	for _, r := range w.running {
		if r.gang != nil {
			r.gang.isBroken = true
		}
	}
	clear(w.running)
	w.fleet.mu.Unlock()
	_ = w.server.Close()
	w.fleet.scene.group.Go(func() {
		time.Sleep(3 * heartbeat)
		w.fleet.scene.store.Remove("servers/" + w.id)
	})
}

// drain reports that the worker leaves, and ends it once the time is over.
func (w *worker) drain() {
	w.fleet.mu.Lock()
	w.drainEnd = time.Now().Add(drainTime + 500*time.Millisecond)
	w.fleet.mu.Unlock()
	w.register()
	w.fleet.scene.group.Go(func() {
		time.Sleep(drainTime + 500*time.Millisecond)
		w.fleet.mu.Lock()
		w.isGone = true
		w.fleet.scene.log("worker %s leaves with %d tasks", w.id, len(w.running))
		w.fleet.mu.Unlock()
		_ = w.server.Close()
		w.fleet.scene.store.Remove("servers/" + w.id)
	})
}

// beat writes the worker's entry until it is gone.
func (w *worker) beat() {
	for {
		w.fleet.mu.Lock()
		isGone := w.isGone
		w.fleet.mu.Unlock()
		if isGone {
			return
		}
		w.register()
		time.Sleep(heartbeat)
	}
}

func (w *worker) register() {
	w.fleet.mu.Lock()
	w.sequence++
	entry := map[string]any{
		"service": "claimdesk", "address": w.address(), "zone": "bole-hall", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": w.cpu, "mem_mb": 64000, "gpu": 0}, "labels": []string{"a", w.rack}, "clock_ms": w.clock(), "sequence": w.sequence,
	}
	if !w.drainEnd.IsZero() {
		entry["state"], entry["drain_remaining_ms"] = "draining", max(time.Until(w.drainEnd).Milliseconds()-500, 0)
	}
	w.fleet.mu.Unlock()
	_ = w.fleet.scene.store.Put("servers/"+w.id, entry)
}

// clock is the worker's steady clock in milliseconds.
func (w *worker) clock() int64 { return time.Since(w.startedAt).Milliseconds() }

// call is the body of a call of a host.
type call struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	Until      int64  `json:"until_ms"`
	Token      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   uint64 `json:"last_seen"`
	Wait       int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

// handle checks the incarnation and the fencing token of a call, and answers it. The function is
// called with the lock held.
func (w *worker) handle(f func(http.ResponseWriter, *call) (int, map[string]any)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Heatherhub-Expect-Instance"); id != "" && id != w.id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var c call
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		w.fleet.mu.Lock()
		if w.isGone {
			w.fleet.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		w.fleet.advance()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if c.Token >= w.token {
			w.token = c.Token
			status, body = f(out, &c)
		}
		body["clock_ms"] = w.clock()
		w.fleet.mu.Unlock()
		data, err := json.Marshal(body)
		if err != nil {
			out.WriteHeader(http.StatusInternalServerError)
			return
		}
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		_, _ = out.Write(data)
	}
}

// extend extends the lease, which is never longer than maxHold and never becomes shorter.
func (w *worker) extend(until int64) {
	w.until = max(w.until, min(until, w.clock()+maxHold))
}

// stepOf returns the step of a task by its name.
func (f *fleet) stepOf(task string) (gangKey string, s *step) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", nil
	}
	j := f.scene.jobs[parts[0]]
	k, err := strconv.Atoi(parts[2])
	if j == nil || err != nil || k >= len(j.Steps) {
		return "", nil
	}
	return strings.Join(parts[:3], "."), &j.Steps[k]
}

func (w *worker) runStart(_ http.ResponseWriter, c *call) (int, map[string]any) {
	f := w.fleet
	key, s := f.stepOf(c.Task)
	refuse := func(reason string) (int, map[string]any) {
		f.scene.log("worker %s refuses the start of %s run %d: %s", w.id, c.Task, c.Run, reason)
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	current := w.running[c.Task]
	switch {
	case current != nil && current.number == c.Run:
		return 200, map[string]any{}
	case c.Until <= w.clock():
		return refuse("late")
	case c.Run <= w.last[c.Task] || current != nil:
		w.extend(c.Until)
		return refuse("old")
	case s == nil:
		f.scene.log("UNASKED: worker %s is told to start %s, which no client sent", w.id, c.Task)
		return 400, map[string]any{}
	}
	w.extend(c.Until)
	r := &run{task: c.Task, step: s, number: c.Run, startedAt: time.Now(), checkpoint: c.Checkpoint, saved: c.Checkpoint, base: progressOf(c.Checkpoint)}
	w.running[c.Task] = r
	f.scene.started(w, r)
	if !s.Gang {
		r.since = r.startedAt.Add(restoreOf(c.Checkpoint))
		return 200, map[string]any{}
	}
	key = fmt.Sprintf("%s/%d", key, c.Run)
	g := f.gangs[key]
	if g == nil {
		g = &gang{members: make(map[string]*run)}
		f.gangs[key] = g
	}
	g.members[c.Task], r.gang = r, g
	if len(g.members) == s.Count && !g.isBroken {
		// All must carry the same value; others don't come together.
		for _, m := range g.members {
			if m.checkpoint != r.checkpoint {
				return 200, map[string]any{}
			}
		}
		for _, m := range g.members {
			m.since = time.Now().Add(restoreOf(c.Checkpoint))
		}
	}
	return 200, map[string]any{}
}

// progressOf returns the work that a checkpoint holds: its first eight digits, in milliseconds.
func progressOf(checkpoint string) time.Duration {
	if len(checkpoint) < 8 {
		return 0
	}
	n, err := strconv.ParseUint(checkpoint[:8], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

func restoreOf(checkpoint string) time.Duration {
	if checkpoint == "" {
		return 0
	}
	return restoreTime
}

// worked returns the work that is done, with that of the checkpoint.
func (r *run) worked(now time.Time) time.Duration {
	if r.since.IsZero() || now.Before(r.since) {
		return r.base
	}
	return r.base + now.Sub(r.since)
}

// save produces a checkpoint of the work that is done.
func (r *run) save(work time.Duration) {
	if r.step.Checkpointing && work > 0 {
		r.saved = fmt.Sprintf("%08x%s", work.Milliseconds(), r.task[4:12])
	}
}

func (w *worker) runStop(_ http.ResponseWriter, c *call) (int, map[string]any) {
	r := w.running[c.Task]
	if r != nil && r.number <= c.Run {
		if r.stopAt.IsZero() {
			w.fleet.scene.log("worker %s is told to stop %s run %d", w.id, c.Task, c.Run)
			r.stopAt = time.Now().Add(stopTime)
		}
		return 200, map[string]any{}
	}
	w.last[c.Task] = max(w.last[c.Task], c.Run)
	return 200, map[string]any{}
}

// hold extends the lease and lists the runs. It waits for an end for at most c.Wait.
func (w *worker) hold(_ http.ResponseWriter, c *call) (int, map[string]any) {
	f := w.fleet
	if c.Until > 0 {
		w.extend(c.Until)
	}
	w.ends = slices.DeleteFunc(w.ends, func(e end) bool { return e.n <= c.LastSeen })
	for limit := time.Now().Add(time.Duration(c.Wait) * time.Millisecond); len(w.ends) == 0 && time.Now().Before(limit); {
		f.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		f.mu.Lock()
		if w.isGone {
			f.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		f.advance()
	}
	running, finished := [][]any{}, [][]any{}
	now := time.Now()
	for _, r := range w.running {
		percent := 100
		if r.step.Duration > 0 {
			percent = min(int(100*r.worked(now)/r.step.Duration), 99)
		}
		measure := r.step.CPU
		running = append(running, []any{r.task, r.number, r.saved, percent, measure})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, e.save})
	}
	return 200, map[string]any{"running": running, "finished": finished}
}

// advance ends the runs whose time has come. The caller holds the lock.
func (f *fleet) advance() {
	now := time.Now()
	for _, w := range f.workers {
		if w.isGone {
			continue
		}
		for _, r := range w.running {
			if work := r.worked(now); work-progressOf(r.saved) >= checkpointInterval {
				r.save(work.Truncate(checkpointInterval))
			}
			switch {
			case w.until > 0 && w.clock() > w.until:
				w.finish(r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				r.save(r.worked(now))
				w.finish(r, "stopped")
			case r.gang != nil && r.gang.isDone:
				w.finish(r, "done")
			case r.gang != nil && r.gang.isBroken:
				w.finish(r, "broken")
			case r.since.IsZero() && now.Sub(r.startedAt) > gangTimeout:
				w.finish(r, "alone")
			case r.step.Duration > 0 && !r.since.IsZero() && r.worked(now) >= r.step.Duration:
				w.finish(r, "done")
			}
		}
	}
}

// finish lists the end of a run. The caller holds the lock.
func (w *worker) finish(r *run, how string) {
	delete(w.running, r.task)
	w.lastEnd++
	w.last[r.task] = max(w.last[r.task], r.number)
	w.ends = append(w.ends, end{n: w.lastEnd, task: r.task, run: r.number, how: how, save: r.saved})
	if g := r.gang; g != nil {
		g.isDone = g.isDone || how == "done"
		g.isBroken = g.isBroken || how != "done"
	}
	w.fleet.scene.ended(w, r, how)
}
