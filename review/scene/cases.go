//go:build review

package main

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

func init() {
	cases["starved-gang"] = starvedGang
	cases["silent"] = silent
	cases["crashes"] = crashes
	cases["after-twice"] = afterTwice
	cases["cancelled"] = cancelled
}

// contact is contact_ms.
const contact = 3 * time.Second

// endsOf returns the ends of a job by kind, of those after a time.
func (s *scene) endsOf(id, how string, after time.Time) int {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	n := 0
	for _, e := range s.ends {
		if strings.HasPrefix(e.task, id) && e.how == how && e.at.After(after) {
			n++
		}
	}
	return n
}

// starvedGang: a gang that fills waits for a large job that fills.
func starvedGang(s *scene) (bool, error) {
	if err := s.begin(6, 8000, 3); err != nil {
		return false, err
	}
	const large, gang = "00000000000000b1", "00000000000000c1"
	if s.hasTrouble {
		if err := s.submit(large, job{Spec: "large", Steps: []step{{Count: 6, CPU: 8000, Memory: 1000, Estimated: 20000, Image: "letters", Fills: true, Duration: 20 * time.Second}}}); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
	}
	if err := s.submit(gang, job{Spec: "gang", Steps: []step{{Count: 4, CPU: 4000, Memory: 1000, Estimated: 3000, Image: "audit", Gang: true, Fills: true, Duration: 3 * time.Second}}}); err != nil {
		return false, err
	}
	state := s.awaitFinal(gang, 45*time.Second)
	alone := s.endsOf(gang, "alone", s.begunAt)
	s.log("the gang is %s; %d of its runs ended alone", state, alone)
	return alone > 0, nil
}

// workerOf returns a worker that runs a task of a job.
func (s *scene) workerOf(id string) *worker {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, w := range s.fleet.workers {
		for _, r := range w.running {
			if !w.isGone && strings.HasPrefix(r.task, id) {
				return w
			}
		}
	}
	return nil
}

// Crashes come crashAge after a run has begun, at most maxCrashes of them.
const (
	crashAge   = 300 * time.Millisecond
	maxCrashes = 5
)

// crashes: workers crash, one after the other, while they run a job's only task.
func crashes(s *scene) (bool, error) {
	if err := s.begin(12, 8000, 3); err != nil {
		return false, err
	}
	const id = "00000000000000d1"
	if err := s.submit(id, job{Spec: "letters", Steps: []step{{Count: 1, CPU: 6000, Memory: 1000, Estimated: 5000, Duration: 5 * time.Second}}}); err != nil {
		return false, err
	}
	if s.hasTrouble {
		for k := range maxCrashes {
			if state := s.state(id); state == "failed" {
				break
			}
			w := s.workerOf(id)
			for until := time.Now().Add(8 * time.Second); w == nil && time.Now().Before(until); w = s.workerOf(id) {
				time.Sleep(5 * time.Millisecond)
			}
			if w == nil {
				break
			}
			time.Sleep(crashAge)
			s.log("disruption %d: worker %s crashes; another one starts at its address", k+1, w.id)
			address := w.address()
			w.crash()
			time.Sleep(200 * time.Millisecond)
			if _, err := s.fleet.start(address, w.rack, w.cpu); err != nil {
				return false, err
			}
		}
	}
	state := s.awaitFinal(id, 30*time.Second)
	failed := s.endsOf(id, "failed", s.begunAt)
	s.log("the job is %s; %d of its runs ended failed", state, failed)
	return state == "failed" && failed == 0, nil
}

// afterTwice: a step names an earlier one twice in after.
func afterTwice(s *scene) (bool, error) {
	if err := s.begin(6, 8000, 3); err != nil {
		return false, err
	}
	const id = "00000000000000e1"
	after := []int{0}
	if s.hasTrouble {
		after = []int{0, 0}
	}
	if err := s.submit(id, job{Spec: "letters", Steps: []step{
		{Count: 2, CPU: 1000, Memory: 1000, Estimated: 1000, Duration: time.Second},
		{Count: 2, CPU: 1000, Memory: 1000, Estimated: 1000, After: after, Duration: time.Second},
	}}); err != nil {
		return false, err
	}
	state := s.awaitFinal(id, 30*time.Second)
	s.log("the job is %s", state)
	return state != "completed", nil
}

