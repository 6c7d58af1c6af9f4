// Package relay distributes configuration and membership over gRPC. It has the feed servers of
// relays and control replicas and the feed clients of daemons and relays. The rules are in
// core/feed. Here each server and client has one loop goroutine that owns its state, and
// stream goroutines that only pass messages to and from the loop.
package relay

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// Source provides the configuration that a control replica serves. All methods are called from
// one goroutine and must not block.
type Source interface {
	// Version returns the newest version applied by this replica.
	Version() uint64
	// ChangesSince returns the changes after version: the newest documents and the
	// removed services. For version 0 and versions that are too old it returns a
	// full copy, whose FromVersion is 0.
	ChangesSince(version uint64) *api.ConfigDelta
	// Changed returns a channel that is closed when a version higher than the
	// current one is applied.
	Changed() <-chan struct{}
	// Confirmation returns the newest quorum confirmation: age ago, a quorum
	// confirmed the leadership of a leader, and no change accepted before that
	// time has a version above the returned one. The age must be an upper bound:
	// it counts from the sending of the messages to the quorum or, at a replica
	// that is not the leader, of the message to the leader. ok is false if there
	// is no confirmation.
	Confirmation() (version uint64, age time.Duration, ok bool)
}
