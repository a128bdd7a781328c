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
//   - shard/layout: the first host that sees workers, if the key is absent.
//   - shard/owner/SHARD: a host that takes over the shard, if the key is absent. The
//     key is deleted when the host's lease ends.
//   - fleet/SHARD: the owner, if the owner's key is unchanged.
//   - job/ID: any host, if the key is absent and the configuration is unchanged.
//     Later the owner, to move waiting work to another shard, if the owner's key and
//     the record are unchanged.
//   - job/ID/cancel: any host, if the job's record is unchanged.
//   - progress/ID: the owner, if the owner's key and the record are unchanged.
//   - load/SHARD and learnt/SHARD: the owner, if the owner's key is unchanged.
package record

import (
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
)

// Key prefixes and fixed keys.
const (
	ShardPrefix        = "shard/"
	LayoutKey          = "shard/layout"
	OwnerPrefix        = "shard/owner/"
	FleetPrefix        = "fleet/"
	JobPrefix          = "job/"
	ProgressPrefix     = "progress/"
	LoadPrefix         = "load/"
	InterferencePrefix = "learnt/"
	cancelSuffix       = "/cancel"
)

// OwnerKey returns the key of a shard's owner.
func OwnerKey(s heatherhub.ShardID) string { return OwnerPrefix + s.String() }

// FleetKey returns the key of the list of workers that a shard uses.
func FleetKey(s heatherhub.ShardID) string { return FleetPrefix + s.String() }

// LoadKey returns the key of a shard's load.
func LoadKey(s heatherhub.ShardID) string { return LoadPrefix + s.String() }

// InterferenceKey returns the key of the interference model that a shard's owners have
// learned.
func InterferenceKey(s heatherhub.ShardID) string { return InterferencePrefix + s.String() }

// JobKey returns the key of a job.
func JobKey(id heatherhub.JobID) string { return JobPrefix + string(id) }

// CancelKey returns the key whose presence means that a job is cancelled.
func CancelKey(id heatherhub.JobID) string { return JobPrefix + string(id) + cancelSuffix }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id heatherhub.JobID) string { return ProgressPrefix + string(id) }

// ParseJobKey returns the job ID of a key under JobPrefix and whether the key marks the
// job as cancelled.
func ParseJobKey(key string) (id heatherhub.JobID, isCancel bool) {
	name, isCancel := strings.CutSuffix(strings.TrimPrefix(key, JobPrefix), cancelSuffix)
	return heatherhub.JobID(name), isCancel
}

// Layout lists the shards of a site.
type Layout struct {
	Shards []ShardSize `msgpack:"shards" json:"shards"`
}

// ShardSize is a shard and the total processors of its workers when the layout was
// made.
type ShardSize struct {
	Shard heatherhub.ShardID  `msgpack:"shard" json:"shard"`
	CPU   heatherhub.MilliCPU `msgpack:"cpu" json:"cpuMilli"`
}

// Owner identifies the host that owns a shard.
type Owner struct {
	Host heatherhub.HostID `msgpack:"host" json:"host"`
	// Address is the address at which peers reach the host.
	Address string `msgpack:"addr" json:"address"`
	// Nonce distinguishes the host's attempts to become owner.
	Nonce string `msgpack:"nonce" json:"nonce"`
}

// Fleet lists the workers on which runs of the shard may be active.
type Fleet struct {
	Workers []FleetWorker `msgpack:"w" json:"workers"`
}

// FleetWorker is one instance of a worker.
type FleetWorker struct {
	ID      heatherhub.WorkerID `msgpack:"id" json:"id"`
	Address string              `msgpack:"a" json:"address"`
}

// Encode encodes a value for the store. It returns ErrInvalid if that fails.
func Encode(v any) ([]byte, error) {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return nil, heatherhub.ErrInvalid.Wrap(err, "cannot encode a record")
	}
	return data, nil
}

// SiteDomain is the domain of the only shard of a small site. A single owner sees all
// free capacity, so none is left unused at the border between shards.
const SiteDomain heatherhub.FailureDomain = "site"

// PlanLayout divides workers into shards: a single one if there are at most
// workersPerShard workers, otherwise as many per failure domain as it takes for a mean
// of at most workersPerShard. Racks are not split, so a shard may have more than that.
func PlanLayout(workers []agent.Worker, workersPerShard int) Layout {
	var l Layout
	if len(workers) <= workersPerShard {
		l.Shards = []ShardSize{{Shard: heatherhub.ShardID{Domain: SiteDomain}}}
	} else {
		l.Shards = shardsByDomain(workers, workersPerShard)
	}
	for i := range workers {
		s := l.ShardOf(&workers[i])
		for k := range l.Shards {
			if l.Shards[k].Shard == s {
				l.Shards[k].CPU += workers[i].Capacity.CPU
			}
		}
	}
	return l
}

func shardsByDomain(workers []agent.Worker, workersPerShard int) []ShardSize {
	counts := make(map[heatherhub.FailureDomain]int)
	domains := []heatherhub.FailureDomain{}
	for i := range workers {
		if counts[workers[i].Domain] == 0 {
			domains = append(domains, workers[i].Domain)
		}
		counts[workers[i].Domain]++
	}
	var out []ShardSize
	for _, d := range domains {
		n := (counts[d] + workersPerShard - 1) / workersPerShard
		for i := range n {
			out = append(out, ShardSize{Shard: heatherhub.ShardID{Domain: d, Index: i}})
		}
	}
	return out
}

// ShardOf returns the shard of a worker: one of its failure domain, chosen by rack so
// that a rack stays in one shard. A domain without a shard of its own uses those of all
// domains.
func (l *Layout) ShardOf(w *agent.Worker) heatherhub.ShardID {
	var candidates []heatherhub.ShardID
	for _, s := range l.Shards {
		if s.Shard.Domain == w.Domain {
			candidates = append(candidates, s.Shard)
		}
	}
	if len(candidates) == 0 {
		for _, s := range l.Shards {
			candidates = append(candidates, s.Shard)
		}
	}
	if len(candidates) == 0 {
		return heatherhub.ShardID{}
	}
	key := string(w.Rack)
	if key == "" {
		key = string(w.ID)
	}
	return candidates[hashKey(key)%uint64(len(candidates))]
}

// hashKey is the 64-bit FNV-1a hash with its high bits mixed into the low ones.
func hashKey(key string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * 1099511628211
	}
	return h ^ h>>29
}
