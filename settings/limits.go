package settings

import "github.com/bilberrydeck/bilberrydeck/internal/jsonfile"

// Limits limit what a process holds for its clients. A limit that is 0 follows from the memory and the
// descriptors of the VM.
type Limits struct {
	ClientMemory int64 // bytes
	Connections  int   // accepted and outgoing ones
}

// The ranges of the limits. The smallest ones still serve single requests of any size.
var (
	clientMemoryRange = jsonfile.Range[int64]{Min: 4 << 20, Max: 64 << 30, Reason: "single requests must be served, and VMs have no more memory"}
	connectionsRange  = jsonfile.Range[int]{Min: 20, Max: 1 << 20, Reason: "single requests must be served, and a process has no more descriptors"}
)

func readLimits(top *jsonfile.Object) Limits {
	o := top.Object("limits")
	if o == nil {
		return Limits{}
	}
	l := Limits{
		ClientMemory: o.OptionalSize("client_memory", "", 0, clientMemoryRange),
		Connections:  o.OptionalInt("connections", 0, connectionsRange),
	}
	o.Close()
	return l
}
