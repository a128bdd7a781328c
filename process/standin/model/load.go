package model

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
)

const (
	// fullShare lifts a throttle.
	fullShare heatherhub.Percent = 100
	// contentionThreshold is the share of all processors from which everything on
	// the worker slows down.
	contentionThreshold = 0.8
	// contentionSlope is the slowdown for each unit of use above the knee.
	contentionSlope = 5.0
	// idleShare is the part of its size that a service uses without requests.
	idleShare = 0.1
	// requestCPU is what one running request uses.
	requestCPU heatherhub.MilliCPU = 1000
)

// load is the current use of the processors.
type load struct {
	total   heatherhub.MilliCPU
	byClass map[string]heatherhub.MilliCPU
	stale   bool
}

// slowdown is the interference that a workload has from one class.
type slowdown struct {
	class  string
	factor float64
}

// slowdownsByWorkload orders the interference, so that equal configurations
// give equal results to the last digit.
func slowdownsByWorkload(all Interference) map[heatherhub.WorkloadID][]slowdown {
	out := make(map[heatherhub.WorkloadID][]slowdown)
	for pair, factor := range all {
		out[pair.Workload] = append(out[pair.Workload], slowdown{class: pair.Class, factor: factor})
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b slowdown) int { return strings.Compare(a.class, b.class) })
	}
	return out
}

// updateLoad computes the load anew after a change.
func (w *Worker) updateLoad() {
	if !w.load.stale {
		return
	}
	w.load.total = 0
	w.load.stale = false
	clear(w.load.byClass)
	for _, t := range w.tasks {
		if !t.isRunning() {
			continue
		}
		used := taskUsage(t, float64(t.activeRequests)).CPU
		w.load.total += used
		if t.status.Task.Kind == heatherhub.KindBatch {
			w.load.byClass[t.status.Task.Class] += used
		}
	}
}

// slowdownFactor is the factor by which a workload's work takes longer at present.
func (w *Worker) slowdownFactor(id heatherhub.WorkloadID) float64 {
	w.updateLoad()
	capacity := float64(max(w.cfg.Host.Capacity.CPU, 1))
	factor := 1.0
	for _, s := range w.slowdowns[id] {
		factor *= 1 + s.factor*float64(w.load.byClass[s.class])/capacity
	}
	if over := float64(w.load.total)/capacity - contentionThreshold; over > 0 {
		factor *= 1 + contentionSlope*over
	}
	return factor
}

// rate is the progress of a batch task for each unit of time.
func (w *Worker) rate(t *task) float64 {
	if w.frozen {
		return 0
	}
	return float64(t.status.Throttle) / float64(fullShare) / w.slowdownFactor(t.status.Task.Workload)
}

// taskUsage returns what a task uses with a number of concurrent requests.
func taskUsage(t *task, concurrency float64) heatherhub.Resources {
	used := t.size
	if t.status.Task.Kind == heatherhub.KindService {
		idle := heatherhub.MilliCPU(idleShare * float64(t.size.CPU))
		used.CPU = min(t.size.CPU, idle+heatherhub.MilliCPU(concurrency*float64(requestCPU)))
	}
	used.CPU = used.CPU * heatherhub.MilliCPU(t.status.Throttle) / heatherhub.MilliCPU(fullShare)
	return used
}

func trueSize(t heatherhub.Task, seed uint64, sizeError float64) heatherhub.Resources {
	size := t.Size
	cpu := errorFactor(seed, "cpu", t.Workload, sizeError)
	memory := errorFactor(seed, "memory", t.Workload, sizeError)
	size.CPU = heatherhub.MilliCPU(float64(size.CPU) * cpu)
	size.Memory = heatherhub.Megabytes(float64(size.Memory) * memory)
	return size
}

// errorFactor draws the true amount of a workload as a factor of the declared
// one, evenly on a log scale from 1/(1+largest) to 1+largest.
func errorFactor(seed uint64, what string, id heatherhub.WorkloadID, largest float64) float64 {
	if largest <= 0 {
		return 1
	}
	h := xxhash.Sum64String(strconv.FormatUint(seed, 16) + "/" + what + "/" + string(id))
	u := float64(h>>11)/float64(1<<53)*2 - 1
	return math.Pow(1+largest, u)
}

func sortUsage(u []worker.TaskUsage) {
	slices.SortFunc(u, func(a, b worker.TaskUsage) int {
		return strings.Compare(string(a.Task), string(b.Task))
	})
}
