package core

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/shard/ledger"
	"heatherhub.example/heatherhub/request/route"
)

// requests holds the requests of operators and callers that wait for a record to be
// durable.
type requests struct {
	// waiting holds the tickets that wait for a record, by its number.
	waiting map[uint64][]Ticket
	// adding holds the record number of each job that is being added.
	adding map[heatherhub.JobID]uint64
	// claiming holds the record number of each key that is being claimed.
	claiming map[ledger.Key]uint64
	// granted holds the keys that were granted on this host and whose run has not
	// ended, with the time of the grant.
	granted map[ledger.Key]time.Time
	// abandoned holds the claims whose caller no longer waits. They are released once
	// they are durable.
	abandoned map[Ticket]bool
}

func newRequests() requests {
	return requests{
		waiting:   make(map[uint64][]Ticket),
		adding:    make(map[heatherhub.JobID]uint64),
		claiming:  make(map[ledger.Key]uint64),
		granted:   make(map[ledger.Key]time.Time),
		abandoned: make(map[Ticket]bool),
	}
}

func (r *requests) wait(seq uint64, t Ticket) {
	r.waiting[seq] = append(r.waiting[seq], t)
}

func (s *shard) reply(r Reply) {
	s.out.Replies = append(s.out.Replies, r)
}

// callLedger adds the ledger's next store call, if one is due.
func (s *shard) callLedger(now time.Time) {
	op, ok := s.log.Next(now)
	if !ok {
		return
	}
	c := Call{Key: op.Key, Write: op.Write, op: op}
	switch op.Kind {
	case ledger.OpList:
		c.Kind = CallList
	case ledger.OpGet:
		c.Kind = CallGet
	case ledger.OpWrite:
		c.Kind = CallWrite
	}
	s.addCall(c)
}

// ledgerAnswered passes the answer to the ledger and handles the records that it made
// durable or dropped.
func (s *shard) ledgerAnswered(now time.Time, a Answer) {
	out := s.log.Answer(now, ledger.Result{Op: a.Call.op, Err: a.Err, Entries: a.Entries, Revision: a.Revision})
	if out.Superseded {
		s.superseded = true
		return
	}
	if out.Opened {
		s.ledgerOpenedAt = now
		s.addRecordedWorkers(now)
	}
	for _, c := range out.Durable {
		s.recordDurable(now, c)
	}
	for _, c := range out.Dropped {
		s.recordDropped(c, heatherhub.WithRetryAfter(heatherhub.ErrUnavailable.New("the store refused the change and nothing was done: retry"), storeRetryAfter))
	}
	s.callLedger(now)
}

// recordDurable carries out the effects of a record that has become durable and
// replies to those who wait for it.
func (s *shard) recordDurable(now time.Time, c ledger.Committed) {
	s.forgetRequest(c.Record)
	switch r := c.Record; r.Kind {
	case ledger.KindJob:
		if job, ok := s.log.State().Jobs[r.Job.ID]; ok && s.batchRecovered {
			s.enqueueJob(now, job)
		}
	case ledger.KindCancel:
		s.dropJob(now, r.ID)
	case ledger.KindPark:
		s.dequeueJob(now, r.ID)
	case ledger.KindFinished, ledger.KindCheckpoint:
		s.taskRecorded(now, c)
	case ledger.KindCrash:
		s.crashRecorded(now, c)
	case ledger.KindWorker:
		s.workerRecorded(now, c)
	case ledger.KindClaim:
		s.grantClaim(now, c)
		return
	}
	s.replyAll(c, nil)
}

func (s *shard) forgetRequest(r ledger.Record) {
	if r.Kind == ledger.KindJob {
		delete(s.requests.adding, r.Job.ID)
	}
	if r.Kind == ledger.KindClaim {
		delete(s.requests.claiming, *r.Key)
	}
}

// recordDropped replies with an error to those who wait for a record that will never
// be durable.
func (s *shard) recordDropped(c ledger.Committed, err error) {
	s.forgetRequest(c.Record)
	if c.Record.Kind == ledger.KindCrash {
		for _, n := range c.Record.Indexes {
			delete(s.recordingCrash, heatherhub.JobTaskID(c.Record.ID, n))
		}
	}
	s.replyAll(c, err)
}

func (s *shard) replyAll(c ledger.Committed, err error) {
	id := c.Record.ID
	if c.Record.Job != nil {
		id = c.Record.Job.ID
	}
	for _, t := range s.requests.waiting[c.Seq] {
		r := Reply{Ticket: t, Err: err}
		if job, ok := s.log.State().Jobs[id]; ok && err == nil {
			r.Job = cloneJob(job)
		}
		delete(s.requests.abandoned, t)
		s.reply(r)
	}
	delete(s.requests.waiting, c.Seq)
}

// dropJob dequeues and stops every task of a cancelled job.
func (s *shard) dropJob(now time.Time, id heatherhub.JobID) {
	s.dequeueJob(now, id)
	job, ok := s.log.State().Jobs[id]
	if !ok {
		return
	}
	for n := range job.Tasks {
		s.stopTask(now, heatherhub.JobTaskID(id, n), intentDrop, placement.EndStopped)
	}
}

func (s *shard) dequeueJob(now time.Time, id heatherhub.JobID) {
	job, ok := s.log.State().Jobs[id]
	if !ok {
		return
	}
	for n := range job.Tasks {
		t := heatherhub.JobTaskID(id, n)
		if s.queued[t] {
			s.sched.Dequeue(now, t)
			delete(s.queued, t)
		}
	}
}

