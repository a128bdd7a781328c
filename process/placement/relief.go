package placement

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
)

const (
	// baseLatencyWeight is the weight of a service that is far from its deadline.
	baseLatencyWeight = 0.1
	// latencySmoothing is the part of a replica's smoothed latency that one report
	// replaces.
	latencySmoothing = 0.4
	// relaxReports is the number of calm reports before relief is taken back.
	relaxReports = 3
	// minAntagonistEffect is the estimated slowdown by a class, as a logarithm, below which
	// it is not held responsible.
	minAntagonistEffect = 0.05
	// minCPUShare is the smallest processor share of a task that exceeds its room.
	minCPUShare = heatherhub.Percent(10)
	// evenTailWeight is the part of the tail latency in weights that are even, and
	// tailWeightEffect the effect of other weights on the share that calls for relief.
	evenTailWeight   = 0.5
	tailWeightEffect = 0.2
	// classBackoff is how long a class is not placed on a worker that it disturbed.
	classBackoff = 45 * time.Second
)

// throttleSteps are the processor shares of successive throttles.
var throttleSteps = []heatherhub.Percent{100, 50, 25}

// mitigation is the state of the measures against interference on one worker.
type mitigation struct {
	// step is the index of the throttle in force for the class.
	step  int
	class string
	// changedAt is when the last measure was taken.
	changedAt  time.Time
	lowReports int
	isHigh     bool
	// hasReport says that a report came since the last look.
	hasReport  bool
	reportedAt time.Time
	usage      nodeUsage
	// backoffUntil is when the class may come back.
	backoffUntil time.Time
}

// Observe implements Scheduler.
func (c *Colocator) Observe(_ time.Time, u worker.Usage) {
	n, ok := c.nodes[u.Worker]
	if !ok || !u.At.After(n.mitigation.reportedAt) {
		return
	}
	n.mitigation.reportedAt = u.At
	n.mitigation.usage = c.nodeUsageOf(n, u)
	for _, t := range u.Tasks {
		e := c.entries[t.Task]
		if e == nil || e.node != n {
			continue
		}
		if e.throttle == fullShare {
			c.profileOf(e.task.Workload).observeUsage(t.Used)
		}
		if e.isService() && t.Requests > 0 && t.Latency > 0 {
			c.observeLatency(u.At, e, t, n.mitigation.usage)
		}
	}
	if !n.mitigation.hasReport {
		n.mitigation.hasReport = true
		c.reportedNodes = append(c.reportedNodes, n)
	}
}

func (c *Colocator) observeLatency(at time.Time, e *entry, t worker.TaskUsage, s nodeUsage) {
	w := c.snapshot.Workload(e.task.Workload)
	if w == nil || w.Deadline <= 0 {
		return
	}
	c.learnSlowdown(at, e, t, s)
	strain := t.Latency.Seconds() / (w.Deadline.Seconds() * c.highLatencyShare(w))
	if e.latencyRatio == 0 {
		e.latencyRatio = strain
		return
	}
	e.latencyRatio += latencySmoothing * (strain - e.latencyRatio)
}

// highLatencyShare is the share of a service's deadline that calls for relief. It is lower
// for a service whose weights put its tail latency before batch work.
func (c *Colocator) highLatencyShare(w *heatherhub.Workload) float64 {
	tail := evenTailWeight
	if sum := w.Weights.TailLatency + w.Weights.Throughput + w.Weights.Evictions; sum > 0 {
		tail = w.Weights.TailLatency / sum
	}
	return float64(c.cfg.HighLatencyShare) / 100 * (1 + tailWeightEffect*(evenTailWeight-tail))
}

// mitigateReported takes the next measure on workers with new reports.
func (c *Colocator) mitigateReported(now time.Time) {
	for _, n := range c.reportedNodes {
		n.mitigation.hasReport = false
		if c.nodes[n.id] == n {
			c.mitigateNode(now, n)
		}
	}
	c.reportedNodes = c.reportedNodes[:0]
}

func (c *Colocator) mitigateNode(now time.Time, n *node) {
	r := &n.mitigation
	strain, victim := n.worstLatencyRatio()
	r.isHigh = strain >= 1
	switch {
	case r.reportedAt.Sub(r.changedAt) < c.cfg.Cooldown:
	case r.isHigh:
		r.lowReports = 0
		c.escalate(now, n, victim)
	case strain <= float64(c.cfg.LowLatencyShare)/float64(c.cfg.HighLatencyShare):
		r.lowReports++
		if r.step > 0 && r.lowReports >= relaxReports {
			c.relaxThrottle(now, n)
		}
	}
}

// worstLatencyRatio returns the worstLatencyRatio of the node's most strained service; 1 calls for
// relief.
func (n *node) worstLatencyRatio() (float64, *entry) {
	var worst *entry
	for _, e := range n.services {
		if worst == nil || e.latencyRatio > worst.latencyRatio {
			worst = e
		}
	}
	if worst == nil {
		return 0, nil
	}
	return worst.latencyRatio, worst
}

