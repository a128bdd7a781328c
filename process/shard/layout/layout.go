// Package layout assigns workers, jobs and idempotency keys to a fixed set of shards,
// and shards to preferred owners, by rendezvous hashing. It also divides the replicas
// of a service among the shards. Everything in it is a pure function, so that hosts
// with the same settings agree without exchanging messages.
//
// # Usage
//
//	l := layout.Layout{Shards: map[heatherhub.FailureDomain]int{"gent": 4, "leuven": 4}}
//	l.ShardOfWorker("gent", "w17")     // a shard of gent
//	l.ShardOfJob("letters-0412")       // a shard of any domain
//	l.PreferredOwner(shard, liveHosts) // the host that should own it
//
// A worker belongs to a shard of its own failure domain. A job or key belongs to a
// shard of any domain. These assignments depend on neither the live hosts nor the
// preset, so they never change. Owners and replica counts do.
package layout

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
)

// StoreKey is the store key of the layout.
const StoreKey = "layout"

// MaxShards is the maximum number of shards of one failure domain.
const MaxShards = 1024

// maxLoadFactor is the maximum number of shards of a host, relative to an even share.
const maxLoadFactor = 1.25

// Layout is the number of shards of each failure domain.
type Layout struct {
	Shards map[heatherhub.FailureDomain]int `msgpack:"shards" json:"shards"`
}

// Check returns ErrInvalid if the layout has no failure domain, if the name of one is
// invalid or if the number of its shards is not between 1 and MaxShards.
func (l Layout) Check() error {
	if len(l.Shards) == 0 {
		return heatherhub.ErrInvalid.New("the layout has no failure domain: set the shards of each domain")
	}
	for d, n := range l.Shards {
		if err := heatherhub.CheckName("failure domain", d); err != nil {
			return err
		}
		if n < 1 || n > MaxShards {
			return heatherhub.ErrInvalid.New("failure domain %s has %d shards: use 1 to %d", d, n, MaxShards)
		}
	}
	return nil
}

// DecodeMsgpack decodes a layout and checks it.
func (l *Layout) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire Layout
	var w wire
	if err := d.Decode(&w); err != nil {
		return err
	}
	if err := Layout(w).Check(); err != nil {
		return err
	}
	*l = Layout(w)
	return nil
}

// Equal reports whether two layouts have the same failure domains and shards.
func (l Layout) Equal(o Layout) bool {
	if len(l.Shards) != len(o.Shards) {
		return false
	}
	for d, n := range l.Shards {
		if o.Shards[d] != n {
			return false
		}
	}
	return true
}

