// Package core makes the decisions of one entry host: which shards it owns, which
// commands the workers of each shard get and which records are written to the
// store. It has no goroutines, clock or network of its own: the caller passes the
// time to every step. A step returns calls to the store and to the workers, and the
// caller passes their answers back with Node.Answer.
//
// # Usage
//
//	n := core.NewNode(core.Config{Self: "e1", Domain: "gent", Layout: l, NewScheduler: f})
//	n.SetHosts(now, hosts)
//	n.SetSnapshot(snapshot)
//	out := n.Tick(now)
//	for _, c := range out.Calls {
//		if c.Expired(clock.Now()) { // immediately before the send
//			n.Answer(clock.Now(), core.ExpiredAnswer(c, clock.Now()))
//			continue
//		}
//		n.Answer(clock.Now(), execute(c)) // may return further calls
//	}
//
// A host serves a shard in one of three modes. An owner with a valid session does
// everything. An owner whose session has lapsed only renews task leases and routes
// requests to replicas. A renewer does the same in place of an owner that no longer
// sends heartbeats. The reasons are given in docs/design/ownership.md.
package core

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/shard/ledger"
)

// Node makes the decisions of one entry host. Its methods are safe for concurrent
// use. Each shard has its own lock, so that several shards can advance at once.
type Node struct {
	cfg     Config
	tickets atomic.Uint64

	// mu guards host, snapshot, workersByShard, listVersion and shardByWorker.
	mu             sync.Mutex
	host           *host
	snapshot       *heatherhub.Snapshot
	workersByShard map[heatherhub.ShardID][]hostlist.Host
	// listVersion counts the platform's host lists that were applied.
	listVersion   uint64
	shardByWorker map[heatherhub.WorkerID]heatherhub.ShardID

	// slotsMu guards slots and active, not the contents of a slot.
	slotsMu sync.RWMutex
	slots   map[heatherhub.ShardID]*slot
	// active holds the sorted keys of slots. It is replaced and never modified, so
	// that it can be returned without a copy.
	active []heatherhub.ShardID
}

// slot holds a shard that this host owns, or renews for a silent owner; exactly one
// of shard and renewer is set.
type slot struct {
	mu        sync.Mutex
	shard     *shard
	renewer   *renewer
	createdAt time.Time
	// isBusy means that the next tick may take long. It is read without mu.
	isBusy atomic.Bool
}

// NewNode returns a node that owns no shards yet.
func NewNode(cfg Config) *Node {
	cfg.setDefaults()
	n := &Node{
		cfg:            cfg,
		workersByShard: make(map[heatherhub.ShardID][]hostlist.Host),
		shardByWorker:  make(map[heatherhub.WorkerID]heatherhub.ShardID),
		slots:          make(map[heatherhub.ShardID]*slot),
	}
	n.host = newHost(cfg)
	return n
}

// NewTicket returns a new ticket, which identifies a request until its reply.
func (n *Node) NewTicket() Ticket {
	return Ticket(n.tickets.Add(1))
}

// Tick advances the host and all of its shards to now.
func (n *Node) Tick(now time.Time) Output {
	out := n.TickHost(now)
	for _, s := range n.Active() {
		out.add(n.TickShard(now, s))
	}
	return out
}

// TickHost advances the host's session, its reading of the owner records and its
// handovers to now.
func (n *Node) TickHost(now time.Time) Output {
	n.mu.Lock()
	out := Output{Calls: n.host.tick(now)}
	n.mu.Unlock()
	out.add(n.applyChanges(now))
	return out
}

// TickShard advances one shard that the host owns or renews to now.
func (n *Node) TickShard(now time.Time, id heatherhub.ShardID) Output {
	n.mu.Lock()
	state := n.hostStateFor(now, id)
	workers, listVersion := n.workersByShard[id], n.listVersion
	snapshot := n.snapshot
	n.mu.Unlock()
	var isIdle bool
	out := n.withSlot(now, id, func(sl *slot) {
		if sl.renewer != nil {
			sl.renewer.servicesOnly = !state.allPeersHeard
			sl.renewer.setWorkers(workers)
			return
		}
		sl.shard.setHostState(now, state)
		sl.shard.setWorkers(now, workers, listVersion)
		sl.shard.setSnapshot(now, snapshot)
		sl.shard.tick(now)
		isIdle = state.draining && sl.shard.isIdle(now)
	})
	if calls := n.renewerCalls(now, id); len(calls) > 0 {
		out.Calls = append(out.Calls, calls...)
	}
	if isIdle {
		n.mu.Lock()
		if o, ok := n.host.owned[id]; ok {
			o.releasing = true
		}
		n.mu.Unlock()
	}
	return out
}

func (n *Node) renewerCalls(now time.Time, id heatherhub.ShardID) []Call {
	sl := n.slot(id)
	if sl == nil {
		return nil
	}
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.renewer == nil {
		return nil
	}
	return sl.renewer.tick(now)
}

// hostStateFor returns the host's state for a shard. The caller holds mu.
func (n *Node) hostStateFor(now time.Time, id heatherhub.ShardID) hostState {
	state := hostState{
		validUntil:    n.host.validUntil(id),
		allPeersHeard: n.host.peers.allHeardRecently(now),
	}
	if o, ok := n.host.owned[id]; ok {
		state.exclusive = n.host.peers.exclusive(now, id, o.hadOwner)
		state.releasing = o.releasing
		state.draining = o.releasing
	}
	state.draining = state.draining || slices.Contains(n.host.handingOver, id)
	return state
}

