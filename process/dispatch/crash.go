package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
)

// A task may crash each worker that starts it, and all runs beside it are lost as well. The crash
// itself does not tell which of them is to blame, so crashes are collected for each task:
//
//   - A run that a report lists some time after its start has shown that it does no harm. The
//     runs that have not shown it are the suspects of a crash.
//   - A suspected task starts again isolated: on a worker with no other suspect, that gets no
//     other start until the run has shown that it does no harm, unless it is lent. A run that works
//     clears it.
//   - Each crash under a suspect comes with the chance that the worker would have crashed by then
//     whatever it ran, from the crashes that no start explains. A job is given up once the chances
//     of all of them together are negligible for one of its tasks.
//   - Workers that are lost at the same moment have a cause of their own, unless they had just
//     started tasks, or have started tasks of one job.
//   - The expired lease of a worker is no crash. It becomes one when another worker or incarnation
//     answers in its place, and nothing when the worker lists the run or its end.
//
// The crashes are part of the job's progress, so they outlive the owner of the shard. So does the
// worker of an isolated start: both are durable before the start, and a successor that finds the
// worker crashed counts that as well.

// departure is how a worker was lost.
type departure bool

const (
	// vanished: the lease of the worker has expired, or it left after a notice.
	vanished departure = false
	// crashed: another worker or incarnation answers in its place, without a notice.
	crashed departure = true
)

// loss returns the departure as it is stored with a lost run.
func (d departure) loss() heatherhub.WorkerLoss {
	if d == crashed {
		return heatherhub.WorkerReplaced
	}
	return heatherhub.WorkerLeaseExpired
}

// Limits of the search for tasks that crash their workers.
const (
	// provenAge is the age at which a run that its worker lists counts as harmless.
	provenAge = 500 * time.Millisecond
	// maxProvenAge bounds the proven age of tasks whose runs were older when their workers
	// crashed, and so the time for which an isolated run may keep others away.
	maxProvenAge = 10 * time.Second
	// maxLongRunningProvenAge replaces it for long-running tasks. Those of a job start isolated one
	// after another, and may not stay away for longer than 6 s.
	maxLongRunningProvenAge = time.Second
	// maxSuspectAge is the age up to which a proven run counts as lost beside a crash. A long run
	// is lost with a worker at some time by chance.
	maxSuspectAge = maxProvenAge / 2
	// crashesBeforeIsolation is the number of crashes in a row after which a task starts
	// isolated even if it was a suspect at none of them.
	crashesBeforeIsolation = 2
	// A long-running task waits between its starts from crashesBeforeDelay on, for
	// crashRestartDelay at first and twice as long after each further crash.
	crashesBeforeDelay   = 2
	crashRestartDelay    = 500 * time.Millisecond
	maxCrashRestartDelay = 4 * time.Second
	// If simultaneousShare of the workers, or minSimultaneous, are lost within lossWindow before or
	// after one another, the cause is not sought in their tasks.
	simultaneousShare = 0.125
	minSimultaneous   = 3
	lossWindow        = time.Second
	// youngAge is the age up to which a run is a suspect also of a simultaneous loss: few runs
	// are that young by chance.
	youngAge = 100 * time.Millisecond
	// isolationHold is how long a worker is held for an isolated start. Runs that are young at
	// the beginning are proven by then.
	isolationHold = 3 * time.Second
	// crashMemory is how long a crash counts in the choice of a worker for an isolated start, and in
	// the rate of crashes.
	crashMemory = 30 * time.Second
)

// crashLog is a recent crash of a worker of the shard.
type crashLog struct {
	lostAt  time.Duration
	address string
	// suspects are the jobs of the runs that were not proven.
	suspects map[heatherhub.JobID]struct{}
	// isolated is the job of the isolated runs that were not proven, if there were any.
	isolated heatherhub.JobID
	// ages has the ages of the lost runs of each job.
	ages map[heatherhub.JobID][]time.Duration
	// isExplained means that a run had just started there, or was isolated.
	isExplained bool
}

