// Package record defines the keys and values that heatherhub keeps in the platform's
// store.
//
// # Usage
//
//	item, err := store.Get(ctx, record.JobKey(id))
//	var workflow heatherhub.Workflow
//	err = heatherhub.Unmarshal(item.Value, &workflow)
//
// # Writers
//
// Each key has a writer and a precondition for the write:
//
//   - host/HOST: each host that starts before there is a layout.
//   - shard/layout: the first host that sees workers, if the key is absent.
//   - shard/owner/SHARD: a host that takes over the shard, if the key is absent. The
//     key is deleted when the host's lease ends.
//   - fleet/SHARD: the owner, if the owner's key is unchanged.
//   - starts/SHARD: the owner, if the owner's key and the record are unchanged.
//   - leases/SHARD: a host that has lost the shard, if the record is unchanged and of an earlier owner, or to add
//     crashes. The owner, to take crashes out, if the owner's key and the record are unchanged.
//   - job/ID: any host, if the key is absent and the configuration and fence/ID are unchanged.
//     Later the owner, to move waiting work to another shard, if the owner's key and
//     the record are unchanged and job/ID/cancel is absent. If runs of the job have ended,
//     also if progress/ID and the key of the other shard's owner are unchanged.
//   - job/ID/cancel: any host, if the job's record is unchanged, or with the record of a job that
//     was cancelled before.
//   - fence/ID: any host, if job/ID is absent. The owner of the first shard of the layout deletes
//     the key after minutes, if it is unchanged.
//   - progress/ID: the owner, if the owner's key and the record are unchanged.
//   - load/SHARD and learnt/SHARD: the owner, if the owner's key is unchanged.
package record

import (
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
)

// Key prefixes and fixed keys.
const (
	ShardPrefix        = "shard/"
	LayoutKey          = "shard/layout"
	OwnerPrefix        = "shard/owner/"
	FleetPrefix        = "fleet/"
	StartsPrefix       = "starts/"
	LeasesPrefix       = "leases/"
	JobPrefix          = "job/"
	ProgressPrefix     = "progress/"
	LoadPrefix         = "load/"
	InterferencePrefix = "learnt/"
	HostPrefix         = "host/"
	FencePrefix        = "fence/"
	cancelSuffix       = "/cancel"
)

// OwnerKey returns the key of a shard's owner.
func OwnerKey(s heatherhub.ShardID) string { return OwnerPrefix + s.String() }

// FleetKey returns the key of the list of workers that a shard uses.
func FleetKey(s heatherhub.ShardID) string { return FleetPrefix + s.String() }

// StartsKey returns the key of the starts that a shard's owner has announced.
func StartsKey(s heatherhub.ShardID) string { return StartsPrefix + s.String() }

// LeasesKey returns the key of the leases and crashes that an owner has left behind which has lost the shard.
func LeasesKey(s heatherhub.ShardID) string { return LeasesPrefix + s.String() }

// LoadKey returns the key of a shard's load.
func LoadKey(s heatherhub.ShardID) string { return LoadPrefix + s.String() }

// InterferenceKey returns the key of the interference model and the run times that a shard's
// owners have learned.
func InterferenceKey(s heatherhub.ShardID) string { return InterferencePrefix + s.String() }

// HostKey returns the key of a host's capacity.
func HostKey(id heatherhub.HostID) string { return HostPrefix + string(id) }

// JobKey returns the key of a job.
func JobKey(id heatherhub.JobID) string { return JobPrefix + string(id) }

// CancelKey returns the key whose presence means that a job is cancelled.
func CancelKey(id heatherhub.JobID) string { return JobPrefix + string(id) + cancelSuffix }

// FenceKey returns the key of a job's Fence.
func FenceKey(id heatherhub.JobID) string { return FencePrefix + string(id) }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id heatherhub.JobID) string { return ProgressPrefix + string(id) }

// ParseJobKey returns the job ID of a key under JobPrefix and whether the key marks the
// job as cancelled.
func ParseJobKey(key string) (id heatherhub.JobID, isCancel bool) {
	name, isCancel := strings.CutSuffix(strings.TrimPrefix(key, JobPrefix), cancelSuffix)
	return heatherhub.JobID(name), isCancel
}

