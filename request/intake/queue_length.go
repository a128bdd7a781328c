package intake

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/owner"
	"heatherhub.example/heatherhub/process/record"
)

// The length of a queue is a sum over shards. It is correct only if each shard adds its
// part, and if no part is much older than the others. A sum that lacks a part is not
// returned: the caller gets an error and may try again.

const (
	// maxPartAge is the age up to which a part may be used. Callers may be given queue
	// lengths that are up to two seconds old.
	maxPartAge = 2 * time.Second
	// maxWriteDelay is the time from which on a load that an owner has taken is not written
	// any more: a write takes at most 1.2 s, and a later load replaces it.
	maxWriteDelay = 1500 * time.Millisecond
	// maxJobsReadAge is the time without an answer about the job records after which an
	// owner may not know new jobs. Its watch is answered at least every 1.5 s.
	maxJobsReadAge = 2 * time.Second
	// queueLengthRetryAfter is the retry delay returned if a part is missing. A new owner
	// publishes its first part about two seconds after the old one is lost.
	queueLengthRetryAfter = time.Second
)

// QueueCounterConfig holds the dependencies of a QueueCounter.
type QueueCounterConfig struct {
	Store ledger.Store
	View  func() *owner.View
	Clock Clock
	Log   *zap.Logger
	// Registry registers the metrics, if set.
	Registry prometheus.Registerer
}

// QueueCounter counts the waiting jobs of a queue from the loads that the owners of all
// shards publish. It is safe for concurrent use.
type QueueCounter struct {
	cfg     QueueCounterConfig
	answers *prometheus.CounterVec

	mu    sync.Mutex
	parts map[heatherhub.ShardID]observedLoad
	// lastReadAt is the steady time at which the last up-to-date read of the loads was
	// sent; zero before the first.
	lastReadAt time.Duration
}

// observedLoad is a load and the bounds of its age, on the steady clock of this host.
type observedLoad struct {
	record.Load
	// seenAt is when the load was first read.
	seenAt time.Duration
	// absentAt is when the last up-to-date read that found an earlier load was sent. It is
	// valid if hasAbsent is set.
	absentAt  time.Duration
	hasAbsent bool
}

// NewQueueCounter returns a counter that has read no loads yet.
func NewQueueCounter(cfg QueueCounterConfig) *QueueCounter {
	c := &QueueCounter{
		cfg: cfg, parts: make(map[heatherhub.ShardID]observedLoad),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_queue_lengths_total", Help: "Questions for the length of a queue by outcome.",
		}, []string{"outcome"}),
	}
	if cfg.Registry != nil {
		cfg.Registry.MustRegister(c.answers)
	}
	return c
}

// Count returns the number of jobs in a queue of which no task has started, in all shards.
// A job that moves between shards may be counted twice for about a second, but is never
// left out. Count returns heatherhub.ErrUnavailable if the part of a shard is missing or
// too old.
func (c *QueueCounter) Count(ctx context.Context, queue heatherhub.QueueID) (int, error) {
	sentAt := c.cfg.Clock.Now().Steady
	loads, err := owner.ReadLoads(ctx, c.cfg.Store.Range, c.cfg.Log)
	if err != nil {
		c.answers.WithLabelValues("unread").Inc()
		return 0, err
	}
	now := c.cfg.Clock.Now()
	l := addUp(queue, c.cfg.View().Layout.Shards, c.update(loads, sentAt, now.Steady), now)
	outcome, err := l.check()
	c.answers.WithLabelValues(outcome).Inc()
	c.cfg.Log.Info("queue length read", zap.String("queue", string(queue)), zap.Int("waiting", l.waiting), zap.String("outcome", outcome),
		zap.Any("parts", l.parts), zap.Strings("missing", l.missing))
	return l.waiting, err
}

// Observe notes loads that were read for another purpose, and may be some seconds old. If it
// is called often, a load that is no longer replaced is noticed whatever its owner's clock
// says.
func (c *QueueCounter) Observe(loads map[heatherhub.ShardID]record.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(loads, c.cfg.Clock.Now().Steady)
}

