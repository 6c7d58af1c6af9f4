// Package chain holds what a request carries through a call chain: its class and priority, its
// deadline, its retry allowance, and the typed outcome of each call. It performs no I/O and reads
// no clock.
package chain

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"time"
)

// Class is the declared importance of a route. A class with a larger value is shed later.
type Class uint8

// The classes, in the order in which they are shed.
const (
	Sheddable Class = iota // internal checks and background work
	Default                // lookups and price checks
	Critical               // bookings, orders and uploads
	numClasses
)

var classNames = [numClasses]string{"sheddable", "default", "critical"}

// ClassNames lists the class names in the order in which they are shed.
func ClassNames() []string { return classNames[:] }

// String returns the name used in declarations and headers.
func (c Class) String() string {
	if c < numClasses {
		return classNames[c]
	}
	return fmt.Sprintf("class(%d)", uint8(c))
}

// ParseClass parses a class name.
func ParseClass(name string) (Class, bool) {
	for i, n := range classNames {
		if n == name {
			return Class(i), true
		}
	}
	return 0, false
}

// MarshalJSON encodes the class name.
func (c Class) MarshalJSON() ([]byte, error) { return json.Marshal(c.String()) }

// subPriorityBits is the number of bits of a priority that are derived from the request ID, so
// that all calls of one request get the same decision from every admission controller.
const subPriorityBits = 7

// Priority orders requests in all admission controllers: by class first, then by a hash of the
// request ID. A request with a larger value is shed later.
type Priority uint16

// NumPriorities is the number of priorities. As an admission level, it is above every priority
// and admits nothing.
const NumPriorities = Priority(numClasses) << subPriorityBits

// NewPriority derives the priority of a request from its class and its request ID.
func NewPriority(class Class, requestID string) Priority {
	h := fnv.New32a()
	_, _ = h.Write([]byte(requestID)) // a hash never returns an error
	sum := h.Sum32()
	sum ^= sum >> 16 // the low bits of FNV-1a alone vary little on short ids
	sub := Priority(sum & (1<<subPriorityBits - 1))
	return Priority(class)<<subPriorityBits | sub
}

// upperBandDivisor defines the upper band of a class: the top 1/upperBandDivisor of its
// priorities.
const upperBandDivisor = 4

// UpperBand returns the priority scaled into the upper band of its class.
func (p Priority) UpperBand() Priority {
	const size = 1 << subPriorityBits
	return p.Class().MinPriority() + size - size/upperBandDivisor + (p&(size-1))/upperBandDivisor
}

// LowerBand returns the priority scaled into the range below the upper band of its class.
func (p Priority) LowerBand() Priority {
	const size = 1 << subPriorityBits
	return p.Class().MinPriority() + (p&(size-1))*(upperBandDivisor-1)/upperBandDivisor
}

// RaiseToClass returns the priority with the same sub-priority in the higher of its own class and
// the given one.
func (p Priority) RaiseToClass(class Class) Priority {
	const size = 1 << subPriorityBits
	return max(p.Class(), class).MinPriority() + p&(size-1)
}

// Class returns the class of the priority.
func (p Priority) Class() Class { return Class(p >> subPriorityBits) }

// MinPriority returns the lowest priority of the class.
func (c Class) MinPriority() Priority { return Priority(c) << subPriorityBits }

// Metadata is the part of a request that every hop needs.
type Metadata struct {
	RequestID      string
	Attempt        uint32 // numbers the attempts of one call, from 1
	Priority       Priority
	Deadline       time.Time // on the local clock; sent between hops as remaining time
	Depth          int       // 0 for the call of a client
	IdempotencyKey string    // empty if the client sent none
	ConfigVersion  uint64    // configuration version of the sending daemon
}

// Remaining returns the remaining time before the deadline.
func (m Metadata) Remaining(now time.Time) time.Duration { return m.Deadline.Sub(now) }

// MaxDepth bounds the depth of a call chain, to stop loops. The deepest chain that must be
// supported is 14.
const MaxDepth = 32
