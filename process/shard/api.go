// Package shard runs the shards that this entry host owns. The decisions are made
// by process/shard/core, which knows no goroutine, clock or network; this package
// carries its calls out and feeds the answers back.
//
// # Usage
//
//	rt := shard.NewRuntime(shard.Config{Self: "e1", Domain: "gent", Store: s, ...})
//	err := rt.Run(ctx)     // owns, renews and hands over shards until ctx ends
//	job, err := rt.AddJob(ctx, job)
//
// A call returns success only when its change is durable in the store. An error
// that proves that nothing was done (heatherhub.DidNotRun) stays true.
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

// Config has what a Runtime needs.
type Config struct {
	Self    heatherhub.HostID
	Domain  heatherhub.FailureDomain
	Layout  Layout
	Store   store.Store
	Hosts   hostlist.List
	Workers worker.Controller
	// Peers sends heartbeats; nil sends none.
	Peers        peer.Caller
	Clock        clockwork.Clock
	NewScheduler func() placement.Scheduler
	// Snapshot returns the configuration in force, or nil before the first one.
	Snapshot   func() *heatherhub.Snapshot
	Logger     *zap.Logger
	Registerer prometheus.Registerer
	Tracer     trace.Tracer
	// SessionTTL is the time of the host's lease in the store, and Margin what is
	// allowed for differences between clocks; zero for the defaults of core.
	SessionTTL  time.Duration
	ClockMargin time.Duration
	// TickInterval is the time between two looks at the clock; zero for DefaultTickInterval.
	TickInterval time.Duration
	// MaxCommands is the number of worker commands under way at once; zero for
	// DefaultMaxCommands.
	MaxCommands int
}

// JobView is a job with the counts of its tasks.
type JobView struct {
	Job      heatherhub.Job     `msgpack:"job" json:"job"`
	Shard    heatherhub.ShardID `msgpack:"shard" json:"shard"`
	Running  int                `msgpack:"running" json:"running"`
	Queued   int                `msgpack:"queued" json:"queued"`
	Finished int                `msgpack:"finished" json:"finished"`
}

// WorkerView is a worker as its owner sees it.
type WorkerView struct {
	Host     hostlist.Host        `msgpack:"host" json:"host"`
	Shard    heatherhub.ShardID   `msgpack:"shard" json:"shard"`
	Reserved heatherhub.Resources `msgpack:"reserved" json:"reserved"`
	Tasks    []heatherhub.TaskID  `msgpack:"tasks" json:"tasks"`
	// Reachable says that the worker answered within the last task lease.
	Reachable bool `msgpack:"reachable" json:"reachable"`
	// Quarantined says that the worker gets no work because work failed on it.
	Quarantined bool `msgpack:"quarantined" json:"quarantined"`
}
