package record

import (
	"cmp"
	"maps"
	"slices"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
)

// The layout is made for fleets whose hosts differ in strength: a few of them can own a
// hundred busy workers, and most cannot. A shard that is too large for its owner is worse
// than many shards, since an owner that falls behind sends its orders too late and loses its
// lease, and the next one starts with the backlog.

// Layout lists the shards of a site.
type Layout struct {
	Shards []ShardSize `msgpack:"shards" json:"shards"`
	// Racks has, by failure domain and rack, the index of the rack's shard in its domain.
	// Racks that came later are not listed.
	Racks map[heatherhub.FailureDomain]map[heatherhub.Rack]int `msgpack:"racks,omitempty" json:"racks,omitempty"`
}

// ShardSize is a shard with the number of its workers and their processors when the layout
// was made.
type ShardSize struct {
	Shard   heatherhub.ShardID  `msgpack:"shard" json:"shard"`
	CPU     heatherhub.MilliCPU `msgpack:"cpu" json:"cpuMilli"`
	Workers int                 `msgpack:"n,omitempty" json:"workers"`
}

// Host is what a host can carry, as it says itself.
type Host struct {
	Domain heatherhub.FailureDomain `msgpack:"d" json:"domain"`
	// Workers is the number of busy workers that the host can own.
	Workers int `msgpack:"n" json:"workers"`
}

// SiteDomain is the domain of the only shard of a small site. A single owner sees all
// free capacity, so none is left unused at the border between shards.
const SiteDomain heatherhub.FailureDomain = "site"

// LayoutConfig holds what a layout is made from.
type LayoutConfig struct {
	Workers []agent.Worker
	Hosts   []Host
	// MaxWorkers bounds the mean number of workers in the shards of a failure domain. Racks
	// are not split, so a single shard may have more.
	MaxWorkers int
}

// PlanLayout divides workers into shards. There is a single shard if that has at most
// MaxWorkers workers and two hosts can own it. Otherwise each failure domain is divided into
// the fewest shards of at most MaxWorkers that its hosts can own without the strongest one.
func PlanLayout(cfg LayoutConfig) Layout {
	var l Layout
	if len(cfg.Workers) <= cfg.MaxWorkers && canOwn(capacities(cfg.Hosts, ""), 1, len(cfg.Workers)) {
		l.Shards = []ShardSize{{Shard: heatherhub.ShardID{Domain: SiteDomain}}}
	} else {
		l.Shards = cfg.shardsByDomain()
		l.Racks = cfg.divideRacks(l.Shards)
	}
	for i := range cfg.Workers {
		s := l.ShardOf(&cfg.Workers[i])
		for k := range l.Shards {
			if l.Shards[k].Shard == s {
				l.Shards[k].CPU += cfg.Workers[i].Capacity.CPU
				l.Shards[k].Workers++
			}
		}
	}
	return l
}

// WorkersOf returns the number of workers that a shard had when the layout was made.
func (l *Layout) WorkersOf(s heatherhub.ShardID) int {
	for i := range l.Shards {
		if l.Shards[i].Shard == s {
			return l.Shards[i].Workers
		}
	}
	return 0
}

// capacities returns how many workers each host of a domain can own, the most first. The
// domain "" stands for all.
func capacities(hosts []Host, d heatherhub.FailureDomain) []int {
	var out []int
	for _, h := range hosts {
		if d == "" || h.Domain == d {
			out = append(out, h.Workers)
		}
	}
	slices.SortFunc(out, func(a, b int) int { return cmp.Compare(b, a) })
	return out
}

// canOwn reports whether hosts can own shards of size workers even without the strongest of
// them. A host may own several shards. A single host is not left out, and without hosts
// canOwn is true.
func canOwn(capacities []int, shards, size int) bool {
	if len(capacities) == 0 {
		return true
	}
	owned := 0
	for _, n := range capacities[min(1, len(capacities)-1):] {
		owned += n / max(size, 1)
	}
	return owned >= shards
}

// divideRacks assigns the racks of each domain to its shards so that these have about as many
// workers each: the largest racks first, each to the shard with the fewest workers.
func (cfg *LayoutConfig) divideRacks(shards []ShardSize) map[heatherhub.FailureDomain]map[heatherhub.Rack]int {
	workers := make(map[heatherhub.FailureDomain]map[heatherhub.Rack]int)
	for i := range cfg.Workers {
		w := &cfg.Workers[i]
		if workers[w.Domain] == nil {
			workers[w.Domain] = make(map[heatherhub.Rack]int)
		}
		if w.Rack != "" {
			workers[w.Domain][w.Rack]++
		}
	}
	counts := make(map[heatherhub.FailureDomain][]int)
	for _, s := range shards {
		counts[s.Shard.Domain] = append(counts[s.Shard.Domain], 0)
	}
	for d, racks := range workers {
		names := slices.SortedFunc(maps.Keys(racks), func(a, b heatherhub.Rack) int {
			return cmp.Or(cmp.Compare(racks[b], racks[a]), cmp.Compare(a, b))
		})
		for _, name := range names {
			least := slices.Index(counts[d], slices.Min(counts[d]))
			counts[d][least] += racks[name]
			racks[name] = least
		}
	}
	return workers
}

func (cfg *LayoutConfig) shardsByDomain() []ShardSize {
	counts := make(map[heatherhub.FailureDomain]int)
	domains := []heatherhub.FailureDomain{}
	for i := range cfg.Workers {
		d := cfg.Workers[i].Domain
		if counts[d] == 0 {
			domains = append(domains, d)
		}
		counts[d]++
	}
	var out []ShardSize
	for _, d := range domains {
		for i := range cfg.shardCount(counts[d], capacities(cfg.Hosts, d)) {
			out = append(out, ShardSize{Shard: heatherhub.ShardID{Domain: d, Index: i}})
		}
	}
	return out
}

// shardCount returns the number of shards of a domain. If its hosts can own no number of
// shards, each gets a share.
func (cfg *LayoutConfig) shardCount(workers int, capacities []int) int {
	n := divideUp(workers, cfg.MaxWorkers)
	for ; n < len(capacities); n++ {
		if canOwn(capacities, n, divideUp(workers, n)) {
			break
		}
	}
	return min(n, workers)
}

func divideUp(a, b int) int {
	return (a + b - 1) / b
}

// ShardOf returns the shard of a worker: that of its rack, or for a rack that is not listed
// one of its failure domain, chosen by a hash so that a rack stays in one shard. A domain without a shard of its own uses those of all
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
	if index, ok := l.Racks[w.Domain][w.Rack]; ok && index < len(candidates) {
		return candidates[index]
	}
	key := string(w.Rack)
	if key == "" {
		key = string(w.ID.Name())
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
