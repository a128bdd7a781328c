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

// requestLog holds what operators and callers were told about their requests.
type requestLog struct {
	sim           *simulation
	jobsSubmitted int
	accepted      map[heatherhub.JobID]bool
	refused       map[heatherhub.JobID]bool
	cancelled     map[heatherhub.JobID]time.Time
	granted       map[heatherhub.IdempotencyKey]int
	// confirmedResults holds the tasks whose result a worker was told to forget.
	confirmedResults map[heatherhub.TaskID]bool
	resumed          int
}

func newRequestLog(sim *simulation) *requestLog {
	return &requestLog{
		sim:              sim,
		accepted:         make(map[heatherhub.JobID]bool),
		refused:          make(map[heatherhub.JobID]bool),
		cancelled:        make(map[heatherhub.JobID]time.Time),
		granted:          make(map[heatherhub.IdempotencyKey]int),
		confirmedResults: make(map[heatherhub.TaskID]bool),
	}
}

// noteConfirmed records which results a renewal tells a worker to forget.
func (l *requestLog) noteConfirmed(wk *simWorker, c core.Call) {
	if len(c.Renew.Confirmed) == 0 {
		return
	}
	r, err := wk.model.Renew(l.sim.now, worker.RenewCommand{})
	for _, st := range r.Tasks {
		if err == nil && st.State == worker.TaskFinished && slices.Contains(c.Renew.Confirmed, st.Task.ID) {
			l.confirmedResults[st.Task.ID] = true
		}
	}
}

// checkStart checks a start against what operators were told.
func (l *requestLog) checkStart(c core.Call) {
	job := c.Start.Task.Job
	if job == "" {
		return
	}
	if c.Start.Task.Resume != "" {
		l.resumed++
	}
	if l.confirmedResults[c.Task] {
		l.sim.violate("task %s runs again after its result was recorded", c.Task)
	}
	if l.refused[job] {
		l.sim.violate("job %s runs although its request was refused as not run", job)
	}
	at, ok := l.cancelled[job]
	if ok && l.sim.now.Sub(at) > worker.TaskLease+callTimeout {
		l.sim.violate("job %s starts %s after it was cancelled", job, l.sim.now.Sub(at))
	}
}

// requestFromOwner sends a request from a random host to the host that it knows as the
// shard's owner. It does nothing if the random host is dead, or if no owner is known or
// reachable.
func (sim *simulation) requestFromOwner(s heatherhub.ShardID, f func(*simHost, core.Ticket) core.Output, reply func(core.Reply)) {
	from := sim.hosts[sim.rnd.IntN(len(sim.hosts))]
	if from.dead {
		return
	}
	owner, ok := from.node.Owner(sim.now, s)
	if !ok {
		return
	}
	for _, h := range sim.hosts {
		if h.id != owner || h.dead || h != from && sim.isCut(string(h.id), string(from.id)) {
			continue
		}
		incarnation := h.incarnation
		sim.after(sim.latency(), func() {
			sim.runOn(h, incarnation, func() {
				t := h.node.NewTicket()
				h.tickets[t] = reply
				sim.handleOutput(h, f(h, t))
			})
		})
	}
}

// runOperators adds and cancels jobs and claims keys at random, until the operators are
// switched off. Requests may race with each other.
func (sim *simulation) runOperators() {
	if sim.cfg.withoutOperators {
		return
	}
	sim.after(time.Duration(sim.rnd.Int64N(int64(2*time.Second))), sim.runOperators)
	switch sim.rnd.IntN(6) {
	case 0, 1, 2:
		sim.addJob()
	case 3:
		sim.cancelJob()
	default:
		sim.claim()
	}
}

func (sim *simulation) addJob() {
	sim.requests.jobsSubmitted++
	job := heatherhub.Job{
		ID: heatherhub.JobID(fmt.Sprintf("job-%d", sim.requests.jobsSubmitted)), Workload: "letter",
		Tasks: 1 + sim.rnd.IntN(3), State: heatherhub.JobQueued,
	}
	sim.submit(job, 2)
}

// submit adds a job and retries with the same id while the outcome is unknown.
func (sim *simulation) submit(job heatherhub.Job, retries int) {
	add := func(h *simHost, t core.Ticket) core.Output { return h.node.AddJob(sim.now, t, job) }
	sim.requestFromOwner(sim.layout.ShardOfJob(job.ID), add, func(r core.Reply) {
		switch {
		case r.Err == nil:
			sim.requests.accepted[job.ID] = true
		case heatherhub.DidNotRun(r.Err):
			sim.requests.refused[job.ID] = !sim.requests.accepted[job.ID] && retries == 2
		case retries > 0:
			sim.after(time.Second, func() { sim.submit(job, retries-1) })
		}
	})
}

