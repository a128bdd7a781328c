package intake

import (
	"sync"
	"time"

	"heatherhub.example/heatherhub"
)

// While a submission of a job by this host may still take effect, the job is not refused, and it is
// not said that there is no such job.

const (
	// unknownTime is how long a write without an answer may still take effect. The platform
	// delays writes by several seconds.
	unknownTime = 10 * time.Second
	// maxUnknown bounds the jobs with an unknown outcome that are remembered.
	maxUnknown = 4096
)

// inFlight has the submissions that run and those that ended with an unknown outcome.
type inFlight struct {
	mu     sync.Mutex
	active map[heatherhub.JobID]*activeJob
	// unknown has the steady times until which the writes of jobs may take effect.
	unknown map[heatherhub.JobID]time.Duration
	// overflowUntil is the time until which writes that are not in unknown may take effect.
	overflowUntil time.Duration
}

// activeJob counts the submissions of a job: those that run, and all since one has run.
type activeJob struct {
	running, total int
}

// begin records a submission.
func (f *inFlight) begin(id heatherhub.JobID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active == nil {
		f.active, f.unknown = make(map[heatherhub.JobID]*activeJob), make(map[heatherhub.JobID]time.Duration)
	}
	j := f.active[id]
	if j == nil {
		j = &activeJob{}
		f.active[id] = j
	}
	j.running++
	j.total++
}

// end records the end of a submission.
func (f *inFlight) end(now time.Duration, id heatherhub.JobID, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if j := f.active[id]; j != nil {
		if j.running--; j.running == 0 {
			delete(f.active, id)
		}
	}
	if err == nil {
		delete(f.unknown, id)
	}
	if heatherhub.CodeOf(err) != heatherhub.CodeUnknown {
		return
	}
	if len(f.unknown) >= maxUnknown {
		for other, until := range f.unknown {
			if until <= now {
				delete(f.unknown, other)
			}
		}
	}
	if len(f.unknown) < maxUnknown {
		f.unknown[id] = now + unknownTime
		return
	}
	f.overflowUntil = now + unknownTime
}

// settle forgets that the outcome of a job's submission was unknown.
func (f *inFlight) settle(id heatherhub.JobID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.unknown, id)
}

// isOpen reports whether a submission of a job may still take effect.
func (f *inFlight) isOpen(now time.Duration, id heatherhub.JobID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active[id] != nil || now < f.unknown[id] || now < f.overflowUntil
}

// isOnly reports whether the submission that runs is the only one that may take effect. If too
// many outcomes are unknown, none is.
func (f *inFlight) isOnly(now time.Duration, id heatherhub.JobID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.active[id]
	until, isUnknown := f.unknown[id]
	if isUnknown && until <= now {
		delete(f.unknown, id)
		isUnknown = false
	}
	return j != nil && j.total == 1 && !isUnknown && now >= f.overflowUntil
}
