package colocation

import (
	"fmt"
	"time"

	"heatherhub.example/heatherhub"
)

const (
	// backlog is the batch work that waits at the start, in units of what the
	// site can run at once.
	backlog = 0.6
	// urgentShare is the part of the jobs that are urgent.
	urgentShare = 0.02
)

// batchCapacity is the processors that the preset leaves to batch.
func (r *run) batchCapacity() float64 {
	p := r.snapshot.PresetInForce()
	return float64(r.site.Capacity.CPU) * float64(r.site.Workers) * float64(p.BatchShare) / 100
}

// addBacklog queues the work that waits at the start.
func (r *run) addBacklog() {
	for _, b := range r.site.Batch {
		left := backlog * b.Share * r.batchCapacity()
		for left > 0 {
			left -= r.addJob(b)
		}
	}
}

// addJob queues one job and returns its processors.
func (r *run) addJob(b Batch) float64 {
	w := r.snapshot.Workload(b.Workload)
	r.seq++
	id := heatherhub.JobID(fmt.Sprintf("%s-%d", b.Workload, r.seq))
	n := 1 + r.jobs.IntN(b.Tasks)
	t := heatherhub.Task{
		Job: id, Workload: w.ID, Kind: w.Kind, Team: w.Team, Class: w.Class, Size: w.Size, RunTime: w.RunTime, Queued: r.now,
	}
	if r.jobs.Float64() < urgentShare {
		t.Priority = heatherhub.PriorityUrgent
	}
	if w.Deadline > 0 {
		t.Due = r.now.Add(w.Deadline)
	}
	if w.Gang {
		t.Gang = n
	}
	o := r.owners[r.layout.ShardOfJob(id).Domain]
	for i := range n {
		t.ID = heatherhub.JobTaskID(id, i)
		t.Index = i
		r.offered += cpuTime(t, t.RunTime)
		o.enqueue(t)
	}
	return float64(n) * float64(w.Size.CPU)
}

// planJobs plans the arrivals of each batch workload.
func (r *run) planJobs() {
	for _, b := range r.site.Batch {
		r.after(r.jobGap(b), func() { r.jobArrives(b) })
	}
}

func (r *run) jobArrives(b Batch) {
	r.addJob(b)
	r.after(r.jobGap(b), func() { r.jobArrives(b) })
}

// jobGap draws the time to the next job of a workload.
func (r *run) jobGap(b Batch) time.Duration {
	w := r.snapshot.Workload(b.Workload)
	perJob := float64(1+b.Tasks) / 2 * float64(w.Size.CPU) * w.RunTime.Seconds()
	rate := b.Share * r.batchCapacity() / perJob
	elapsed := r.now.Sub(r.start)
	if r.scenario == ScenarioNoisy && b.Workload == r.site.Noisy && elapsed > r.duration/3 && elapsed < 2*r.duration/3 {
		rate *= waveFactor
	}
	return time.Duration(r.jobs.ExpFloat64() / rate * float64(time.Second))
}
