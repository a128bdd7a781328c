package endpoint

import "time"

// Estimate is what a pool expects of a request.
type Estimate struct {
	// QueueTime is the time until a replica is free.
	QueueTime time.Duration
	// ServiceTime is the time from the start to the answer; Deviation is its mean
	// deviation.
	ServiceTime time.Duration
	Deviation   time.Duration
}

// Admission decides whether a request is taken in.
type Admission interface {
	// MissesDeadline reports whether a request with the time left would be answered late.
	MissesDeadline(left time.Duration, e Estimate) bool
	// TimeNeeded is the time that a request needs from its start.
	TimeNeeded(e Estimate) time.Duration
}

// DeadlineAdmission refuses what would be late.
type DeadlineAdmission struct {
	// Deviations is the margin for the spread of the service time.
	Deviations float64
}

// MissesDeadline reports whether the wait and the service do not fit in the time left.
func (a DeadlineAdmission) MissesDeadline(left time.Duration, e Estimate) bool {
	return e.QueueTime+a.TimeNeeded(e) > left
}

// TimeNeeded is the service time and its margin.
func (a DeadlineAdmission) TimeNeeded(e Estimate) time.Duration {
	return e.ServiceTime + time.Duration(a.Deviations*float64(e.Deviation))
}

// AdmitAll takes everything in until the queue is full.
type AdmitAll struct{}

// MissesDeadline reports whether the deadline has passed.
func (AdmitAll) MissesDeadline(left time.Duration, _ Estimate) bool { return left <= 0 }

// TimeNeeded is zero.
func (AdmitAll) TimeNeeded(Estimate) time.Duration { return 0 }
