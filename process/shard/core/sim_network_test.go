package core_test

import (
	"context"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/shard/core"
)

// deliveryKind tells whether a call reaches its target.
type deliveryKind int

const (
	deliveryArrives deliveryKind = iota
	deliveryRefused
	deliveryLost
)

// delivery is what the network does with a call.
type delivery struct {
	kind       deliveryKind
	delay      time.Duration
	answerLost bool
}

// handleOutput delivers the replies of a step and sends its calls.
func (sim *simulation) handleOutput(h *simHost, out core.Output) {
	for _, r := range out.Replies {
		if f, ok := h.tickets[r.Ticket]; ok {
			delete(h.tickets, r.Ticket)
			f(r)
		}
	}
	for _, c := range out.Calls {
		if !c.TargetsWorker() {
			sim.send(h, c, func() {})
			continue
		}
		h.callQueues[c.Worker] = append(h.callQueues[c.Worker], c)
		if len(h.callQueues[c.Worker]) == 1 {
			sim.sendNext(h, c.Worker)
		}
	}
}

// sendNext sends the calls of one worker in order.
func (sim *simulation) sendNext(h *simHost, id heatherhub.WorkerID) {
	sim.send(h, h.callQueues[id][0], func() {
		h.callQueues[id] = h.callQueues[id][1:]
		if len(h.callQueues[id]) > 0 {
			sim.sendNext(h, id)
		}
	})
}

// send sends a call after a short random delay and then calls done, unless the host's
// process has ended. A call that has expired by then is not sent.
func (sim *simulation) send(h *simHost, c core.Call, done func()) {
	incarnation := h.incarnation
	sim.after(time.Duration(sim.rnd.Int64N(int64(20*time.Millisecond))), func() {
		sim.runOn(h, incarnation, func() {
			if c.Expired(sim.now) {
				sim.countEffect("expired call")
				done()
				sim.handleOutput(h, h.node.Answer(sim.now, core.ExpiredAnswer(c, sim.now)))
				return
			}
			sim.transmit(h, incarnation, c, done)
		})
	})
}

// transmit delivers a call over the network. The call may be refused, lost or delayed,
// or its answer may be lost. Without an answer it fails after callTimeout.
func (sim *simulation) transmit(h *simHost, incarnation int, c core.Call, done func()) {
	sent := sim.now
	isAnswered := false
	answer := func(a core.Answer) {
		sim.runOn(h, incarnation, func() {
			if isAnswered {
				return
			}
			isAnswered = true
			a.Call, a.SentAt = c, sent
			done()
			sim.handleOutput(h, h.node.Answer(sim.now, a))
		})
	}
	sim.after(callTimeout, func() {
		answer(core.Answer{Err: heatherhub.ErrUnknown.New("no answer to %s", c.Kind)})
	})
	d := sim.deliveryOf(h, c)
	switch d.kind {
	case deliveryRefused:
		sim.after(d.delay, func() { answer(core.Answer{Err: heatherhub.ErrUnavailable.New("refused")}) })
	case deliveryArrives:
		sim.after(d.delay, func() {
			sim.auditRoom(c)
			a := sim.apply(c)
			sim.crashIfDeadly(c, a)
			if sim.observe != nil {
				sim.observe(c, a)
			}
			if !d.answerLost {
				sim.after(sim.latency()+d.delay/4, func() { answer(a) })
			}
		})
	}
}

// deliveryOf decides what happens to a call under the present faults.
func (sim *simulation) deliveryOf(h *simHost, c core.Call) delivery {
	d := delivery{delay: sim.latency()}
	target := "store"
	if c.TargetsWorker() {
		target = string(c.Worker)
	}
	isDown := target == "store" && sim.now.Before(sim.storeDownUntil)
	isFailed := sim.now.Before(sim.callsFailUntil) && sim.rnd.IntN(8) == 0
	if isFailed {
		sim.countEffect("single failed call")
	}
	if isDown || isFailed || sim.isCut(string(h.id), target) {
		if isDown {
			sim.countEffect("store down")
		}
		d.kind = deliveryLost
		if sim.rnd.IntN(2) == 0 {
			d.kind = deliveryRefused
		}
		return d
	}
	if target == "store" && sim.now.Before(sim.storeSlowUntil) {
		sim.countEffect("store slow")
		d.delay += time.Duration(sim.rnd.Int64N(int64(3 * time.Second)))
	}
	if sim.now.Before(sim.callsLateUntil) && sim.rnd.IntN(6) == 0 {
		sim.countEffect("late call")
		d.delay += time.Duration(sim.rnd.Int64N(int64(worker.TaskLease)))
	}
	if c.Kind == core.CallStart {
		d.delay += sim.startDelay
	}
	if sim.now.Before(sim.mutedUntil[cutKey(string(h.id), target)]) {
		sim.countEffect("muted worker")
		d.answerLost = true
	}
	if sim.now.Before(sim.answersLostUntil) && sim.rnd.IntN(4) == 0 {
		sim.countEffect("lost answer")
		d.answerLost = true
	}
	return d
}

// cutKey returns the key of a connection in cutUntil, in whichever order its ends are
// given.
func cutKey(a, b string) string {
	if a > b {
		a, b = b, a
	}
	return a + "|" + b
}

func (sim *simulation) isCut(a, b string) bool {
	if sim.now.Before(sim.cutUntil[cutKey(a, b)]) {
		sim.countEffect("cut " + a[:1] + "-" + b[:1])
		return true
	}
	return false
}

// apply carries out a call at the store or at a worker.
func (sim *simulation) apply(c core.Call) core.Answer {
	if c.TargetsWorker() {
		return sim.applyWorker(c)
	}
	var a core.Answer
	ctx := context.Background()
	switch c.Kind {
	case core.CallGet:
		var e store.Entry
		e, a.Err = sim.store.Get(ctx, c.Key)
		a.Entries = []store.Entry{e}
	case core.CallList:
		a.Entries, a.Err = sim.store.List(ctx, c.Key)
	case core.CallWrite:
		a.Revision, a.Err = sim.store.CompareAndSwap(ctx, c.Write)
	case core.CallGrantLease:
		a.Lease, a.Err = sim.store.GrantLease(ctx, c.TTL)
	case core.CallRenewLease:
		a.Err = sim.store.RenewLease(ctx, c.Lease)
	}
	return a
}

func (sim *simulation) applyWorker(c core.Call) core.Answer {
	var a core.Answer
	wk := sim.byID[c.Worker]
	switch c.Kind {
	case core.CallStart:
		a.Err = wk.model.Start(sim.now, c.Start)
		if a.Err == nil {
			sim.requests.checkStart(c)
			sim.audit()
		}
	case core.CallRenewTasks:
		sim.requests.noteConfirmed(wk, c)
		a.Report, a.Err = wk.model.Renew(sim.now, c.Renew)
	case core.CallCheckpoint:
		a.Checkpoint, a.Err = wk.model.Checkpoint(sim.now, c.Task)
	case core.CallThrottle:
		a.Err = wk.model.Throttle(sim.now, c.Task, c.Share)
	case core.CallStop:
		a.Err = wk.model.Stop(sim.now, c.Task)
	}
	return a
}