// requiredAge returns the age at which a run of the task counts as harmless.
func (t *task) requiredAge() time.Duration {
	age, limit := provenAge, maxProvenAge
	if t.step.spec.LongRunning {
		limit = maxLongRunningProvenAge
	}
	for _, c := range t.crashes {
		age = max(age, min(2*c.Age, limit))
	}
	return age
}

// needsIsolation reports whether the next run of the task has to be the only suspect on its worker.
func (t *task) needsIsolation() bool {
	if t.step.occ.job.isSuspect || len(t.crashes) >= crashesBeforeIsolation {
		return true
	}
	return slices.ContainsFunc(t.crashes, func(c heatherhub.CrashedRun) bool { return isSuspected(c) || isYoungLapse(c) })
}

// isSuspected reports whether a run was a suspect when its worker crashed.
func isSuspected(c heatherhub.CrashedRun) bool {
	return isCrash(c) && c.Evidence != heatherhub.CrashBeside
}

// isYoungLapse reports whether contact with the worker of a run was lost just after its start, for good.
func isYoungLapse(c heatherhub.CrashedRun) bool {
	return c.Loss == heatherhub.WorkerLeaseExpired && (c.Evidence == heatherhub.CrashSuspect || c.Evidence == heatherhub.CrashIsolated) && c.Age <= youngAge
}

// updateSuspicion derives isSuspect from the crashes of the job: once several workers have crashed
// under its tasks, those that have not started yet start isolated as well.
func (j *job) updateSuspicion() {
	suspected := slices.DeleteFunc(slices.Clone(j.progress.Crashes), func(c heatherhub.CrashedRun) bool { return !isSuspected(c) })
	j.isSuspect = crashedLives(suspected) >= crashesBeforeIsolation
}

// awaitsCrashRecord reports whether the task may not start before its crashes are stored. Those of
// a task that runs in a shard other than its job's are stored with the job's record, once the task
// is back.
func (t *task) awaitsCrashRecord() bool {
	j := t.step.occ.job
	switch {
	case !t.needsIsolation():
		return false
	case j.isOwnedElsewhere:
		return slices.ContainsFunc(t.crashes, func(c heatherhub.CrashedRun) bool { return !hasCrash(j.workflow.Crashes, c) })
	default:
		return j.committed < j.crashChange
	}
}

// isCrash reports whether a stored loss is the crash of a worker. A worker whose lease has expired
// may have worked all the time, out of reach.
func isCrash(c heatherhub.CrashedRun) bool {
	return c.Evidence != heatherhub.CrashCleared && c.Loss == heatherhub.WorkerReplaced
}

// hasCrash reports whether crashes has the loss of a run with a worker.
func hasCrash(crashes []heatherhub.CrashedRun, c heatherhub.CrashedRun) bool {
	return slices.ContainsFunc(crashes, func(o heatherhub.CrashedRun) bool { return o.Run == c.Run && o.Worker == c.Worker })
}

// recordCrash holds a crash of a worker against the runs that may have caused it. It is called
// before the runs are ended.
func (e *Engine) recordCrash(now Moment, n *node, how departure) {
	lostAt := n.lostAt(now.Steady)
	lost := slices.DeleteFunc(slices.Clone(n.attemptsByRun()), func(a *attempt) bool {
		return a.task.step.occ.job.isOver() || a.task.isDone || a.task.isRemote
	})
	suspects := make(map[heatherhub.JobID]struct{})
	hasIsolated := false
	for _, a := range lost {
		if !a.isProven {
			suspects[a.task.step.occ.job.workflow.ID] = struct{}{}
			hasIsolated = hasIsolated || a.isIsolated
		}
	}
	if how == crashed {
		e.crashes = slices.DeleteFunc(e.crashes, func(c crashLog) bool { return now.Steady-c.lostAt > crashMemory })
	}
	l := loss{how: how, lostAt: lostAt, worker: n.worker.ID, address: addressOf(&n.worker), hasIsolated: hasIsolated, hasOneSuspect: len(suspects) == 1}
	l.isSimultaneous, l.common = e.simultaneousLoss(n, lostAt, suspects)
	for _, a := range lost {
		if evidence, counts := l.evidenceAgainst(a); counts {
			e.addCrash(a, evidence, &l)
			switch {
			case how == crashed:
				a.task.delayRestart(lostAt)
			case !a.task.step.spec.LongRunning && a.task.suspectedCrashes() >= crashesBeforeDelay:
				a.task.notBefore = now.Steady + lateReturnDelay
			}
		}
	}
	c := crashLog{lostAt: lostAt, address: l.address, suspects: suspects, isExplained: hasExplanation(lost, lostAt), ages: make(map[heatherhub.JobID][]time.Duration)}
	for _, a := range lost {
		id := a.task.step.occ.job.workflow.ID
		c.ages[id] = append(c.ages[id], lostAt-a.startedAt)
	}
	if hasIsolated {
		c.isolated = n.isolatedFor.workflow.ID
	}
	if how == crashed {
		e.crashes = append(e.crashes, c)
	} else {
		maps.DeleteFunc(e.lapsed, func(_ string, o lapsedWorker) bool { return now.Steady-o.log.lostAt > lapseMemory })
		e.lapsed[l.address] = lapsedWorker{id: n.worker.ID, log: c}
	}
	for _, a := range lost {
		e.giveUpIfDue(now, a.task.step.occ.job)
	}
}

