// Package shard runs the shards that this entry host owns. process/shard/core makes the
// decisions, without goroutines, clocks or network access; this package makes the calls
// that core returns and passes the answers back to it.
//
// # Usage
//
//	rt := shard.NewRuntime(shard.Config{Self: "e1", Domain: "gent", Store: s, ...})
//	err := rt.Run(ctx) // acquires, runs and hands over shards until ctx ends
//	job, err := rt.AddJob(ctx, job)
//
// A request succeeds only once its change is durable in the store. After an error for
// which heatherhub.DidNotRun holds, the change will not take effect later either.
package shard

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/placement"
	"heatherhub.example/heatherhub/process/shard/layout"
)

// Layout is the number of shards of each failure domain.
type Layout = layout.Layout

// Config configures a Runtime.
type Config struct {
	Self    heatherhub.HostID
	Domain  heatherhub.FailureDomain
	Layout  Layout
	Store   store.Store
	Hosts   hostlist.List
	Workers worker.Controller
	// Peers sends heartbeats. Without it, none are sent.
	Peers peer.Caller
	// Clock is the real clock by default.
	Clock clockwork.Clock
	// NewScheduler returns a new scheduler for one shard.
	NewScheduler func() placement.Scheduler
	// Snapshot returns the configuration in force, or nil before the first one.
	Snapshot func() *heatherhub.Snapshot
	// Logger, Registerer and Tracer are optional.
	Logger     *zap.Logger
	Registerer prometheus.Registerer
	Tracer     trace.Tracer
	// SessionTTL is the time to live of the host's lease in the store, and ClockMargin
	// the largest difference between the clocks of hosts and workers that is allowed
	// for. Zero stands for the defaults of core.
	SessionTTL  time.Duration
	ClockMargin time.Duration
	// TickInterval is the time between two ticks of the shards; zero for
	// DefaultTickInterval.
	TickInterval time.Duration
	// MaxCommands is the maximum number of concurrent calls to workers; zero for
	// DefaultMaxCommands.
	MaxCommands int
}

// JobView is a job with the numbers of its running, queued and finished tasks.
type JobView struct {
	Job      heatherhub.Job     `msgpack:"job" json:"job"`
	Shard    heatherhub.ShardID `msgpack:"shard" json:"shard"`
	Running  int                `msgpack:"running" json:"running"`
	Queued   int                `msgpack:"queued" json:"queued"`
	Finished int                `msgpack:"finished" json:"finished"`
}

// WorkerView is the state of a worker as the owner of its shard knows it.
type WorkerView struct {
	Host     hostlist.Host        `msgpack:"host" json:"host"`
	Shard    heatherhub.ShardID   `msgpack:"shard" json:"shard"`
	Reserved heatherhub.Resources `msgpack:"reserved" json:"reserved"`
	Tasks    []heatherhub.TaskID  `msgpack:"tasks" json:"tasks"`
	// Reachable means that the worker answered within the last task lease.
	Reachable bool `msgpack:"reachable" json:"reachable"`
	// Quarantined means that the worker gets no tasks because tasks failed on it.
	Quarantined bool `msgpack:"quarantined" json:"quarantined"`
}
