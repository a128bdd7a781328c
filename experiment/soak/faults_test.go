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

// faults injects faults from outside the hosts. They overlap, and each ends by itself.
type faults struct {
	site   *site
	rng    *rand.Rand
	counts map[string]int
	group  conc.WaitGroup
	errs   chan error
}

func newFaults(s *site) *faults {
	return &faults{site: s, rng: rand.New(rand.NewPCG(s.opts.Seed, 2)), counts: make(map[string]int), errs: make(chan error, 1)}
}

// run injects faults until ctx ends, and waits for their ends.
func (f *faults) run(ctx context.Context) {
	for {
		ledger.Pause(ctx, time.Duration(400+f.rng.IntN(1200))*time.Millisecond)
		if ctx.Err() != nil {
			break
		}
		f.inject()
	}
	f.group.Wait()
}

func (f *faults) total() int {
	n := 0
	for _, k := range f.counts {
		n += k
	}
	return n
}

// endAfter ends a fault.
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

func (f *faults) inject() {
	// The longest faults outlast the workers' lease.
	span := time.Duration(300+f.rng.IntN(9000)) * time.Millisecond
	s := f.site
	host := s.hosts[f.rng.IntN(len(s.hosts))]
	storeWay := s.storeProxies[f.rng.IntN(len(s.storeProxies))]
	worker := f.rng.IntN(len(s.workers))
	cut := []proxyState{delayed, blocked, responsesBlocked, reset}[f.rng.IntN(4)]
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
		f.count("way to the store")
		storeWay.setState(cut)
		f.endAfter(span, func() error { storeWay.setState(passing); return nil })
	case 4:
		f.count("way to a worker")
		way := s.workerProxies[worker]
		way.setState(cut)
		f.endAfter(span, func() error { way.setState(passing); return nil })
	case 5:
		f.count("store")
		s.store.SetMode([]standin.Mode{standin.Refusing, standin.Mute}[f.rng.IntN(2)])
		f.endAfter(span, func() error { s.store.SetMode(standin.Serving); return nil })
	case 6:
		f.count("history or owner's key lost")
		s.store.Forget()
		s.store.Remove("shard/owner/")
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
