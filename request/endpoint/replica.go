package endpoint

import (
	"math"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// workerLoad counts the requests in flight on one worker, over all its replicas.
type workerLoad struct {
	limit    int
	inFlight int
	replicas int
}

// Replica is the state of one replica in a pool.
type Replica struct {
	task     heatherhub.TaskID
	workerID heatherhub.WorkerID
	load     *workerLoad
	service  *service
	draining bool
	removed  bool
	inFlight int
	// suspects counts the suspected requests in flight, brokenAt is when connections of the
	// replica ended last.
	suspects map[Fingerprint]int
	brokenAt time.Time
	peak     peakAverage
	breaker  Breaker
	// slowStartFrom is when its slow start began, or zero.
	slowStartFrom time.Time
	// ejectedUntil is when its last ejection ends, or zero.
	ejectedUntil time.Time
	// ejections counts how often the breaker has tripped since the replica last
	// recovered, also when MaxEjectionPercent prevented the ejection.
	ejections int
	// probing means that it has not succeeded since its breaker tripped. It is
	// probed with one request from probeAt on.
	probing bool
	probeAt time.Time
}

func (r *Replica) isEjected(now time.Time) bool {
	return now.Before(r.ejectedUntil)
}

// limit returns the number of requests that the replica may have in flight. It
// grows linearly over the slow start.
func (r *Replica) limit(now time.Time, slowStart time.Duration) int {
	switch {
	case r.probing:
		return 1
	case r.slowStartFrom.IsZero() || now.Sub(r.slowStartFrom) >= slowStart:
		return r.service.Concurrency
	}
	share := float64(now.Sub(r.slowStartFrom)) / float64(slowStart)
	return max(1, int(math.Ceil(share*float64(r.service.Concurrency))))
}

// hasCapacity reports whether the replica may be sent another request.
func (r *Replica) hasCapacity(now time.Time, slowStart time.Duration) bool {
	return !r.draining && !r.isEjected(now) &&
		r.load.inFlight < r.load.limit && r.inFlight < r.limit(now, slowStart)
}

// service is the state of one service in the pool.
type service struct {
	Service
	id       heatherhub.WorkloadID
	replicas []*Replica
	queue    *fairQueue
	policy   Policy[*Replica]
	inFlight int
	latency  average
	// virtualTime is the replica time that the service was given, in seconds: each
	// started request adds the mean latency. Among services of equal priority, the one
	// with the least is served next.
	virtualTime float64
}

// candidates returns the replicas with capacity, without those to avoid if there
// are others. The result may use the memory of buf.
func (s *service) candidates(now time.Time, slowStart time.Duration, avoid []heatherhub.TaskID, buf []*Replica) []*Replica {
	free := buf[:0]
	for _, r := range s.replicas {
		if r.hasCapacity(now, slowStart) {
			free = append(free, r)
		}
	}
	if len(avoid) == 0 {
		return free
	}
	other := slices.DeleteFunc(slices.Clone(free), func(r *Replica) bool { return slices.Contains(avoid, r.task) })
	if len(other) > 0 {
		return other
	}
	return free
}

// active counts the replicas that are neither draining nor ejected.
func (s *service) active(now time.Time) int {
	n := 0
	for _, r := range s.replicas {
		if !r.draining && !r.isEjected(now) {
			n++
		}
	}
	return n
}

// canEject reports whether one more replica may be ejected: at most maxPercent of
// those that are not draining, and never the last one.
func (s *service) canEject(now time.Time, maxPercent heatherhub.Percent) bool {
	total, ejected := 0, 0
	for _, r := range s.replicas {
		if r.draining {
			continue
		}
		total++
		if r.isEjected(now) {
			ejected++
		}
	}
	return ejected+1 < total && (ejected+1)*100 <= total*int(maxPercent)
}
