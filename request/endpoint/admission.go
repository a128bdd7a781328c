package endpoint

import "time"

// Estimate is the expected latency of a new request.
type Estimate struct {
	// QueueTime is the time until a replica is free.
	QueueTime time.Duration
	// ServiceTime is the time from the start to the answer. Deviation is its mean
	// absolute deviation.
	ServiceTime time.Duration
	Deviation   time.Duration
}

// Admission decides which requests are accepted.
type Admission interface {
	// MissesDeadline reports whether a request whose deadline is in remaining would
	// be answered late.
	MissesDeadline(remaining time.Duration, e Estimate) bool
	// TimeNeeded returns the time to reserve for a request from its start.
	TimeNeeded(e Estimate) time.Duration
}

// DeadlineAdmission refuses requests that would miss their deadline.
type DeadlineAdmission struct {
	// Deviations is the safety margin in mean deviations of the service time.
	Deviations float64
}

// MissesDeadline reports whether queue time, service time and margin exceed the
// remaining time.
func (a DeadlineAdmission) MissesDeadline(remaining time.Duration, e Estimate) bool {
	return e.QueueTime+a.TimeNeeded(e) > remaining
}

// TimeNeeded returns the service time plus the margin.
func (a DeadlineAdmission) TimeNeeded(e Estimate) time.Duration {
	return e.ServiceTime + time.Duration(a.Deviations*float64(e.Deviation))
}

// AdmitAll accepts every request whose deadline has not passed. Only the size of
// the queue limits it.
type AdmitAll struct{}

// MissesDeadline reports whether the deadline has passed.
func (AdmitAll) MissesDeadline(remaining time.Duration, _ Estimate) bool { return remaining <= 0 }

// TimeNeeded returns zero: no time is reserved.
func (AdmitAll) TimeNeeded(Estimate) time.Duration { return 0 }
