package placement

import (
	"time"

	"heatherhub.example/heatherhub"
)

// Mechanism names one part of the decisions that can be switched off, so that
// an experiment can measure what it wins.
type Mechanism string

// Mechanisms of the Colocator.
const (
	// MechanismSizes plans with learnt sizes where they exceed declared ones.
	MechanismSizes Mechanism = "sizes"
	// MechanismRunTimes orders batch tasks by learnt run times.
	MechanismRunTimes Mechanism = "runTimes"
	// MechanismAvoidance places batch tasks where learnt interference is least.
	MechanismAvoidance Mechanism = "avoidance"
	// MechanismThrottle limits the processor share of disturbing batch tasks.
	MechanismThrottle Mechanism = "throttle"
	// MechanismEviction evicts disturbing batch tasks when throttling is not enough.
	MechanismEviction Mechanism = "eviction"
	// MechanismPreemption evicts batch tasks to make room for urgent work.
	MechanismPreemption Mechanism = "preemption"
	// MechanismAgeing gives a part of the starts to the oldest batch tasks and
	// keeps a worker free for a task that has waited too long.
	MechanismAgeing Mechanism = "ageing"
	// MechanismQuarantine keeps work off workers that fail everything.
	MechanismQuarantine Mechanism = "quarantine"
	// MechanismSpread spreads replicas of a service over racks.
	MechanismSpread Mechanism = "spread"
	// MechanismAccelerators keeps accelerator workers for work that needs them.
	MechanismAccelerators Mechanism = "accelerators"
	// MechanismReclaim evicts borrowed work from a worker that is kept for an
	// entitled team and does not drain.
	MechanismReclaim Mechanism = "reclaim"
)

// Mechanisms returns all mechanisms in a fixed order.
func Mechanisms() []Mechanism {
	return []Mechanism{
		MechanismSizes, MechanismRunTimes, MechanismAvoidance, MechanismThrottle,
		MechanismEviction, MechanismPreemption, MechanismAgeing, MechanismQuarantine,
		MechanismSpread, MechanismAccelerators, MechanismReclaim,
	}
}

// Default values of a Config.
const (
	DefaultMaxStarts          = 4096
	DefaultCooldown           = 8 * time.Second
	DefaultMaxWaitTarget      = 10 * time.Minute
	DefaultParkGrace          = 30 * time.Second
	DefaultHighLatencyShare   = heatherhub.Percent(40)
	DefaultLowLatencyShare    = heatherhub.Percent(30)
	DefaultMaxMitigatingShare = heatherhub.Percent(20)
)

// Config configures a Colocator. Zero values stand for the defaults.
type Config struct {
	// MaxStarts bounds the starts of one Decide.
	MaxStarts int
	// Cooldown is the time between two changes on one worker. It must exceed
	// the lag of usage reports.
	Cooldown time.Duration
	// MaxWaitTarget bounds the time after which a waiting batch task is overdue.
	MaxWaitTarget time.Duration
	// ParkGrace is how long a task that fits no known worker waits for other
	// workers to be listed before it is parked.
	ParkGrace time.Duration
	// HighLatencyShare is the share of a service's deadline at which its mean time per
	// request calls for relief.
	HighLatencyShare heatherhub.Percent
	// LowLatencyShare is the share below which relief is taken back.
	LowLatencyShare heatherhub.Percent
	// MaxMitigatingShare is the share of workers that may be under a change whose
	// effect has not been reported.
	MaxMitigatingShare heatherhub.Percent
	// Disabled lists mechanisms that are switched off.
	Disabled []Mechanism
}

func (c Config) withDefaults() Config {
	heatherhub.SetDefault(&c.MaxStarts, DefaultMaxStarts)
	heatherhub.SetDefault(&c.Cooldown, DefaultCooldown)
	heatherhub.SetDefault(&c.MaxWaitTarget, DefaultMaxWaitTarget)
	heatherhub.SetDefault(&c.ParkGrace, DefaultParkGrace)
	heatherhub.SetDefault(&c.HighLatencyShare, DefaultHighLatencyShare)
	heatherhub.SetDefault(&c.LowLatencyShare, DefaultLowLatencyShare)
	heatherhub.SetDefault(&c.MaxMitigatingShare, DefaultMaxMitigatingShare)
	return c
}
