package intake

import (
	"sync"
	"time"

	"heatherhub.example/heatherhub"
)

// A refused job must not run, so a job is not refused while another submission of it by this
// host may still take effect.

const (
	// unknownTime is how long a write without an answer may still take effect.
	unknownTime = 5 * time.Second
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
