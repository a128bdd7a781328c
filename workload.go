package heatherhub

import (
	"time"
)

// Kind distinguishes services from batch workloads.
type Kind string

// Kinds of workloads.
const (
	// KindService is a latency-critical service that answers users' requests.
	KindService Kind = "service"
	// KindBatch is background work that may be delayed but must finish.
	KindBatch Kind = "batch"
)

// Priority orders work. A higher priority is scheduled first.
type Priority int

// Predefined priorities.
const (
	// PriorityBatch is ordinary background work.
	PriorityBatch Priority = 0
	// PriorityUrgent is work with the start target UrgentStartTarget.
	PriorityUrgent Priority = 100
	// PriorityService is a replica of a latency-critical service.
	PriorityService Priority = 200
)

// UrgentStartTarget is the target for the time until urgent work starts.
const UrgentStartTarget = time.Second

// Weights sets the relative importance of a workload's objectives.
type Weights struct {
	TailLatency float64 `msgpack:"tail" json:"tailLatency" yaml:"tailLatency"`
	Throughput  float64 `msgpack:"throughput" json:"throughput" yaml:"throughput"`
	Evictions   float64 `msgpack:"evictions" json:"evictions" yaml:"evictions"`
}

// Check returns ErrInvalid if a weight is negative. The message begins with field.
func (w Weights) Check(field string) error {
	if w.TailLatency < 0 || w.Throughput < 0 || w.Evictions < 0 {
		return ErrInvalid.New("%s has a negative weight: use 0 or more", field)
	}
	return nil
}

// Workload is the declaration of a service or of a kind of batch job.
type Workload struct {
	ID   WorkloadID `msgpack:"id" json:"id" yaml:"id"`
	Kind Kind       `msgpack:"kind" json:"kind" yaml:"kind"`
	Team TeamID     `msgpack:"team" json:"team" yaml:"team"`
	// Size is the declared size of one replica or one task.
	Size Resources `msgpack:"size" json:"size" yaml:"size"`
	// Deadline is the time within which a request must be answered or, counted from its
	// acceptance, a job must finish. Zero means none.
	Deadline time.Duration `msgpack:"deadline" json:"deadline" yaml:"deadline"`
	// Idempotent allows a request to run more than once.
	Idempotent bool `msgpack:"idempotent" json:"idempotent" yaml:"idempotent"`
	// Concurrency is the number of requests that one replica handles at a time.
	Concurrency int `msgpack:"concurrency" json:"concurrency" yaml:"concurrency"`
	// RunTime is the declared run time of one batch task.
	RunTime time.Duration `msgpack:"runTime" json:"runTime" yaml:"runTime"`
	// Class groups batch workloads that cause similar interference to services.
	Class string `msgpack:"class" json:"class" yaml:"class"`
	// Gang requires the tasks of a job to start together or not at all.
	Gang    bool    `msgpack:"gang" json:"gang" yaml:"gang"`
	Weights Weights `msgpack:"weights" json:"weights" yaml:"weights"`
}

// Check returns the first validation error of the declaration.
func (w *Workload) Check() error {
	return firstError(w.CheckAll())
}

// CheckAll returns all validation errors of the declaration.
func (w *Workload) CheckAll() []error {
	field := "workload " + string(w.ID)
	errs := nonNil(
		CheckName("workload id", w.ID),
		CheckName(field+": team", w.Team),
		withPrefix(field+": size", w.Size.Check()),
		w.Weights.Check(field),
	)
	return append(errs, w.checkKind(field)...)
}

func (w *Workload) checkKind(field string) []error {
	var errs []error
	errorIf := func(isInvalid bool, format string) {
		if isInvalid {
			errs = append(errs, ErrInvalid.New(format, field))
		}
	}
	if w.Kind != KindService && w.Kind != KindBatch {
		errs = append(errs, ErrInvalid.New("%s: kind %q is neither service nor batch", field, w.Kind))
	}
	errorIf(w.Size.CPU == 0 || w.Size.Memory == 0, "%s: size needs cpuMilli and memoryMb above 0")
	errorIf(w.Deadline < 0 || w.RunTime < 0, "%s: deadline and runTime must be 0 or more")
	errorIf(w.Kind == KindService && w.Deadline == 0, "%s: a service needs a deadline, for example 800ms")
	errorIf(w.Kind == KindService && w.Concurrency < 1, "%s: a service needs a concurrency of 1 or more")
	errorIf(w.Kind == KindBatch && w.RunTime == 0, "%s: a batch workload needs a runTime, for example 2m")
	return errs
}

// firstError returns the first of errs, or nil if there are none.
func firstError(errs []error) error {
	if len(errs) == 0 {
		return nil
	}
	return errs[0]
}

