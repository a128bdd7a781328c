//go:build review

package main

import (
	"time"
)

const (
	fullJob    = "90c2b7714ae50d36"
	crashedJob = "2be86f53d0a9147c"
	// lives is the number of crashes of the machine, and age that of the run at each.
	lives = 5
	age   = 1500 * time.Millisecond
)

// playCrashes has one of eight machines crash several times in a row, while the others are full. It
// judges the state that is shown of the job that runs there, none of whose runs ends `failed`.
func playCrashes(r *record, dir string, hasTrouble bool) int {
	s, err := newSite(r, dir, 3, 8)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		r.write("not run: %v", err)
		return exitNotRun
	}
	if !s.submit(fullJob, step{Count: 7, CPU: 16000, Memory: 2000, Estimated: 60000, LongRunning: true}) {
		return exitNotRun
	}
	if !await(15*time.Second, func() bool { return len(s.running(fullJob)) == 7 }) {
		return exitNotRun
	}
	if !s.submit(crashedJob, step{Count: 1, CPU: 6000, Memory: 2000, Estimated: 20000, Checkpointing: true}) {
		return exitNotRun
	}
	state := ""
	for range lives {
		if !await(15*time.Second, func() bool {
			runs := s.running(crashedJob)
			return len(runs) == 1 && time.Since(runs[0].startedAt) > age
		}) {
			break
		}
		if !hasTrouble {
			break
		}
		k := s.running(crashedJob)[0].worker
		k.crash()
		time.Sleep(time.Second)
		if _, err := s.addWorker(k.index, k.address); err != nil {
			r.write("not run: %v", err)
			return exitNotRun
		}
	}
	await(45*time.Second, func() bool {
		time.Sleep(time.Second)
		state = s.state(0, crashedJob)
		return state == "completed" || state == "failed" || state == "cancelled"
	})
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	failed := 0
	for _, e := range s.ends {
		if e.job == crashedJob && e.how == "failed" {
			failed++
		}
	}
	r.write("state %q after %d ends failed", state, failed)
	switch state {
	case "failed":
		r.write("broken: job %s is shown as failed without cause", crashedJob)
		return exitBroken
	case "completed":
		return exitHeld
	default:
		return exitNotRun
	}
}
