package core

import (
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/shard/layout"
)

// Defaults of Config, and the interval of heartbeats.
const (
	DefaultSessionTTL        = 10 * time.Second
	DefaultClockMargin       = 2 * time.Second
	DefaultPollInterval      = time.Second
	DefaultHeartbeatInterval = time.Second
	// DefaultMinSessionAge is the age from which the host of a session may get shards.
	DefaultMinSessionAge = 3 * time.Second
	// DefaultCommitRate is the limit of ledger writes per second of all shards together.
	DefaultCommitRate = 200
)

// Intervals and timeouts of ownership that are not configurable.
const (
	// remoteInterval is the time between two listings of the owners of all failure
	// domains.
	remoteInterval = 15 * time.Second
	// heartbeatTimeout is the age up to which a heartbeat makes its sender count as
	// heard.
	heartbeatTimeout = 3500 * time.Millisecond
	// reclaimTime is how long an owner that still sends heartbeats may take to reclaim
	// its shards after its session has lapsed.
	reclaimTime = 10 * time.Second
	// unheldTimeout is how long no heartbeat names an owner of a shard before another
	// host renews its tasks. It is short enough for a first renewal to arrive within
	// the task lease.
	unheldTimeout = 1500 * time.Millisecond
	// maxBatchHold is how long a host without a valid session, or a renewer, continues
	// to renew batch tasks while a listed peer of its failure domain is silent.
	maxBatchHold = 60 * time.Second
	// peerGoneAfter is how long a peer is silent before it counts as gone. It is longer
	// than maxBatchHold, a task lease and the clock margin together, so that the peer's
	// batch tasks have stopped by then.
	peerGoneAfter = 90 * time.Second
	// handoverTimeout bounds an attempt to hand a shard over for balance, and
	// handoverPause is the time until the next attempt.
	handoverTimeout = 10 * time.Second
	handoverPause   = 30 * time.Second
	// A host whose sessions began flapLimit times within flapWindow and flapPause
	// together is flapping and gets no shards.
	flapWindow = time.Minute
	flapLimit  = 3
	flapPause  = time.Minute
)

// Unsafe disables safeguards. Tests use it to show that they detect the resulting
// faults; nothing else may set it.
type Unsafe struct {
	// SkipEpochCheck makes an owner ignore the end of its session's validity and higher
	// epochs that it sees.
	SkipEpochCheck bool
	// SkipLeaseWait makes a successor start tasks without waiting for the end of its
	// predecessor's leases.
	SkipLeaseWait bool
	// LostAnswerIsFailure treats a lost answer as proof that a start or a ledger write
	// had no effect, and that a stop has succeeded.
	LostAnswerIsFailure bool
	// TrustHostList counts a worker that the platform's list lacks as absent, whatever leases
	// it has.
	TrustHostList bool
	// IgnoreRecordedWorkers makes a successor ignore workers that only the log names.
	IgnoreRecordedWorkers bool
	// TrustKnownPeers lets a new process ignore holders that it has not heard of.
	TrustKnownPeers bool
	// TrustArrival counts a heartbeat from its arrival.
	TrustArrival bool
}

// Config configures a node. Zero durations and a zero CommitRate stand for the
// defaults.
type Config struct {
	Self   heatherhub.HostID
	Domain heatherhub.FailureDomain
	Layout layout.Layout
	// NewScheduler returns a new scheduler for one shard.
	NewScheduler func() placement.Scheduler
	// Seed is the seed of the jitter between retries. It should differ between hosts.
	Seed uint64

	// SessionTTL is the time to live of the host's lease in the store.
	SessionTTL time.Duration
	// ClockMargin is the largest difference between the clocks of hosts and workers
	// that is allowed for.
	ClockMargin time.Duration
	// PollInterval is the time between two listings of the failure domain's sessions
	// and owners.
	PollInterval time.Duration
	// MinSessionAge is the age from which the host of a session may get shards.
	MinSessionAge time.Duration
	// CommitRate is the limit of ledger writes per second of all shards together.
	CommitRate int
	Unsafe     Unsafe
}

func (c *Config) setDefaults() {
	heatherhub.SetDefault(&c.SessionTTL, DefaultSessionTTL)
	heatherhub.SetDefault(&c.ClockMargin, DefaultClockMargin)
	heatherhub.SetDefault(&c.PollInterval, DefaultPollInterval)
	heatherhub.SetDefault(&c.MinSessionAge, DefaultMinSessionAge)
	heatherhub.SetDefault(&c.CommitRate, DefaultCommitRate)
}

// leaseWait is the time after the end of a predecessor's validity from which none of
// its starts can take effect.
func (c *Config) leaseWait() time.Duration {
	if c.Unsafe.SkipLeaseWait {
		return 0
	}
	return worker.TaskLease + c.ClockMargin
}

// serveWait is the time after the first renewal by a new owner or a renewer from which
// no other host routes requests to the same replicas.
func (c *Config) serveWait() time.Duration {
	return worker.RenewInterval + c.ClockMargin
}

// commitWindow is the minimum time between two ledger writes of one shard, with which
// all shards together stay within CommitRate.
func (c *Config) commitWindow() time.Duration {
	return time.Second * time.Duration(len(c.Layout.All())) / time.Duration(c.CommitRate)
}
