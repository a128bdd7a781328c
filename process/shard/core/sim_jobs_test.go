package core_test

import (
	"fmt"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/shard/core"
	"heatherhub.example/heatherhub/request/route"
)

// requestLog is what operators and callers were told.
type requestLog struct {
	w         *simulation
	next      int
	accepted  map[heatherhub.JobID]bool
	refused   map[heatherhub.JobID]bool
	cancelled map[heatherhub.JobID]time.Time
	granted   map[heatherhub.IdempotencyKey]int
	// confirmedResults has the tasks whose result a worker was told to forget.
	confirmedResults map[heatherhub.TaskID]bool
	resumed          int
}

func newRequestLog(w *simulation) *requestLog {
	return &requestLog{
		w:                w,
		accepted:         make(map[heatherhub.JobID]bool),
		refused:          make(map[heatherhub.JobID]bool),
		cancelled:        make(map[heatherhub.JobID]time.Time),
		granted:          make(map[heatherhub.IdempotencyKey]int),
		confirmedResults: make(map[heatherhub.TaskID]bool),
	}
}

// noteConfirmed notes which results a worker is about to forget.
func (b *requestLog) noteConfirmed(wk *simWorker, c core.Call) {
	if len(c.Renew.Confirmed) == 0 {
		return
	}
	r, err := wk.model.Renew(b.w.now, worker.RenewCommand{})
	for _, st := range r.Tasks {
		if err == nil && st.State == worker.TaskFinished && slices.Contains(c.Renew.Confirmed, st.Task.ID) {
			b.confirmedResults[st.Task.ID] = true
		}
	}
}

// checkStart judges a start by what operators were told.
func (b *requestLog) checkStart(c core.Call) {
	job := c.Start.Task.Job
	if job == "" {
		return
	}
	if c.Start.Task.Resume != "" {
		b.resumed++
	}
	if b.confirmedResults[c.Task] {
		b.w.violate("task %s runs again after its result was kept", c.Task)
	}
	if b.refused[job] {
		b.w.violate("job %s runs although it was refused as not run", job)
	}
	at, ok := b.cancelled[job]
	if ok && b.w.now.Sub(at) > worker.TaskLease+callTimeout {
		b.w.violate("job %s starts %s after it was cancelled", job, b.w.now.Sub(at))
	}
}

// requestFromOwner sends a request to the owner that some living host names.
func (w *simulation) requestFromOwner(s heatherhub.ShardID, f func(*simHost, core.Ticket) core.Output, reply func(core.Reply)) {
	from := w.hosts[w.rnd.IntN(len(w.hosts))]
	if from.dead {
		return
	}
	owner, ok := from.node.Owner(w.now, s)
	if !ok {
		return
	}
	for _, h := range w.hosts {
		if h.id != owner || h.dead || h != from && w.isCut(string(h.id), string(from.id)) {
			continue
		}
		life := h.incarnation
		w.after(w.latency(), func() {
			w.runOn(h, life, func() {
				t := h.node.NewTicket()
				h.tickets[t] = reply
				w.handleOutput(h, f(h, t))
			})
		})
	}
}

// runOperators adds and cancels jobs and claims keys, as racing operators do.
func (w *simulation) runOperators() {
	if w.cfg.withoutOps {
		return
	}
	w.after(time.Duration(w.rnd.Int64N(int64(2*time.Second))), w.runOperators)
	switch w.rnd.IntN(6) {
	case 0, 1, 2:
		w.addJob()
	case 3:
		w.cancelJob()
	default:
		w.claim()
	}
}

func (w *simulation) addJob() {
	w.requests.next++
	job := heatherhub.Job{
		ID: heatherhub.JobID(fmt.Sprintf("job-%d", w.requests.next)), Workload: "letter",
		Tasks: 1 + w.rnd.IntN(3), State: heatherhub.JobQueued,
	}
	w.submit(job, 2)
}