// addressOf returns what the lives of one machine have in common: their address, or else their name.
func addressOf(w *agent.Worker) string {
	if w.Address != "" {
		return w.Address
	}
	return string(w.ID.Name())
}

// loss is what is known of the loss of a worker.
type loss struct {
	how     departure
	lostAt  time.Duration
	worker  heatherhub.WorkerID
	address string
	// isInherited means that this owner has not reached the worker.
	isInherited bool
	// hasIsolated means that the worker had an isolated run that was not proven.
	hasIsolated bool
	// hasOneSuspect means that the runs that were not proven were all of one job.
	hasOneSuspect bool
	// isSimultaneous means that other workers were lost together with it, and common has the jobs
	// with unproven runs on all of them.
	isSimultaneous bool
	common         map[heatherhub.JobID]struct{}
}

// evidenceAgainst returns what the loss says of a run, and whether it counts at all: an isolated run
// explains it, and a proven one is counted only if it is young and a crash took its worker alone.
func (l *loss) evidenceAgainst(a *attempt) (heatherhub.CrashEvidence, bool) {
	age := l.lostAt - a.startedAt
	if a.isProven {
		return heatherhub.CrashBeside, l.how == crashed && !l.hasIsolated && !l.isSimultaneous && age <= maxSuspectAge
	}
	_, isCommon := l.common[a.task.step.occ.job.workflow.ID]
	isExcused := l.isSimultaneous && !isCommon && !a.isIsolated && age > youngAge
	switch {
	case isExcused:
		return heatherhub.CrashBeside, true
	case a.isIsolated:
		return heatherhub.CrashIsolated, true
	default:
		return heatherhub.CrashSuspect, true
	}
}

// simultaneousLoss reports whether other workers were lost together with n at lostAt, and returns
// the jobs that had unproven runs on all of them.
func (e *Engine) simultaneousLoss(n *node, lostAt time.Duration, suspects map[heatherhub.JobID]struct{}) (bool, map[heatherhub.JobID]struct{}) {
	common := maps.Clone(suspects)
	count := 1
	add := func(at time.Duration, has func(heatherhub.JobID) bool) {
		if (at - lostAt).Abs() > lossWindow {
			return
		}
		count++
		maps.DeleteFunc(common, func(id heatherhub.JobID, _ struct{}) bool { return !has(id) })
	}
	for _, c := range e.crashes {
		add(c.lostAt, func(id heatherhub.JobID) bool { _, ok := c.suspects[id]; return ok })
	}
	for _, o := range e.sortedNodes {
		if o == n || !o.isUnresponsive {
			continue
		}
		add(o.silentSince, func(id heatherhub.JobID) bool {
			return slices.ContainsFunc(o.attemptsByRun(), func(a *attempt) bool { return !a.isProven && a.task.step.occ.job.workflow.ID == id })
		})
	}
	return float64(count) >= max(minSimultaneous, simultaneousShare*float64(len(e.sortedNodes)+1)), common
}

