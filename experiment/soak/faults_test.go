package soak_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/platform/standin"
)

// Timing of faults.
const (
	// maxSeriesGap is the longest time between two series.
	maxSeriesGap = 5 * time.Second
	// returnDelay is the time from the return of the store until lapsed entries are back.
	returnDelay = 2 * time.Second
	// entryLimit is the time after which the entry of a silent worker is removed.
	entryLimit = 3 * heartbeat
	// effectLimit bounds the wait until a fault takes effect.
	effectLimit = 20 * time.Second
	// statePollInterval is the interval at which a fault looks at the state of the site.
	statePollInterval = 20 * time.Millisecond
)

// faultKind is a kind of fault, as counted and reported.
type faultKind string

// Kinds of faults.
const (
	hostKill            faultKind = "kill"
	hostPause           faultKind = "pause"
	hostRestart         faultKind = "planned restart"
	storeConnection     faultKind = "store connection"
	workerConnection    faultKind = "worker connection"
	storeUnavailable    faultKind = "store unavailable"
	storeHistoryLost    faultKind = "store history and owner keys lost"
	workerCrash         faultKind = "worker crash"
	entriesLapse        faultKind = "entries of living workers lapse"
	entriesLapseHeld    faultKind = "entries lapse in an outage, owners keep their leases"
	entriesLapseExpired faultKind = "entries lapse in an outage, owners lose their leases"
	workerCallsReset    faultKind = "calls to workers reset"
	workerDrain         faultKind = "worker drains, works on and leaves"
	workerRestart       faultKind = "worker starts again under its name"
	workerShrinks       faultKind = "worker shrinks and grows"
	taskCrashes         faultKind = "task crashes each worker that starts it"
	domainEvacuated     faultKind = "failure domain evacuated"
	workerHoldsStarts   faultKind = "worker holds starts, starts again under its name and is cut off"
)

// allFaultKinds are all kinds of faults.
var allFaultKinds = []faultKind{
	hostKill, hostPause, hostRestart, storeConnection, workerConnection, storeUnavailable, storeHistoryLost, workerCrash,
	entriesLapse, entriesLapseHeld, entriesLapseExpired, workerCallsReset, workerDrain, workerRestart, workerShrinks, taskCrashes, domainEvacuated,
	workerHoldsStarts,
}

// faults injects random faults from outside the hosts. Faults may overlap; each ends after
// its own duration.
type faults struct {
	site *site
	rng  *rand.Rand
	// counts is the number of injected faults of each kind.
	counts map[faultKind]int
	group  conc.WaitGroup
	// errs has room for one error.
	errs chan error

	// mu guards outages, the number of outages of the store that have not ended.
	mu      sync.Mutex
	outages int
}

func newFaults(s *site) *faults {
	return &faults{site: s, rng: rand.New(rand.NewPCG(s.opts.Seed, 2)), counts: make(map[faultKind]int), errs: make(chan error, 1)}
}

// run injects series of faults until ctx is canceled, but at least one series, and waits until
// all faults have ended.
func (f *faults) run(ctx context.Context) {
	for f.runSeries(); ctx.Err() == nil; f.runSeries() {
		ledger.Sleep(ctx, f.between(0, maxSeriesGap))
	}
	f.group.Wait()
}

// runSeries injects one fault of each kind of the run, in random order.
func (f *faults) runSeries() {
	kinds := slices.Clone(f.site.opts.faultKinds)
	f.rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	for _, k := range kinds {
		time.Sleep(f.between(400*time.Millisecond, 1600*time.Millisecond))
		f.inject(k)
	}
}

// between returns a random time from low to high.
func (f *faults) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rng.Int64N(int64(high-low)))
}

// missing returns the kinds of faults of the run that were not injected.
func (f *faults) missing() []faultKind {
	var out []faultKind
	for _, k := range f.site.opts.faultKinds {
		if f.counts[k] == 0 {
			out = append(out, k)
		}
	}
	return out
}

// after calls end after d, in the background.
func (f *faults) after(d time.Duration, end func() error) {
	f.group.Go(func() {
		time.Sleep(d)
		f.record(end())
	})
}