// submit adds a job and asks again with the same id while the outcome is unknown.
func (w *simulation) submit(job heatherhub.Job, retries int) {
	add := func(h *simHost, t core.Ticket) core.Output { return h.node.AddJob(w.now, t, job) }
	w.requestFromOwner(w.layout.OfJob(job.ID), add, func(r core.Reply) {
		switch {
		case r.Err == nil:
			w.requests.accepted[job.ID] = true
		case heatherhub.DidNotRun(r.Err):
			w.requests.refused[job.ID] = !w.requests.accepted[job.ID] && retries == 2
		case retries > 0:
			w.after(time.Second, func() { w.submit(job, retries-1) })
		}
	})
}

func (w *simulation) cancelJob() {
	if w.requests.next == 0 {
		return
	}
	id := heatherhub.JobID(fmt.Sprintf("job-%d", 1+w.rnd.IntN(w.requests.next)))
	cancel := func(h *simHost, t core.Ticket) core.Output { return h.node.CancelJob(w.now, t, id) }
	for range 1 + w.rnd.IntN(2) {
		w.requestFromOwner(w.layout.OfJob(id), cancel, func(r core.Reply) {
			if _, ok := w.requests.cancelled[id]; !ok && r.Err == nil && r.Job.State == heatherhub.JobCancelled {
				w.requests.cancelled[id] = w.now
			}
		})
	}
}

func (w *simulation) claim() {
	key := heatherhub.IdempotencyKey(fmt.Sprintf("key-%d", w.rnd.IntN(40)))
	s := w.layout.OfKey("compile", key)
	k := core.Key{Workload: "compile", Key: key}
	var owner *simHost
	claim := func(h *simHost, t core.Ticket) core.Output {
		owner = h
		return h.node.Claim(w.now, t, s, k)
	}
	for range 1 + w.rnd.IntN(2) {
		w.requestFromOwner(s, claim, func(r core.Reply) {
			if r.Err != nil || r.Claim.State != route.ClaimFresh {
				return
			}
			w.requests.granted[key]++
			if n := w.requests.granted[key]; n > 1 {
				w.violate("key %s was granted %d times", key, n)
			}
			if w.rnd.IntN(2) == 0 {
				w.handleOutput(owner, owner.node.RecordAnswer(w.now, s, k, worker.Answer{Status: 200, Body: []byte("ok")}))
			}
		})
	}
}

// unfinished returns why the world has not converged.
func (w *simulation) unfinished() string {
	states := make(map[heatherhub.JobID]heatherhub.JobState)
	owners := 0
	for _, h := range w.hosts {
		if h.dead {
			continue
		}
		owners += len(h.node.Owned())
		for _, j := range h.node.Jobs() {
			states[j.Job.ID] = j.Job.State
		}
	}
	if owners != w.cfg.shards {
		return fmt.Sprintf("%d of %d shards are owned", owners, w.cfg.shards)
	}
	for id := range w.requests.accepted {
		_, isCancelled := w.requests.cancelled[id]
		switch state := states[id]; {
		case isCancelled && state != heatherhub.JobCancelled:
			return fmt.Sprintf("job %s is %q although it was cancelled", id, state)
		case state != heatherhub.JobDone && state != heatherhub.JobCancelled && state != heatherhub.JobParked:
			return fmt.Sprintf("job %s is %q", id, state)
		}
	}
	if got, want := w.replicas(), w.snapshot.Preset("day").Replicas("compile"); got != want {
		return fmt.Sprintf("%d of %d replicas run", got, want)
	}
	return ""
}

// firstFit is a small scheduler that evicts at random. With a negative rate it
// evicts nothing and prefers the workers in order of id.
type firstFit struct {
	w                *simulation
	evictionInterval int
	hosts            map[heatherhub.WorkerID]hostlist.Host
	free             map[heatherhub.WorkerID]heatherhub.Resources
	order            []heatherhub.WorkerID
	waiting          []heatherhub.Task
	running          map[heatherhub.TaskID]placement.Action
	evicted          map[heatherhub.TaskID]bool
	ids              []heatherhub.TaskID
}

