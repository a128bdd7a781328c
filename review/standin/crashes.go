//go:build review

package main

import (
	"time"
)

const (
	fullJob    = "90c2b7714ae50d36"
	crashedJob = "2be86f53d0a9147c"
	// crashAge is the age of the runs at the crashes.
	crashAge = 400 * time.Millisecond
	// maxCrashes bounds the crashes of workers.
	maxCrashes = 6
)

// playCrashes has two of fourteen machines crash now and then, while the others are full. It judges the
// state that is shown of the job that runs there, none of whose runs ends `failed`.
func playCrashes(r *record, dir string, hasTrouble bool) int {
	s, err := newSite(r, dir, 3, 14)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		r.write("not run: %v", err)
		return exitNotRun
	}
	if !s.submit(fullJob, step{Count: 12, CPU: 16000, Memory: 2000, Estimated: 60000, LongRunning: true}) {
		return exitNotRun
	}
	if !await(15*time.Second, func() bool { return len(s.running(fullJob)) == 12 }) {
		return exitNotRun
	}
	if !s.submit(crashedJob, step{Count: 2, CPU: 9000, Memory: 2000, Estimated: 12000, Checkpointing: true}) {
		return exitNotRun
	}
	state := ""
	for crashes := 0; hasTrouble && crashes < maxCrashes && state != "failed"; {
		var down []*worker
		isDue := func() bool {
			runs := s.running(crashedJob)
			for _, run := range runs {
				if time.Since(run.startedAt) < crashAge {
					return false
				}
			}
			return len(runs) > 0
		}
		if !await(5*time.Second, isDue) {
			break
		}
		for _, run := range s.running(crashedJob) {
			down = append(down, run.worker)
			run.worker.crash()
			crashes++
		}
		time.Sleep(time.Second)
		for _, k := range down {
			if _, err := s.addWorker(k.index, k.address); err != nil {
				r.write("not run: %v", err)
				return exitNotRun
			}
		}
	}
	await(45*time.Second, func() bool {
		time.Sleep(time.Second)
		state = s.state(0, crashedJob)
		return state == "completed" || state == "failed" || state == "cancelled"
	})
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	failed, lost := 0, make(map[string]int)
	for _, e := range s.ends {
		if e.job != crashedJob {
			continue
		}
		switch e.how {
		case "failed":
			failed++
		case "gone":
			lost[e.task]++
		}
	}
	r.write("state %q after %d ends failed, with max_attempts %d; runs lost with their workers: %v", state, failed, maxAttempts, lost)
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
