package dispatch

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// Whether a task has crashed its workers is decided by what speaks against it: the chance that each
// of them would have crashed by then whatever it ran. Two things make a crash likely without the
// task: that workers crash often, at times that have nothing to do with its starts; and that others
// are lost at the same moment, so that all of them have one cause.

// Parameters of the estimate.
const (
	// negligibleChance is the probability of a chain of crashes by chance at which their job is
	// given up.
	negligibleChance = 1e-6
	// minCrashes is the least number of crashes for which a job is given up.
	minCrashes = 3
	// baseCrashRate is the least rate of crashes by chance, per worker and second.
	baseCrashRate = 1.0 / 600
	// minOtherAgeChance is the least chance of a crash at another age than before.
	minOtherAgeChance = 0.5
	// minOtherTaskChance is the least chance of a crash under another task of the job: the tasks of a job
	// often do the same.
	minOtherTaskChance = 0.1
	// minOldAgeChance is the least chance of a crash at an age above youngAge, which chance brings about
	// more easily.
	minOldAgeChance = 0.02
	// minSharedChance is the least chance of a crash at which another job's run was a suspect as well.
	minSharedChance = 0.02
	// minSameMachineChance is the least chance of a crash of a machine where an isolated run of the job
	// was lost before: it may be faulty.
	minSameMachineChance = 0.02
	// minLateChance is the least chance of a crash that shows only after the lease of the worker: it may
	// as well have been cut off, and crashed out of reach.
	minLateChance = 0.02
	// noticeDelay is how long the loss of a connection may take to be noticed.
	noticeDelay = 50 * time.Millisecond
	// ageResolution is how exactly the age of a run at the loss of its worker is known.
	ageResolution = 10 * time.Millisecond
	// sameMoment is the largest distance in time of losses that have one cause.
	sameMoment = 100 * time.Millisecond
	// minCrashSpan is the least time over which the rate of crashes is averaged, crashMemory the
	// longest.
	minCrashSpan = 3 * time.Second
	// minWatched is the least time for which an owner counts as having watched its workers.
	minWatched = 10 * time.Second
)

// isOwn reports whether a job lost a run of about the given age.
func (c *crashLog) isOwn(id heatherhub.JobID, age time.Duration) bool {
	lost := heatherhub.CrashedRun{Age: age}
	return slices.ContainsFunc(c.ages[id], func(o time.Duration) bool { return lost.HasAgeOf(&heatherhub.CrashedRun{Age: o}) })
}

// hasExplanation reports whether one of the runs of a worker that was lost at lostAt was isolated, or
// had just started.
func hasExplanation(runs []*attempt, lostAt time.Duration) bool {
	return slices.ContainsFunc(runs, func(a *attempt) bool { return !a.isProven && (a.isIsolated || lostAt-a.startedAt <= youngAge) })
}

// coincidence is what the other losses say of the chance that a worker is lost without its runs
// having caused it.
type coincidence struct {
	// rate is the number of crashes in a second that no start explains: of a worker, or of those at
	// its address if that is more.
	rate float64
	// together is the chance of a worker to be among those that were lost at the same moment for one
	// cause, or 0 if there were no others.
	together float64
}

