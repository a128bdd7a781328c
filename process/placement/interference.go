package placement

import (
	"math"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
)

// Indices of the features of a slowdownModel. From featureClasses on, each batch class
// has one.
const (
	featureBase = iota
	featureLoad
	featurePressure
	featureClasses
)

const (
	// pressureKnee is the processor utilization of a worker, as a fraction, above
	// which all tasks slow each other regardless of their class.
	pressureKnee = 0.75
	// priorBase, priorLoad and priorPressure are the prior variances of the
	// coefficients that do not belong to a class; their prior mean is 0.
	priorBase     = 4.0
	priorLoad     = 0.5
	priorPressure = 4.0
	// priorSlowdown and priorVariance are the prior mean and variance of the slowdown
	// of a service by a class.
	priorSlowdown = 0.3
	priorVariance = 1.0
	// uncertaintyMargin is the number of standard deviations that placement adds to
	// an estimated slowdown.
	uncertaintyMargin = 0.5
	// fullWeight is the number of requests in a report that gives it weight 1.
	fullWeight = 10.0
	maxWeight  = 3.0
)

// slowdownModel estimates the logarithm of a service's time per request as a linear
// function of the replica's load, the worker's utilization above pressureKnee and the
// processor share of each batch class on the worker.
type slowdownModel struct {
	model      kalman
	classes    map[string]int
	observedAt time.Time
}

func newSlowdownModel() *slowdownModel {
	s := &slowdownModel{classes: make(map[string]int)}
	s.model.grow(0, priorBase)
	s.model.grow(0, priorLoad)
	s.model.grow(0, priorPressure)
	return s
}

// feature returns the index of the feature of a class and adds it if it is new.
func (s *slowdownModel) feature(class string) int {
	i, ok := s.classes[class]
	if !ok {
		i = len(s.model.mean)
		s.classes[class] = i
		s.model.grow(priorSlowdown, priorVariance)
	}
	return i
}

// slowdown returns the logarithm of the estimated slowdown by a class that uses all
// processors of the worker, and its standard deviation.
func (s *slowdownModel) slowdown(class string) (mean, deviation float64) {
	i, ok := s.classes[class]
	if !ok {
		return priorSlowdown, math.Sqrt(priorVariance)
	}
	return max(s.model.mean[i], 0), s.model.deviation(i)
}

// upperEstimate returns the slowdown plus uncertaintyMargin standard deviations.
func (s *slowdownModel) upperEstimate(class string) float64 {
	mean, deviation := s.slowdown(class)
	return mean + uncertaintyMargin*deviation
}

// classUsage is the processor usage of one batch class as a fraction of the worker's
// processors.
type classUsage struct {
	class string
	share float64
}

// nodeUsage is the processor usage in one report, as fractions of the worker's
// processors.
type nodeUsage struct {
	// cpuShare includes services and tasks that the scheduler does not know.
	cpuShare float64
	classes  []classUsage
}

func (u *nodeUsage) add(class string, share float64) {
	for i := range u.classes {
		if u.classes[i].class == class {
			u.classes[i].share += share
			return
		}
	}
	u.classes = append(u.classes, classUsage{class, share})
}

func (c *Colocator) nodeUsageOf(n *node, u worker.Usage) nodeUsage {
	var usage nodeUsage
	capacity := float64(max(n.host.Capacity.CPU, 1))
	for _, t := range u.Tasks {
		share := float64(t.Used.CPU) / capacity
		usage.cpuShare += share
		if e := c.entries[t.Task]; e != nil && !e.isService() {
			usage.add(e.task.Class, share)
		}
	}
	return usage
}

// learnSlowdown updates the model of a service with one replica's report.
func (c *Colocator) learnSlowdown(at time.Time, e *entry, u worker.TaskUsage, usage nodeUsage) {
	m := c.slowdownModelOf(e.task.Workload)
	for _, k := range usage.classes {
		m.feature(k.class)
	}
	x := make([]float64, len(m.model.mean))
	x[featureBase] = 1
	x[featureLoad] = float64(u.Used.CPU) / float64(max(e.task.Size.CPU, 1))
	x[featurePressure] = max(usage.cpuShare-pressureKnee, 0)
	for _, k := range usage.classes {
		x[m.classes[k.class]] = k.share
	}
	if !m.observedAt.IsZero() && at.After(m.observedAt) {
		m.model.drift(at.Sub(m.observedAt).Seconds())
	}
	m.observedAt = at
	weight := min(float64(u.Requests)/fullWeight, maxWeight)
	m.model.observe(x, math.Log(u.Latency.Seconds()), weight)
}

func (c *Colocator) slowdownModelOf(id heatherhub.WorkloadID) *slowdownModel {
	m, ok := c.slowdownModels[id]
	if !ok {
		m = newSlowdownModel()
		c.slowdownModels[id] = m
	}
	return m
}

// addedInterference estimates how much a batch task of a planned size would slow the
// replicas on a node. It sums the logarithms of the slowdowns, weighted by how close
// each replica is to the latency that triggers mitigation.
func (c *Colocator) addedInterference(n *node, t *heatherhub.Task, size heatherhub.Resources) float64 {
	share := float64(size.CPU) / float64(max(n.host.Capacity.CPU, 1))
	sum := 0.0
	for _, e := range n.services {
		sum += c.slowdownModelOf(e.task.Workload).upperEstimate(t.Class) * share * (baseLatencyWeight + e.latencyRatio)
	}
	return sum
}

// interferenceOn estimates how much the batch tasks on a node slow a service, as a
// logarithm.
func (c *Colocator) interferenceOn(n *node, id heatherhub.WorkloadID) float64 {
	m := c.slowdownModelOf(id)
	capacity := float64(max(n.host.Capacity.CPU, 1))
	sum := 0.0
	for _, e := range n.tasks {
		if !e.isService() {
			sum += m.upperEstimate(e.task.Class) * float64(e.planned.CPU) / capacity
		}
	}
	return sum
}

// Slowdown is the learned effect of a batch class on a service.
type Slowdown struct {
	Service heatherhub.WorkloadID `json:"service"`
	Class   string                `json:"class"`
	// Factor is the service's time per request on a worker whose processors are all
	// used by the class, relative to a worker without the class.
	Factor float64 `json:"factor"`
	// Deviation is the standard deviation of the factor's logarithm.
	Deviation float64 `json:"deviation"`
}

// Slowdown returns the learned effect of a class on a service, or the prior if nothing
// was observed.
func (c *Colocator) Slowdown(service heatherhub.WorkloadID, class string) Slowdown {
	mean, deviation := c.slowdownModelOf(service).slowdown(class)
	return Slowdown{Service: service, Class: class, Factor: math.Exp(mean), Deviation: deviation}
}
