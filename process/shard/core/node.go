// Package core decides for one entry host: which shards it owns, and in each of
// them which commands the workers get and which records the store gets. It is
// driven by explicit times and has no goroutine, clock or network. A step returns
// calls to the store and to the workers; their answers are the next events.
//
// # Usage
//
//	n := core.NewNode(core.Config{Self: "e1", Domain: "gent", Layout: l, NewScheduler: f})
//	n.SetHosts(now, hosts)
//	n.SetSnapshot(now, snapshot)
//	out := n.Tick(now)
//	for _, c := range out.Calls {
//		if c.Expired(clock.Now()) { // immediately before the send
//			n.Answer(clock.Now(), core.ExpiredAnswer(c, clock.Now()))
//			continue
//		}
//		carryOut(c)
//	}
//
// A shard acts in one of three ways. Its owner with a valid session does
// everything. An owner whose session has lapsed only renews leases and serves
// requests. A keeper does the same for an owner that has fallen silent. The
// reasons stand in docs/design/ownership.md.
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

// Node is the decision code of one entry host. Each shard has its own lock, so
// several advance at once. Its methods are safe for concurrent use.
type Node struct {
	cfg     Config
	tickets atomic.Uint64

	mu             sync.Mutex
	host           *host
	snapshot       *heatherhub.Snapshot
	workersByShard map[heatherhub.ShardID][]hostlist.Host
	// listVersion counts the platform's lists that were taken.
	listVersion   uint64
	shardByWorker map[heatherhub.WorkerID]heatherhub.ShardID

	slotsMu sync.RWMutex
	slots   map[heatherhub.ShardID]*slot
	// active has the keys of slots in order. It is replaced and never changed.
	active []heatherhub.ShardID
}

// slot is a shard that this host owns or keeps.
type slot struct {
	mu        sync.Mutex
	shard     *shard
	renewer   *renewer
	createdAt time.Time
	// isBusy says that the next tick may take long. It is read without mu.
	isBusy atomic.Bool
}

// NewNode makes a node that owns nothing yet.
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

// NewTicket returns a ticket for a request that waits.
func (n *Node) NewTicket() Ticket {
	return Ticket(n.tickets.Add(1))
}

// Tick lets time pass for the host and all of its shards.
func (n *Node) Tick(now time.Time) Output {
	out := n.TickHost(now)
	for _, s := range n.Active() {
		out.add(n.TickShard(now, s))
	}
	return out
}

// TickHost lets time pass for the host's session, membership and records.
func (n *Node) TickHost(now time.Time) Output {
	n.mu.Lock()
	out := Output{Calls: n.host.tick(now)}
	n.mu.Unlock()
	out.add(n.applyChanges(now))
	return out
}

// TickShard lets time pass for one owned or kept shard.
func (n *Node) TickShard(now time.Time, id heatherhub.ShardID) Output {
	n.mu.Lock()
	auth := n.hostStateFor(now, id)
	workers, reading := n.workersByShard[id], n.listVersion
	snapshot := n.snapshot
	n.mu.Unlock()
	var isIdle bool
	out := n.withSlot(now, id, func(sl *slot) {
		if sl.renewer != nil {
			sl.renewer.servicesOnly = !auth.allPeersHeard
			sl.renewer.setWorkers(workers)
			return
		}
		sl.shard.setHostState(now, auth)
		sl.shard.setWorkers(now, workers, reading)
		sl.shard.setSnapshot(now, snapshot)
		sl.shard.tick(now)
		isIdle = auth.draining && sl.shard.isIdle(now)
	})
	if k := n.renewerCalls(now, id); len(k) > 0 {
		out.Calls = append(out.Calls, k...)
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

func (n *Node) hostStateFor(now time.Time, id heatherhub.ShardID) hostState {
	auth := hostState{
		validUntil:    n.host.validUntil(id),
		exclusive:     n.host.peers.exclusive(now, id),
		allPeersHeard: n.host.peers.allHeardRecently(now),
	}
	if o, ok := n.host.owned[id]; ok {
		auth.releasing = o.releasing
		auth.draining = o.releasing
	}
	auth.draining = auth.draining || slices.Contains(n.host.handingOver, id)
	return auth
}

// Answer takes the answer to a call.
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

// SetHosts takes the platform's list.
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

// shardOf returns the shard of a worker. It never changes, so it is kept.
func (n *Node) shardOf(id heatherhub.WorkerID) heatherhub.ShardID {
	s, ok := n.shardByWorker[id]
	if !ok {
		s = n.cfg.Layout.OfWorker(n.cfg.Domain, id)
		n.shardByWorker[id] = s
	}
	return s
}

// SetSnapshot puts a configuration in force; an older version is ignored.
func (n *Node) SetSnapshot(s *heatherhub.Snapshot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s != nil && (n.snapshot == nil || s.Version > n.snapshot.Version) {
		n.snapshot = s
	}
}

// Drain begins to hand over all shards.
func (n *Node) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.host.stopping = true
}

// ReceiveHeartbeat takes a heartbeat of a peer of the same failure domain.
func (n *Node) ReceiveHeartbeat(now time.Time, from heatherhub.HostID, b Heartbeat) Output {
	n.mu.Lock()
	n.host.receiveHeartbeat(now, from, b)
	n.mu.Unlock()
	return n.applyChanges(now)
}

// Heartbeat returns this host's heartbeat.
func (n *Node) Heartbeat() Heartbeat {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.host.heartbeat()
}

// AddJob accepts a job; the ticket's reply comes when it is durable.
func (n *Node) AddJob(now time.Time, t Ticket, job heatherhub.Job) Output {
	return n.request(now, t, n.cfg.Layout.OfJob(job.ID), func(s *shard) { s.addJob(now, t, job) })
}

// CancelJob cancels a job; the ticket's reply comes when that is durable.
func (n *Node) CancelJob(now time.Time, t Ticket, id heatherhub.JobID) Output {
	return n.request(now, t, n.cfg.Layout.OfJob(id), func(s *shard) { s.cancelJob(now, t, id) })
}

// Claim grants a key its one run; the ticket's reply comes when that is durable.
func (n *Node) Claim(now time.Time, t Ticket, id heatherhub.ShardID, key ledger.Key) Output {
	return n.request(now, t, id, func(s *shard) { s.claim(now, t, key) })
}

// AbandonClaim says that the caller of a claim no longer waits.
func (n *Node) AbandonClaim(now time.Time, t Ticket, id heatherhub.ShardID) Output {
	return n.request(now, 0, id, func(s *shard) { s.abandonClaim(t) })
}

// RecordAnswer records the answer of a granted run.
func (n *Node) RecordAnswer(now time.Time, id heatherhub.ShardID, key ledger.Key, a worker.Answer) Output {
	return n.request(now, 0, id, func(s *shard) { s.recordAnswer(now, key, a) })
}

// ReleaseClaim gives a grant back after a run that provably did not happen.
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
		err := heatherhub.ErrNotOwner.New("this host does not own shard %s: ask its owner", id)
		out.Replies = append(out.Replies, Reply{Ticket: t, Err: err})
	}
	return out
}
