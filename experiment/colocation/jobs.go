package colocation

import (
	"fmt"
	"time"

	"heatherhub.example/heatherhub"
)

const (
	// backlogFactor is the batch work that waits at the start, in units of what the
	// site can run at once.
	backlogFactor = 0.6
	// urgentShare is the part of the jobs that are urgent.
	urgentShare = 0.02
)

// batchCapacity is the processors that the preset leaves to batch.
func (sim *simulation) batchCapacity() float64 {
	p := sim.snapshot.PresetInForce()
	return float64(sim.site.Capacity.CPU) * float64(sim.site.Workers) * float64(p.BatchShare) / 100
}

// addBacklog queues the work that waits at the start.
func (sim *simulation) addBacklog() {
	for _, b := range sim.site.Batch {
		left := backlogFactor * b.Share * sim.batchCapacity()
		for left > 0 {
			left -= sim.addJob(b)
		}
	}
}

// addJob queues one job and returns its processors.
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

// scheduleJobs plans the arrivals of each batch workload.
func (sim *simulation) scheduleJobs() {
	for _, b := range sim.site.Batch {
		sim.scheduleAfter(sim.jobGap(b), func() { sim.submitJob(b) })
	}
}

func (sim *simulation) submitJob(b BatchLoad) {
	sim.addJob(b)
	sim.scheduleAfter(sim.jobGap(b), func() { sim.submitJob(b) })
}

// jobGap draws the time to the next job of a workload.
func (sim *simulation) jobGap(b BatchLoad) time.Duration {
	w := sim.snapshot.Workload(b.Workload)
	perJob := float64(1+b.Tasks) / 2 * float64(w.Size.CPU) * w.RunTime.Seconds()
	rate := b.Share * sim.batchCapacity() / perJob
	elapsed := sim.now.Sub(sim.start)
	if sim.scenario == ScenarioNoisyWave && b.Workload == sim.site.NoisyWorkload && elapsed > sim.duration/3 && elapsed < 2*sim.duration/3 {
		rate *= waveFactor
	}
	return time.Duration(sim.jobRand.ExpFloat64() / rate * float64(time.Second))
}