// nonNil returns the errors that are not nil.
func nonNil(errs ...error) []error {
	var out []error
	for _, err := range errs {
		if err != nil {
			out = append(out, err)
		}
	}
	return out
}

// withPrefix returns err as ErrInvalid with the field before its message. It returns nil
// for a nil error.
func withPrefix(field string, err error) error {
	if err == nil {
		return nil
	}
	return ErrInvalid.New("%s: %s", field, Message(err))
}

// Team owns workloads and has a quota of resources for its batch tasks.
type Team struct {
	ID    TeamID    `msgpack:"id" json:"id" yaml:"id"`
	Quota Resources `msgpack:"quota" json:"quota" yaml:"quota"`
}

// Check returns the first validation error of the declaration.
func (t *Team) Check() error {
	if err := CheckName("team id", t.ID); err != nil {
		return err
	}
	return withPrefix("team "+string(t.ID)+": quota", t.Quota.Check())
}

// ServiceSetting holds the settings of one service in a preset.
type ServiceSetting struct {
	Workload WorkloadID `msgpack:"workload" json:"workload" yaml:"workload"`
	// Replicas is the total number of replicas in all failure domains.
	Replicas int `msgpack:"replicas" json:"replicas" yaml:"replicas"`
	// Priority orders services under overload: requests to the services of the lowest
	// priority are refused first.
	Priority Priority `msgpack:"priority" json:"priority" yaml:"priority"`
}

// Preset is a named set of scheduling settings for the site. Exactly one preset is
// in force at a time.
type Preset struct {
	ID       PresetID         `msgpack:"id" json:"id" yaml:"id"`
	Services []ServiceSetting `msgpack:"services" json:"services" yaml:"services"`
	// BatchShare is the share of each worker that batch tasks may use.
	BatchShare Percent `msgpack:"batchShare" json:"batchShare" yaml:"batchShare"`
	// BatchFloor is the share of each shard that is reserved for batch tasks, to
	// prevent their starvation.
	BatchFloor Percent `msgpack:"batchFloor" json:"batchFloor" yaml:"batchFloor"`
	// MaxEvictions is the maximum number of evictions per minute in each shard.
	MaxEvictions int `msgpack:"maxEvictions" json:"maxEvictionsPerMinute" yaml:"maxEvictionsPerMinute"`
	// DrainDomains lists failure domains that accept no new work, for maintenance.
	DrainDomains []FailureDomain `msgpack:"drainDomains" json:"drainDomains" yaml:"drainDomains"`
	// DrainRacks lists racks that accept no new work, for maintenance.
	DrainRacks []Rack `msgpack:"drainRacks" json:"drainRacks" yaml:"drainRacks"`
}

// Service returns the settings of a service and reports whether the preset has any.
func (p *Preset) Service(id WorkloadID) (ServiceSetting, bool) {
	for _, s := range p.Services {
		if s.Workload == id {
			return s, true
		}
	}
	return ServiceSetting{}, false
}

// Replicas returns the number of replicas of a service, or 0 if the preset has no
// settings for it.
func (p *Preset) Replicas(id WorkloadID) int {
	s, _ := p.Service(id)
	return s.Replicas
}

// Check returns the first validation error of the declaration.
func (p *Preset) Check() error {
	return firstError(p.CheckAll())
}

// CheckAll returns all validation errors of the declaration.
func (p *Preset) CheckAll() []error {
	field := "preset " + string(p.ID)
	errs := nonNil(CheckName("preset id", p.ID))
	if p.BatchShare < 0 || p.BatchShare > 100 {
		errs = append(errs, ErrInvalid.New("%s: batchShare %d is not within 0 to 100", field, p.BatchShare))
	}
	if p.BatchFloor < 0 || p.BatchFloor > p.BatchShare {
		errs = append(errs, ErrInvalid.New("%s: batchFloor %d is not within 0 and batchShare %d", field, p.BatchFloor, p.BatchShare))
	}
	if p.MaxEvictions < 0 {
		errs = append(errs, ErrInvalid.New("%s: maxEvictionsPerMinute must be 0 or more", field))
	}
	return append(errs, p.checkServices(field)...)
}

func (p *Preset) checkServices(field string) []error {
	var errs []error
	seen := make(map[WorkloadID]bool, len(p.Services))
	for _, s := range p.Services {
		if s.Replicas < 0 {
			errs = append(errs, ErrInvalid.New("%s: service %s: replicas must be 0 or more", field, s.Workload))
		}
		if seen[s.Workload] {
			errs = append(errs, ErrInvalid.New("%s: service %s is listed twice: keep one entry", field, s.Workload))
		}
		seen[s.Workload] = true
	}
	return errs
}