// addCrash records the run of an attempt as lost with its worker.
func (e *Engine) addCrash(a *attempt, evidence heatherhub.CrashEvidence, l *loss) {
	t := a.task
	j := t.step.occ.job
	c := heatherhub.CrashedRun{
		Occurrence: t.step.occ.index, Task: t.flatIndex(), Run: a.run, Worker: a.node.worker.ID, Life: e.lostLife(a.node.worker.ID), Evidence: evidence, Loss: l.how.loss(),
		Age: max(l.lostAt-a.startedAt, 0),
	}
	if hasCrash(t.crashes, c) {
		return
	}
	if evidence != heatherhub.CrashBeside {
		// A task that crashes its workers does so at about the same age, a chance does not.
		window := c.Age + noticeDelay
		for _, o := range slices.Concat(t.crashes, j.progress.Crashes) {
			// Older runs also repeat their age if their starts are in step with the crashes.
			if c.Age <= youngAge && isCrash(o) && !c.IsOfLife(&o) && c.HasAgeOf(&o) {
				window = min(window, 2*max((c.Age-o.Age).Abs(), ageResolution))
			}
		}
		c.Chance = e.chanceOf(l, j.workflow.ID, c.Age, window)
		switch isYoung, isAlone := c.Age <= youngAge, l.hasOneSuspect || evidence == heatherhub.CrashIsolated; {
		case isYoung && !isAlone:
			c.Chance = max(c.Chance, minSharedChance)
		case !isYoung && isAlone:
			c.Chance = max(c.Chance, minOldAgeChance)
		case !isYoung:
			c.Chance = 1
		}
	}
	e.appendCrash(t, c)
}

// appendCrash records a crash of a task.
func (e *Engine) appendCrash(t *task, c heatherhub.CrashedRun) {
	j := t.step.occ.job
	e.Stats.Crashed++
	t.crashes = append(t.crashes, c)
	if !j.isOwnedElsewhere {
		j.progress.Crashes = append(j.progress.Crashes, c)
		e.markChanged(j)
		j.crashChange = j.changed
		j.updateSuspicion()
	}
}

// giveUpIfDue fails a job with a task that crashes its workers. Only the owner of the job does so.
func (e *Engine) giveUpIfDue(now Moment, j *job) {
	if j.isOver() || j.isOwnedElsewhere {
		return
	}
	if !j.isGivenUp() {
		return
	}
	t := j.mostCrashed()
	e.recordEvent(EventRecord{
		Event: EventJobGivenUp, Job: j.workflow.ID, Step: t.step.index, Index: t.index, Count: len(t.crashes), Workers: crashedWorkers(t.crashes),
		Reason: "task crashes its workers", Losses: slices.Clone(j.progress.Crashes),
	})
	e.endJob(now, j, heatherhub.WorkflowFailed)
}

// mostCrashed returns the task with the most crashes of a job that has some.
func (j *job) mostCrashed() *task {
	var worst *task
	for _, c := range j.progress.Crashes {
		if t := j.taskOf(c); t != nil && (worst == nil || len(t.crashes) > len(worst.crashes)) {
			worst = t
		}
	}
	return worst
}

// suspectedCrashes returns the number of crashes at which the task was a suspect.
func (t *task) suspectedCrashes() int {
	n := 0
	for _, c := range t.crashes {
		if isSuspected(c) {
			n++
		}
	}
	return n
}

// isolatedAlone reports whether the next run of the task has to be apart from those of its own job
// as well. A job that goes on whatever crashes has to find out which of its tasks does it.
func (t *task) isolatedAlone() bool {
	return t.step.spec.LongRunning && t.suspectedCrashes() >= crashesBeforeDelay
}

// delayRestart has a long-running task that crashes its workers wait before its next start, after a
// crash at lostAt.
func (t *task) delayRestart(lostAt time.Duration) {
	if crashes := t.suspectedCrashes(); t.isolatedAlone() {
		t.notBefore = lostAt + min(crashRestartDelay<<min(crashes-crashesBeforeDelay, 3), maxCrashRestartDelay)
	}
}

// crashedWorkers returns the workers of crashes, each once.
func crashedWorkers(crashes []heatherhub.CrashedRun) []heatherhub.WorkerID {
	var out []heatherhub.WorkerID
	for _, c := range crashes {
		if isCrash(c) && !slices.Contains(out, c.Worker) {
			out = append(out, c.Worker)
		}
	}
	return out
}

