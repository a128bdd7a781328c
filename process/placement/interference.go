package placement

import (
	"math"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
)

const (
	// Features of the model of a service's time per request. The classes follow.
	featureBase = iota
	featureLoad
	featurePressure
	featureClasses
)

const (
	// pressureKnee is the share of a worker's processors from which all tasks
	// slow each other.
	pressureKnee  = 0.75
	priorBase     = 4.0
	priorLoad     = 0.5
	priorPressure = 4.0
	// priorSlowdown and priorVariance describe a pair of which nothing is known.
	priorSlowdown = 0.3
	priorVariance = 1.0
	// uncertaintyMargin is the number of deviations that are added to a slowdown before
	// work is placed beside a service.
	uncertaintyMargin = 0.5
	// fullWeight is the number of requests in a report that makes it an
	// ordinary observation.
	fullWeight = 10.0
	maxWeight  = 3.0
)

// slowdownModel is the model of one service: the logarithm of its time per request,
// by its own load, the use of the worker and the share of each batch class.
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

func (s *slowdownModel) feature(class string) int {
	i, ok := s.classes[class]
	if !ok {
		i = len(s.model.mean)
		s.classes[class] = i
		s.model.grow(priorSlowdown, priorVariance)
	}
	return i
}

// slowdown returns the estimated slowdown by a class that uses all processors,
// as a logarithm, and its deviation.
func (s *slowdownModel) slowdown(class string) (mean, deviation float64) {
	i, ok := s.classes[class]
	if !ok {
		return priorSlowdown, math.Sqrt(priorVariance)
	}
	return max(s.model.mean[i], 0), s.model.deviation(i)
}

// upperEstimate returns the slowdown with a margin for what is not known.
func (s *slowdownModel) upperEstimate(class string) float64 {
	mean, deviation := s.slowdown(class)
	return mean + uncertaintyMargin*deviation
}

// classUsage is the processor share of one batch class on a worker.
type classUsage struct {
	class string
	share float64
}

// nodeUsage is what a report says of a worker as a whole.
type nodeUsage struct {
	cpuShare float64
	classes  []classUsage
}

func (s *nodeUsage) add(class string, share float64) {
	for i := range s.classes {
		if s.classes[i].class == class {
			s.classes[i].share += share
			return
		}
	}
	s.classes = append(s.classes, classUsage{class, share})
}

func (c *Colocator) nodeUsageOf(n *node, u worker.Usage) nodeUsage {
	var s nodeUsage
	capacity := float64(max(n.host.Capacity.CPU, 1))
	for _, t := range u.Tasks {
		share := float64(t.Used.CPU) / capacity
		s.cpuShare += share
		if e := c.entries[t.Task]; e != nil && !e.isService() {
			s.add(e.task.Class, share)
		}
	}
	return s
}

// learnSlowdown takes one report of one replica.
func (c *Colocator) learnSlowdown(at time.Time, e *entry, u worker.TaskUsage, s nodeUsage) {
	m := c.slowdownModelOf(e.task.Workload)
	for _, k := range s.classes {
		m.feature(k.class)
	}
	x := make([]float64, len(m.model.mean))
	x[featureBase] = 1
	x[featureLoad] = float64(u.Used.CPU) / float64(max(e.task.Size.CPU, 1))
	x[featurePressure] = max(s.cpuShare-pressureKnee, 0)
	for _, k := range s.classes {
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

// addedInterference estimates how much a batch task would slow the services of a node,
// summed over their replicas and weighed by how near each is to its limit.
func (c *Colocator) addedInterference(n *node, t *heatherhub.Task, size heatherhub.Resources) float64 {
	share := float64(size.CPU) / float64(max(n.host.Capacity.CPU, 1))
	sum := 0.0
	for _, e := range n.services {
		sum += c.slowdownModelOf(e.task.Workload).upperEstimate(t.Class) * share * (baseLatencyWeight + e.latencyRatio)
	}
	return sum
}

// interferenceOn estimates how much the batch tasks of a node slow a service.
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

// Slowdown is the learnt effect of a batch class on a service.
type Slowdown struct {
	Service heatherhub.WorkloadID `json:"service"`
	Class   string                `json:"class"`
	// Factor is the time per request relative to a worker without the class,
	// when the class uses all processors.
	Factor float64 `json:"factor"`
	// Deviation is the standard deviation of the factor's logarithm.
	Deviation float64 `json:"deviation"`
}

// Slowdown returns what was learnt of one pair.
func (c *Colocator) Slowdown(service heatherhub.WorkloadID, class string) Slowdown {
	mean, deviation := c.slowdownModelOf(service).slowdown(class)
	return Slowdown{Service: service, Class: class, Factor: math.Exp(mean), Deviation: deviation}
}
