// Package feed holds the rules by which configuration and membership are
// distributed: which version a process may activate, which source it follows, and
// which upstreams are members. It performs no I/O: the time is passed in, and
// decisions are returned to the caller.
package feed

import "time"

// Periods of the protocol.
const (
	// RenewInterval is the period of requests on a stream; each one renews the lease.
	RenewInterval = time.Second
	// LeaseTTL is the lifetime of an announcement that is not renewed.
	LeaseTTL = 3 * time.Second
	// MaxConfirmationAge is the confirmation age above which a source is stale and
	// a subscriber prefers another one.
	MaxConfirmationAge = 2 * time.Second
	// StreamTimeout is the time without any update after which a stream is reopened.
	StreamTimeout = 4 * time.Second
	// FailbackDelay is how long a preferred source must be fresh before a
	// subscriber selects it again. It prevents a change of source each time a
	// flapping link recovers.
	FailbackDelay = 5 * time.Second
	// MaxReconnectDelay bounds the backoff between connection attempts of a
	// subscriber.
	MaxReconnectDelay = 2 * time.Second
	// LeaseCollectionTime is the time after the start of a relay until its leases
	// count as complete: each daemon reconnects within MaxReconnectDelay and announces
	// itself within LeaseTTL.
	LeaseCollectionTime = LeaseTTL + MaxReconnectDelay
	// PauseThreshold is the time between two ticks above which a relay assumes that
	// its process was paused, and renews all leases.
	PauseThreshold = time.Second
)

// Majority returns the number of relays that form a majority of n.
func Majority(n int) int { return n/2 + 1 }
