package core

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/process/shard/ledger"
)

// The platform's list may lack workers that live and run tasks. The log therefore names each
// worker before its first start, and a successor waits for all of them.

// recordWorkers appends a record of each worker that the log does not name.
func (s *shard) recordWorkers(now time.Time) {
	if !s.hasUnrecorded || !s.log.IsOpen() || !s.mayAct(now) {
		return
	}
	s.hasUnrecorded = false
	for _, id := range sortedKeys(s.workers) {
		if w := s.workers[id]; !w.isRecorded && w.awaitedRecord == 0 {
			w.awaitedRecord = s.log.Append(ledger.Record{Kind: ledger.KindWorker, At: now.UnixMilli(), Worker: id}, false)
		}
	}
}

// workerRecorded opens a worker to starts once its record is durable.
func (s *shard) workerRecorded(now time.Time, c ledger.Committed) {
	if w, ok := s.workers[c.Record.Worker]; ok && w.awaitedRecord == c.Seq {
		w.isRecorded, w.awaitedRecord = true, 0
		s.updateScheduler(now, w)
	}
}

// addRecordedWorkers adds the workers that the log names and the platform's list lacks, as if
// they were leaving.
func (s *shard) addRecordedWorkers(now time.Time) {
	for id := range s.log.State().Workers {
		w, ok := s.workers[id]
		if !ok && s.cfg.Unsafe.IgnoreRecordedWorkers {
			continue
		}
		if !ok {
			w = newWorkerState(now)
			w.host = hostlist.Host{ID: string(id), Role: hostlist.RoleWorker, Domain: s.id.Domain, State: hostlist.StateLeaving}
			s.workers[id] = w
			s.hasUnlisted = true
		}
		w.isRecorded = true
		s.updateScheduler(now, w)
	}
}

// forgetWorker removes an unlisted worker on which nothing runs.
func (s *shard) forgetWorker(now time.Time, id heatherhub.WorkerID, w *workerState) {
	delete(s.workers, id)
	if w.isRecorded || w.awaitedRecord != 0 {
		s.log.Append(ledger.Record{Kind: ledger.KindWorkerGone, At: now.UnixMilli(), Worker: id}, false)
	}
}
