package core_test

import (
	"context"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/shard/core"
)

type deliveryKind int

const (
	deliveryArrives deliveryKind = iota
	deliveryRefused
	deliveryLost
)

type delivery struct {
	kind       deliveryKind
	delay      time.Duration
	loseAnswer bool
}

// handleOutput hands on the replies of a step and sends its calls.
func (w *simulation) handleOutput(h *simHost, out core.Output) {
	for _, r := range out.Replies {
		if f, ok := h.tickets[r.Ticket]; ok {
			delete(h.tickets, r.Ticket)
			f(r)
		}
	}
	for _, c := range out.Calls {
		if !c.TargetsWorker() {
			w.send(h, c, func() {})
			continue
		}
		h.callQueues[c.Worker] = append(h.callQueues[c.Worker], c)
		if len(h.callQueues[c.Worker]) == 1 {
			w.sendNext(h, c.Worker)
		}
	}
}

// sendNext sends the calls of one worker in order.
func (w *simulation) sendNext(h *simHost, id heatherhub.WorkerID) {
	w.send(h, h.callQueues[id][0], func() {
		h.callQueues[id] = h.callQueues[id][1:]
		if len(h.callQueues[id]) > 0 {
			w.sendNext(h, id)
		}
	})
}

func (w *simulation) send(h *simHost, c core.Call, done func()) {
	life := h.incarnation
	w.after(time.Duration(w.rnd.Int64N(int64(20*time.Millisecond))), func() {
		w.runOn(h, life, func() {
			if c.Expired(w.now) {
				w.countEffect("expired call")
				done()
				w.handleOutput(h, h.node.Answer(w.now, core.ExpiredAnswer(c, w.now)))
				return
			}
			w.transmit(h, life, c, done)
		})
	})
}

// transmit lets a call travel. It may be refused, lost, late or lose its answer.
func (w *simulation) transmit(h *simHost, life int, c core.Call, done func()) {
	sent := w.now
	isAnswered := false
	answer := func(a core.Answer) {
		w.runOn(h, life, func() {
			if isAnswered {
				return
			}
			isAnswered = true
			a.Call, a.SentAt = c, sent
			done()
			w.handleOutput(h, h.node.Answer(w.now, a))
		})
	}
	w.after(callTimeout, func() {
		answer(core.Answer{Err: heatherhub.ErrUnknown.New("no answer to %s", c.Kind)})
	})
	fate := w.deliveryOf(h, c)
	switch fate.kind {
	case deliveryRefused:
		w.after(fate.delay, func() { answer(core.Answer{Err: heatherhub.ErrUnavailable.New("refused")}) })
	case deliveryArrives:
		w.after(fate.delay, func() {
			a := w.apply(c)
			if w.observe != nil {
				w.observe(c, a)
			}
			if !fate.loseAnswer {
				w.after(w.latency()+fate.delay/4, func() { answer(a) })
			}
		})
	}
}

func (w *simulation) deliveryOf(h *simHost, c core.Call) delivery {
	f := delivery{delay: w.latency()}
	target := "store"
	if c.TargetsWorker() {
		target = string(c.Worker)
	}
	isDown := target == "store" && w.now.Before(w.storeDownUntil)
	if isDown || w.isCut(string(h.id), target) {
		if isDown {
			w.countEffect("store down")
		}
		f.kind = deliveryLost
		if w.rnd.IntN(2) == 0 {
			f.kind = deliveryRefused
		}
		return f
	}
	if target == "store" && w.now.Before(w.storeSlowUntil) {
		w.countEffect("store slow")
		f.delay += time.Duration(w.rnd.Int64N(int64(3 * time.Second)))
	}
	if w.now.Before(w.callsLateUntil) && w.rnd.IntN(6) == 0 {
		w.countEffect("late call")
		f.delay += time.Duration(w.rnd.Int64N(int64(worker.TaskLease)))
	}
	if w.now.Before(w.answersLostUntil) && w.rnd.IntN(4) == 0 {
		w.countEffect("lost answer")
		f.loseAnswer = true
	}
	return f
}

func cutKey(a, b string) string {
	if a > b {
		a, b = b, a
	}
	return a + "|" + b
}

func (w *simulation) isCut(a, b string) bool {
	if w.now.Before(w.cutUntil[cutKey(a, b)]) {
		w.countEffect("cut " + a[:1] + "-" + b[:1])
		return true
	}
	return false
}

// apply lets a call take effect at the store or at a worker.
func (w *simulation) apply(c core.Call) core.Answer {
	if c.TargetsWorker() {
		return w.applyWorker(c)
	}
	var a core.Answer
	ctx := context.Background()
	switch c.Kind {
	case core.CallGet:
		var e store.Entry
		e, a.Err = w.store.Get(ctx, c.Key)
		a.Entries = []store.Entry{e}
	case core.CallList:
		a.Entries, a.Err = w.store.List(ctx, c.Key)
	case core.CallWrite:
		a.Revision, a.Err = w.store.CompareAndSwap(ctx, c.Write)
	case core.CallGrantLease:
		a.Lease, a.Err = w.store.GrantLease(ctx, c.TTL)
	case core.CallRenewLease:
		a.Err = w.store.RenewLease(ctx, c.Lease)
	}
	return a
}

func (w *simulation) applyWorker(c core.Call) core.Answer {
	var a core.Answer
	wk := w.byID[c.Worker]
	switch c.Kind {
	case core.CallStart:
		a.Err = wk.model.Start(w.now, c.Start)
		if a.Err == nil {
			w.requests.checkStart(c)
			w.audit()
		}
	case core.CallRenewTasks:
		w.requests.noteConfirmed(wk, c)
		a.Report, a.Err = wk.model.Renew(w.now, c.Renew)
	case core.CallCheckpoint:
		a.Checkpoint, a.Err = wk.model.Checkpoint(w.now, c.Task)
	case core.CallThrottle:
		a.Err = wk.model.Throttle(w.now, c.Task, c.Share)
	case core.CallStop:
		a.Err = wk.model.Stop(w.now, c.Task)
	}
	return a
}
