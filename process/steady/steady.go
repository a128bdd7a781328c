// Package steady reads the host's clocks for decisions that must not be fooled by
// a pause: the steady clock here goes on while the host is suspended.
//
// # Usage
//
//	clock := steady.New()
//	now := clock.Now()
package steady

import (
	"time"

	"golang.org/x/sys/unix"

	"heatherhub.example/heatherhub/process/dispatch"
)

// Clock reads the time since it was made.
type Clock struct {
	origin time.Duration
}

// New returns a clock that starts now.
func New() *Clock {
	return &Clock{origin: timeSinceBoot()}
}

// Now returns the present moment.
func (c *Clock) Now() dispatch.Moment {
	return dispatch.Moment{Steady: timeSinceBoot() - c.origin, Wall: time.Now()}
}

// timeSinceBoot returns the time since the host was booted, with suspensions. A kernel
// without that clock falls back to the time of day.
func timeSinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}