// Owner identifies the host that owns a shard.
type Owner struct {
	Host heatherhub.HostID `msgpack:"host" json:"host"`
	// Address is the address at which peers reach the host.
	Address string `msgpack:"addr" json:"address"`
	// Nonce distinguishes the host's attempts to become owner.
	Nonce string `msgpack:"nonce" json:"nonce"`
}

// Fence invalidates the submissions of a job whose answers were lost: each submission requires
// the revision of the fence that its host has read, or that there is none.
type Fence struct {
	// IsCancelled means that the job was cancelled while it had no record. A later submission
	// of it is accepted as a cancelled job.
	IsCancelled bool `msgpack:"c,omitempty" json:"cancelled,omitempty"`
}

// Fleet lists the workers on which runs of the shard may be active.
type Fleet struct {
	Workers []FleetWorker `msgpack:"w" json:"workers"`
	// HandedOverBy is the revision of the owner key of an owner that has written the list at its
	// planned end, and zero for other lists. Only the next owner after that one may rely on
	// FleetWorker.LeaseLeft and AreTasksKnown.
	HandedOverBy ledger.Revision `msgpack:"h,omitempty" json:"handedOverBy,omitempty"`
	// WrittenBy is the revision of the owner key of the list's writer. Only the next owner after that one may rely on
	// FleetWorker.GrantsClaim and GrantsEnd.
	WrittenBy ledger.Revision `msgpack:"b,omitempty" json:"writtenBy,omitempty"`
	// GuestStarts are the starts without an answer of tasks whose jobs other shards own.
	GuestStarts []dispatch.GuestStart `msgpack:"g,omitempty" json:"guestStarts,omitempty"`
	// Crashes are those of which the stored progress of the jobs may not tell. Only a list that a lost term has left
	// behind has some.
	Crashes []dispatch.LeftCrash `msgpack:"x,omitempty" json:"crashes,omitempty"`
}

// FleetWorker is one incarnation of a worker.
type FleetWorker struct {
	ID      heatherhub.WorkerID `msgpack:"id" json:"id"`
	Address string              `msgpack:"a" json:"address"`
	// IsClosed means that no task starts on the worker any more, since it leaves. Tasks are
	// then all that may still run there.
	IsClosed bool                  `msgpack:"c,omitempty" json:"closed,omitempty"`
	Tasks    []heatherhub.StepTask `msgpack:"t,omitempty" json:"tasks,omitempty"`
	// IsUnused means that no owner has started a task on the worker yet, as it has not answered.
	IsUnused bool `msgpack:"u,omitempty" json:"unused,omitempty"`
	// MayHoldLongest means that the worker may hold the longest lease that it grants, for which the owner has
	// not asked: it was young when it was reached.
	MayHoldLongest bool `msgpack:"m,omitempty" json:"mayHoldLongest,omitempty"`
	// LeaseLeft is how long after the write, on the clock of the writer, runs on the worker may go on
	// unless a later owner renews its lease. Zero means that it is not known.
	LeaseLeft time.Duration `msgpack:"l,omitempty" json:"leaseLeft,omitempty"`
	// AreTasksKnown means that Tasks are all that may run on a worker that does not leave, unless a
	// later owner starts more.
	AreTasksKnown bool `msgpack:"k,omitempty" json:"tasksKnown,omitempty"`
	// GrantsClaim, if it is not zero, is the revision of an owner key, and GrantsEnd how long after its claim, on the clock of
	// the writer of the bound, the last lease may have been granted that the worker has.
	GrantsClaim ledger.Revision `msgpack:"gc,omitempty" json:"grantsClaim,omitempty"`
	GrantsEnd   time.Duration   `msgpack:"ge,omitempty" json:"grantsEnd,omitempty"`
}

// Starts lists the starts that the owner of a shard may have sent, and of which the progress of their jobs does not tell.
type Starts struct {
	Starts []dispatch.AnnouncedStart `msgpack:"s" json:"starts"`
}

// Encode encodes a value for the store. It returns ErrInvalid if that fails.
func Encode(v any) ([]byte, error) {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return nil, heatherhub.ErrInvalid.Wrap(err, "cannot encode a record")
	}
	return data, nil
}
