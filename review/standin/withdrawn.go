//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub/platform/standin"
)

// losingStore is the store. While a key is set, its writes of that key are not answered, and are done
// later if their condition still holds.
type losingStore struct {
	*standin.Store
	record *record
	group  conc.WaitGroup
	done   chan struct{}

	mu    sync.Mutex
	key   string
	delay time.Duration
}

func (l *losingStore) lose(key string, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.key, l.delay = key, delay
}

// ServeHTTP handles a call of a host.
func (l *losingStore) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	key, delay := l.key, l.delay
	l.mu.Unlock()
	if key == "" || r.URL.Path != "/v1/kv-txn" {
		l.Store.ServeHTTP(out, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !strings.Contains(string(body), `"`+key+`"`) {
		r.Body = io.NopCloser(bytes.NewReader(body))
		l.Store.ServeHTTP(out, r)
		return
	}
	l.record.write("store: a write of %s is not answered", key)
	late, err := http.NewRequest(r.Method, r.URL.Path, bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	l.group.Go(func() {
		select {
		case <-l.done:
		case <-time.After(delay):
			answer := &lateAnswer{header: make(http.Header)}
			l.Store.ServeHTTP(answer, late)
			l.record.write("store: the write of %s is done %v late, status %d", key, delay, answer.status)
		}
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// lateAnswer is an answer that nobody gets.
type lateAnswer struct {
	header http.Header
	status int
}

// Header returns the header.
func (a *lateAnswer) Header() http.Header { return a.header }

// WriteHeader keeps the status.
func (a *lateAnswer) WriteHeader(status int) { a.status = status }

// Write drops the body.
func (a *lateAnswer) Write(b []byte) (int, error) { return len(b), nil }

const (
	cancelTime = 3000 * time.Millisecond
	// lateness is within the 1 to 6 s by which the store does a write late.
	lateness = 5500 * time.Millisecond
)

// playWithdrawn has a client hand a job in while the store answers late writes only, and withdraw it
// since no host tells whether it was accepted. It judges the starts of its tasks after that.
func playWithdrawn(r *record, dir string, hasTrouble bool) int {
	s, err := newSite(r, dir, 3, 8)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		r.write("not run: %v", err)
		return exitNotRun
	}
	const first, id = "a1c90e57d3b2648f", "6d07f3b8e21c95a4"
	st := step{Count: 4, CPU: 2000, Memory: 1000, Estimated: 60000, LongRunning: true}
	if !s.submit(first, st) || !await(15*time.Second, func() bool { return len(s.running(first)) == 4 }) {
		return exitNotRun
	}
	time.Sleep(3 * time.Second)
	s.world.mu.Lock()
	s.steps[id] = st
	s.world.mu.Unlock()
	if hasTrouble {
		s.losing.lose("job/"+id, lateness)
	}
	// Other clients hand in jobs meanwhile. All of their writes are answered, so that the share of those
	// that are not stays below a third.
	var others conc.WaitGroup
	for i := range 12 {
		others.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			s.submit(fmt.Sprintf("%08x00c0ffee", i+1), step{Count: 1, CPU: 1000, Memory: 100, Estimated: 300})
		})
	}
	status, _ := s.call(0, http.MethodPost, prefix+id, map[string]any{"spec": "claim " + id, "steps": []step{st}})
	if hasTrouble == (status/100 == 2) {
		return exitNotRun
	}
	s.losing.lose("", 0)
	defer others.Wait()
	if status, _ = s.call(0, http.MethodDelete, prefix+id, nil); status/100 != 2 && status != http.StatusGone {
		return exitNotRun
	}
	cancelledAt := time.Now()
	time.Sleep(12 * time.Second)
	s.state(0, id)
	code := exitHeld
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	for _, seen := range s.starts {
		if late := seen.at.Sub(cancelledAt); seen.job == id && late > cancelTime {
			r.write("broken: %s was started %v after the job's cancelling was acknowledged", seen.task, late.Round(time.Millisecond))
			code = exitBroken
		}
	}
	return code
}