// update notes loads that were up to date after sentAt and returns the last load of each
// shard.
func (c *QueueCounter) update(loads map[heatherhub.ShardID]record.Load, sentAt, now time.Duration) map[heatherhub.ShardID]observedLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(loads, now)
	c.lastReadAt = max(c.lastReadAt, sentAt)
	out := make(map[heatherhub.ShardID]observedLoad, len(c.parts))
	for id, p := range c.parts {
		out[id] = p
	}
	return out
}

// observe notes which loads have been replaced. A record that can no longer be read leaves
// the last one in place, which gets old. The caller holds c.mu.
func (c *QueueCounter) observe(loads map[heatherhub.ShardID]record.Load, now time.Duration) {
	for id, l := range loads {
		if old, ok := c.parts[id]; !ok || l.Revision > old.Revision {
			c.parts[id] = observedLoad{Load: l, seenAt: now, absentAt: c.lastReadAt, hasAbsent: ok}
		}
	}
}

// age returns the age of a load. The wall clocks of this host and of the owner may differ
// and jump, so they only refine what the steady clock of this host shows.
func (p *observedLoad) age(now dispatch.Moment) time.Duration {
	age := max(now.Wall.Sub(p.At), now.Steady-p.seenAt)
	if p.hasAbsent {
		age = min(age, now.Steady-p.absentAt+maxWriteDelay)
	}
	return age
}

// queueLength is the length of a queue and what it was added up from.
type queueLength struct {
	waiting int
	parts   []queuePart
	// missing has the shards without a part, outdated those with one that is too old.
	missing, outdated []string
}

// queuePart is what one shard adds to the length of a queue, as logged. Moved counts the
// jobs that it has moved to shards whose owners have not read them yet.
type queuePart struct {
	Shard         string `json:"shard"`
	Waiting       int    `json:"waiting"`
	Moved         int    `json:"moved"`
	AgeMS         int64  `json:"ageMs"`
	JobsReadAgeMS int64  `json:"jobsReadAgeMs"`
}

// addUp adds up the length of a queue over all shards.
func addUp(queue heatherhub.QueueID, shards []record.ShardSize, loads map[heatherhub.ShardID]observedLoad, now dispatch.Moment) queueLength {
	var out queueLength
	for _, size := range shards {
		l, ok := loads[size.Shard]
		if !ok {
			out.missing = append(out.missing, size.Shard.String())
			continue
		}
		age := l.age(now)
		p := queuePart{
			Shard: size.Shard.String(), Waiting: l.Waiting[queue], Moved: unreadMoves(queue, l.MovedJobs, loads),
			AgeMS: age.Milliseconds(), JobsReadAgeMS: l.JobsReadAge.Milliseconds(),
		}
		out.waiting += p.Waiting + p.Moved
		out.parts = append(out.parts, p)
		if age > maxPartAge || l.JobsReadAge > maxJobsReadAge {
			out.outdated = append(out.outdated, p.Shard)
		}
	}
	return out
}

// unreadMoves counts the moved jobs of a queue that the owners of their new shards have
// not read.
func unreadMoves(queue heatherhub.QueueID, moved []dispatch.MovedJobs, loads map[heatherhub.ShardID]observedLoad) int {
	n := 0
	for i := range moved {
		if m := &moved[i]; m.Queue == queue {
			n += m.Unread(loads[m.To].JobsRead)
		}
	}
	return n
}

// check returns the outcome for logs and metrics, and an error unless the length is whole.
func (l *queueLength) check() (string, error) {
	var err *errorx.Error
	outcome := "whole"
	switch {
	case len(l.missing) > 0:
		outcome, err = "missing", heatherhub.ErrUnavailable.New("shard %s has not reported how many jobs wait: try again", l.missing[0])
	case len(l.parts) == 0:
		outcome, err = "missing", heatherhub.ErrUnavailable.New("no shard is known yet: try again")
	case len(l.outdated) > 0:
		outcome, err = "old", heatherhub.ErrUnavailable.New("shard %s has not reported lately how many jobs wait: try again", l.outdated[0])
	default:
		return outcome, nil
	}
	return outcome, heatherhub.WithRetryAfter(err, queueLengthRetryAfter)
}