// coincidenceOf returns what the other losses say of one under a run of a job, of the given age. Crashes
// at which the job lost a run of that age are no background.
func (e *Engine) coincidenceOf(l *loss, id heatherhub.JobID, age time.Duration) coincidence {
	unexplained, there, together, grouped := 0, 0, 0, 0
	first := l.lostAt
	for _, c := range e.crashes {
		if c.isExplained || c.isOwn(id, age) || (c.lostAt-l.lostAt).Abs() > crashMemory {
			continue
		}
		unexplained++
		isGrouped := func(o crashLog) bool {
			return !o.isExplained && o.address != c.address && (o.lostAt-c.lostAt).Abs() <= sameMoment
		}
		if slices.ContainsFunc(e.crashes, isGrouped) {
			grouped++
		}
		if c.address == l.address && l.address != "" {
			there++
		}
		first = min(first, c.lostAt)
		if (c.lostAt - l.lostAt).Abs() <= sameMoment {
			together++
		}
	}
	for _, o := range e.sortedNodes {
		if o.worker.ID != l.worker && o.isUnresponsive && (o.silentSince-l.lostAt).Abs() <= sameMoment && !hasExplanation(o.attemptsByRun(), o.silentSince) {
			unexplained, grouped, together = unexplained+1, grouped+1, together+1
		}
	}
	workers, span := float64(len(e.sortedNodes)+1), max(l.lostAt-first, minCrashSpan).Seconds()
	c := coincidence{rate: max(baseCrashRate, float64(unexplained)/workers/span, float64(there)/span)}
	if !l.isInherited {
		// An owner that has not watched its workers for long has not seen how often they crash.
		c.rate = max(c.rate, 1/(workers*max(l.lostAt-e.watchedSince, minWatched).Seconds()))
	}
	if together > 0 {
		// Single crashes also coincide, the more often they come.
		c.together = min(float64(together+1)/workers, 1) * float64(grouped+1) / float64(unexplained+1)
	}
	return c
}

// chanceOf returns the chance that the worker was lost within a window of the age of an isolated run
// of a job without the run having caused it. It is 1 if another worker under isolated runs of the job
// has crashed during the run: that is one event, and counted.
func (e *Engine) chanceOf(l *loss, id heatherhub.JobID, age, window time.Duration) float64 {
	others := e.coincidenceOf(l, id, age)
	chance := max(others.rate*window.Seconds(), others.together)
	for _, c := range e.crashes {
		switch {
		case c.isolated == id && c.lostAt > l.lostAt-age && (c.lostAt-l.lostAt).Abs() <= lossWindow:
			return 1
		case c.isolated == id && c.address == l.address:
			chance = max(chance, minSameMachineChance)
		}
	}
	return min(chance, 1)
}

// isGivenUp reports whether the crashes of a job suffice to give it up: that they came by chance is
// next to impossible for one of its tasks. Long-running tasks start again however they end.
func (j *job) isGivenUp() bool {
	crashes := slices.DeleteFunc(slices.Clone(j.progress.Crashes), func(c heatherhub.CrashedRun) bool {
		return !isCrash(c) || j.workflow.StepOf(c.Task).LongRunning
	})
	if crashedLives(crashes) < minCrashes {
		return false
	}
	return slices.ContainsFunc(crashes, func(c heatherhub.CrashedRun) bool {
		return chanceOfAll(crashes, c.Occurrence, c.Task) <= negligibleChance
	})
}

// chanceOfAll returns the chance that all crashes of a job came by chance, as far as they speak against
// one of its tasks.
func chanceOfAll(crashes []heatherhub.CrashedRun, occurrence, task int) float64 {
	// Several runs that were lost with one worker are one crash.
	type life struct {
		worker heatherhub.WorkerID
		life   heatherhub.RunID
	}
	chances := make(map[life]float64)
	for i := range crashes {
		c := &crashes[i]
		chance := chanceAgainst(c)
		hasItsAge := func(o heatherhub.CrashedRun) bool { return !c.IsOfLife(&o) && c.HasAgeOf(&o) }
		if !slices.ContainsFunc(crashes, hasItsAge) {
			chance = max(chance, minOtherAgeChance)
		}
		if c.Occurrence != occurrence || c.Task != task {
			chance = max(chance, minOtherTaskChance)
		}
		key := life{c.Worker, c.Life}
		if former, ok := chances[key]; !ok || chance < former {
			chances[key] = chance
		}
	}
	all := 1.0
	for _, chance := range chances {
		all *= chance
	}
	return all
}

// chanceAgainst returns the chance that a worker crashed for another reason than a run.
func chanceAgainst(c *heatherhub.CrashedRun) float64 {
	switch {
	case c.Chance > 0:
		return c.Chance
	case c.Evidence == heatherhub.CrashIsolated:
		// Owners of an earlier version do not store the chance.
		return min(baseCrashRate*(c.Age+noticeDelay).Seconds(), 1)
	default:
		return 1
	}
}
