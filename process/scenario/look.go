package scenario

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store/memory"
	"heatherhub.example/heatherhub/connection/worker"
)

// Versions returns the oldest and the newest configuration version in force on the
// live entry hosts.
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

// InjectAnswerFaults drops, swaps and truncates the given numbers of the workers'
// next answers. A swapped answer is replaced by the previous one.
func (cl *Cluster) InjectAnswerFaults(lost, swapped, truncated int) {
	cl.fleet.mu.Lock()
	defer cl.fleet.mu.Unlock()
	cl.fleet.answersToLose = lost
	cl.fleet.answersToSwap = swapped
	cl.fleet.answersToTruncate = truncated
}

// RunningTasks counts the running tasks of each workload on one worker, or on all
// workers if only is empty. Dead workers are left out.
func (cl *Cluster) RunningTasks(only heatherhub.WorkerID) map[heatherhub.WorkloadID]int {
	counts := make(map[heatherhub.WorkloadID]int)
	for id, m := range cl.fleet.workers {
		if only != "" && id != only || m.IsDead() {
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

// IsSettled reports whether every reachable entry host is healthy and every service
// has exactly the replicas of the preset in force on the first live host.
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

// Traffic counts the traffic of the entry hosts to each other and to the store since
// the start.
type Traffic struct {
	// PeerBytes counts the bytes between entry hosts, those of forwarded requests
	// included; each byte counts once.
	PeerBytes int64
	// Store counts the calls to the store.
	Store memory.Counts
}

// Traffic returns the traffic since the start.
func (cl *Cluster) Traffic() Traffic {
	return Traffic{PeerBytes: cl.network.peerBytes.Load(), Store: cl.store.Counts()}
}