// record keeps the first error of a fault.
func (f *faults) record(err error) {
	if err == nil {
		return
	}
	select {
	case f.errs <- err:
	default:
	}
}

// inject starts a fault.
func (f *faults) inject(k faultKind) {
	// The longest faults exceed the workers' lease (bounds.max_hold_ms), so that leases
	// expire.
	span := f.between(300*time.Millisecond, 9300*time.Millisecond)
	f.counts[k]++
	switch k {
	case hostKill, hostPause, hostRestart, storeConnection:
		// Larger sites have several hosts in trouble at once.
		for range 1 + len(f.site.hosts)/8 {
			f.injectAtHost(k, span)
		}
	case storeUnavailable:
		f.startOutage()
		f.after(span, f.endOutage)
	case storeHistoryLost:
		f.site.store.DropHistory()
		f.site.store.RemovePrefix("shard/owner/")
	case entriesLapse:
		for _, m := range f.someMachines() {
			f.after(f.between(returnDelay, returnDelay+span), m.lapse())
		}
		f.resetCalls(0, span)
	case entriesLapseHeld, entriesLapseExpired:
		outage := f.between(time.Second, 5*time.Second)
		f.lapseInOutage(outage, k == entriesLapseHeld)
		f.resetCalls(outage, returnDelay)
	case workerCallsReset:
		f.resetCalls(0, span)
	case workerRestart:
		f.restartWorkers()
	case workerHoldsStarts:
		f.holdStarts()
	case workerShrinks:
		f.shrinkWorkers(span)
	case taskCrashes:
		f.site.orderDeadlyJob()
	case domainEvacuated:
		f.evacuate(span)
	case workerConnection, workerCrash, workerDrain:
		for range 1 + len(f.site.machines)/16 {
			f.injectAtWorker(k, span)
		}
	}
}

// evacuate evacuates a failure domain once the store serves, for longer than the time until nothing
// may start there.
func (f *faults) evacuate(span time.Duration) {
	domain := domainOf(f.rng.IntN(domains))
	key := "op/evacuate/" + domain
	f.group.Go(func() {
		f.waitForStore(returnDelay)
		f.record(f.site.store.Put(key, "requested"))
		f.site.audit.Evacuate(heatherhub.FailureDomain(domain))
		time.Sleep(span + 4*time.Second)
		f.site.audit.ReturnToService(heatherhub.FailureDomain(domain))
		f.site.store.Remove(key)
	})
}

// injectAtHost starts a fault of a random host.
func (f *faults) injectAtHost(k faultKind, span time.Duration) {
	i := f.rng.IntN(len(f.site.hosts))
	host := f.site.hosts[i]
	switch k {
	case hostKill:
		host.kill()
		f.after(span/4, host.ensureRunning)
	case hostPause:
		host.signal(syscall.SIGSTOP)
		f.after(span, host.ensureRunning)
	case hostRestart:
		host.signal(syscall.SIGTERM)
		f.after(stopGracePeriod, host.ensureRunning)
	case storeConnection:
		f.disturb(f.site.storeProxies[i], span)
	}
}

// injectAtWorker starts a fault of a random worker.
func (f *faults) injectAtWorker(k faultKind, span time.Duration) {
	m := f.site.machines[f.rng.IntN(len(f.site.machines))]
	switch k {
	case workerConnection:
		f.disturb(m.currentProxy(), span)
	case workerCrash:
		f.record(m.crash())
	case workerDrain:
		f.drain()
	}
}

// someMachines returns a random half of the machines, or more.
func (f *faults) someMachines() []*machine {
	all := slices.Clone(f.site.machines)
	f.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	half := (len(all) + 1) / 2
	return all[:half+f.rng.IntN(len(all)-half+1)]
}

// disturb disturbs the connections through a proxy for d.
func (f *faults) disturb(p *faultProxy, d time.Duration) {
	p.setState([]proxyState{delayed, blocked, responsesBlocked, reset}[f.rng.IntN(4)])
	f.after(d, func() error { p.setState(passing); return nil })
}

