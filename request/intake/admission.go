package intake

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/record"
)

// Admission is for the load in which more jobs arrive than can be done while they have
// value. Such a job would take room from others and end for nothing, so it is refused at
// once, and its caller learns when to come back. A job is refused only if every shard has a
// recent forecast, and ends after its value is over in each of them, although the measured
// error is counted in its favour.

const (
	// minErrorSamples is the number of first starts below which a forecast has no measured
	// error and refuses nothing.
	minErrorSamples = 20
	// minForecastError is the least error that is counted in favour of a job: starts are
	// decided and confirmed in about this time.
	minForecastError = 200 * time.Millisecond
	// waveShare is the part of the room from which on the tasks of a step count as running
	// in waves for the objective: the rest of the room runs other jobs.
	waveShare = 0.25
	// minAdmissionRetry and maxAdmissionRetry bound the Retry-After of a refused job. A caller
	// that is sent away for longer rarely returns.
	minAdmissionRetry, maxAdmissionRetry = time.Second, 30 * time.Second
	// returnGrace is how long after its Retry-After a caller is expected. Then it counts as
	// gone, and nothing is kept free for it.
	returnGrace = 3 * time.Second
	// maxRefused bounds the jobs that are remembered, at about 150 bytes each.
	maxRefused = 4096
)

// Assessment is the expected end of a job, counted from its acceptance, in the shard where
// the job ends first, with the measured error in its favour.
type Assessment struct {
	// IsKnown means that every shard has a recent forecast that applies to the job.
	IsKnown bool
	Shard   heatherhub.ShardID
	// Wait is the expected wait until the first start, End the expected end, and ValueUntil
	// the end after which the job has no value.
	Wait, End, ValueUntil time.Duration
	// Excess is how much sooner the job would have to start to end in time.
	Excess time.Duration
	// Room is the processors of all shards that may run the job.
	Room heatherhub.MilliCPU
}

// isLate reports whether the job ends after its value is over in every shard.
func (a *Assessment) isLate() bool {
	return a.IsKnown && a.End > a.ValueUntil
}

// refusalReason is why a job was refused, for logs and callers.
type refusalReason string

const (
	reasonTooLate refusalReason = "ends too late"
	reasonNoRoom  refusalReason = "no room beside batch work"
)

// assess returns the assessment of a job, before which ahead goes in addition to what forecasts
// count. A shard without workers for the job does not count.
func assess(flow *heatherhub.Workflow, shards []record.ShardSize, loads map[heatherhub.ShardID]observedLoad, now dispatch.Moment, accepted *acceptedWork, ahead float64) Assessment {
	var out Assessment
	hasObjective := flow.Policy.Stretch > 0 || flow.Policy.Target > 0
	if !hasObjective || flow.Schedule != nil || flow.IsLongRunning() || hasUnforeseenLimit(flow) {
		return out
	}
	work, isFiller := flow.Work(), flow.Steps[0].Filler
	var arriving float64
	var age time.Duration
	for _, size := range shards {
		l, ok := loads[size.Shard]
		if !ok || l.Forecast == nil || l.age(now) > maxPartAge {
			return Assessment{}
		}
		p := l.Forecast.Pools[flow.Policy.Pool]
		out.Room += p.RoomFor(isFiller)
		if lane := p.Lane(flow.Policy.Priority, isFiller); lane != nil && lane.Priority == flow.Policy.Priority {
			arriving += lane.Arriving
		}
		age = max(age, l.age(now))
	}
	// The forecasts lack what all hosts have accepted since, less what was done in that time.
	ahead += max(accepted.since(now.Steady, age)*accepted.scale(now.Steady, arriving)-age.Seconds()*float64(out.Room), 0)
	for _, size := range shards {
		l := loads[size.Shard]
		p, ok := l.Forecast.Pools[flow.Policy.Pool]
		if !ok || p.RoomFor(isFiller) <= 0 {
			continue
		}
		a := assessShard(flow, &p, float64(l.Forecast.RunTimes[flow.Queue]), work, ahead/float64(out.Room))
		if !out.IsKnown || a.End-a.ValueUntil < out.End-out.ValueUntil {
			a.IsKnown, a.Shard, a.Room = true, size.Shard, out.Room
			out = a
		}
	}
	return out
}

