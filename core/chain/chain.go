// Package chain holds what travels with a request through a call chain: its
// class and priority, its deadline, its retry allowance, and the typed outcome
// of each call. It does no input or output and reads no clock.
package chain

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"time"
)

// Class is the declared importance of a route. A larger value is shed later.
type Class uint8

// The classes, from the one that is shed first to the one that is shed last.
const (
	Sheddable Class = iota // internal checks and background work
	Default                // lookups and price checks
	Critical               // bookings, orders and uploads
	numClasses
)

var classNames = [numClasses]string{"sheddable", "default", "critical"}

// ClassNames lists the class names in the order in which they are shed.
func ClassNames() []string { return classNames[:] }

// String returns the name that declarations and headers use.
func (c Class) String() string {
	if c < numClasses {
		return classNames[c]
	}
	return fmt.Sprintf("class(%d)", uint8(c))
}

// ParseClass reads a class name.
func ParseClass(name string) (Class, bool) {
	for i, n := range classNames {
		if n == name {
			return Class(i), true
		}
	}
	return 0, false
}

// MarshalJSON writes the class name.
func (c Class) MarshalJSON() ([]byte, error) { return json.Marshal(c.String()) }

// subPriorityBits is the width of the part of a priority that comes from the
// request id, so that all calls of one request get the same verdict at every gate.
const subPriorityBits = 7

// Priority orders requests across all gates: the class first, then a hash of
// the request id. A larger value is shed later.
type Priority uint16

// MaxPriority is one above the highest priority, the level that admits nothing.
const MaxPriority = Priority(numClasses) << subPriorityBits

// NewPriority derives the priority of a request from its class and its id.
func NewPriority(class Class, requestID string) Priority {
	h := fnv.New32a()
	_, _ = h.Write([]byte(requestID)) // a hash never fails to write
	sum := h.Sum32()
	sum ^= sum >> 16 // the low bits of FNV-1a alone vary little on short ids
	sub := Priority(sum & (1<<subPriorityBits - 1))
	return Priority(class)<<subPriorityBits | sub
}

// upperShare is the part of the priorities of a class that UpperBand returns.
const upperShare = 4

// UpperBand is the corresponding priority in the upper part of the class.
func (p Priority) UpperBand() Priority {
	const size = 1 << subPriorityBits
	return p.Class().MinPriority() + size - size/upperShare + (p&(size-1))/upperShare
}

// LowerBand is the corresponding priority below the upper part of the class.
func (p Priority) LowerBand() Priority {
	const size = 1 << subPriorityBits
	return p.Class().MinPriority() + (p&(size-1))*(upperShare-1)/upperShare
}

// RaiseToClass is the priority in a class that is not below the given one, at the same place
// within it.
func (p Priority) RaiseToClass(class Class) Priority {
	const size = 1 << subPriorityBits
	return max(p.Class(), class).MinPriority() + p&(size-1)
}

// Class returns the class part of the priority.
func (p Priority) Class() Class { return Class(p >> subPriorityBits) }

// MinPriority returns the lowest priority of the class.
func (c Class) MinPriority() Priority { return Priority(c) << subPriorityBits }

// Metadata is the part of a request that every hop needs.
type Metadata struct {
	RequestID      string
	Attempt        uint32 // numbers the attempts of one call, from 1
	Priority       Priority
	Deadline       time.Time // on the local clock; crosses hops as remaining time
	Depth          int       // 0 for the call that a caller made
	IdempotencyKey string    // idempotency key, empty if the caller gave none
	ConfigVersion  uint64    // configuration version of the daemon that sent it
}

// Remaining is the time left before the deadline.
func (c Metadata) Remaining(now time.Time) time.Duration { return c.Deadline.Sub(now) }

// MaxDepth bounds the length of a call chain, as a guard against loops. The
// deepest chain in the aim is 14.
const MaxDepth = 32