// startOutage has the store refuse requests or drop responses until endOutage is called.
func (f *faults) startOutage() {
	mode := []standin.Mode{standin.Refusing, standin.DroppingResponses}[f.rng.IntN(2)]
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outages++
	f.site.store.SetMode(mode)
}

// endOutage ends an outage of the store. The store serves again once all have ended.
func (f *faults) endOutage() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outages--; f.outages == 0 {
		f.site.store.SetMode(standin.Serving)
	}
	return nil
}

// lapseInOutage has the entries of some workers lapse in an outage of the store. The leases of
// the owners are held, or expire with it.
func (f *faults) lapseInOutage(d time.Duration, holdsLeases bool) {
	s := f.site
	f.startOutage()
	if holdsLeases {
		s.store.HoldLeases()
	}
	f.after(d, func() error {
		if holdsLeases {
			s.store.ReleaseLeases()
		} else {
			s.store.ExpireLeases()
		}
		return f.endOutage()
	})
	for _, m := range f.someMachines() {
		lapsesAfter, delay := f.between(0, d), f.between(0, returnDelay/4)
		f.group.Go(func() {
			time.Sleep(lapsesAfter)
			restore := m.lapse()
			time.Sleep(d - lapsesAfter)
			f.waitForStore(returnDelay)
			time.Sleep(delay)
			f.record(restore())
		})
	}
}

// waitForStore waits until the store has served for d.
func (f *faults) waitForStore(d time.Duration) {
	for !f.site.store.HasServedFor(d) {
		time.Sleep(statePollInterval)
	}
}

// resetCalls resets a share of the calls to some workers, from delay on for d, and until a
// call was reset.
func (f *faults) resetCalls(delay, d time.Duration) {
	share, machines := 0.05+0.45*f.rng.Float64(), f.someMachines()
	rng := rand.New(rand.NewPCG(f.rng.Uint64(), 3))
	f.after(delay, func() error {
		before := f.site.audit.ResetCalls()
		for _, m := range machines {
			m.resetCalls(share, d, rand.New(rand.NewPCG(rng.Uint64(), 4)))
		}
		time.Sleep(d)
		for limit := time.Now().Add(effectLimit); f.site.audit.ResetCalls() == before && time.Now().Before(limit); {
			machines[0].resetCalls(1, 2*statePollInterval, rand.New(rand.NewPCG(rng.Uint64(), 5)))
			time.Sleep(statePollInterval)
		}
		return nil
	})
}

// drain has a worker announce that it leaves, work on for a while, then leave. Another worker
// follows at its address.
func (f *faults) drain() {
	remaining := f.between(0, 3*time.Second)
	extra, absence := f.between(0, 6*time.Second), f.between(100*time.Millisecond, 2*time.Second)
	removesEntry := f.rng.IntN(2) == 0
	machines := slices.Clone(f.site.machines)
	f.rng.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	f.group.Go(func() {
		f.waitForStore(0)
		for _, m := range machines {
			w, err := m.drain(remaining)
			f.record(err)
			if w == nil {
				continue
			}
			f.workOn(m, w, remaining+extra)
			if m.leave(w, removesEntry) {
				time.Sleep(absence)
				if !removesEntry {
					time.Sleep(entryLimit - min(absence, entryLimit))
				}
				f.record(m.succeed(w))
			}
			return
		}
	})
}

// restartWorkers has some workers start again under their names, while some calls to them are
// reset. Some of them work before they have written their entries.
func (f *faults) restartWorkers() {
	f.resetCalls(0, f.between(time.Second, 4*time.Second))
	for _, m := range f.someMachines() {
		at, absence := f.between(0, time.Second), f.between(10*time.Millisecond, 4*time.Second)
		entryDelay := f.between(0, 2*time.Second)
		if f.rng.IntN(2) == 0 {
			entryDelay = 0
		}
		atNewAddress := f.rng.IntN(4) == 0
		f.after(at, func() error {
			w := m.currentWorker()
			start := m.stop()
			time.Sleep(absence)
			if isUp, err := start(atNewAddress); !isUp {
				return err
			}
			time.Sleep(entryDelay)
			return f.registerAgain(m, w)
		})
	}
}

