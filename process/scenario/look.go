package scenario

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store/memory"
	"heatherhub.example/heatherhub/connection/worker"
)

// Versions returns the oldest and the newest configuration in force on the entry
// hosts.
func (cl *Cluster) Versions() (oldest, newest heatherhub.Version) {
	for i, h := range cl.liveHosts() {
		v := h.entry.Keeper().Current().Version
		if i == 0 || v < oldest {
			oldest = v
		}
		newest = max(newest, v)
	}
	return oldest, newest
}

// InjectAnswerFaults loses, crosses and truncates the next answers of workers.
func (cl *Cluster) InjectAnswerFaults(lost, crossed, truncated int) {
	cl.fleet.mu.Lock()
	defer cl.fleet.mu.Unlock()
	cl.fleet.answersToLose = lost
	cl.fleet.answersToSwap = crossed
	cl.fleet.answersToTruncate = truncated
}

// RunningTasks counts the running tasks of each workload, on one worker or on all.
func (cl *Cluster) RunningTasks(on heatherhub.WorkerID) map[heatherhub.WorkloadID]int {
	counts := make(map[heatherhub.WorkloadID]int)
	for id, m := range cl.fleet.workers {
		if on != "" && id != on || m.IsDead() {
			continue
		}
		for _, t := range m.Tasks(time.Now()) {
			if t.State == worker.TaskRunning {
				counts[t.Task.Workload]++
			}
		}
	}
	return counts
}

// IsSettled reports whether every entry host that can be reached is healthy and
// every service has exactly the replicas of the preset in force at the first one.
func (cl *Cluster) IsSettled() bool {
	hosts := cl.liveHosts()
	if len(hosts) == 0 {
		return false
	}
	for _, h := range hosts {
		if cl.network.canReach("", h.domain) && !cl.isHealthy(h) {
			return false
		}
	}
	counts := cl.RunningTasks("")
	p := hosts[0].entry.Keeper().Current().PresetInForce()
	if p == nil {
		return false
	}
	for _, s := range p.Services {
		if counts[s.Workload] != s.Replicas {
			return false
		}
	}
	return true
}

// Traffic is what the entry hosts have sent so far.
type Traffic struct {
	// PeerBytes counts bytes between entry hosts, each once.
	PeerBytes int64
	Store     memory.Counts
}

// Traffic returns what the entry hosts have sent so far.
func (cl *Cluster) Traffic() Traffic {
	return Traffic{PeerBytes: cl.network.peerBytes.Load(), Store: cl.store.Counts()}
}
