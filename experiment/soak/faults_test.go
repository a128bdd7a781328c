package soak_test

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/platform/standin"
)

// faults injects random faults from outside the hosts. Faults may overlap; each ends after
// its own duration.
type faults struct {
	site *site
	rng  *rand.Rand
	// counts is the number of injected faults of each kind.
	counts map[string]int
	group  conc.WaitGroup
	// errs has room for one error.
	errs chan error
}

func newFaults(s *site) *faults {
	return &faults{site: s, rng: rand.New(rand.NewPCG(s.opts.Seed, 2)), counts: make(map[string]int), errs: make(chan error, 1)}
}

// run injects faults until ctx is canceled, and waits until all have ended.
func (f *faults) run(ctx context.Context) {
	for {
		ledger.Sleep(ctx, time.Duration(400+f.rng.IntN(1200))*time.Millisecond)
		if ctx.Err() != nil {
			break
		}
		f.inject()
	}
	f.group.Wait()
}

// total returns the number of injected faults of all kinds.
func (f *faults) total() int {
	n := 0
	for _, k := range f.counts {
		n += k
	}
	return n
}

// endAfter calls end after d, in the background.
func (f *faults) endAfter(d time.Duration, end func() error) {
	f.group.Go(func() {
		time.Sleep(d)
		if err := end(); err != nil {
			select {
			case f.errs <- err:
			default:
			}
		}
	})
}

// inject starts a random fault.
func (f *faults) inject() {
	// The longest faults exceed the workers' lease (bounds.max_hold_ms), so that leases
	// expire.
	span := time.Duration(300+f.rng.IntN(9000)) * time.Millisecond
	s := f.site
	host := s.hosts[f.rng.IntN(len(s.hosts))]
	storeProxy := s.storeProxies[f.rng.IntN(len(s.storeProxies))]
	worker := f.rng.IntN(len(s.workers))
	state := []proxyState{delayed, blocked, responsesBlocked, reset}[f.rng.IntN(4)]
	switch f.rng.IntN(8) {
	case 0:
		f.count("kill")
		host.kill()
		f.endAfter(span/4, host.ensureRunning)
	case 1:
		f.count("pause")
		host.signal(syscall.SIGSTOP)
		f.endAfter(span, host.ensureRunning)
	case 2:
		f.count("planned restart")
		host.signal(syscall.SIGTERM)
		f.endAfter(stopGracePeriod, host.ensureRunning)
	case 3:
		f.count("store connection")
		storeProxy.setState(state)
		f.endAfter(span, func() error { storeProxy.setState(passing); return nil })
	case 4:
		f.count("worker connection")
		workerProxy := s.workerProxies[worker]
		workerProxy.setState(state)
		f.endAfter(span, func() error { workerProxy.setState(passing); return nil })
	case 5:
		f.count("store unavailable")
		s.store.SetMode([]standin.Mode{standin.Refusing, standin.DroppingResponses}[f.rng.IntN(2)])
		f.endAfter(span, func() error { s.store.SetMode(standin.Serving); return nil })
	case 6:
		f.count("store history and owner keys lost")
		s.store.DropHistory()
		s.store.RemovePrefix("shard/owner/")
	case 7:
		f.count("worker crash")
		if err := s.replaceWorker(worker); err != nil {
			f.errs <- err
		}
	}
}

func (f *faults) count(kind string) {
	f.counts[kind]++
}
