package colocation

import (
	"fmt"
	"time"

	"heatherhub.example/heatherhub"
)

const (
	// backlogFactor is the size of the batch backlog at the start, relative to the batch
	// capacity of the site.
	backlogFactor = 0.6
	// urgentShare is the share of jobs with urgent priority.
	urgentShare = 0.02
)

// batchCapacity returns the processor capacity that the preset in force leaves to batch
// tasks, in thousandths of a processor.
func (sim *simulation) batchCapacity() float64 {
	p := sim.snapshot.PresetInForce()
	return float64(sim.site.Capacity.CPU) * float64(sim.site.Workers) * float64(p.BatchShare) / 100
}

// addBacklog queues the batch backlog that exists at the start.
func (sim *simulation) addBacklog() {
	for _, b := range sim.site.Batch {
		left := backlogFactor * b.Share * sim.batchCapacity()
		for left > 0 {
			left -= sim.addJob(b)
		}
	}
}

// addJob queues a job and returns the sum of its task sizes in thousandths of a processor.
func (sim *simulation) addJob(b BatchLoad) float64 {
	w := sim.snapshot.Workload(b.Workload)
	sim.lastSeq++
	id := heatherhub.JobID(fmt.Sprintf("%s-%d", b.Workload, sim.lastSeq))
	n := 1 + sim.jobRand.IntN(b.Tasks)
	t := heatherhub.Task{
		Job: id, Workload: w.ID, Kind: w.Kind, Team: w.Team, Class: w.Class, Size: w.Size, RunTime: w.RunTime, Queued: sim.now,
	}
	if sim.jobRand.Float64() < urgentShare {
		t.Priority = heatherhub.PriorityUrgent
	}
	if w.Deadline > 0 {
		t.Due = sim.now.Add(w.Deadline)
	}
	if w.Gang {
		t.Gang = n
	}
	o := sim.owners[sim.layout.ShardOfJob(id).Domain]
	for i := range n {
		t.ID = heatherhub.JobTaskID(id, i)
		t.Index = i
		sim.offeredCPU += cpuTime(t, t.RunTime)
		o.enqueue(t)
	}
	return float64(n) * float64(w.Size.CPU)
}

// scheduleJobs schedules the first arrival of each batch workload.
func (sim *simulation) scheduleJobs() {
	for _, b := range sim.site.Batch {
		sim.scheduleAfter(sim.jobGap(b), func() { sim.submitJob(b) })
	}
}

// submitJob adds a job and schedules the next one of its workload.
func (sim *simulation) submitJob(b BatchLoad) {
	sim.addJob(b)
	sim.scheduleAfter(sim.jobGap(b), func() { sim.submitJob(b) })
}

// jobGap draws the time to the next job of a workload. Arrivals are a Poisson process.
func (sim *simulation) jobGap(b BatchLoad) time.Duration {
	w := sim.snapshot.Workload(b.Workload)
	cpuSecondsPerJob := float64(1+b.Tasks) / 2 * float64(w.Size.CPU) * w.RunTime.Seconds()
	rate := b.Share * sim.batchCapacity() / cpuSecondsPerJob
	elapsed := sim.now.Sub(sim.start)
	if sim.scenario == ScenarioNoisyWave && b.Workload == sim.site.NoisyWorkload && elapsed > sim.duration/3 && elapsed < 2*sim.duration/3 {
		rate *= waveFactor
	}
	return time.Duration(sim.jobRand.ExpFloat64() / rate * float64(time.Second))
}