// Timing of workers that hold starts.
const (
	// minHoldTime and maxHoldTime bound the time for which a worker holds starts before it ends. It
	// goes on until a start was held, but not beyond effectLimit.
	minHoldTime = time.Second
	maxHoldTime = 4 * time.Second
	// restartAbsence is the time until it is back.
	restartAbsence = 300 * time.Millisecond
	// minCut and maxCut bound the time for which it is cut off then, and maxCutDelay the time
	// until the cut begins.
	minCut      = 5 * time.Second
	maxCut      = 9 * time.Second
	maxCutDelay = 500 * time.Millisecond
)

// holdStarts has some workers hold a share of their starts, end, start again under their names and
// at their addresses, and be cut off at once or soon afterwards. Some of them write their entries
// meanwhile, and the entries of some lapse.
func (f *faults) holdStarts() {
	for _, m := range f.someMachines() {
		h := standin.StartHold{
			Share: 0.3 + 0.7*f.rng.Float64(), Duration: maxHoldTime + effectLimit,
			MinDelay: standin.MinHoldDelay, MaxDelay: standin.MaxHoldDelay, Rand: rand.New(rand.NewPCG(f.rng.Uint64(), 6)),
		}
		c := cut{
			state: []proxyState{blocked, reset}[f.rng.IntN(2)], duration: f.between(minCut, maxCut),
			writesEntry: f.rng.IntN(2) == 0, lapses: f.rng.IntN(2) == 0,
		}
		if f.rng.IntN(2) == 0 {
			c.delay = f.between(0, maxCutDelay)
		}
		w := m.currentWorker()
		before := w.HeldStarts()
		w.HoldStarts(h)
		f.after(f.between(minHoldTime, maxHoldTime), func() error {
			waitUntil(context.Background(), time.Now().Add(effectLimit), func() bool { return w.HeldStarts() > before })
			w.HoldStarts(standin.StartHold{})
			if m.currentWorker() != w {
				return nil
			}
			m.stop()
			time.Sleep(restartAbsence)
			return f.restartCutOff(m, w, c)
		})
	}
}

// cut is a cut of a worker's network.
type cut struct {
	state proxyState
	// delay is the time from the worker's start to the cut.
	delay, duration time.Duration
	// writesEntry says that the worker writes its entry when it is back, lapses that its entry lapses
	// in the cut.
	writesEntry, lapses bool
}

// restartCutOff starts a worker that has crashed again, and cuts it off.
func (f *faults) restartCutOff(m *machine, w *standin.Worker, c cut) error {
	state := passing
	if c.delay == 0 {
		state = c.state
	}
	p := m.restart(w, state)
	if p == nil {
		return nil
	}
	if c.writesEntry {
		f.after(0, func() error { return f.registerAgain(m, w) })
	}
	time.Sleep(c.delay)
	p.setState(c.state)
	f.after(c.duration, func() error {
		p.setState(passing)
		return f.registerAgain(m, w)
	})
	if !c.lapses {
		return nil
	}
	time.Sleep(entryLimit)
	restore := m.lapse()
	time.Sleep(c.duration - entryLimit)
	f.waitForStore(returnDelay)
	return restore()
}

// registerAgain writes the entry of a worker that has started again once the store serves.
func (f *faults) registerAgain(m *machine, w *standin.Worker) error {
	f.waitForStore(0)
	return m.registerAgain(w)
}

// shrinkWorkers has some workers shrink, and grow again after d.
func (f *faults) shrinkWorkers(d time.Duration) {
	for _, m := range f.someMachines() {
		f.record(m.resize(heatherhub.MilliCPU(1000 * (2 + f.rng.IntN(5)))))
		f.after(d, func() error { return m.resize(workerCPU) })
	}
}

// workOn sends the heartbeats of a draining worker for d.
func (f *faults) workOn(m *machine, w *standin.Worker, d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); {
		time.Sleep(min(heartbeat, time.Until(until)))
		if f.site.store.HasServedFor(0) {
			f.record(m.heartbeat(w))
		}
	}
}
