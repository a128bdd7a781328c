package placement

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
)

const (
	// baseLatencyWeight is the weight of interference with a replica whose latency is
	// far below its deadline. It is added to the replica's latency ratio.
	baseLatencyWeight = 0.1
	// latencySmoothing is the weight of a new report in a replica's smoothed latency.
	latencySmoothing = 0.4
	// relaxReports is the number of reports with low latency before a throttle is
	// relaxed.
	relaxReports = 3
	// minAntagonistEffect is the logarithm of the slowdown above which a class can be
	// the antagonist of a service.
	minAntagonistEffect = 0.05
	// minCPUShare is the lowest processor share for a task with a learned usage
	// above what its node can give.
	minCPUShare = heatherhub.Percent(10)
	// evenTailWeight is the relative weight of tail latency that leaves the high
	// latency share unchanged. tailWeightEffect is how much other weights change it.
	evenTailWeight   = 0.5
	tailWeightEffect = 0.2
	// classBackoff is how long a class is not placed on a node after a mitigation.
	classBackoff = 45 * time.Second
)

// throttleSteps are the processor shares of successive throttles of a class.
var throttleSteps = []heatherhub.Percent{100, 50, 25}

// mitigation is the state of the mitigation of interference on one node: throttling,
// then evicting, the class that slows a service most.
type mitigation struct {
	// step is the index in throttleSteps of the throttle on class.
	step  int
	class string
	// changedAt is when the last mitigation or relaxation was ordered.
	changedAt time.Time
	// lowReports counts the reports with low latency since the last high one.
	lowReports int
	// isHigh means that a service had high latency in the last report.
	isHigh bool
	// hasReport means that a report arrived since the last Decide.
	hasReport bool
	// reportedAt and usage belong to the last report.
	reportedAt time.Time
	usage      nodeUsage
	// backoffUntil is when class may be placed on the node again.
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

// observeLatency updates the smoothed latency of a replica and the slowdown model of its
// service. A service without a deadline is ignored.
func (c *Colocator) observeLatency(at time.Time, e *entry, t worker.TaskUsage, usage nodeUsage) {
	w := c.snapshot.Workload(e.task.Workload)
	if w == nil || w.Deadline <= 0 {
		return
	}
	c.learnSlowdown(at, e, t, usage)
	ratio := t.Latency.Seconds() / (w.Deadline.Seconds() * c.highLatencyShare(w))
	if e.latencyRatio == 0 {
		e.latencyRatio = ratio
		return
	}
	e.latencyRatio += latencySmoothing * (ratio - e.latencyRatio)
}

// highLatencyShare returns the fraction of a service's deadline that triggers mitigation.
// It is lower for a service whose weights favor its tail latency over batch work.
func (c *Colocator) highLatencyShare(w *heatherhub.Workload) float64 {
	tail := evenTailWeight
	if sum := w.Weights.TailLatency + w.Weights.Throughput + w.Weights.Evictions; sum > 0 {
		tail = w.Weights.TailLatency / sum
	}
	return float64(c.cfg.HighLatencyShare) / 100 * (1 + tailWeightEffect*(evenTailWeight-tail))
}

// mitigateReported updates the mitigation on nodes with new reports.
func (c *Colocator) mitigateReported(now time.Time) {
	for _, n := range c.reportedNodes {
		n.mitigation.hasReport = false
		if c.nodes[n.id] == n {
			c.mitigateNode(now, n)
		}
	}
	c.reportedNodes = c.reportedNodes[:0]
}

// mitigateNode escalates the mitigation while a service has high latency and relaxes it
// after relaxReports reports with low latency. Between the two shares it changes nothing.
func (c *Colocator) mitigateNode(now time.Time, n *node) {
	m := &n.mitigation
	ratio, service := n.worstLatencyRatio()
	m.isHigh = ratio >= 1
	switch {
	case m.reportedAt.Sub(m.changedAt) < c.cfg.Cooldown:
	case m.isHigh:
		m.lowReports = 0
		c.escalate(now, n, service)
	case ratio <= float64(c.cfg.LowLatencyShare)/float64(c.cfg.HighLatencyShare):
		m.lowReports++
		if m.step > 0 && m.lowReports >= relaxReports {
			c.relaxThrottle(now, n)
		}
	}
}

// worstLatencyRatio returns the largest latency ratio of the replicas on a node and its
// replica, if any. A ratio of 1 triggers mitigation.
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

// escalate takes the cheapest mitigation that is left: it throttles the antagonist of a
// service one step further or, at the last step, evicts one of its tasks.
func (c *Colocator) escalate(now time.Time, n *node, service *entry) {
	m := &n.mitigation
	class, ok := c.antagonist(n, service)
	if !ok || !c.canMitigate(now) {
		return
	}
	if class != m.class && m.step > 0 {
		c.setThrottle(n, m.class, 0)
	}
	if class != m.class {
		m.class, m.step = class, 0
	}
	m.backoffUntil = now.Add(classBackoff)
	if c.enabled(MechanismThrottle) && m.step < len(throttleSteps)-1 {
		m.step++
		c.setThrottle(n, class, m.step)
		c.recordMitigation(now, n)
		return
	}
	if c.enabled(MechanismEviction) && c.evictionBudget.remaining(now, c.evictionLimit(), false) > 0 {
		c.evictClass(now, n, class)
	}
}

// antagonist returns the batch class that slows a service most on a node, if its effect
// exceeds minAntagonistEffect.
func (c *Colocator) antagonist(n *node, service *entry) (string, bool) {
	m := c.slowdownModelOf(service.task.Workload)
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

// setThrottle applies a throttle step to the preemptible tasks of a class on a node.
func (c *Colocator) setThrottle(n *node, class string, step int) {
	for _, e := range n.tasks {
		if e.isPreemptible() && e.task.Class == class && e.state == stateReserved {
			c.throttle(e, throttleSteps[step]*e.maxCPUShare/fullShare, "adjusted to the latency of services on the worker")
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

// cpuShareLimit returns the processor share at which a batch task's learned usage stays
// within the free processors for batch on a node, but at least minCPUShare.
func (c *Colocator) cpuShareLimit(n *node, t *heatherhub.Task) heatherhub.Percent {
	p, ok := c.profiles[t.Workload]
	if !ok || t.Kind != heatherhub.KindBatch || !c.enabled(MechanismSizes) {
		return fullShare
	}
	free := max(n.free(scopeBatch).CPU, t.Size.CPU)
	if p.size.CPU <= free {
		return fullShare
	}
	return max(heatherhub.Percent(free*heatherhub.MilliCPU(fullShare)/p.size.CPU), minCPUShare)
}

// throttleStarted throttles newly started tasks whose learned usage exceeds what their
// node can give or whose class is throttled there.
func (c *Colocator) throttleStarted() {
	for _, e := range c.toThrottle {
		if e.node == nil || e.state != stateReserved {
			continue
		}
		share := e.maxCPUShare
		if m := &e.node.mitigation; e.isPreemptible() && m.class == e.task.Class {
			share = share * throttleSteps[m.step] / fullShare
		}
		c.throttle(e, share, "learned usage exceeds the free processors, or its class is throttled on the worker")
	}
	c.toThrottle = c.toThrottle[:0]
}

// evictClass evicts the task of a class that loses least work on a node.
func (c *Colocator) evictClass(now time.Time, n *node, class string) {
	e := c.cheapestVictim(now, n, nil, func(e *entry) bool { return e.task.Class == class })
	if e == nil {
		return
	}
	c.evict(now, e, "slows services on its worker")
	c.recordMitigation(now, n)
}

// relaxThrottle raises the throttle by one step.
func (c *Colocator) relaxThrottle(now time.Time, n *node) {
	m := &n.mitigation
	m.step--
	m.lowReports = 0
	c.setThrottle(n, m.class, m.step)
	m.changedAt = now
}

// canMitigate reports whether another mitigation is allowed: those within the cooldown,
// whose effect is unknown, are limited to MaxMitigatingShare of the workers.
func (c *Colocator) canMitigate(now time.Time) bool {
	recent := c.recentMitigations[:0]
	for _, at := range c.recentMitigations {
		if now.Sub(at) < c.cfg.Cooldown {
			recent = append(recent, at)
		}
	}
	c.recentMitigations = recent
	return len(recent) < max(1, len(c.nodes)*int(c.cfg.MaxMitigatingShare)/100)
}

func (c *Colocator) recordMitigation(now time.Time, n *node) {
	n.mitigation.changedAt = now
	c.recentMitigations = append(c.recentMitigations, now)
}

// rejectsClass reports whether a batch class should not be placed on a node, because a
// service there has high latency or the class is in backoff.
func (n *node) rejectsClass(now time.Time, class string) bool {
	return n.mitigation.isHigh || n.mitigation.class == class && now.Before(n.mitigation.backoffUntil)
}
