// Package clock reads a monotonic clock that also advances while a host is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted as a time.Time, which is unrelated to the calendar date.
//
// The monotonic clock of the time package stops while a host is suspended, so a lease would last longer than its
// duration. The wall clock may jump.
func Now() time.Time {
	var sinceBoot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot); err != nil {
		panic("cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(sinceBoot.Sec, sinceBoot.Nsec)
}