// hasUnforeseenLimit reports whether forecasts leave out what decides when a job can start.
func hasUnforeseenLimit(flow *heatherhub.Workflow) bool {
	return slices.ContainsFunc(flow.Steps, func(s heatherhub.Step) bool {
		return s.RequiredLabel != "" || s.Gang || s.Estimate <= 0
	})
}

// assessShard returns the assessment of a job in one shard. aheadSeconds is how long the room
// of all shards is needed for callers that go first; it counts only where jobs wait.
func assessShard(flow *heatherhub.Workflow, p *dispatch.PoolForecast, ratio, work, aheadSeconds float64) Assessment {
	isFiller := flow.Steps[0].Filler
	room := float64(p.RoomFor(isFiller))
	if ratio <= 0 {
		ratio = 1
	}
	chain := heatherhub.LongestChain(flow.Steps, func(s *heatherhub.Step) time.Duration {
		return time.Duration(float64(s.Estimate) * ratio * max(1, width(s)/room))
	})
	span := flow.Policy.Span(heatherhub.LongestChain(flow.Steps, func(s *heatherhub.Step) time.Duration {
		return time.Duration(float64(s.Estimate) * max(1, width(s)/(waveShare*room)))
	}))
	l := p.Lane(flow.Policy.Priority, isFiller)
	valueUntil := heatherhub.ValueSpans * span
	var wait, excess time.Duration
	if l != nil && l.Samples >= minErrorSamples {
		wait = l.WaitOf(flow.Policy.Priority, work)
		favour := max(l.Error, minForecastError)
		if wait > 0 {
			wait += time.Duration(aheadSeconds * float64(time.Second))
		}
		if excess = wait - favour + chain - span; excess > 0 {
			wait = max(wait, l.Late)
		}
		wait = max(wait-favour, 0)
	}
	if wait == 0 {
		// The room is free or soon is, so the job is not refused however long its chain takes.
		chain = min(chain, valueUntil)
	}
	return Assessment{Wait: wait, End: wait + chain, ValueUntil: valueUntil, Excess: excess}
}

// width returns the processors that all tasks of a step need at the same time.
func width(s *heatherhub.Step) float64 {
	return float64(s.Tasks) * float64(s.Need.CPU)
}

// refusalKey groups the refused jobs that wait for the same processors.
type refusalKey struct {
	pool     heatherhub.PoolID
	isFiller bool
	priority int
}

func keyOf(flow *heatherhub.Workflow) refusalKey {
	return refusalKey{pool: flow.Policy.Pool, isFiller: flow.Steps[0].Filler, priority: flow.Policy.Priority}
}

const (
	// acceptedSlot is the resolution of acceptedWork, and acceptedSlots covers the 3 s over
	// which forecasts average arriving work.
	acceptedSlot  = 250 * time.Millisecond
	acceptedSlots = 12
	// maxScale bounds how many times the work that this host has accepted all hosts may have.
	maxScale = 64
)

// acceptedWork is the work that this host has accepted lately, in millicores times seconds.
type acceptedWork struct {
	slots [acceptedSlots]float64
	last  int64
}

// advance clears the slots that have become too old.
func (w *acceptedWork) advance(now time.Duration) {
	slot := int64(now / acceptedSlot)
	for k := max(w.last+1, slot-acceptedSlots+1); k <= slot; k++ {
		w.slots[k%acceptedSlots] = 0
	}
	w.last = max(w.last, slot)
}

func (w *acceptedWork) add(now time.Duration, work float64) {
	w.advance(now)
	w.slots[w.last%acceptedSlots] += work
}

// since returns the work accepted within age, as far as it is known.
func (w *acceptedWork) since(now, age time.Duration) float64 {
	if w == nil {
		return 0
	}
	w.advance(now)
	sum := 0.0
	for k := range min(int64(age/acceptedSlot)+1, acceptedSlots) {
		sum += w.slots[(w.last-k+acceptedSlots)%acceptedSlots]
	}
	return sum
}

