//go:build review

package main

import (
	"time"
)

const gangJob = "4f1d6a02c8e35b79"

// playGang has a gang at work on several workers, one of which is emptied and leaves. It judges the
// checkpoints with which the tasks of one run are started.
func playGang(r *record, dir string, hasTrouble bool) int {
	s, err := newSite(r, dir, 3, 8)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		r.write("not run: %v", err)
		return exitNotRun
	}
	if !s.submit(gangJob, step{Count: 4, CPU: 9000, Memory: 2000, Estimated: 24000, Checkpointing: true, Gang: true}) {
		return exitNotRun
	}
	if !await(15*time.Second, func() bool { return len(s.running(gangJob)) == 4 }) {
		return exitNotRun
	}
	time.Sleep(5 * time.Second)
	if hasTrouble {
		runs := s.running(gangJob)
		if len(runs) == 0 {
			return exitNotRun
		}
		runs[0].worker.drain()
	}
	isCompleted := await(70*time.Second, func() bool {
		time.Sleep(time.Second)
		return s.state(0, gangJob) == "completed"
	})
	r.write("completed: %v", isCompleted)
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	first := make(map[uint64]startSeen)
	code := exitHeld
	for _, st := range s.starts {
		f, ok := first[st.run]
		if !ok {
			first[st.run] = st
			continue
		}
		if f.checkpoint != st.checkpoint {
			r.write("broken: run %d of the gang: %s was started with checkpoint %q and %s with %q", st.run, f.task, f.checkpoint, st.task, st.checkpoint)
			code = exitBroken
		}
	}
	if code == exitHeld && !isCompleted {
		return exitNotRun
	}
	return code
}
