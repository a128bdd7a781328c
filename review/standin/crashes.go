//go:build review

package main

import (
	"time"
)

const (
	fullJob    = "90c2b7714ae50d36"
	crashedJob = "2be86f53d0a9147c"
	// flaps is the number of times that the two machines crash. They are down for downTime and then up for
	// upTime, and 0.1 s in which the tasks start again.
	flaps  = 3
	upTime = 350 * time.Millisecond
)

// playCrashes has two of fourteen machines go down and up by turns, whatever runs there, while the others
// are full. It judges the state that is shown of a job of which no run ends `failed`.
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
	if !await(10*time.Second, func() bool { return len(s.running(crashedJob)) == 2 }) {
		return exitNotRun
	}
	runs := s.running(crashedJob)
	flapping := []*worker{runs[0].worker, runs[1].worker}
	for flap := 0; hasTrouble && flap < flaps; flap++ {
		if flap > 0 {
			// Before the first crash the tasks were started at once, later 0.1 s after the machines are up.
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(upTime)
		for _, k := range flapping {
			k.crash()
		}
		time.Sleep(downTime)
		for i, k := range flapping {
			if flapping[i], err = s.addWorker(k.index, k.address); err != nil {
				r.write("not run: %v", err)
				return exitNotRun
			}
		}
	}
	state := ""
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
