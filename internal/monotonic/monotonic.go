// Package monotonic provides a clock that never steps and that includes the time
// for which the VM was suspended. Leases and quorum confirmations measured by it
// expire during a suspension.
package monotonic

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the boot of the VM. Only differences are meaningful.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // kernels without CLOCK_BOOTTIME; Go's own clock is monotonic, too
	}
	return time.Unix(ts.Unix())
}
