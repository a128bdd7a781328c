// Package baseline implements placement.Scheduler with simple policies, as baselines for
// comparison with the placement. They respect the capacity of workers and the preset's
// batch share by declared sizes. They don't learn, evict or throttle.
//
// # Usage
//
//	s := baseline.New(baseline.Config{Policy: baseline.PolicyBestFit, Seed: 1})
//	s.PutWorker(now, host)
//	s.Enqueue(now, task)
//	actions := s.Decide(now)
package baseline

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
)

// Policy is the rule by which a Scheduler chooses a worker.
type Policy string

// Policies of the baselines.
const (
	// PolicyRandom chooses a random worker among those on which the task fits.
	PolicyRandom Policy = "random"
	// PolicyLeastLoaded chooses the fitting worker with the most free processors.
	PolicyLeastLoaded Policy = "leastLoaded"
	// PolicyBestFit chooses the fitting worker with the fewest free processors.
	PolicyBestFit Policy = "bestFit"
	// PolicyFIFO is best fit in strict order: a batch task that does not fit blocks
	// the tasks behind it.
	PolicyFIFO Policy = "fifo"
	// PolicySplit dedicates a third of the workers to services and the rest to batch.
	// Among these, it chooses the least loaded.
	PolicySplit Policy = "split"
)

// Policies returns all policies in a fixed order.
func Policies() []Policy {
	return []Policy{PolicyRandom, PolicyLeastLoaded, PolicyBestFit, PolicyFIFO, PolicySplit}
}

// serviceWorkerInterval makes PolicySplit dedicate every third worker to services.
const serviceWorkerInterval = 3

const fullShare = heatherhub.Percent(100)

// Config configures a Scheduler.
type Config struct {
	Policy Policy
	Seed   uint64
}

// node is the record of one worker and the declared sizes reserved on it.
type node struct {
	host     hostlist.Host
	reserved heatherhub.Resources
	batch    heatherhub.Resources
	// forServices means that PolicySplit dedicates the worker to services.
	forServices bool
}

// placed is a task with a reservation on a node.
type placed struct {
	task heatherhub.Task
	node *node
}

// Scheduler is a placement.Scheduler with a fixed Policy. It is not safe for concurrent
// use.
type Scheduler struct {
	cfg     Config
	rng     *rand.Rand
	share   heatherhub.Percent
	nodes   []*node
	waiting []heatherhub.Task
	running map[heatherhub.TaskID]placed
}

var _ placement.Scheduler = (*Scheduler)(nil)

// New returns a Scheduler without workers and tasks.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		share:   fullShare,
		running: make(map[heatherhub.TaskID]placed),
	}
}

// SetSnapshot implements placement.Scheduler.
func (s *Scheduler) SetSnapshot(_ time.Time, snapshot *heatherhub.Snapshot) {
	if p := snapshot.PresetInForce(); p != nil {
		s.share = p.BatchShare
	}
}

// PutWorker implements placement.Scheduler.
func (s *Scheduler) PutWorker(_ time.Time, h hostlist.Host) {
	if n := s.node(h.ID); n != nil {
		n.host = h
		return
	}
	s.nodes = append(s.nodes, &node{host: h, forServices: len(s.nodes)%serviceWorkerInterval == 0})
}

func (s *Scheduler) node(id string) *node {
	for _, n := range s.nodes {
		if n.host.ID == id {
			return n
		}
	}
	return nil
}

// RemoveWorker implements placement.Scheduler.
func (s *Scheduler) RemoveWorker(_ time.Time, id heatherhub.WorkerID) {
	s.nodes = slices.DeleteFunc(s.nodes, func(n *node) bool { return n.host.ID == string(id) })
}

// Enqueue implements placement.Scheduler.
func (s *Scheduler) Enqueue(_ time.Time, t heatherhub.Task) {
	if _, ok := s.running[t.ID]; ok || s.position(t.ID) >= 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(s.waiting, t, byPriority)
	s.waiting = slices.Insert(s.waiting, at, t)
}

// byPriority orders tasks by descending priority, then by the time when they were queued.
func byPriority(a, b heatherhub.Task) int {
	return cmp.Or(cmp.Compare(rank(b), rank(a)), a.Queued.Compare(b.Queued), cmp.Compare(a.ID, b.ID))
}

