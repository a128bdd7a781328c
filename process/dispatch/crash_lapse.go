package dispatch

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// A worker whose lease has expired may have crashed, or work on out of reach. Which of the two it is
// shows later: another worker answers at its address, or it lists the runs or their ends.

const (
	// lateReturnDelay is how long a task that has crashed workers waits for news of one whose lease has
	// expired. A task may not wait for three seconds while a worker has room for it.
	lateReturnDelay = 2 * time.Second
	// lapseMemory is how long a worker whose lease has expired is waited for to tell the two apart.
	lapseMemory = 2 * time.Minute
)

// lapsedWorker is the last worker at an address whose lease has expired.
type lapsedWorker struct {
	id heatherhub.WorkerID
	// log is added to the crashes once the worker is known to have crashed.
	log crashLog
}

// resolveLapsed records that a worker answers at an address. If it is another one than that whose
// lease has expired there, the former one has crashed. So has a former incarnation whose loss a
// previous owner has recorded.
func (e *Engine) resolveLapsed(now Moment, address string, id heatherhub.WorkerID) {
	if l, ok := e.lapsed[address]; ok {
		delete(e.lapsed, address)
		if l.id != id {
			e.confirmLapsed(now, &l)
		}
	}
	for _, former := range e.inheritedLapses[id.Name()] {
		if former != id {
			e.confirmCrash(now, former, now.Steady)
		}
	}
	delete(e.inheritedLapses, id.Name())
}

// resolveReplaced records that another worker or incarnation answers in place of one whose lease may
// have expired before.
func (e *Engine) resolveReplaced(now Moment, id heatherhub.WorkerID) {
	for address, l := range e.lapsed {
		if l.id == id {
			delete(e.lapsed, address)
			e.confirmLapsed(now, &l)
		}
	}
}

// confirmLapsed counts the loss of a worker whose lease has expired under this owner as a crash.
func (e *Engine) confirmLapsed(now Moment, l *lapsedWorker) {
	e.crashes = append(e.crashes, l.log)
	e.confirmCrash(now, l.id, l.log.lostAt)
}

// inheritLapse keeps the worker of a stored loss until another incarnation of it answers.
func (e *Engine) inheritLapse(c *heatherhub.CrashedRun) {
	name := c.Worker.Name()
	if c.Loss == heatherhub.WorkerLeaseExpired && !slices.Contains(e.inheritedLapses[name], c.Worker) {
		e.inheritedLapses[name] = append(e.inheritedLapses[name], c.Worker)
	}
}

// confirmCrash holds a crash at lostAt of a worker whose lease had expired against the runs that were
// lost with it.
func (e *Engine) confirmCrash(now Moment, id heatherhub.WorkerID, lostAt time.Duration) {
	for _, j := range e.jobs {
		if j.isOver() || j.isOwnedElsewhere {
			continue
		}
		isConfirmed := false
		for i := range j.progress.Crashes {
			c := &j.progress.Crashes[i]
			t := j.taskOf(*c)
			if t == nil || c.Worker != id || c.Loss != heatherhub.WorkerLeaseExpired {
				continue
			}
			isConfirmed = true
			at := slices.IndexFunc(t.crashes, func(o heatherhub.CrashedRun) bool { return o == *c })
			// All runs whose loss was not confirmed before are of one life.
			c.Loss, c.Life = heatherhub.WorkerReplaced, e.lostLife(id)
			if c.Chance > 0 {
				c.Chance = max(c.Chance, minLateChance)
			}
			if at >= 0 {
				t.crashes[at] = *c
			}
			t.delayRestart(lostAt)
		}
		if isConfirmed {
			e.markChanged(j)
			j.crashChange = j.changed
			j.updateSuspicion()
			e.giveUpIfDue(now, j)
		}
	}
}

// withdrawLoss forgets that a run was lost with its worker, since the worker has listed the run or
// its end.
func (e *Engine) withdrawLoss(t *task, id heatherhub.WorkerID, run heatherhub.RunID) {
	isLoss := func(c heatherhub.CrashedRun) bool { return c.Run == run && c.Worker == id }
	if !slices.ContainsFunc(t.crashes, isLoss) {
		return
	}
	t.crashes = slices.DeleteFunc(t.crashes, isLoss)
	j := t.step.occ.job
	if j.isOwnedElsewhere {
		return
	}
	j.progress.Crashes = slices.DeleteFunc(j.progress.Crashes, func(c heatherhub.CrashedRun) bool {
		return isLoss(c) && c.Occurrence == t.step.occ.index && c.Task == t.flatIndex()
	})
	j.updateSuspicion()
	e.markChanged(j)
}
