package core

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/shard/layout"
)

// Defaults of the times of ownership.
const (
	DefaultSessionTTL        = 10 * time.Second
	DefaultClockMargin       = 2 * time.Second
	DefaultPollInterval      = time.Second
	DefaultHeartbeatInterval = time.Second
	// DefaultMinSessionAge is the age at which a new session gets shards.
	DefaultMinSessionAge = 3 * time.Second
	// DefaultCommitRate is the number of ledger writes per second of all shards.
	DefaultCommitRate = 200
)

// Times that follow from the others.
const (
	// remoteInterval is the time between two listings of all failure domains.
	remoteInterval = 15 * time.Second
	// heartbeatTimeout is the age of a heartbeat up to which its sender counts as heard.
	heartbeatTimeout = 3500 * time.Millisecond
	// reclaimTime is how long an owner that is heard may take to claim its shards
	// anew after its session has lapsed.
	reclaimTime = 10 * time.Second
	// unheldTimeout is how long nobody is heard to hold a shard until it is kept. It
	// leaves time for a first renewal within a task lease.
	unheldTimeout = 1500 * time.Millisecond
	// maxBatchHold is how long a host that has no valid session goes on renewing
	// batch tasks while a listed peer of its failure domain is silent.
	maxBatchHold = 60 * time.Second
	// peerGoneAfter is how long a peer is silent before it counts as gone. It is
	// longer than maxBatchHold, a task lease and the margin together.
	peerGoneAfter = 90 * time.Second
	// handoverTimeout bounds an attempt to hand a shard over for balance, and
	// handoverPause is the time until the next attempt.
	handoverTimeout = 10 * time.Second
	handoverPause   = 30 * time.Second
	// flapWindow and flapLimit damp a host whose sessions come and go.
	flapWindow = time.Minute
	flapLimit  = 3
	flapPause  = time.Minute
)

// Unsafe plants faults. Tests use it to show that they would find them; nothing
// else may set it.
type Unsafe struct {
	// SkipEpochCheck makes an owner ignore that its validity has ended and that a
	// higher epoch is seen.
	SkipEpochCheck bool
	// SkipLeaseWait makes a successor start tasks without waiting out the leases
	// of its predecessor.
	SkipLeaseWait bool
	// LostAnswerIsFailure takes a lost answer for proof that nothing was done.
	LostAnswerIsFailure bool
}

// Config describes a node.
type Config struct {
	Self   heatherhub.HostID
	Domain heatherhub.FailureDomain
	Layout layout.Layout
	// NewScheduler makes the decision code of one shard.
	NewScheduler func() placement.Scheduler
	// Seed spreads the retries of the hosts.
	Seed uint64

	SessionTTL    time.Duration
	ClockMargin   time.Duration
	PollInterval  time.Duration
	MinSessionAge time.Duration
	CommitRate    int
	Unsafe        Unsafe
}

func (c *Config) setDefaults() {
	heatherhub.SetDefault(&c.SessionTTL, DefaultSessionTTL)
	heatherhub.SetDefault(&c.ClockMargin, DefaultClockMargin)
	heatherhub.SetDefault(&c.PollInterval, DefaultPollInterval)
	heatherhub.SetDefault(&c.MinSessionAge, DefaultMinSessionAge)
	heatherhub.SetDefault(&c.CommitRate, DefaultCommitRate)
}

// leaseWait is the time after the end of a predecessor's validity after which no
// start of its can take effect any more.
func (c *Config) leaseWait() time.Duration {
	if c.Unsafe.SkipLeaseWait {
		return 0
	}
	return worker.TaskLease + c.ClockMargin
}

// serveWait is the time after the first renewal of a new owner or keeper after
// which no other host routes requests to the same replicas.
func (c *Config) serveWait() time.Duration {
	return worker.RenewInterval + c.ClockMargin
}

// commitWindow is the least time between two ledger writes of one shard, so that
// all shards together stay within the rate.
func (c *Config) commitWindow() time.Duration {
	return time.Second * time.Duration(len(c.Layout.All())) / time.Duration(c.CommitRate)
}
