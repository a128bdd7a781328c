package owner_test

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
)

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// gangRun identifies a run of a gang. Its members share the run number.
type gangRun struct {
	job              heatherhub.JobID
	occurrence, step int
	run              heatherhub.RunID
}

// gang is one run of a gang. The site's mu guards it.
type gang struct {
	size, present int
	runTime       time.Duration
	// begunAt is when all members were present, or zero.
	begunAt  time.Time
	isBroken bool
	// fails means that a member fails once the work is over.
	fails bool
}

// joinGang adds a run that starts to its gang, if its step is one.
func (site *simSite) joinGang(r *fakeRun, t heatherhub.StepTask) {
	runTime := site.runTime(t)
	site.mu.Lock()
	defer site.mu.Unlock()
	step := &site.jobs[t.Job].Steps[t.Step]
	if !step.Gang {
		return
	}
	id := gangRun{t.Job, t.Occurrence, t.Step, r.run}
	if site.gangs[id] == nil {
		site.gangs[id] = &gang{size: step.Tasks, runTime: runTime}
	}
	r.gang = site.gangs[id]
	r.gang.present++
	r.gang.fails = r.gang.fails || site.failsOnce[t]
	if r.gang.present == r.gang.size {
		r.gang.begunAt = time.Now()
	}
}

// leaveGang records the end of a run. The others of its gang break off unless it is done.
func (site *simSite) leaveGang(r *fakeRun, isDone bool) {
	if r.gang == nil || isDone {
		return
	}
	site.mu.Lock()
	defer site.mu.Unlock()
	r.gang.isBroken = true
}

// endOfGang returns how a run of a gang ends now. It reports false if the run goes on.
func (site *simSite) endOfGang(t heatherhub.StepTask, r *fakeRun) (agent.EndKind, bool) {
	site.mu.Lock()
	defer site.mu.Unlock()
	g := r.gang
	isOver := !g.begunAt.IsZero() && time.Since(g.begunAt) > g.runTime
	switch {
	case isOver && site.failsOnce[t]:
		return site.takeEnd(t), true
	case g.isBroken || (isOver && g.fails):
		return agent.EndGangBroken, true
	case g.begunAt.IsZero():
		return agent.EndGangIncomplete, time.Since(r.startedAt) > gangTimeout
	default:
		return agent.EndDone, isOver
	}
}

// endOfWork returns how a run ends whose work is over.
func (site *simSite) endOfWork(t heatherhub.StepTask) agent.EndKind {
	site.mu.Lock()
	defer site.mu.Unlock()
	return site.takeEnd(t)
}

// takeEnd is endOfWork for a caller that holds site.mu.
func (site *simSite) takeEnd(t heatherhub.StepTask) agent.EndKind {
	if site.failsOnce[t] {
		delete(site.failsOnce, t)
		return agent.EndFailed
	}
	return agent.EndDone
}

// endOfRun returns when a run will end, which for a gang without all of its members is its whole run time
// from now.
func (site *simSite) endOfRun(r *fakeRun) time.Time {
	if r.gang == nil {
		return r.endsAt
	}
	site.mu.Lock()
	defer site.mu.Unlock()
	if r.gang.begunAt.IsZero() {
		return time.Now().Add(r.gang.runTime)
	}
	return r.gang.begunAt.Add(r.gang.runTime)
}