// escalate takes the cheapest measure that is left: a throttle, then evictions.
func (c *Colocator) escalate(now time.Time, n *node, victim *entry) {
	r := &n.mitigation
	class, ok := c.antagonist(n, victim)
	if !ok || !c.canMitigate(now) {
		return
	}
	if class != r.class && r.step > 0 {
		c.setThrottle(n, r.class, 0)
	}
	if class != r.class {
		r.class, r.step = class, 0
	}
	r.backoffUntil = now.Add(classBackoff)
	if c.enabled(MechanismThrottle) && r.step < len(throttleSteps)-1 {
		r.step++
		c.setThrottle(n, class, r.step)
		c.recordMitigation(now, n)
		return
	}
	if c.enabled(MechanismEviction) && c.evictionBudget.remaining(now, c.evictionLimit(), false) > 0 {
		c.evictClass(now, n, class)
	}
}

// antagonist returns the class that slows a service most.
func (c *Colocator) antagonist(n *node, victim *entry) (string, bool) {
	m := c.slowdownModelOf(victim.task.Workload)
	pressure := 0.0
	if n.mitigation.usage.cpuShare > pressureKnee {
		pressure = max(m.model.mean[featurePressure], 0)
	}
	best, most := "", minAntagonistEffect
	for _, k := range n.mitigation.usage.classes {
		mean, _ := m.slowdown(k.class)
		if effect := (mean + pressure) * k.share; effect > most {
			best, most = k.class, effect
		}
	}
	return best, most > minAntagonistEffect
}

func (c *Colocator) setThrottle(n *node, class string, step int) {
	for _, e := range n.tasks {
		if e.isPreemptible() && e.task.Class == class && e.state == stateReserved {
			c.throttle(e, throttleSteps[step]*e.maxCPUShare/fullShare, "services on its worker are slow or calm again")
		}
	}
}

func (c *Colocator) throttle(e *entry, share heatherhub.Percent, reason string) {
	if e.throttle == share {
		return
	}
	e.throttle = share
	c.emit(Action{Kind: ActionThrottle, Task: e.task, Worker: e.node.id, CPUShare: share, Reason: reason})
}

// cpuShareLimit returns the processor share at which a batch task's learnt use stays
// within the room that batch has on a node.
func (c *Colocator) cpuShareLimit(n *node, t *heatherhub.Task) heatherhub.Percent {
	p, ok := c.profiles[t.Workload]
	if !ok || t.Kind != heatherhub.KindBatch || !c.enabled(MechanismSizes) {
		return fullShare
	}
	room := max(n.free(scopeBatch).CPU, t.Size.CPU)
	if p.size.CPU <= room {
		return fullShare
	}
	return max(heatherhub.Percent(room*heatherhub.MilliCPU(fullShare)/p.size.CPU), minCPUShare)
}

// throttleStarted throttles tasks that have started beyond their room, and those of
// a class that is throttled on their worker.
func (c *Colocator) throttleStarted() {
	for _, e := range c.toThrottle {
		if e.node == nil || e.state != stateReserved {
			continue
		}
		share := e.maxCPUShare
		if r := &e.node.mitigation; e.isPreemptible() && r.class == e.task.Class {
			share = share * throttleSteps[r.step] / fullShare
		}
		c.throttle(e, share, "uses more than its room, or its class is throttled here")
	}
	c.toThrottle = c.toThrottle[:0]
}

// evictClass evicts the task of a class that loses least for the processors that
// it gives back.
func (c *Colocator) evictClass(now time.Time, n *node, class string) {
	e := c.cheapestVictim(now, n, nil, func(e *entry) bool { return e.task.Class == class })
	if e == nil {
		return
	}
	c.evict(now, e, "slows services on its worker")
	c.recordMitigation(now, n)
}

// relaxThrottle takes back one step.
func (c *Colocator) relaxThrottle(now time.Time, n *node) {
	r := &n.mitigation
	r.step--
	r.lowReports = 0
	c.setThrottle(n, r.class, r.step)
	r.changedAt = now
}

// canMitigate bounds the workers that are under a change whose effect is not known.
func (c *Colocator) canMitigate(now time.Time) bool {
	kept := c.recentMitigations[:0]
	for _, at := range c.recentMitigations {
		if now.Sub(at) < c.cfg.Cooldown {
			kept = append(kept, at)
		}
	}
	c.recentMitigations = kept
	return len(kept) < max(1, len(c.nodes)*int(c.cfg.MaxMitigatingShare)/100)
}

func (c *Colocator) recordMitigation(now time.Time, n *node) {
	n.mitigation.changedAt = now
	c.recentMitigations = append(c.recentMitigations, now)
}

// rejectsClass reports whether a batch class should not come to a node now.
func (n *node) rejectsClass(now time.Time, class string) bool {
	return n.mitigation.isHigh || n.mitigation.class == class && now.Before(n.mitigation.backoffUntil)
}
