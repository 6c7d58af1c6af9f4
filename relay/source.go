// Package relay distributes configuration and membership over gRPC: the feed
// server of relays and of control, and the feed client of daemons and relays.
// The rules are in core/feed; here each process part runs one loop goroutine
// that owns its feed state, and stream goroutines that only move messages.
package relay

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// Source is the configuration that a control replica serves. All methods are
// called from one goroutine and must return without waiting.
type Source interface {
	// Version is the newest version applied by this replica.
	Version() uint64
	// Since returns what changed after version: the newest documents and the
	// removed services. From is 0 in a full copy, which is the answer to
	// version 0 and to versions that are too old.
	Since(version uint64) *api.ConfigDelta
	// Changed returns a channel that is closed when a higher version than
	// the present one is applied.
	Changed() <-chan struct{}
	// Confirmation tells that a leader confirmed its leadership with a quorum
	// age ago, and that no change accepted before that moment has a version
	// above the returned one. The age must be an upper bound: it counts from
	// the send of the messages by which the quorum, or the leader for another
	// replica, was asked. ok is false if there is no confirmation.
	Confirmation() (version uint64, age time.Duration, ok bool)
}
