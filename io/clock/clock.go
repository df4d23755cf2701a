// Package clock reads the time that goes on while a host is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, as an instant without a calendar.
//
// The monotonic clock of the time package stops while a host is suspended, so that leases would outlive their term,
// and the time of day may jump.
func Now() time.Time {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		panic("the boot-time clock cannot be read: " + err.Error())
	}
	return time.Unix(reading.Sec, reading.Nsec)
}
