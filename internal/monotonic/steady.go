// Package steady provides a clock that never jumps and that counts the time for
// which the VM was suspended. Leases and confirmations measured by it do not
// outlive a freeze.
package monotonic

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the boot of the VM. Only differences mean anything.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // kernels without this clock; Go's own clock is steady too
	}
	return time.Unix(ts.Unix())
}