// crashedLives returns the number of lives of workers that have crashed. Several runs that were lost with one are one crash.
func crashedLives(crashes []heatherhub.CrashedRun) int {
	n := 0
	for i := range crashes {
		isSame := func(o heatherhub.CrashedRun) bool { return isCrash(o) && o.IsOfLife(&crashes[i]) }
		if isCrash(crashes[i]) && !slices.ContainsFunc(crashes[:i], isSame) {
			n++
		}
	}
	return n
}

// lostLife returns the life of a run that is lost with a worker now.
func (e *Engine) lostLife(id heatherhub.WorkerID) heatherhub.RunID {
	if _, ok := id.Incarnation(); ok {
		return 0
	}
	return e.nextRun
}

// clearCrashes forgets the crashes of a task of which a run has shown that it does no harm.
func (e *Engine) clearCrashes(t *task, run heatherhub.RunID) {
	if len(t.crashes) == 0 {
		return
	}
	t.crashes = nil
	j, o, k := t.step.occ.job, t.step.occ.index, t.flatIndex()
	if j.isOwnedElsewhere {
		return
	}
	isOfTask := func(c heatherhub.CrashedRun) bool { return c.Occurrence == o && c.Task == k }
	j.progress.Crashes = slices.DeleteFunc(j.progress.Crashes, isOfTask)
	if slices.ContainsFunc(j.workflow.Crashes, isOfTask) {
		// The job's record still has them.
		j.progress.Crashes = append(j.progress.Crashes, heatherhub.CrashedRun{Occurrence: o, Task: k, Run: run, Evidence: heatherhub.CrashCleared})
	}
	j.updateSuspicion()
	if len(j.progress.Crashes) == 0 {
		j.progress.IsolatedOn = ""
	}
	e.markChanged(j)
}

// restoreCrashes adds the crashes of a job's record and progress to its tasks, and gives the job up
// if that is due.
func (e *Engine) restoreCrashes(now Moment, j *job) {
	cleared := make(map[*task]heatherhub.RunID)
	for _, c := range j.progress.Crashes {
		if t := j.taskOf(c); t != nil && c.Evidence == heatherhub.CrashCleared {
			cleared[t] = max(cleared[t], c.Run)
		}
	}
	for _, c := range slices.Concat(j.progress.Crashes, j.workflow.Crashes) {
		t := j.taskOf(c)
		if t == nil || c.Evidence == heatherhub.CrashCleared || hasCrash(t.crashes, c) {
			continue
		}
		if run, ok := cleared[t]; ok && c.Run <= run {
			continue
		}
		e.inheritCrash(now, t, c)
	}
	j.updateSuspicion()
	e.giveUpIfDue(now, j)
}

// taskOf returns the task of a crashed run, or nil.
func (j *job) taskOf(c heatherhub.CrashedRun) *task {
	return j.taskAt(c.Occurrence, c.Task)
}

// proveIfDue records that a listed run has shown that it does no harm, once it is old enough.
func (e *Engine) proveIfDue(now Moment, a *attempt) {
	if a.isProven || now.Steady-a.startedAt < a.task.requiredAge() {
		return
	}
	n := a.node
	n.countUnproven(a, -1)
	a.isProven = true
	e.clearCrashes(a.task, a.run)
}

// countUnproven adds a run to the unproven ones of the worker, or removes it.
func (n *node) countUnproven(a *attempt, sign int) {
	if a.isProven {
		return
	}
	n.unproven += sign
	if !a.isIsolated {
		return
	}
	j := a.task.step.occ.job
	n.isolated += sign
	j.isolated += sign
	if sign > 0 {
		n.isolatedFor, n.heldUntil, j.isolationNode = j, 0, n
	}
}

// isolatedJob returns the job for whose isolated runs the worker is kept, or nil.
func (n *node) isolatedJob(now time.Duration) *job {
	if n.isolated > 0 || (now < n.heldUntil && !n.isolatedFor.isOver()) {
		return n.isolatedFor
	}
	return nil
}

