package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherhub.example/heatherhub"
)

const (
	// maxPlaceBackoff caps how long a place that refused is asked last.
	maxPlaceBackoff = time.Second
	// minBackoff is the least time for which a place that refused is asked last.
	minBackoff = 50 * time.Millisecond
	// maxOwnerBackoff caps how long an owner that cannot be reached is left alone.
	maxOwnerBackoff = 2 * time.Second
	// probeTimeout is how long one request has to find out whether an owner is back,
	// before another one tries.
	probeTimeout = 500 * time.Millisecond
	// backoffStripes is the number of separately locked parts of the hints.
	backoffStripes = 16
)

// placeKey names a service in a shard.
type placeKey struct {
	shard    heatherhub.ShardID
	workload heatherhub.WorkloadID
}

// placeBackoff is what the last attempt showed of a place.
type placeBackoff struct {
	// until is when a place that refused may be asked first again.
	until time.Time
}

// ownerBackoff is an owner that could not be reached.
type ownerBackoff struct {
	failures int
	until    time.Time
}

// backoffTable remembers which places refused lately, and which owners are down. Each part has its own lock.
type backoffTable struct {
	stripes [backoffStripes]struct {
		mu sync.Mutex
		m  map[placeKey]placeBackoff
	}
	mu     sync.Mutex
	owners map[heatherhub.HostID]ownerBackoff
}

func newBackoffTable() *backoffTable {
	h := &backoffTable{owners: make(map[heatherhub.HostID]ownerBackoff)}
	for i := range h.stripes {
		h.stripes[i].m = make(map[placeKey]placeBackoff)
	}
	return h
}

func (h *backoffTable) stripe(k placeKey) int {
	return int(xxhash.Sum64String(string(k.workload)+string(k.shard.Domain))+uint64(k.shard.Index)) & (backoffStripes - 1)
}

// record keeps what an attempt showed of a place and of its owner.
func (h *backoffTable) record(now time.Time, k placeKey, owner heatherhub.HostID, err error) {
	isDown := heatherhub.CodeOf(err) == heatherhub.CodeUnavailable && heatherhub.RetryAfter(err) == 0
	h.recordOwner(now, owner, isDown)
	var next placeBackoff
	if err != nil && !isDown {
		next.until = now.Add(min(max(heatherhub.RetryAfter(err), minBackoff), maxPlaceBackoff))
	}
	p := &h.stripes[h.stripe(k)]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.m[k] = next
}

// recordOwner doubles the time for which an owner is left alone with each failure.
func (h *backoffTable) recordOwner(now time.Time, id heatherhub.HostID, isDown bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !isDown {
		delete(h.owners, id)
		return
	}
	d := h.owners[id]
	d.until = now.Add(min(minBackoff<<min(d.failures, maxDoublings), maxOwnerBackoff))
	d.failures++
	h.owners[id] = d
}

// maxDoublings bounds the exponent of the time for which an owner is left alone.
const maxDoublings = 8

// ownerBackoffEnd returns when a down owner may be tried again, or zero.
func (h *backoffTable) ownerBackoffEnd(id heatherhub.HostID) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owners[id].until
}

// beginProbe lets the caller try an owner that is down, and keeps others away
// meanwhile.
func (h *backoffTable) beginProbe(now time.Time, id heatherhub.HostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d, ok := h.owners[id]; ok {
		d.until = now.Add(probeTimeout)
		h.owners[id] = d
	}
}

func (h *backoffTable) place(k placeKey) placeBackoff {
	p := &h.stripes[h.stripe(k)]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.m[k]
}

// rankedPlace is a place with what decides its turn.
type rankedPlace struct {
	place Place
	// rank is 0 for the own failure domain, 1 for others, 2 for places that
	// refused lately.
	rank    int
	until   time.Time
	isLocal bool
	// weight is a random number weighted by replicas; the largest goes first.
	weight float64
}

// orderPlaces returns the places of a service in the orderPlaces in which they are asked:
// the own failure domain first, then the others, then those that refused lately.
func (r *Router) orderPlaces(w heatherhub.WorkloadID) []Place {
	_, domain := r.cfg.Directory.Self()
	now := r.cfg.Clock.Now()
	places := r.cfg.Directory.Places(w)
	choices := make([]rankedPlace, 0, len(places))
	for _, p := range places {
		choices = append(choices, r.rankPlace(now, domain, w, p))
	}
	slices.SortFunc(choices, compareRanked)
	out := make([]Place, 0, len(choices))
	for _, c := range choices {
		out = append(out, c.place)
	}
	return out
}

func (r *Router) rankPlace(now time.Time, domain heatherhub.FailureDomain, w heatherhub.WorkloadID, p Place) rankedPlace {
	h := r.backoffs.place(placeKey{p.Shard, w})
	c := rankedPlace{place: p, isLocal: p.Shard.Domain == domain, weight: rand.Float64() * float64(max(p.Replicas, 1))}
	if !c.isLocal {
		c.rank = 1
	}
	until := h.until
	if d := r.backoffs.ownerBackoffEnd(p.Owner); d.After(until) {
		until = d
	}
	if now.Before(until) {
		c.rank, c.until = 2, until
	}
	return c
}

func compareRanked(a, b rankedPlace) int {
	if a.rank != b.rank {
		return a.rank - b.rank
	}
	if c := a.until.Compare(b.until); c != 0 {
		return c
	}
	switch {
	case a.isLocal != b.isLocal && a.isLocal:
		return -1
	case a.isLocal != b.isLocal:
		return 1
	case a.weight > b.weight:
		return -1
	case a.weight < b.weight:
		return 1
	}
	return 0
}
