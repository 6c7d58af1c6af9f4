package daemon

import "runtime/debug"

const (
	// gcPercent lets the heap grow to nine times its live size of a few megabytes before a
	// collection. With the default of 100 a busy daemon runs a collection every 10 ms, which
	// doubles the latency that it adds at p99.
	gcPercent = 800

	// VMMemoryBytes is the memory that a daemon may use on a VM.
	VMMemoryBytes = 128 << 20

	// memoryLimitBytes keeps the heap below VMMemoryBytes.
	memoryLimitBytes = 96 << 20
)

// TuneMemory configures the garbage collector of a daemon process. The program calls it once. It is
// not part of New because it applies to the whole process.
func TuneMemory() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
}