// Answer applies the answer to a call. Answers to calls of an earlier ownership of
// the shard are ignored.
func (n *Node) Answer(now time.Time, a Answer) Output {
	if a.Call.purpose != purposeNone && a.Call.purpose != purposeRenewer {
		n.mu.Lock()
		out := Output{Calls: n.host.answer(now, a)}
		n.mu.Unlock()
		out.add(n.applyChanges(now))
		return out
	}
	return n.withSlot(now, a.Call.Shard, func(sl *slot) {
		switch {
		case a.Call.purpose == purposeRenewer && sl.renewer != nil:
			sl.renewer.answer(now, a)
		case a.Call.purpose == purposeNone && sl.shard != nil && sl.shard.ownsCall(a.Call):
			sl.shard.answer(now, a)
		}
	})
}

// SetHosts applies the platform's list of entry hosts and workers.
func (n *Node) SetHosts(now time.Time, hosts []hostlist.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.host.setHosts(now, hosts)
	n.listVersion++
	n.workersByShard = make(map[heatherhub.ShardID][]hostlist.Host)
	for _, h := range hosts {
		if h.Role == hostlist.RoleWorker && h.Domain == n.cfg.Domain {
			s := n.shardOf(heatherhub.WorkerID(h.ID))
			n.workersByShard[s] = append(n.workersByShard[s], h)
		}
	}
}

// shardOf returns the shard of a worker. The result is cached, since it never
// changes. The caller holds mu.
func (n *Node) shardOf(id heatherhub.WorkerID) heatherhub.ShardID {
	s, ok := n.shardByWorker[id]
	if !ok {
		s = n.cfg.Layout.ShardOfWorker(n.cfg.Domain, id)
		n.shardByWorker[id] = s
	}
	return s
}

// SetSnapshot puts a configuration in force. It ignores versions that are not newer
// than the present one.
func (n *Node) SetSnapshot(s *heatherhub.Snapshot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s != nil && (n.snapshot == nil || s.Version > n.snapshot.Version) {
		n.snapshot = s
	}
}

// Drain starts to hand over all shards. IsDrained reports when it has finished.
func (n *Node) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.host.stopping = true
}

// ReceiveHeartbeat applies a heartbeat from a peer of the same failure domain.
func (n *Node) ReceiveHeartbeat(now time.Time, from heatherhub.HostID, b Heartbeat) Output {
	n.mu.Lock()
	n.host.receiveHeartbeat(now, from, b)
	n.mu.Unlock()
	return n.applyChanges(now)
}

// Heartbeat returns this host's heartbeat, to be sent to a peer now.
func (n *Node) Heartbeat(now time.Time, to heatherhub.HostID) Heartbeat {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.host.heartbeat(now, to)
}

// AddJob accepts a job. The ticket's reply follows once the job is durable.
func (n *Node) AddJob(now time.Time, t Ticket, job heatherhub.Job) Output {
	return n.request(now, t, n.cfg.Layout.ShardOfJob(job.ID), func(s *shard) { s.addJob(now, t, job) })
}

// CancelJob cancels a job. The ticket's reply follows once the cancellation is
// durable.
func (n *Node) CancelJob(now time.Time, t Ticket, id heatherhub.JobID) Output {
	return n.request(now, t, n.cfg.Layout.ShardOfJob(id), func(s *shard) { s.cancelJob(now, t, id) })
}

// Claim grants the only run of an idempotency key. The ticket's reply follows once
// the claim is durable.
func (n *Node) Claim(now time.Time, t Ticket, id heatherhub.ShardID, key ledger.Key) Output {
	return n.request(now, t, id, func(s *shard) { s.claim(now, t, key) })
}

// AbandonClaim records that the caller of a claim no longer waits. The claim is
// released if it becomes durable.
func (n *Node) AbandonClaim(now time.Time, t Ticket, id heatherhub.ShardID) Output {
	return n.request(now, 0, id, func(s *shard) { s.abandonClaim(t) })
}

// RecordAnswer records the answer of a granted run, to be returned to later claims
// of the key.
func (n *Node) RecordAnswer(now time.Time, id heatherhub.ShardID, key ledger.Key, a worker.Answer) Output {
	return n.request(now, 0, id, func(s *shard) { s.recordAnswer(now, key, a) })
}

// ReleaseClaim releases a granted key whose run provably did not happen.
func (n *Node) ReleaseClaim(now time.Time, id heatherhub.ShardID, key ledger.Key) Output {
	return n.request(now, 0, id, func(s *shard) { s.releaseClaim(now, key) })
}

func (n *Node) request(now time.Time, t Ticket, id heatherhub.ShardID, f func(*shard)) Output {
	owns := false
	out := n.withSlot(now, id, func(sl *slot) {
		if sl.shard != nil {
			owns = true
			f(sl.shard)
		}
	})
	if !owns && t != 0 {
		err := heatherhub.ErrNotOwner.New("this host does not own shard %s: send the request to its owner", id)
		out.Replies = append(out.Replies, Reply{Ticket: t, Err: err})
	}
	return out
}