// isLent reports whether other tasks may start beside the isolated runs of the worker if none else has
// room: these have lasted for provenAge, and no crash speaks against their tasks yet. Jobs that were lost
// together twice would otherwise keep all workers of a shard for seconds.
func (n *node) isLent(now time.Duration) bool {
	if n.isolated == 0 {
		return false
	}
	for _, a := range n.attempts {
		if a.isIsolated && !a.isProven && (now-a.startedAt < provenAge || a.task.hasEvidence()) {
			return false
		}
	}
	return true
}

// hasEvidence reports whether crashes speak against the task itself: any that is unlikely without it, or
// more than those that have it start isolated.
func (t *task) hasEvidence() bool {
	if t.step.occ.job.isSuspect || len(t.crashes) > crashesBeforeIsolation {
		return true
	}
	return slices.ContainsFunc(t.crashes, func(c heatherhub.CrashedRun) bool { return isSuspected(c) && c.Chance < 1 || isYoungLapse(c) })
}

// isIsolating reports whether a worker, which must be available, can take an isolated start of a
// task now: no other job's run on it is unproven, and no other worker has isolated runs of the job.
func (n *node) isIsolating(now time.Duration, t *task) bool {
	j := t.step.occ.job
	if holder := n.isolatedJob(now); holder != nil && holder != j {
		return false
	}
	if n.unproven > n.isolated || (n.isolated > 0 && t.isolatedAlone()) {
		return false
	}
	return t.step.spec.Gang || !j.isIsolatedElsewhere(now, n)
}

// isIsolatedElsewhere reports whether another worker than n is kept for isolated runs of the job.
func (j *job) isIsolatedElsewhere(now time.Duration, n *node) bool {
	o := j.isolationNode
	return o != nil && o != n && (j.isolated > 0 || (now < o.heldUntil && o.isolatedFor == j))
}

// chooseIsolated returns the worker on which the least work would be lost with an isolated run, or
// nil if none can take it now. It then holds the best worker until the runs there are proven.
func (e *Engine) chooseIsolated(now Moment, s *stepRun, t *task) *node {
	j := t.step.occ.job
	var best, next, clean *node
	// The worker that is stored as that of the next isolated start comes first. Once its run is
	// proven, a task that starts alone is kept off it.
	rank := func(n *node) int {
		if n.worker.ID == j.progress.IsolatedOn && (!t.isolatedAlone() || n.isolatedJob(now.Steady) == j) {
			return 0
		}
		return 1
	}
	compareCrashes := func(a, b *node) int {
		ownA, allA := e.crashesAt(now, a, j.workflow.ID)
		ownB, allB := e.crashesAt(now, b, j.workflow.ID)
		// Another crash where the job has lost a run says less than one elsewhere.
		return cmp.Or(cmp.Compare(ownA, ownB), cmp.Compare(allA, allB))
	}
	compare := func(a, b *node) int {
		crashes, used := compareCrashes(a, b), cmp.Compare(a.usedShare(), b.usedShare())
		if t.isolatedAlone() {
			// Its next crash is expected.
			crashes, used = used, crashes
		}
		return cmp.Or(cmp.Compare(rank(a), rank(b)), crashes, used)
	}
	hasCrashed := func(n *node) bool { own, _ := e.crashesAt(now, n, j.workflow.ID); return own > 0 }
	for _, n := range e.sortedNodes {
		if !e.hasRoom(now, n, s, t) {
			continue
		}
		if _, ok := e.score(now.Steady, n, s); !ok {
			continue
		}
		if n != j.isolationNode && !n.isIsolating(now.Steady, t) && n.isolatedJob(now.Steady) == nil && !hasCrashed(n) &&
			(clean == nil || cmp.Or(cmp.Compare(n.unproven, clean.unproven), compare(n, clean)) < 0) {
			clean = n
		}
		switch {
		case n.isIsolating(now.Steady, t):
			if best == nil || compare(n, best) < 0 {
				best = n
			}
		case n.isolatedJob(now.Steady) == nil && (next == nil || cmp.Or(cmp.Compare(n.unproven, next.unproven), compare(n, next)) < 0):
			next = n
		}
	}
	switch {
	case t.step.spec.Gang:
	case best != nil && clean != nil && j.isolated == 0 && hasCrashed(best) && !t.isolatedAlone():
		// A machine that crashes again under the job may be faulty itself.
		clean.holdFor(now, j)
		return nil
	case best != nil && !e.storeIsolation(now, best, j):
		return nil
	case best == nil && next != nil && !j.isIsolatedElsewhere(now.Steady, nil):
		next.holdFor(now, j)
	}
	return best
}