// scale returns how many times the work that this host accepts all hosts do, if arriving is
// what arrives in a second.
func (w *acceptedWork) scale(now time.Duration, arriving float64) float64 {
	own := w.since(now, acceptedSlots*acceptedSlot) / (acceptedSlots * acceptedSlot).Seconds()
	if own <= 0 {
		return 1
	}
	return min(max(arriving/own, 1), maxScale)
}

// refusalQueue has the work of the refused jobs of one group, in millicores times seconds.
// Work that was refused before a job and has not returned goes before it.
type refusalQueue struct {
	refused, settled float64
	// jobs is the number of refused jobs that are remembered.
	jobs int
}

// refusal is a job that was refused and has not returned.
type refusal struct {
	key  refusalKey
	work float64
	// position is the refused work of the queue before this job.
	position float64
	// returnsAt is the steady time that its caller was told.
	returnsAt time.Duration
	count     int
}

// refusals remembers the jobs that a host has refused, so that their callers go before new
// ones when they return. It is bounded in time by returnGrace and in number by maxRefused.
type refusals struct {
	jobs   map[heatherhub.JobID]refusal
	queues map[refusalKey]*refusalQueue
}

// ahead returns the refused work that goes before a job.
func (r *refusals) ahead(id heatherhub.JobID, key refusalKey) float64 {
	q := r.queues[key]
	if q == nil {
		return 0
	}
	position := q.refused
	if old, ok := r.jobs[id]; ok {
		position = old.position
	}
	return max(position-q.settled, 0)
}

// add notes a refused job. Its caller keeps its position if it was refused before.
func (r *refusals) add(id heatherhub.JobID, next refusal) int {
	old, isKnown := r.jobs[id]
	if isKnown && old.key == next.key {
		old.returnsAt, old.count = next.returnsAt, old.count+1
		r.jobs[id] = old
		return old.count
	}
	if isKnown {
		r.settle(id)
	}
	if len(r.jobs) >= maxRefused {
		return 1
	}
	q := r.queues[next.key]
	if q == nil {
		q = &refusalQueue{}
		r.queues[next.key] = q
	}
	next.position, next.count = q.refused, 1
	q.refused += next.work
	q.jobs++
	r.jobs[id] = next
	return 1
}

// settle forgets a job that was accepted or whose caller has not returned.
func (r *refusals) settle(id heatherhub.JobID) {
	old, ok := r.jobs[id]
	if !ok {
		return
	}
	delete(r.jobs, id)
	if q := r.queues[old.key]; q != nil {
		q.settled += old.work
		if q.jobs--; q.jobs == 0 {
			delete(r.queues, old.key)
		}
	}
}

// expire forgets the callers that have not returned in time.
func (r *refusals) expire(now time.Duration) {
	for id, old := range r.jobs {
		if now-old.returnsAt > returnGrace {
			r.settle(id)
		}
	}
}

// AdmissionConfig holds the dependencies of an Admission.
type AdmissionConfig struct {
	// Shards returns the shards of the site.
	Shards func() []record.ShardSize
	Clock  Clock
	Log    *zap.Logger
	// Registry registers the metrics, if set.
	Registry prometheus.Registerer
}

// Admission refuses jobs that would end after their value is over in any shard. It is safe
// for concurrent use.
type Admission struct {
	cfg       AdmissionConfig
	decisions *prometheus.CounterVec
	retries   prometheus.Histogram

	mu       sync.Mutex
	loads    map[heatherhub.ShardID]observedLoad
	accepted map[refusalKey]*acceptedWork
	refusals refusals
}