// taskRecorded handles a finish or a checkpoint that has become durable: a checkpointed
// task is stopped, an ended one is confirmed to the worker.
func (s *shard) taskRecorded(now time.Time, c ledger.Committed) {
	id := heatherhub.JobTaskID(c.Record.ID, c.Record.Indexes[0])
	if c.Record.Kind == ledger.KindFinished {
		delete(s.recordingFinish, id)
	}
	p, ok := s.tasks[id]
	if !ok || p.awaitedRecord != c.Seq {
		return
	}
	p.awaitedRecord = 0
	switch p.phase {
	case phaseRecording:
		s.stopTask(now, id, p.intent, placement.EndEvicted)
	case phaseEnded:
		s.confirmEnd(p)
	}
}

// claim grants the only run of an idempotency key. The reply follows once the claim is
// durable, or at once if the key has been claimed before.
func (s *shard) claim(now time.Time, t Ticket, key ledger.Key) {
	if err := s.checkAccepting(now); err != nil {
		s.reply(Reply{Ticket: t, Err: err})
		return
	}
	if g, ok := s.log.State().Keys[key]; ok && !g.IsExpired(now) {
		s.reply(Reply{Ticket: t, Claim: s.claimState(key, g)})
		return
	}
	if _, ok := s.requests.claiming[key]; ok {
		s.reply(Reply{Ticket: t, Claim: route.Claim{State: route.ClaimRunning}})
		return
	}
	seq := s.log.Append(ledger.Record{Kind: ledger.KindClaim, At: now.UnixMilli(), Key: &key}, true)
	s.requests.claiming[key] = seq
	s.requests.wait(seq, t)
	s.callLedger(now)
}

// claimState returns the state of a key that was claimed before. Without a recorded
// answer, and unless this host has granted the run and it has not ended, the outcome is
// unknown.
func (s *shard) claimState(key ledger.Key, g *ledger.Grant) route.Claim {
	switch {
	case g.Answered:
		return route.Claim{State: route.ClaimAnswered, Answer: g.Answer}
	case s.isGranted(key):
		return route.Claim{State: route.ClaimRunning}
	default:
		return route.Claim{State: route.ClaimUnknown}
	}
}

// isGranted reports whether a run of the key was granted on this host and has not
// ended.
func (s *shard) isGranted(key ledger.Key) bool {
	_, ok := s.requests.granted[key]
	return ok
}

// hasRecentRuns reports whether a run that was granted within handoverTimeout has not
// ended yet. It may delete grants that are older than route.KeyTTL.
func (s *shard) hasRecentRuns(now time.Time) bool {
	for key, at := range s.requests.granted {
		if now.Sub(at) <= route.KeyTTL {
			if now.Sub(at) < handoverTimeout {
				return true
			}
			continue
		}
		delete(s.requests.granted, key)
	}
	return false
}

// grantClaim grants a durable claim to its caller, or releases it if the caller no
// longer waits.
func (s *shard) grantClaim(now time.Time, c ledger.Committed) {
	key := *c.Record.Key
	for _, t := range s.requests.waiting[c.Seq] {
		if s.requests.abandoned[t] {
			delete(s.requests.abandoned, t)
			s.releaseClaim(now, key)
			continue
		}
		s.requests.granted[key] = now
		s.reply(Reply{Ticket: t, Claim: route.Claim{State: route.ClaimGranted}})
	}
	delete(s.requests.waiting, c.Seq)
}

// abandonClaim records that the caller of a claim no longer waits.
func (s *shard) abandonClaim(t Ticket) {
	for _, seq := range s.requests.claiming {
		for _, waiting := range s.requests.waiting[seq] {
			if waiting == t {
				s.requests.abandoned[t] = true
			}
		}
	}
}

// recordAnswer records the answer of a granted run. A body larger than
// ledger.MaxAnswerBytes is not recorded, so the outcome of the key becomes unknown.
func (s *shard) recordAnswer(now time.Time, key ledger.Key, a worker.Answer) {
	delete(s.requests.granted, key)
	if len(a.Body) > ledger.MaxAnswerBytes {
		return
	}
	r := ledger.Record{Kind: ledger.KindAnswer, At: now.UnixMilli(), Key: &key, Status: a.Status, Body: a.Body, Digest: a.Digest}
	s.log.Append(r, false)
	s.callLedger(now)
}

// releaseClaim releases a granted key, so that it can be claimed again.
func (s *shard) releaseClaim(now time.Time, key ledger.Key) {
	delete(s.requests.granted, key)
	s.log.Append(ledger.Record{Kind: ledger.KindRelease, At: now.UnixMilli(), Key: &key}, false)
	s.callLedger(now)
}

// failWaiting replies with an error to all waiting requests when the shard is lost.
// Their records may still become durable for the next owner, so the outcome of a job
// request is unknown. A waiting claim was not granted, so nothing ran.
func (s *shard) failWaiting() {
	claims := make(map[uint64]bool)
	for _, seq := range s.requests.claiming {
		claims[seq] = true
	}
	for _, seq := range sortedKeys(s.requests.waiting) {
		var err error = heatherhub.ErrUnknown.New("this host lost shard %s before the change was confirmed: retry with the same id", s.id)
		if claims[seq] {
			err = heatherhub.ErrNotOwner.New("this host lost shard %s and nothing ran: retry", s.id)
		}
		for _, t := range s.requests.waiting[seq] {
			s.reply(Reply{Ticket: t, Err: err})
		}
	}
}
