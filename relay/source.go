// Package relay distributes configuration and membership over gRPC: the feed
// server of relays and of control, and the feed client of daemons and relays.
// The rules are in core/feed; here each process part runs one loop goroutine
// that owns its feed state, and stream goroutines that only move messages.
package relay

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// Source is the configuration that a control replica serves. All methods must
// return without waiting for the network.
type Source interface {
	// Version is the newest version applied by this replica.
	Version() uint64
	// Since returns the newest version, and the documents that were changed
	// and the services that were removed after the given one. From version 0
	// it is a full copy.
	Since(version uint64) (newest uint64, changed []*api.ServiceDocument, removed []string)
	// Changed returns a channel that is closed at the next change of Version.
	Changed() <-chan struct{}
	// ConfirmationAge tells how long ago a leader confirmed with a quorum
	// that Version includes every change accepted until then; false if it
	// never did. It must be an upper bound, which counts from the send of the
	// messages by which the quorum, or the leader for another replica, was
	// asked.
	ConfirmationAge() (time.Duration, bool)
}
