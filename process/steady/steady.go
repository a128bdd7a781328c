// Package steady reads the host's clocks. Its steady clock never jumps and keeps
// running while the host is suspended, so that leases and timeouts also expire then.
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

// Clock measures the time since it was created. It is safe for concurrent use.
type Clock struct {
	origin time.Duration
}

// New returns a clock that starts at zero.
func New() *Clock {
	return &Clock{origin: timeSinceBoot()}
}

// Now returns the current time on both clocks.
func (c *Clock) Now() dispatch.Moment {
	return dispatch.Moment{Steady: timeSinceBoot() - c.origin, Wall: time.Now()}
}

// timeSinceBoot returns the time since the host was booted, including time suspended.
// It returns the time of day if the kernel has no such clock.
func timeSinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}