// NewAdmission returns an Admission that has read no loads and refuses nothing.
func NewAdmission(cfg AdmissionConfig) *Admission {
	a := &Admission{
		cfg: cfg, loads: make(map[heatherhub.ShardID]observedLoad), accepted: make(map[refusalKey]*acceptedWork),
		refusals: refusals{jobs: make(map[heatherhub.JobID]refusal), queues: make(map[refusalKey]*refusalQueue)},
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_admissions_total", Help: "Submitted jobs by what the estimate of their end says.",
		}, []string{"outcome"}),
		retries: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "heatherhub_admission_retry_seconds", Help: "Retry-After of jobs refused by estimate.", Buckets: []float64{1, 2, 5, 10, 20, 30},
		}),
	}
	if cfg.Registry != nil {
		cfg.Registry.MustRegister(a.decisions, a.retries)
	}
	return a
}

// Observe notes loads that were read.
func (a *Admission) Observe(loads map[heatherhub.ShardID]record.Load) {
	now := a.cfg.Clock.Now().Steady
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusals.expire(now)
	for id, l := range loads {
		if old, ok := a.loads[id]; !ok || l.Revision > old.Revision {
			a.loads[id] = observedLoad{Load: l, seenAt: now}
		}
	}
	maps.DeleteFunc(a.loads, func(id heatherhub.ShardID, _ observedLoad) bool {
		_, ok := loads[id]
		return !ok
	})
}

// Decide returns nil if a job may be submitted, and otherwise why it may not. The caller calls
// Refused once it is certain that the job was not accepted before, and Accepted for jobs
// that are accepted.
func (a *Admission) Decide(flow *heatherhub.Workflow) *Refusal {
	now := a.cfg.Clock.Now()
	shards := a.cfg.Shards()
	key := keyOf(flow)
	a.mu.Lock()
	defer a.mu.Unlock()
	if flow.IsLongRunning() {
		if leavesRoomForBatch(flow, shards, a.loads, now) {
			return nil
		}
		return &Refusal{Reason: reasonNoRoom, RetryAfter: longRunningRetry(flow.ID), key: key}
	}
	r := assess(flow, shards, a.loads, now, a.accepted[key], a.refusals.ahead(flow.ID, key))
	if !r.isLate() {
		return nil
	}
	return &Refusal{Reason: reasonTooLate, Assessment: r, key: key, RetryAfter: min(max(r.Excess, minAdmissionRetry), maxAdmissionRetry)}
}

// Refusal says why a job is not submitted.
type Refusal struct {
	// Assessment is set for batch jobs only.
	Assessment
	Reason     refusalReason
	RetryAfter time.Duration
	key        refusalKey
}

// Refused remembers that a job was refused, and returns the error for its caller.
func (a *Admission) Refused(flow *heatherhub.Workflow, r *Refusal) error {
	count := 0
	if r.Reason == reasonTooLate {
		a.mu.Lock()
		count = a.refusals.add(flow.ID, refusal{key: r.key, work: flow.Work(), returnsAt: a.cfg.Clock.Now().Steady + r.RetryAfter})
		a.mu.Unlock()
	}
	a.decisions.WithLabelValues("refused").Inc()
	a.retries.Observe(r.RetryAfter.Seconds())
	a.cfg.Log.Info("job refused", zap.String("job", string(flow.ID)), zap.String("queue", string(flow.Queue)), zap.String("why", string(r.Reason)),
		zap.Stringer("shard", r.Shard), zap.Duration("wait", r.Wait), zap.Duration("end", r.End), zap.Duration("valueUntil", r.ValueUntil),
		zap.Duration("retryAfter", r.RetryAfter), zap.Int("count", count))
	return heatherhub.WithRetryAfter(heatherhub.ErrUnavailable.New("the job was not accepted (%s): try again later", r.Reason), r.RetryAfter)
}

// Accepted notes a job that was accepted, and forgets its refusals. The work of a job counts only if isNew says
// that it was not accepted before.
func (a *Admission) Accepted(flow *heatherhub.Workflow, isNew bool) {
	a.decisions.WithLabelValues("accepted").Inc()
	if flow.Schedule != nil || flow.IsLongRunning() {
		return
	}
	now := a.cfg.Clock.Now().Steady
	key := keyOf(flow)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusals.settle(flow.ID)
	if !isNew {
		return
	}
	w := a.accepted[key]
	if w == nil {
		w = &acceptedWork{}
		a.accepted[key] = w
	}
	w.add(now, flow.Work())
}
