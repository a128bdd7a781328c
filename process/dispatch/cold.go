package dispatch

import (
	"time"

	"heatherhub.example/heatherhub"
)

// Cold workers are slow for a while, for example after their failure domain has returned to
// service. They still take starts, as a slow start is better than none, but jobs with an objective
// start elsewhere as long as there is room.

// coldWeight exceeds the differences in score between workers outside of a preferred rack
// (servingWeight and a share of the processors). It is below rackWeight: a cold worker gets warm
// during the task, and a remote one stays remote.
const coldWeight = 3.5

// WorkerCold records until when a worker is slow. It is ignored for unknown workers.
func (e *Engine) WorkerCold(id heatherhub.WorkerID, until time.Duration) {
	if n := e.nodes[id]; n != nil {
		n.coldUntil = until
	}
}

// hasRunCold reports whether a run has begun on a worker that was cold.
func (a *attempt) hasRunCold() bool {
	return a.startedAt < a.node.coldUntil
}

// coldPenalty returns what the score of a worker loses for a step because it is cold. Long-running
// tasks outlast the time in which a worker is cold.
func (n *node) coldPenalty(now time.Duration, s *stepRun) float64 {
	if now >= n.coldUntil || s.spec.LongRunning {
		return 0
	}
	return coldWeight
}
