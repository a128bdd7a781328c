// Package record holds what heatherhub keeps in the platform's store: the keys and
// the encoding of the values.
//
// # Usage
//
//	item, err := store.Get(ctx, record.JobKey(id))
//	var flow heatherhub.Workflow
//	err = heatherhub.Unmarshal(item.Value, &flow)
//
// Which key is written by whom, under which precondition:
//
//   - shard/layout: the first host that sees workers; the key is absent.
//   - shard/owner/SHARD: a host that takes the shard over; the key is absent. It
//     lives as long as the host's lease.
//   - fleet/SHARD: the owner; the owner's key is unchanged.
//   - job/ID: any host; the key is absent and the configuration unchanged. Later the
//     owner, to let another shard run what waits; its key and the record are unchanged.
//   - job/ID/cancel: any host.
//   - progress/ID: the owner; its key and the record are unchanged.
//   - load/SHARD, learnt/SHARD: the owner; its key is unchanged.
package record

import (
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
)

// Prefixes and keys.
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

// FleetKey returns the key of the workers that a shard uses.
func FleetKey(s heatherhub.ShardID) string { return FleetPrefix + s.String() }

// LoadKey returns the key of a shard's load.
func LoadKey(s heatherhub.ShardID) string { return LoadPrefix + s.String() }

// InterferenceKey returns the key of what a shard's owners have learnt.
func InterferenceKey(s heatherhub.ShardID) string { return InterferencePrefix + s.String() }

// JobKey returns the key of a job.
func JobKey(id heatherhub.JobID) string { return JobPrefix + string(id) }

// CancelKey returns the key that says that a job is cancelled.
func CancelKey(id heatherhub.JobID) string { return JobPrefix + string(id) + cancelSuffix }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id heatherhub.JobID) string { return ProgressPrefix + string(id) }

// ParseJobKey returns the job of a key under JobPrefix and whether it is the
// job's cancel.
func ParseJobKey(key string) (id heatherhub.JobID, isCancel bool) {
	name, isCancel := strings.CutSuffix(strings.TrimPrefix(key, JobPrefix), cancelSuffix)
	return heatherhub.JobID(name), isCancel
}

// Layout lists the shards.
type Layout struct {
	Shards []ShardSize `msgpack:"shards" json:"shards"`
}

// ShardSize is a shard with the processors of its workers when it was made.
type ShardSize struct {
	Shard heatherhub.ShardID  `msgpack:"shard" json:"shard"`
	CPU   heatherhub.MilliCPU `msgpack:"cpu" json:"cpuMilli"`
}

// Owner is the owner of a shard.
type Owner struct {
	Host heatherhub.HostID `msgpack:"host" json:"host"`
	// Address is where peers reach the host.
	Address string `msgpack:"addr" json:"address"`
	// Nonce tells apart the attempts to become owner.
	Nonce string `msgpack:"nonce" json:"nonce"`
}

// Fleet lists the workers on which runs of the shard may go on.
type Fleet struct {
	Workers []FleetWorker `msgpack:"w" json:"workers"`
}

// FleetWorker is one life of a worker.
type FleetWorker struct {
	ID      heatherhub.WorkerID `msgpack:"id" json:"id"`
	Address string              `msgpack:"a" json:"address"`
}

// Encode encodes a value for the store.
func Encode(v any) ([]byte, error) {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return nil, heatherhub.ErrInvalid.Wrap(err, "cannot encode a record")
	}
	return data, nil
}

// SiteDomain is the domain of the only shard of a small site. One owner sees all
// the room then, and none is stranded.
const SiteDomain heatherhub.FailureDomain = "site"

// PlanLayout divides workers into shards: one for a small site, else by failure
// domain, and by size inside one, so that an owner has at most workersPerShard.
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

// ShardOf returns the shard of a worker: one of its failure domain, by rack, so
// that racks stay whole. A domain without a shard borrows the others'.
func (l *Layout) ShardOf(w *agent.Worker) heatherhub.ShardID {
	var own []heatherhub.ShardID
	for _, s := range l.Shards {
		if s.Shard.Domain == w.Domain {
			own = append(own, s.Shard)
		}
	}
	if len(own) == 0 {
		for _, s := range l.Shards {
			own = append(own, s.Shard)
		}
	}
	if len(own) == 0 {
		return heatherhub.ShardID{}
	}
	key := string(w.Rack)
	if key == "" {
		key = string(w.ID)
	}
	return own[hashKey(key)%uint64(len(own))]
}

// hashKey is the FNV-1a hash.
func hashKey(key string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * 1099511628211
	}
	return h ^ h>>29
}
