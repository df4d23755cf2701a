// Package clock reads a clock that keeps running while a host is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted. Only differences between its results are meaningful, because they are not
// based on the time of day.
//
// The monotonic clock of the time package stops while a host is suspended, so a lease measured with it would be held
// past its expiry. The time of day can jump.
func Now() time.Time {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		panic("cannot read the boot-time clock: " + err.Error())
	}
	return time.Unix(reading.Sec, reading.Nsec)
}
