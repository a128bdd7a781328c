package dispatch

import (
	"cmp"
	"slices"

	"heatherhub.example/heatherhub"
)

// A term may end before the store has the crashes that it has found. Its host leaves them behind for the next owners, of which one
// counts them as if it had read them in the progress of their jobs.

// LeftCrash is a crash that was held against a run of a job, and that the stored progress of the job may not have.
type LeftCrash struct {
	Job   heatherhub.JobID      `msgpack:"j" json:"job"`
	Crash heatherhub.CrashedRun `msgpack:"c" json:"crash"`
}

// CrashesNotStored returns the crashes that the stored progress may not have, in the order of their jobs, and at most limit.
// Expired leases are left out: whether their workers have crashed is not known, and the next owner may have reached them.
func (e *Engine) CrashesNotStored(limit int) []LeftCrash {
	var out []LeftCrash
	for id, j := range e.jobs {
		if j.isOver() || j.isOwnedElsewhere || j.committed >= j.crashChange {
			continue
		}
		for _, c := range j.progress.Crashes {
			if isCrash(c) {
				out = append(out, LeftCrash{Job: id, Crash: c})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b LeftCrash) int { return cmp.Compare(a.Job, b.Job) })
	return out[:min(len(out), limit)]
}

// InheritLeftCrashes takes over crashes that previous owners have left behind, and returns how many were new.
func (e *Engine) InheritLeftCrashes(now Moment, left []LeftCrash) int {
	count := 0
	for _, l := range left {
		j := e.jobs[l.Job]
		if j == nil || j.isOver() || j.isOwnedElsewhere || !isCrash(l.Crash) {
			continue
		}
		t := j.taskOf(l.Crash)
		if t == nil || !t.mayInherit(l.Crash) {
			continue
		}
		count++
		e.inheritCrash(now, t, l.Crash)
		if j.progress.IsolatedOn == l.Crash.Worker && j.isolated == 0 {
			// The crash there is counted.
			j.progress.IsolatedOn = ""
		}
		j.updateSuspicion()
		e.giveUpIfDue(now, j)
	}
	return count
}

// AreCrashesStored reports whether the progress of the jobs has those of some crashes that count.
func (e *Engine) AreCrashesStored(left []LeftCrash) bool {
	return !slices.ContainsFunc(left, func(l LeftCrash) bool {
		j := e.jobs[l.Job]
		return j != nil && !j.isOwnedElsewhere && j.committed < j.crashChange
	})
}

// mayInherit reports whether a crash that was left behind still speaks against the task, and is not counted.
func (t *task) mayInherit(c heatherhub.CrashedRun) bool {
	isGuess := func(o heatherhub.CrashedRun) bool { return o.Run == 0 && o.Worker == c.Worker }
	isProven := func(a *attempt) bool { return a.isProven }
	return !t.isDone && !hasCrash(t.crashes, c) && !slices.ContainsFunc(t.attempts, isProven) &&
		!slices.ContainsFunc(t.step.occ.job.progress.Crashes, isGuess)
}

// inheritCrash holds a crash that a previous owner has found against a task.
func (e *Engine) inheritCrash(now Moment, t *task, c heatherhub.CrashedRun) {
	j := t.step.occ.job
	t.crashes = append(t.crashes, c)
	e.inheritLapse(&c)
	if t.isolatedAlone() {
		// The time of the crash is not known.
		t.notBefore = now.Steady + crashRestartDelay
	}
	isSame := func(o heatherhub.CrashedRun) bool {
		return o.Run == c.Run && o.Worker == c.Worker && o.Occurrence == c.Occurrence && o.Task == c.Task
	}
	if j.isOwnedElsewhere || slices.ContainsFunc(j.progress.Crashes, isSame) {
		return
	}
	j.progress.Crashes = append(j.progress.Crashes, c)
	e.markChanged(j)
	j.crashChange = j.changed
}