// Domains returns the failure domains in order of name.
func (l Layout) Domains() []heatherhub.FailureDomain {
	domains := make([]heatherhub.FailureDomain, 0, len(l.Shards))
	for d := range l.Shards {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	return domains
}

// DomainShards returns the shards of one failure domain in order of index.
func (l Layout) DomainShards(d heatherhub.FailureDomain) []heatherhub.ShardID {
	shards := make([]heatherhub.ShardID, l.Shards[d])
	for i := range shards {
		shards[i] = heatherhub.ShardID{Domain: d, Index: i}
	}
	return shards
}

// All returns every shard in order of domain and index.
func (l Layout) All() []heatherhub.ShardID {
	var shards []heatherhub.ShardID
	for _, d := range l.Domains() {
		shards = append(shards, l.DomainShards(d)...)
	}
	return shards
}

// ShardOfWorker returns the shard of a worker, or the zero ShardID if the failure domain
// is unknown.
func (l Layout) ShardOfWorker(d heatherhub.FailureDomain, id heatherhub.WorkerID) heatherhub.ShardID {
	return highestScored(l.DomainShards(d), string(id))
}

// ShardOfJob returns the shard of a job.
func (l Layout) ShardOfJob(id heatherhub.JobID) heatherhub.ShardID {
	return highestScored(l.All(), string(id))
}

// ShardOfKey returns the shard that arbitrates an idempotency key.
func (l Layout) ShardOfKey(w heatherhub.WorkloadID, key heatherhub.IdempotencyKey) heatherhub.ShardID {
	return highestScored(l.All(), string(w)+"\x00"+string(key))
}

// PreferredOwner returns the host that should own a shard, given the live hosts of its
// failure domain, or "" if there are none. No host gets more than 1.25 times an even
// share, rounded up.
func (l Layout) PreferredOwner(s heatherhub.ShardID, live []heatherhub.HostID) heatherhub.HostID {
	return l.PreferredOwners(s.Domain, live)[s.Index]
}

// PreferredOwners returns the preferred owner of each shard of a failure domain, by
// shard index.
func (l Layout) PreferredOwners(d heatherhub.FailureDomain, live []heatherhub.HostID) []heatherhub.HostID {
	shards := l.DomainShards(d)
	owners := make([]heatherhub.HostID, len(shards))
	if len(live) == 0 {
		return owners
	}
	maxLoad := int(math.Ceil(maxLoadFactor * float64(len(shards)) / float64(len(live))))
	load := make(map[heatherhub.HostID]int, len(live))
	for i, s := range shards {
		for _, h := range rankByScore(live, s.String()) {
			if load[h] < maxLoad {
				owners[i] = h
				load[h]++
				break
			}
		}
	}
	return owners
}

// ReplicasFor returns the number of a service's replicas that one shard has to run
// under the preset in force. The numbers of all shards add up to that of the preset;
// drained failure domains get none.
func ReplicasFor(s *heatherhub.Snapshot, l Layout, shard heatherhub.ShardID, w heatherhub.WorkloadID) int {
	if s == nil || s.PresetInForce() == nil {
		return 0
	}
	preset := s.PresetInForce()
	var active []heatherhub.FailureDomain
	for _, d := range l.Domains() {
		if !slices.Contains(preset.DrainDomains, d) {
			active = append(active, d)
		}
	}
	rank := slices.Index(rankByScore(active, string(w)), shard.Domain)
	if rank < 0 {
		return 0
	}
	domainReplicas := evenPart(preset.Replicas(w), rank, len(active))
	rank = slices.Index(rankByScore(l.DomainShards(shard.Domain), string(w)), shard)
	if rank < 0 {
		return 0
	}
	return evenPart(domainReplicas, rank, l.Shards[shard.Domain])
}

// evenPart returns the size of part i, counted from 0, when total is divided into n
// parts that differ by at most 1.
func evenPart(total, i, n int) int {
	size := total / n
	if i < total%n {
		size++
	}
	return size
}

// highestScored returns the shard with the highest rendezvous score for a name, or the
// zero ShardID if there are no shards.
func highestScored(shards []heatherhub.ShardID, name string) heatherhub.ShardID {
	var best heatherhub.ShardID
	var bestScore uint64
	for _, s := range shards {
		if v := score(s.String(), name); best.IsZero() || v > bestScore {
			best, bestScore = s, v
		}
	}
	return best
}

// rankByScore returns the nodes in descending order of their rendezvous score for a
// name. Ties are ordered by node name, so that all hosts get the same order.
func rankByScore[T comparable](nodes []T, name string) []T {
	type scored struct {
		node  T
		score uint64
	}
	all := make([]scored, len(nodes))
	for i, n := range nodes {
		all[i] = scored{n, score(nodeName(n), name)}
	}
	slices.SortStableFunc(all, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(nodeName(a.node), nodeName(b.node))
	})
	out := make([]T, len(all))
	for i := range all {
		out[i] = all[i].node
	}
	return out
}

// nodeName returns the name under which a host, failure domain or shard is hashed.
func nodeName[T any](node T) string {
	switch v := any(node).(type) {
	case heatherhub.HostID:
		return string(v)
	case heatherhub.FailureDomain:
		return string(v)
	case heatherhub.ShardID:
		return v.String()
	default:
		return ""
	}
}

// score returns the rendezvous score of a node for a name. The length of the node keeps
// different pairs from having the same input.
func score(node, name string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(len(node)) + ":" + node + name)
}