func newFirstFit(evictions int) func(*simulation) placement.Scheduler {
	return func(w *simulation) placement.Scheduler {
		return &firstFit{
			w: w, evictionInterval: evictions,
			hosts:   make(map[heatherhub.WorkerID]hostlist.Host),
			free:    make(map[heatherhub.WorkerID]heatherhub.Resources),
			running: make(map[heatherhub.TaskID]placement.Action),
			evicted: make(map[heatherhub.TaskID]bool),
		}
	}
}

func (f *firstFit) SetSnapshot(time.Time, *heatherhub.Snapshot) {}
func (f *firstFit) Observe(time.Time, worker.Usage)             {}

func (f *firstFit) PutWorker(_ time.Time, h hostlist.Host) {
	id := heatherhub.WorkerID(h.ID)
	if _, ok := f.hosts[id]; !ok {
		f.order = append(f.order, id)
		f.free[id] = f.free[id].Add(h.Capacity)
	}
	f.hosts[id] = h
}

func (f *firstFit) RemoveWorker(_ time.Time, id heatherhub.WorkerID) {
	f.free[id] = f.free[id].Sub(f.hosts[id].Capacity)
	delete(f.hosts, id)
	for i, o := range f.order {
		if o == id {
			f.order = append(f.order[:i:i], f.order[i+1:]...)
			return
		}
	}
}

func (f *firstFit) Enqueue(_ time.Time, t heatherhub.Task) { f.waiting = append(f.waiting, t) }

func (f *firstFit) Dequeue(_ time.Time, id heatherhub.TaskID) bool {
	for i, t := range f.waiting {
		if t.ID == id {
			f.waiting = append(f.waiting[:i:i], f.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func (f *firstFit) Started(_ time.Time, t heatherhub.Task, id heatherhub.WorkerID) {
	if _, ok := f.running[t.ID]; !ok {
		f.reserve(t, id)
	}
}

func (f *firstFit) reserve(t heatherhub.Task, id heatherhub.WorkerID) placement.Action {
	a := placement.Action{Kind: placement.ActionStart, Task: t, Worker: id}
	f.running[t.ID] = a
	f.ids = append(f.ids, t.ID)
	f.free[id] = f.free[id].Sub(t.Size)
	return a
}

func (f *firstFit) Ended(_ time.Time, id heatherhub.TaskID, _ placement.EndReason) {
	a, ok := f.running[id]
	if !ok {
		return
	}
	f.free[a.Worker] = f.free[a.Worker].Add(a.Task.Size)
	delete(f.running, id)
	delete(f.evicted, id)
	for i, o := range f.ids {
		if o == id {
			f.ids = append(f.ids[:i:i], f.ids[i+1:]...)
			return
		}
	}
}

func (f *firstFit) Decide(time.Time) []placement.Action {
	var actions []placement.Action
	var rest []heatherhub.Task
	for _, t := range f.waiting {
		if id, ok := f.fit(t); ok {
			actions = append(actions, f.reserve(t, id))
		} else {
			rest = append(rest, t)
		}
	}
	f.waiting = rest
	if len(f.ids) > 0 && f.evictionInterval > 0 && !f.w.isHealed && f.w.rnd.IntN(f.evictionInterval) == 0 {
		a := f.running[f.ids[f.w.rnd.IntN(len(f.ids))]]
		if a.Task.Kind == heatherhub.KindBatch && !f.evicted[a.Task.ID] {
			f.evicted[a.Task.ID] = true
			f.w.countEffect("eviction")
			a.Kind = placement.ActionEvict
			actions = append(actions, a)
		}
	}
	return actions
}

func (f *firstFit) fit(t heatherhub.Task) (heatherhub.WorkerID, bool) {
	if len(f.order) == 0 {
		return "", false
	}
	slices.Sort(f.order)
	first := 0
	if f.evictionInterval >= 0 {
		first = f.w.rnd.IntN(len(f.order))
	}
	for i := range f.order {
		id := f.order[(first+i)%len(f.order)]
		if f.hosts[id].State == hostlist.StateLive && t.Size.Fits(f.free[id]) {
			return id, true
		}
	}
	return "", false
}
