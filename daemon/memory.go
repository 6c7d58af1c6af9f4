package daemon

import "runtime/debug"

const (
	// gcPercent lets the heap grow to nine times its live part of a few
	// megabytes before a collection. With the default of 100 a busy daemon
	// collects every 10 ms, which doubles the added latency at p99.
	gcPercent = 800

	// memoryLimitBytes keeps the heap below the 128 MB that a VM grants a daemon.
	memoryLimitBytes = 96 << 20 // bytes
)

// TuneMemory sets the garbage collector for a process that is a daemon. The
// program calls it once; it is not part of New because it concerns the whole
// process.
func TuneMemory() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
}
