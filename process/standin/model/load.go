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
	// fullShare is the throttle of a task that is not limited.
	fullShare heatherhub.Percent = 100
	// contentionThreshold is the share of the worker's processors in use above
	// which all its work slows down.
	contentionThreshold = 0.8
	// contentionSlope is the slowdown for each unit of use above the threshold:
	// work takes twice as long at full use.
	contentionSlope = 5.0
	// idleShare is the share of its processors that an idle service replica uses.
	idleShare = 0.1
	// requestCPU is the processor use of one running request.
	requestCPU heatherhub.MilliCPU = 1000
)

// load caches the present use of the processors.
type load struct {
	total   heatherhub.MilliCPU
	byClass map[string]heatherhub.MilliCPU
	// stale says that a task or a request has changed since the last computation.
	stale bool
}

// slowdown is the interference of one batch class with a workload.
type slowdown struct {
	class  string
	factor float64
}

// slowdownsByWorkload groups the interference by workload in order of class. The
// fixed order makes the rounding of their product reproducible.
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

// updateLoad recomputes the load if it is stale.
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

// slowdownFactor returns the factor by which a workload's work takes longer under
// the present load: 1 plus the interference of each batch class, multiplied, times
// the contention.
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

// rate returns the progress of a batch task for each unit of time: 1 at full
// speed, 0 on a frozen worker.
func (w *Worker) rate(t *task) float64 {
	if w.frozen {
		return 0
	}
	return float64(t.status.Throttle) / float64(fullShare) / w.slowdownFactor(t.status.Task.Workload)
}

// taskUsage returns the resources that a task uses at a mean number of concurrent
// requests.
func taskUsage(t *task, concurrency float64) heatherhub.Resources {
	used := t.size
	if t.status.Task.Kind == heatherhub.KindService {
		idle := heatherhub.MilliCPU(idleShare * float64(t.size.CPU))
		used.CPU = min(t.size.CPU, idle+heatherhub.MilliCPU(concurrency*float64(requestCPU)))
	}
	used.CPU = used.CPU * heatherhub.MilliCPU(t.status.Throttle) / heatherhub.MilliCPU(fullShare)
	return used
}

// trueSize draws the true size of a task's workload.
func trueSize(t heatherhub.Task, seed uint64, sizeError float64) heatherhub.Resources {
	size := t.Size
	cpu := errorFactor(seed, "cpu", t.Workload, sizeError)
	memory := errorFactor(seed, "memory", t.Workload, sizeError)
	size.CPU = heatherhub.MilliCPU(float64(size.CPU) * cpu)
	size.Memory = heatherhub.Megabytes(float64(size.Memory) * memory)
	return size
}

// errorFactor returns the ratio of a workload's true amount to the declared one. It
// is a hash of seed, what and id, uniform on a log scale from 1/(1+largest) to
// 1+largest.
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
