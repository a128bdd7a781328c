package dispatch

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
)

// A job that moves belongs to its new shard as soon as the move is written, but the new
// owner may learn of it late, for example if it has lost the store. The old owner
// therefore goes on listing the job, with the revision of the move, and whoever adds up
// the length of a queue counts it as long as the new owner has not read that revision.

// movedJobTTL is how long a moved job is listed. It exceeds the time by which a load that
// is recent enough to be used can lag behind the job records: 2 s for the load, 2 s for the
// watch of the records and 1.5 s for its write.
const movedJobTTL = 8 * time.Second

// MovedJobs are jobs of one queue that waited when they were moved to another shard.
type MovedJobs struct {
	Queue heatherhub.QueueID `msgpack:"q" json:"queue"`
	To    heatherhub.ShardID `msgpack:"to" json:"to"`
	// Revisions are the revisions of the job records that the moves wrote, one for each
	// job.
	Revisions []ledger.Revision `msgpack:"r" json:"revisions"`
}

// Unread returns the number of jobs whose records the owner of the new shard has not read
// if it has read all changes up to a revision.
func (m *MovedJobs) Unread(readUpTo ledger.Revision) int {
	n := 0
	for _, r := range m.Revisions {
		if r > readUpTo {
			n++
		}
	}
	return n
}

// movedJob is a job that waited when it was moved.
type movedJob struct {
	id             heatherhub.JobID
	queue          heatherhub.QueueID
	to             heatherhub.ShardID
	recordRevision ledger.Revision
	// at is the steady time at which this shard learned of the move.
	at time.Duration
}

// MovedJobs returns the waiting jobs that were moved to other shards within movedJobTTL.
func (e *Engine) MovedJobs(now Moment) []MovedJobs {
	e.movedWaiting = slices.DeleteFunc(e.movedWaiting, func(m movedJob) bool { return now.Steady-m.at > movedJobTTL })
	var out []MovedJobs
	for _, m := range e.movedWaiting {
		at := slices.IndexFunc(out, func(o MovedJobs) bool { return o.Queue == m.queue && o.To == m.to })
		if at < 0 {
			at = len(out)
			out = append(out, MovedJobs{Queue: m.queue, To: m.to})
		}
		out[at].Revisions = append(out[at].Revisions, m.recordRevision)
	}
	return out
}

// RestoreMovedJobs adds the moved jobs that the previous owner of the shard had listed.
func (e *Engine) RestoreMovedJobs(now Moment, moved []MovedJobs) {
	for _, m := range moved {
		for _, r := range m.Revisions {
			e.movedWaiting = append(e.movedWaiting, movedJob{queue: m.Queue, to: m.To, recordRevision: r, at: now.Steady})
		}
	}
}

// dropMovedWaiting forgets the moves of a job that came back to this shard.
func (e *Engine) dropMovedWaiting(id heatherhub.JobID) {
	e.movedWaiting = slices.DeleteFunc(e.movedWaiting, func(m movedJob) bool { return m.id == id })
}
