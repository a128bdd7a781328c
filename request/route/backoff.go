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
	// maxPlaceBackoff is the longest backoff of a place that refused a request.
	maxPlaceBackoff = time.Second
	// minBackoff is the shortest backoff of a place that refused a request, and the
	// first one of an owner that cannot be reached.
	minBackoff = 50 * time.Millisecond
	// maxOwnerBackoff is the longest backoff of an owner that cannot be reached.
	maxOwnerBackoff = 2 * time.Second
	// probeTimeout is how long other requests avoid an unreachable owner while one
	// request probes it.
	probeTimeout = 500 * time.Millisecond
	// backoffStripes is the number of separately locked parts of a backoffTable. It
	// must be a power of two.
	backoffStripes = 16
)

// placeKey identifies a service in a shard.
type placeKey struct {
	shard    heatherhub.ShardID
	workload heatherhub.WorkloadID
}

// placeBackoff is the backoff of a place. Zero means that it did not refuse the
// last request.
type placeBackoff struct {
	// until is when the place gets its normal rank again.
	until time.Time
}

// ownerBackoff is the backoff of an owner that could not be reached.
type ownerBackoff struct {
	failures int
	until    time.Time
}

// backoffTable holds the backoffs of places that refused requests and of owners
// that could not be reached. It is safe for concurrent use: each stripe of places
// has its own lock, and mu guards owners.
type backoffTable struct {
	stripes [backoffStripes]struct {
		mu sync.Mutex
		m  map[placeKey]placeBackoff
	}
	mu     sync.Mutex
	owners map[heatherhub.HostID]ownerBackoff
}

func newBackoffTable() *backoffTable {
	t := &backoffTable{owners: make(map[heatherhub.HostID]ownerBackoff)}
	for i := range t.stripes {
		t.stripes[i].m = make(map[placeKey]placeBackoff)
	}
	return t
}

// stripe returns the index of the stripe that holds a place.
func (t *backoffTable) stripe(k placeKey) int {
	return int(xxhash.Sum64String(string(k.workload)+string(k.shard.Domain))+uint64(k.shard.Index)) & (backoffStripes - 1)
}

// record sets or clears the backoff of a place and of its owner after an attempt. An
// unavailable error without a retry-after time means that the owner could not be
// reached.
func (t *backoffTable) record(now time.Time, k placeKey, owner heatherhub.HostID, err error) {
	isDown := heatherhub.CodeOf(err) == heatherhub.CodeUnavailable && heatherhub.RetryAfter(err) == 0
	t.recordOwner(now, owner, isDown)
	var next placeBackoff
	if err != nil && !isDown {
		next.until = now.Add(min(max(heatherhub.RetryAfter(err), minBackoff), maxPlaceBackoff))
	}
	s := &t.stripes[t.stripe(k)]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m[k] = next
}

// recordOwner doubles the backoff of an owner that is down, or clears it.
func (t *backoffTable) recordOwner(now time.Time, id heatherhub.HostID, isDown bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !isDown {
		delete(t.owners, id)
		return
	}
	b := t.owners[id]
	b.until = now.Add(min(minBackoff<<min(b.failures, maxDoublings), maxOwnerBackoff))
	b.failures++
	t.owners[id] = b
}

// maxDoublings bounds the exponent of an owner's backoff against overflow.
const maxDoublings = 8

// ownerBackoffEnd returns when the backoff of an owner ends, or zero.
func (t *backoffTable) ownerBackoffEnd(id heatherhub.HostID) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.owners[id].until
}

// beginProbe extends the backoff of an owner that is down by probeTimeout, so that
// other requests avoid it while the caller's request probes it.
func (t *backoffTable) beginProbe(now time.Time, id heatherhub.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b, ok := t.owners[id]; ok {
		b.until = now.Add(probeTimeout)
		t.owners[id] = b
	}
}

// place returns the backoff of a place.
func (t *backoffTable) place(k placeKey) placeBackoff {
	s := &t.stripes[t.stripe(k)]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m[k]
}

// rankedPlace is a place with its sort keys, in their order of precedence.
type rankedPlace struct {
	place Place
	// rank is 0 for places in this host's failure domain, 1 for others, 2 for places
	// in backoff.
	rank int
	// until is the end of the backoff; the earliest goes first.
	until time.Time
	// isLocal means that the place is in this host's failure domain.
	isLocal bool
	// weight is a random number times the number of replicas; the largest goes
	// first.
	weight float64
}

// orderPlaces returns the places of a service in the order in which they are tried:
// those in this host's failure domain first, then the others, then those in backoff.
func (r *Router) orderPlaces(w heatherhub.WorkloadID) []Place {
	_, domain := r.cfg.Directory.Self()
	now := r.cfg.Clock.Now()
	places := r.cfg.Directory.Places(w)
	ranked := make([]rankedPlace, 0, len(places))
	for _, p := range places {
		ranked = append(ranked, r.rankPlace(now, domain, w, p))
	}
	slices.SortFunc(ranked, compareRanked)
	out := make([]Place, 0, len(ranked))
	for _, c := range ranked {
		out = append(out, c.place)
	}
	return out
}

// rankPlace returns the sort keys of a place at the current time.
func (r *Router) rankPlace(now time.Time, domain heatherhub.FailureDomain, w heatherhub.WorkloadID, p Place) rankedPlace {
	backoff := r.backoffs.place(placeKey{p.Shard, w})
	c := rankedPlace{place: p, isLocal: p.Shard.Domain == domain, weight: rand.Float64() * float64(max(p.Replicas, 1))}
	if !c.isLocal {
		c.rank = 1
	}
	until := backoff.until
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