// cancelled: a job is cancelled whose submission got no answer and takes effect late.
func cancelled(s *scene) (bool, error) {
	if err := s.begin(6, 8000, 3); err != nil {
		return false, err
	}
	const id = "00000000000000f1"
	j := job{Spec: "watch", Steps: []step{{Count: 2, CPU: 1000, Memory: 1000, LongRunning: true, Estimated: 500}}}
	s.fleet.mu.Lock()
	s.jobs[id] = &j
	s.fleet.mu.Unlock()
	a, b := s.hosts[0], s.hosts[1]
	if s.hasTrouble {
		b.gate.set(func() { b.gate.lateKey, b.gate.lateFor = "job/"+id, 5500*time.Millisecond })
	}
	s.request(b, http.MethodPost, prefix+id, j)
	status, _ := s.request(a, http.MethodDelete, prefix+id, nil)
	if status != 410 && status/100 != 2 {
		s.log("the cancel has no acknowledgement")
		return false, nil
	}
	if s.hasTrouble {
		s.log("disruption: the store turns %s away and takes its keys away", a.name)
		a.gate.set(func() { a.gate.isBusy = true })
		a.gate.revoke()
		time.Sleep(5500 * time.Millisecond)
		a.gate.set(func() { a.gate.isBusy = false })
		b.gate.set(func() { b.gate.lateKey = "" })
		s.log("the disruptions are over")
	}
	// contact_ms, and a stretch of cancel_ms + stop_ms in which the tasks have to be gone.
	time.Sleep(contact + 3*time.Second + 900*time.Millisecond + time.Second)
	w := s.workerOf(id)
	state := s.state(id)
	s.log("the job is %q; runs: %v", state, w != nil)
	return w != nil, nil
}

// silent: the open connections between the machines and the store go silent, and a route is dropped.
func silent(s *scene) (bool, error) {
	if err := s.begin(6, 8000, 3); err != nil {
		return false, err
	}
	const id = "00000000000000a2"
	if err := s.submit(id, job{Spec: "watch", Steps: []step{{Count: 2, CPU: 1000, Memory: 1000, LongRunning: true, Estimated: 500}}}); err != nil {
		return false, err
	}
	// The usual traffic: clients ask how many jobs wait.
	var calls conc.WaitGroup
	for _, h := range s.hosts {
		for range 16 {
			calls.Go(func() { s.request(h, http.MethodGet, prefix, nil) })
		}
	}
	calls.Wait()
	time.Sleep(4400 * time.Millisecond)
	silentAt := time.Now()
	if s.hasTrouble {
		for _, h := range s.hosts {
			s.log("disruption: %d open connections between %s and the store go silent", h.quiet.silence(), h.name)
		}
	}
	time.Sleep(900 * time.Millisecond)
	if err := s.store.Put("op/config", config(8, true)); err != nil {
		return false, err
	}
	acknowledgedAt := time.Now()
	s.log("operator: version 8, without the route, is acknowledged")
	// A machine is in touch contact_ms after the disruption, and the bound is config_apply_ms.
	time.Sleep(max(time.Until(silentAt.Add(contact+50*time.Millisecond)), time.Until(acknowledgedAt.Add(2050*time.Millisecond))))
	var served atomic.Int64
	for _, h := range s.hosts {
		calls.Go(func() {
			for time.Since(silentAt) < contact+2*time.Second {
				sentAt := time.Now()
				if status, _ := s.request(h, http.MethodGet, prefix+id, nil); status == http.StatusOK {
					served.Add(1)
					s.log("a call to %s, sent %d ms after the silence began and %d ms after the acknowledgement, is served as if the route were there", h.name, sentAt.Sub(silentAt).Milliseconds(), sentAt.Sub(acknowledgedAt).Milliseconds())
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	calls.Wait()
	s.log("%d calls on the dropped route were served", served.Load())
	return served.Load() > 0, nil
}