func (sim *simulation) cancelJob() {
	if sim.requests.jobsSubmitted == 0 {
		return
	}
	id := heatherhub.JobID(fmt.Sprintf("job-%d", 1+sim.rnd.IntN(sim.requests.jobsSubmitted)))
	cancel := func(h *simHost, t core.Ticket) core.Output { return h.node.CancelJob(sim.now, t, id) }
	for range 1 + sim.rnd.IntN(2) {
		sim.requestFromOwner(sim.layout.ShardOfJob(id), cancel, func(r core.Reply) {
			if _, ok := sim.requests.cancelled[id]; !ok && r.Err == nil && r.Job.State == heatherhub.JobCancelled {
				sim.requests.cancelled[id] = sim.now
			}
		})
	}
}

func (sim *simulation) claim() {
	key := heatherhub.IdempotencyKey(fmt.Sprintf("key-%d", sim.rnd.IntN(40)))
	s := sim.layout.ShardOfKey("compile", key)
	k := core.Key{Workload: "compile", Key: key}
	var owner *simHost
	claim := func(h *simHost, t core.Ticket) core.Output {
		owner = h
		return h.node.Claim(sim.now, t, s, k)
	}
	for range 1 + sim.rnd.IntN(2) {
		sim.requestFromOwner(s, claim, func(r core.Reply) {
			if r.Err != nil || r.Claim.State != route.ClaimGranted {
				return
			}
			sim.requests.granted[key]++
			if n := sim.requests.granted[key]; n > 1 {
				sim.violate("key %s was granted %d times", key, n)
			}
			if sim.rnd.IntN(2) == 0 {
				sim.handleOutput(owner, owner.node.RecordAnswer(sim.now, s, k, worker.Answer{Status: 200, Body: []byte("ok")}))
			}
		})
	}
}

// unfinished returns why the simulation has not converged, or an empty string if it
// has: all shards are owned, all accepted jobs are final and all replicas run.
func (sim *simulation) unfinished() string {
	states := make(map[heatherhub.JobID]heatherhub.JobState)
	owners := 0
	for _, h := range sim.hosts {
		if h.dead {
			continue
		}
		owners += len(h.node.Owned())
		for _, j := range h.node.Jobs() {
			states[j.Job.ID] = j.Job.State
		}
	}
	if owners != sim.cfg.shards {
		return fmt.Sprintf("%d of %d shards are owned", owners, sim.cfg.shards)
	}
	for id := range sim.requests.accepted {
		if _, isDeadly := sim.deadlyStarts[heatherhub.JobTaskID(id, 0)]; isDeadly {
			if state := states[id]; state != heatherhub.JobParked {
				return fmt.Sprintf("the deadly job %s is %q", id, state)
			}
			continue
		}
		_, isCancelled := sim.requests.cancelled[id]
		switch state := states[id]; {
		case isCancelled && state != heatherhub.JobCancelled:
			return fmt.Sprintf("job %s is %q although it was cancelled", id, state)
		case state != heatherhub.JobDone && state != heatherhub.JobCancelled && state != heatherhub.JobParked:
			return fmt.Sprintf("job %s is %q", id, state)
		}
	}
	if got, want := sim.replicas(), sim.snapshot.Preset("day").Replicas("compile"); got != want {
		return fmt.Sprintf("%d of %d replicas run", got, want)
	}
	return ""
}

// firstFit is a simple scheduler that evicts tasks at random.
type firstFit struct {
	sim *simulation
	// evictionInterval is the mean number of decisions per random eviction; 0 for none.
	// If it is negative, nothing is evicted either and workers are tried in order of
	// id, not from a random one.
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
	return func(sim *simulation) placement.Scheduler {
		return &firstFit{
			sim: sim, evictionInterval: evictions,
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
	var unplaced []heatherhub.Task
	for _, t := range f.waiting {
		if id, ok := f.fit(t); ok {
			actions = append(actions, f.reserve(t, id))
		} else {
			unplaced = append(unplaced, t)
		}
	}
	f.waiting = unplaced
	if len(f.ids) > 0 && f.evictionInterval > 0 && !f.sim.isHealed && f.sim.rnd.IntN(f.evictionInterval) == 0 {
		a := f.running[f.ids[f.sim.rnd.IntN(len(f.ids))]]
		if a.Task.Kind == heatherhub.KindBatch && !f.evicted[a.Task.ID] {
			f.evicted[a.Task.ID] = true
			f.sim.countEffect("eviction")
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
		first = f.sim.rnd.IntN(len(f.order))
	}
	for i := range f.order {
		id := f.order[(first+i)%len(f.order)]
		if f.hosts[id].State == hostlist.StateLive && t.Size.Fits(f.free[id]) {
			return id, true
		}
	}
	return "", false
}