func rank(t heatherhub.Task) heatherhub.Priority {
	if t.Kind == heatherhub.KindService {
		return heatherhub.PriorityService
	}
	return t.Priority
}

func (s *Scheduler) position(id heatherhub.TaskID) int {
	return slices.IndexFunc(s.waiting, func(t heatherhub.Task) bool { return t.ID == id })
}

// Dequeue implements placement.Scheduler.
func (s *Scheduler) Dequeue(_ time.Time, id heatherhub.TaskID) bool {
	i := s.position(id)
	if i < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return true
}

// Started implements placement.Scheduler.
func (s *Scheduler) Started(now time.Time, t heatherhub.Task, id heatherhub.WorkerID) {
	if _, ok := s.running[t.ID]; ok {
		return
	}
	s.Dequeue(now, t.ID)
	if n := s.node(string(id)); n != nil {
		s.reserve(n, t)
	}
}

func (s *Scheduler) reserve(n *node, t heatherhub.Task) {
	n.reserved = n.reserved.Add(t.Size)
	if t.Kind == heatherhub.KindBatch {
		n.batch = n.batch.Add(t.Size)
	}
	s.running[t.ID] = placed{t, n}
}

// Ended implements placement.Scheduler.
func (s *Scheduler) Ended(_ time.Time, id heatherhub.TaskID, _ placement.EndReason) {
	p, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	p.node.reserved = p.node.reserved.Sub(p.task.Size)
	if p.task.Kind == heatherhub.KindBatch {
		p.node.batch = p.node.batch.Sub(p.task.Size)
	}
}

// Observe implements placement.Scheduler. Baselines ignore usage.
func (s *Scheduler) Observe(time.Time, worker.Usage) {}

// shape identifies tasks that fit the same nodes.
type shape struct {
	size heatherhub.Resources
	kind heatherhub.Kind
}

// Decide implements placement.Scheduler.
func (s *Scheduler) Decide(time.Time) []placement.Action {
	var actions []placement.Action
	full := make(map[shape]bool)
	remaining := make([]heatherhub.Task, 0, len(s.waiting))
	for i, t := range s.waiting {
		k := shape{t.Size, t.Kind}
		var n *node
		if !full[k] {
			n = s.selectNode(t)
		}
		if n != nil {
			s.reserve(n, t)
			actions = append(actions, placement.Action{Kind: placement.ActionStart, Task: t, Worker: heatherhub.WorkerID(n.host.ID)})
			continue
		}
		full[k] = true
		remaining = append(remaining, t)
		if s.cfg.Policy == PolicyFIFO && t.Kind == heatherhub.KindBatch {
			remaining = append(remaining, s.waiting[i+1:]...)
			break
		}
	}
	s.waiting = remaining
	return actions
}

func (s *Scheduler) selectNode(t heatherhub.Task) *node {
	var fitting []*node
	for _, n := range s.nodes {
		if s.fits(n, t) {
			fitting = append(fitting, n)
		}
	}
	if len(fitting) == 0 {
		return nil
	}
	byFree := func(a, b *node) int { return cmp.Compare(freeCPU(a), freeCPU(b)) }
	switch s.cfg.Policy {
	case PolicyRandom:
		return fitting[s.rng.IntN(len(fitting))]
	case PolicyLeastLoaded, PolicySplit:
		return slices.MaxFunc(fitting, byFree)
	default:
		return slices.MinFunc(fitting, byFree)
	}
}

func freeCPU(n *node) heatherhub.MilliCPU {
	return n.host.Capacity.CPU - n.reserved.CPU
}

func (s *Scheduler) fits(n *node, t heatherhub.Task) bool {
	isService := t.Kind == heatherhub.KindService
	if n.host.State != hostlist.StateLive || s.cfg.Policy == PolicySplit && n.forServices != isService {
		return false
	}
	if !t.Size.Fits(n.host.Capacity.Sub(n.reserved)) {
		return false
	}
	if isService || s.cfg.Policy == PolicySplit {
		return true
	}
	batch := n.batch.Add(t.Size)
	return batch.CPU*100 <= n.host.Capacity.CPU*heatherhub.MilliCPU(s.share) &&
		batch.Memory*100 <= n.host.Capacity.Memory*heatherhub.Megabytes(s.share)
}
