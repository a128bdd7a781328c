//go:build review

package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// playBlocked has the worker under eight jobs that last crash twice. It judges how long other jobs have
// nothing running, from calmTime after the second crash on.
func playBlocked(r *record, dir string, hasTrouble bool) int {
	s, err := newSite(r, dir, 3, 8)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return exitNotRun
	}
	var lasting []string
	for i := range 8 {
		id := fmt.Sprintf("%08x1a571a57", i+1)
		lasting = append(lasting, id)
		if !s.submit(id, step{Count: 1, CPU: 2000, Memory: 1000, Estimated: 60000, LongRunning: true}) {
			return exitNotRun
		}
	}
	crash := func(age time.Duration) bool {
		var k *worker
		if !await(15*time.Second, func() bool {
			for _, id := range lasting {
				runs := s.running(id)
				if len(runs) != 1 || time.Since(runs[0].startedAt) < age {
					return false
				}
				k = runs[0].worker
			}
			return true
		}) {
			return false
		}
		if !hasTrouble {
			return true
		}
		k.crash()
		time.Sleep(time.Second)
		_, err := s.addWorker(k.index, k.address)
		return err == nil
	}
	if !crash(4*time.Second) || !crash(4500*time.Millisecond) {
		return exitNotRun
	}
	backAt := time.Now()
	var g conc.WaitGroup
	var mu sync.Mutex
	code := exitHeld
	for i := range 40 {
		g.Go(func() {
			time.Sleep(time.Duration(i) * 500 * time.Millisecond)
			id := fmt.Sprintf("%08x0be0be00", i+1)
			if !s.submit(id, step{Count: 1, CPU: 1000, Memory: 100, Estimated: 400}) {
				return
			}
			at := time.Now()
			await(25*time.Second, func() bool { return len(s.running(id)) > 0 || s.hasEnded(id, "done") })
			r.write("job %s sent %v after the machine was back: first start after %v", id, at.Sub(backAt).Round(time.Millisecond), time.Since(at).Round(time.Millisecond))
			if from := backAt.Add(calmTime); at.Before(from) {
				at = from
			}
			if time.Since(at) > idleLimit {
				mu.Lock()
				code = exitBroken
				mu.Unlock()
			}
		})
	}
	g.Wait()
	return code
}
