//go:build review

package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	starvedJob = "5c81e0f94ba7d263"
	// youngAge is the age of the gang's run at the crash.
	youngAge = 300 * time.Millisecond
	// downTime is how long the machine is down, calmTime how long it has to be calm before the 3 s in
	// which a job may have nothing running.
	downTime    = time.Second
	calmTime    = 4 * time.Second
	idleLimit   = 3 * time.Second
	trafficTime = 40 * time.Second
	// capacity is the processors of all workers, in thousandths.
	capacity = 8 * 16000
)

// playStarved has a worker crash under a gang that has just started, while small jobs put a task on each
// worker every 0.3 s. It judges for how long the gang has nothing running.
func playStarved(r *record, dir string, hasTrouble bool) int {
	s, err := newSite(r, dir, 3, 8)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		r.write("not run: %v", err)
		return exitNotRun
	}
	var traffic conc.WaitGroup
	var isOver atomic.Bool
	traffic.Go(func() {
		for i := 1; !isOver.Load(); i++ {
			time.Sleep(300 * time.Millisecond)
			traffic.Go(func() {
				s.submit(fmt.Sprintf("%08x0a11b0b0", i), step{Count: 8, CPU: 500, Memory: 100, Estimated: 900, AntiAffinity: 1})
			})
		}
	})
	endTraffic := func() {
		isOver.Store(true)
		traffic.Wait()
	}
	defer endTraffic()
	time.Sleep(4 * time.Second)
	if !s.submit(starvedJob, step{Count: 4, CPU: 2000, Memory: 1000, Estimated: 6000, Checkpointing: true, Gang: true}) {
		return exitNotRun
	}
	if !await(10*time.Second, func() bool {
		runs := s.running(starvedJob)
		return len(runs) == 4 && time.Since(runs[0].startedAt) > youngAge
	}) {
		return exitNotRun
	}
	if hasTrouble {
		k := s.running(starvedJob)[0].worker
		k.crash()
		time.Sleep(downTime)
		if _, err := s.addWorker(k.index, k.address); err != nil {
			r.write("not run: %v", err)
			return exitNotRun
		}
	}
	time.Sleep(calmTime)
	w := s.watchStarved(trafficTime)
	r.write("after %v of calm: %v on end with nothing running, at most %d of %d thousandths of the processors in use", calmTime, w.idle.Round(time.Millisecond), w.mostUsed, capacity)
	code := exitHeld
	if w.idle >= idleLimit && w.mostUsed < capacity/2 {
		r.write("broken: the job has nothing running for over %v, with room for it", idleLimit)
		code = exitBroken
	}
	endTraffic()
	startedAgain := await(8*time.Second, func() bool { return len(s.running(starvedJob)) == 4 })
	r.write("without the other jobs: started %v, state %q", startedAgain, s.state(0, starvedJob))
	return code
}

// starvedWatch is what was seen of the gang.
type starvedWatch struct {
	// idle is the longest time on end with nothing running, mostUsed the most processors that were in
	// use meanwhile.
	idle     time.Duration
	mostUsed int64
}

// watchStarved watches the gang for limit at most, and until it runs or is done.
func (s *site) watchStarved(limit time.Duration) starvedWatch {
	var w starvedWatch
	began := time.Now()
	for time.Since(began) < limit && len(s.running(starvedJob)) == 0 && !s.hasEnded(starvedJob, "done") {
		w.idle = time.Since(began)
		s.world.mu.Lock()
		used := int64(0)
		for _, k := range s.workers {
			for _, run := range k.runs {
				used += run.step.CPU
			}
		}
		s.world.mu.Unlock()
		w.mostUsed = max(w.mostUsed, used)
		time.Sleep(50 * time.Millisecond)
	}
	return w
}

// hasEnded reports whether a run of a job has ended so.
func (s *site) hasEnded(job, how string) bool {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	for _, e := range s.ends {
		if e.job == job && e.how == how {
			return true
		}
	}
	return false
}
