// Package feed holds the rules by which configuration and membership are
// distributed: which version a process may put in force, which source it
// follows, and which upstreams are members. It performs no I/O: the time is
// passed in, and decisions are returned to the caller.
package feed

import "time"

// Periods of the protocol.
const (
	// RenewInterval is the period of requests on a stream; each one renews the lease.
	RenewInterval = time.Second
	// LeaseTTL is the lifetime of an announcement that is not renewed.
	LeaseTTL = 3 * time.Second
	// MaxConfirmationAge is the confirmation age above which a subscriber looks for another source.
	MaxConfirmationAge = 2 * time.Second
	// StreamTimeout is the time without any update after which a stream is opened anew.
	StreamTimeout = 4 * time.Second
	// FailbackDelay is how long a preferred source must be fresh before a
	// subscriber moves back to it. It keeps a flapping link from causing a
	// change of source each time.
	FailbackDelay = 5 * time.Second
	// MaxReconnectDelay bounds the backoff of a subscriber.
	MaxReconnectDelay = 2 * time.Second
	// StartupTime is how long a started relay waits before its leases count
	// as complete: each daemon reconnects and announces itself within
	// MaxReconnectDelay and one lease time.
	StartupTime = LeaseTTL + MaxReconnectDelay
	// PauseThreshold is the gap between two ticks from which on a relay treats
	// itself as paused and extends the leases it holds.
	PauseThreshold = time.Second
)

// Majority is the number of relays that form a majority of n.
func Majority(n int) int { return n/2 + 1 }