// storeIsolation reports whether the worker is stored as that of the next isolated start of a job. If not, it has it
// stored, and holds the worker.
func (e *Engine) storeIsolation(now Moment, n *node, j *job) bool {
	if j.isOwnedElsewhere || n.worker.ID == j.progress.IsolatedOn {
		return true
	}
	j.progress.IsolatedOn = n.worker.ID
	e.markChanged(j)
	j.crashChange = j.changed
	n.holdFor(now, j)
	return false
}

// isolateOn reports whether a worker with room can take an isolated start of a task now. If it runs suspects, it is
// held until these are proven.
func (e *Engine) isolateOn(now Moment, n *node, t *task) bool {
	j := t.step.occ.job
	if n.isIsolating(now.Steady, t) {
		return e.storeIsolation(now, n, j)
	}
	if n.isolatedJob(now.Steady) == nil && !j.isIsolatedElsewhere(now.Steady, nil) {
		n.holdFor(now, j)
	}
	return false
}

// holdFor keeps a worker for the isolated start of a job.
func (n *node) holdFor(now Moment, j *job) {
	n.isolatedFor, n.heldUntil, j.isolationNode = j, now.Steady+isolationHold, n
}

// recordInheritedCrash holds the crash of a worker that this owner has not reached against the jobs
// whose isolated runs a previous owner may have started there.
func (e *Engine) recordInheritedCrash(now Moment, id heatherhub.WorkerID, how departure) {
	l := loss{how: how, lostAt: now.Steady, worker: id, isInherited: true}
	isExplained := false
	for _, j := range e.jobs {
		if j.progress.IsolatedOn != id || j.isOver() || j.isOwnedElsewhere {
			continue
		}
		j.progress.IsolatedOn = ""
		e.markChanged(j)
		if how != crashed {
			continue
		}
		isExplained = true
		for _, t := range j.waitingSuspects() {
			// Nobody knows whether the run was there, or how old it was.
			last := t.crashes[len(t.crashes)-1]
			if slices.ContainsFunc(t.crashes, func(c heatherhub.CrashedRun) bool { return c.Worker == id }) {
				continue
			}
			e.appendCrash(t, heatherhub.CrashedRun{Occurrence: t.step.occ.index, Task: t.flatIndex(), Worker: id, Life: e.lostLife(id), Evidence: heatherhub.CrashSuspect, Loss: how.loss(), Age: last.Age, Chance: e.chanceOf(&l, j.workflow.ID, maxProvenAge, maxProvenAge)})
			t.delayRestart(now.Steady)
		}
		e.giveUpIfDue(now, j)
	}
	if how == crashed {
		e.crashes = append(e.crashes, crashLog{lostAt: l.lostAt, isExplained: isExplained})
	}
}

// waitingSuspects returns the tasks with crashes that could start, each of which needs isolation.
func (j *job) waitingSuspects() []*task {
	var out []*task
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.pending {
				if s.blockers == 0 && len(t.crashes) > 0 && t.needsIsolation() {
					out = append(out, t)
				}
			}
		}
	}
	return out
}

// usedShare returns the reserved and the filler processors as a fraction of the worker's.
func (n *node) usedShare() float64 {
	return n.shareOf(n.used.CPU + n.fillerCPU)
}

// crashesAt returns the numbers of recent crashes of workers at a worker's address: those under
// isolated runs of a job, and all.
func (e *Engine) crashesAt(now Moment, n *node, id heatherhub.JobID) (own, all int) {
	for _, c := range e.crashes {
		if c.address != addressOf(&n.worker) || now.Steady-c.lostAt > crashMemory {
			continue
		}
		all++
		if c.isolated == id {
			own++
		}
	}
	return own, all
}
