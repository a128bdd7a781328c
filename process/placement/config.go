package placement

import (
	"time"

	"heatherhub.example/heatherhub"
)

// Mechanism names a part of the scheduler that can be disabled, so that an experiment
// can measure its effect.
type Mechanism string

// Mechanisms of the Colocator.
const (
	// MechanismSizes plans with learned sizes where they exceed the declared ones.
	MechanismSizes Mechanism = "sizes"
	// MechanismRunTimes orders batch tasks by learned run times.
	MechanismRunTimes Mechanism = "runTimes"
	// MechanismAvoidance places tasks where the least interference is expected.
	MechanismAvoidance Mechanism = "avoidance"
	// MechanismThrottle limits the processor share of batch tasks that slow services.
	MechanismThrottle Mechanism = "throttle"
	// MechanismEviction evicts batch tasks that slow services despite throttling.
	MechanismEviction Mechanism = "eviction"
	// MechanismPreemption evicts batch tasks to start urgent tasks and services.
	MechanismPreemption Mechanism = "preemption"
	// MechanismAgeing reserves a share of the starts for overdue batch tasks and
	// holds workers for tasks that have waited too long.
	MechanismAgeing Mechanism = "ageing"
	// MechanismQuarantine stops placing tasks on workers where different jobs fail.
	MechanismQuarantine Mechanism = "quarantine"
	// MechanismSpread spreads replicas of a service over racks.
	MechanismSpread Mechanism = "spread"
	// MechanismAccelerators reserves processors and memory for idle accelerators.
	MechanismAccelerators Mechanism = "accelerators"
	// MechanismReclaim evicts tasks of teams above their entitlement from a worker
	// that is held for a team below its own and does not drain.
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

// Config configures a Colocator. Zero values select the defaults.
type Config struct {
	// MaxStarts limits the starts of one Decide.
	MaxStarts int
	// Cooldown is the minimum time between two mitigations on one worker. It must
	// exceed the lag of usage reports, or a mitigation is repeated before its effect
	// is seen.
	Cooldown time.Duration
	// MaxWaitTarget limits the time after which a waiting task is overdue.
	MaxWaitTarget time.Duration
	// ParkGrace is how long a task that fits no known worker waits before it is
	// parked, since the list of workers may be incomplete.
	ParkGrace time.Duration
	// HighLatencyShare is the share of a service's deadline at which its mean time
	// per request triggers mitigation.
	HighLatencyShare heatherhub.Percent
	// LowLatencyShare is the share up to which a throttle is relaxed.
	LowLatencyShare heatherhub.Percent
	// MaxMitigatingShare limits the share of workers on which a mitigation is still
	// within its cooldown.
	MaxMitigatingShare heatherhub.Percent
	// Disabled lists the mechanisms to disable.
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
