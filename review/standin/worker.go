//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub/platform/standin"
)

// Bounds of the small deployment, as the pages give them for abay-claims.
const (
	heartbeat          = 1100 * time.Millisecond
	maxHold            = 6000 * time.Millisecond
	gangTimeout        = 3000 * time.Millisecond
	checkpointInterval = 2000 * time.Millisecond
	restoreTime        = 100 * time.Millisecond
	// stopDuration is below bounds.stop_ms.
	stopDuration = 400 * time.Millisecond
	// drainTime is how long a worker that leaves goes on serving after its report.
	drainTime = 9 * time.Second
	// startup is how long a task that lasts takes until it is at work.
	startup = 300 * time.Millisecond
)

// step is what the clients' jobs say of a step.
type step struct {
	Count         int   `json:"count"`
	CPU           int64 `json:"cpu"`
	Memory        int64 `json:"mem_mb"`
	Estimated     int64 `json:"estimated_ms"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	Gang          bool  `json:"gang,omitempty"`
	LongRunning   bool  `json:"long_running,omitempty"`
	AntiAffinity  int   `json:"anti_affinity,omitempty"`
}

// world has the workers of the deployment and what they have seen.
type world struct {
	record *record
	store  *standin.Store
	group  conc.WaitGroup

	mu      sync.Mutex
	workers []*worker
	created int
	// steps has the only step of each job that a client has sent.
	steps map[string]step
	gangs map[string]*gang
	// starts are all starts that were carried out.
	starts []startSeen
	// ends are all ends of runs.
	ends []endSeen
	done chan struct{}
}

type startSeen struct {
	at         time.Time
	worker     string
	job, task  string
	run        uint64
	checkpoint string
}

type endSeen struct {
	at        time.Time
	worker    string
	job, task string
	run       uint64
	how       string
}

// gang is one run of all tasks of a gang.
type gang struct {
	members map[string]*run
	size    int
	// beganAt is when all were present.
	beganAt time.Time
	base    time.Duration
}

type run struct {
	worker     *worker
	job, task  string
	number     uint64
	startedAt  time.Time
	base       time.Duration
	restore    time.Duration
	saved      string
	stopAt     time.Time
	step       step
	gang       *gang
	savedSteps int
}

type end struct {
	number uint64
	task   string
	run    uint64
	how    string
	saved  string
}

// worker is one life of a worker.
type worker struct {
	w         *world
	id        string
	index     int
	address   string
	server    *http.Server
	bornAt    time.Time
	cpu       int64
	token     uint64
	until     int64
	runs      map[string]*run
	endedRuns map[string]uint64
	ends      []end
	lastEnd   uint64
	isDown    bool
	leavesAt  time.Time
	sequence  int
}

func newWorld(r *record, s *standin.Store) *world {
	return &world{record: r, store: s, steps: make(map[string]step), gangs: make(map[string]*gang), done: make(chan struct{})}
}

// addWorker starts the worker of a machine, with a new id, at an address that may have been that of
// a former life; "127.0.0.1:0" stands for any.
func (w *world) addWorker(index int, address string) (*worker, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.created++
	k := &worker{
		w: w, id: fmt.Sprintf("i-%010x", 0x5a3c91*w.created+7), index: index, address: l.Addr().String(), bornAt: time.Now(), cpu: 16000,
		runs: make(map[string]*run), endedRuns: make(map[string]uint64),
	}
	w.workers = append(w.workers, k)
	w.mu.Unlock()
	k.server = &http.Server{Handler: k, ReadHeaderTimeout: 5 * time.Second}
	w.group.Go(func() { _ = k.server.Serve(l) })
	k.report()
	w.record.write("worker %s of machine %d up", k.id, index)
	return k, nil
}

// report writes the worker's entry.
func (k *worker) report() {
	k.w.mu.Lock()
	state := "ready"
	entry := map[string]any{}
	if !k.leavesAt.IsZero() {
		state = "draining"
		entry["drain_remaining_ms"] = max(time.Until(k.leavesAt).Milliseconds(), 0)
	}
	k.sequence++
	for key, v := range map[string]any{
		"service": "pool", "address": k.address, "zone": zoneOf(k.index), "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "capacity": map[string]any{"cpu": k.cpu, "mem_mb": 64000, "gpu": 0},
		"labels": []string{"a", fmt.Sprintf("r%d", k.index%4)}, "clock_ms": k.clock(), "sequence": k.sequence,
	} {
		entry[key] = v
	}
	k.w.mu.Unlock()
	_ = k.w.store.Put("servers/"+k.id, entry)
}

func zoneOf(i int) string { return fmt.Sprintf("z%d", i%3) }

// clock is the worker's steady clock in milliseconds.
func (k *worker) clock() int64 {
	return 400_000 + time.Since(k.bornAt).Milliseconds()
}

// crash ends the worker without a word. Its entry goes after three heartbeat intervals.
func (k *worker) crash() {
	k.w.mu.Lock()
	k.goDown("gone")
	k.w.mu.Unlock()
	k.w.record.write("worker %s crashes", k.id)
	_ = k.server.Close()
	k.w.group.Go(func() {
		select {
		case <-k.w.done:
		case <-time.After(3 * heartbeat):
			k.w.store.Remove("servers/" + k.id)
		}
	})
}

// goDown ends all that runs on the worker. The caller holds the lock.
func (k *worker) goDown(how string) {
	k.isDown = true
	for _, r := range k.runs {
		k.finish(r, how)
	}
	k.ends = nil
}

// drain announces that the worker leaves, and lets it go drainTime later.
func (k *worker) drain() {
	k.w.mu.Lock()
	k.leavesAt = time.Now().Add(drainTime)
	k.w.mu.Unlock()
	k.report()
	k.w.record.write("worker %s drains, %v left", k.id, drainTime)
	k.w.group.Go(func() {
		select {
		case <-k.w.done:
			return
		case <-time.After(drainTime + 300*time.Millisecond):
		}
		k.w.mu.Lock()
		k.goDown("gone")
		k.w.mu.Unlock()
		k.w.record.write("worker %s has left", k.id)
		_ = k.server.Close()
		k.w.store.Remove("servers/" + k.id)
	})
}

// work is what a run has done so far.
func (r *run) work(now time.Time) time.Duration {
	began := r.startedAt
	if r.gang != nil {
		if r.gang.beganAt.IsZero() {
			return r.base
		}
		began = r.gang.beganAt
	}
	return r.base + max(now.Sub(began)-r.restore, 0)
}

func (r *run) duration() time.Duration {
	return time.Duration(r.step.Estimated) * time.Millisecond
}

func (r *run) checkpoint(now time.Time) string {
	return fmt.Sprintf("%08x%s", r.work(now).Milliseconds(), r.job[8:])
}

// finish ends a run. The caller holds the lock.
func (k *worker) finish(r *run, how string) {
	delete(k.runs, r.task)
	k.endedRuns[r.task] = max(k.endedRuns[r.task], r.number)
	if how != "gone" {
		k.lastEnd++
		saved := r.saved
		if how == "done" || how == "failed" {
			saved = ""
		}
		k.ends = append(k.ends, end{number: k.lastEnd, task: r.task, run: r.number, how: how, saved: saved})
	}
	k.w.ends = append(k.w.ends, endSeen{at: time.Now(), worker: k.id, job: r.job, task: r.task, run: r.number, how: how})
	k.w.record.write("end %s run %d on %s: %s saved %q after %v of work", r.task, r.number, k.id, how, r.saved, r.work(time.Now()).Round(time.Millisecond))
	if r.gang == nil {
		return
	}
	delete(r.gang.members, r.task)
	others := "broken"
	if how == "done" || how == "alone" {
		others = how
	}
	for _, o := range r.gang.members {
		o.worker.finish(o, others)
	}
}

// advance carries out what is due on all workers. The caller holds the lock.
func (w *world) advance() {
	now := time.Now()
	for _, k := range w.workers {
		if k.isDown {
			continue
		}
		isLapsed := k.until > 0 && k.clock() > k.until
		for _, r := range k.runs {
			isAlone := r.gang != nil && r.gang.beganAt.IsZero() && now.Sub(r.startedAt) > gangTimeout
			switch {
			case k.runs[r.task] != r:
			case isLapsed:
				k.finish(r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				if r.step.Checkpointing {
					r.saved = r.checkpoint(now)
				}
				k.finish(r, "stopped")
			case !r.step.LongRunning && r.work(now) >= r.duration():
				k.finish(r, "done")
			case isAlone:
				k.finish(r, "alone")
			case r.step.Checkpointing && int((r.work(now)-r.base)/checkpointInterval) > r.savedSteps:
				r.savedSteps = int((r.work(now) - r.base) / checkpointInterval)
				r.saved = r.checkpoint(now)
			}
		}
	}
}

// runClock advances the world until it is over.
func (w *world) runClock() {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-t.C:
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
		}
	}
}

type command struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	Until      int64  `json:"until_ms"`
	Token      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   uint64 `json:"last_seen"`
	Wait       int64  `json:"wait_ms"`
	Percent    *int   `json:"percent"`
}

// ServeHTTP serves the worker's interface.
func (k *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("X-Heatherhub-Instance-Id", k.id)
	if r.URL.Path == "/health" {
		out.WriteHeader(http.StatusOK)
		return
	}
	if want := r.Header.Get("X-Heatherhub-Expect-Instance"); want != "" && want != k.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var c command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	if k.isDown {
		panic(http.ErrAbortHandler)
	}
	if c.Token < k.token {
		k.answer(out, http.StatusConflict, "fence")
		return
	}
	k.token = c.Token
	switch r.URL.Path {
	case "/v1/run-start":
		k.start(out, &c)
	case "/v1/run-stop":
		k.endedRuns[c.Task] = max(k.endedRuns[c.Task], c.Run)
		if r := k.runs[c.Task]; r != nil && r.number <= c.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopDuration)
		}
		k.w.record.write("stop %s run %d on %s", c.Task, c.Run, k.id)
		k.answer(out, http.StatusOK, "")
	case "/v1/pace":
		k.answer(out, http.StatusOK, "")
	case "/v1/hold":
		k.hold(out, &c)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (k *worker) answer(out http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": k.clock()}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(out, status, body)
}

func writeJSON(out http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(body)
}

// extend extends the lease of all that runs.
func (k *worker) extend(until int64) {
	k.until = max(k.until, min(until, k.clock()+maxHold.Milliseconds()))
}

// start carries out a start. The caller holds the lock.
func (k *worker) start(out http.ResponseWriter, c *command) {
	k.w.advance()
	job, _, ok := strings.Cut(c.Task, ".")
	st, isKnown := k.w.steps[job]
	if !ok || !isKnown {
		k.w.record.write("start %s run %d on %s of a job that no client has sent", c.Task, c.Run, k.id)
		k.answer(out, http.StatusBadRequest, "")
		return
	}
	current := k.runs[c.Task]
	switch {
	case current != nil && current.number == c.Run:
		k.extend(c.Until)
		k.answer(out, http.StatusOK, "")
		return
	case c.Until <= k.clock():
		k.answer(out, http.StatusConflict, "late")
		return
	case c.Run <= k.endedRuns[c.Task] || current != nil:
		k.extend(c.Until)
		k.answer(out, http.StatusConflict, "old")
		return
	}
	k.extend(c.Until)
	now := time.Now()
	r := &run{worker: k, job: job, task: c.Task, number: c.Run, startedAt: now, step: st, saved: c.Checkpoint}
	if len(c.Checkpoint) >= 8 {
		ms, _ := strconv.ParseInt(c.Checkpoint[:8], 16, 64)
		r.base, r.restore = time.Duration(ms)*time.Millisecond, restoreTime
	}
	if st.Gang {
		k.w.join(r)
	}
	k.runs[c.Task] = r
	k.w.starts = append(k.w.starts, startSeen{at: now, worker: k.id, job: job, task: c.Task, run: c.Run, checkpoint: c.Checkpoint})
	k.w.record.write("start %s run %d on %s token %d checkpoint %q", c.Task, c.Run, k.id, c.Token, c.Checkpoint)
	k.answer(out, http.StatusOK, "")
}

// join adds a run to its gang, which begins to work once all are present. The caller holds the lock.
func (w *world) join(r *run) {
	name := r.task[:strings.LastIndexByte(r.task, '.')] + "/" + strconv.FormatUint(r.number, 10)
	g := w.gangs[name]
	if g == nil {
		g = &gang{members: make(map[string]*run), size: r.step.Count}
		w.gangs[name] = g
	}
	g.members[r.task], r.gang = r, g
	if len(g.members) == g.size {
		g.beganAt = time.Now()
	}
}

// hold carries out a poll. The caller holds the lock.
func (k *worker) hold(out http.ResponseWriter, c *command) {
	if c.Until > 0 {
		k.extend(c.Until)
	}
	k.w.advance()
	for len(k.ends) > 0 && k.ends[0].number <= c.LastSeen {
		k.ends = k.ends[1:]
	}
	for limit := time.Now().Add(time.Duration(c.Wait) * time.Millisecond); len(k.ends) == 0 && time.Now().Before(limit); {
		k.w.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		k.w.mu.Lock()
		if k.isDown {
			panic(http.ErrAbortHandler)
		}
	}
	now := time.Now()
	running, finished := [][5]any{}, [][5]any{}
	for _, r := range k.runs {
		percent := int64(100)
		if !r.step.LongRunning {
			percent = min(100*r.work(now).Milliseconds()/max(r.step.Estimated, 1), 99)
		} else if now.Sub(r.startedAt) < startup {
			percent = 50
		}
		running = append(running, [5]any{r.task, r.number, r.saved, percent, r.step.CPU})
	}
	for _, e := range k.ends[:min(len(k.ends), 500)] {
		finished = append(finished, [5]any{e.number, e.task, e.run, e.how, e.saved})
	}
	writeJSON(out, http.StatusOK, map[string]any{"clock_ms": k.clock(), "running": running, "finished": finished})
}
