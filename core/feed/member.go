package feed

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of an upstream.
type State uint8

// The states of an upstream. The values are those of api.UpstreamState.
const (
	StateUnspecified State = iota
	StateStarting          // announced, not accepting requests yet
	StateServing
	StateDraining     // not accepting new requests
	StateDeregistered // its entry is removed
)

var stateNames = [...]string{"unspecified", "starting", "serving", "draining", "gone"}

// String returns the name of the state in logs and status responses.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return stateNames[0]
}

// Member is the announcement of one daemon for its upstream.
type Member struct {
	ID               string
	Incarnation      uint64 // increases with each start of the daemon
	Sequence         uint64 // increases with each change within an incarnation
	Service          string
	Region           string
	AvailabilityZone string
	Address          string // address of the peer listener
	State            State
	Slots            uint32
	ServingSince     time.Time // when the upstream started to serve; zero if unknown
}

// newerThan reports whether m is newer than the announcement of the same daemon with
// the given incarnation and sequence. The incarnation takes precedence.
func (m *Member) newerThan(incarnation, sequence uint64) bool {
	return m.Incarnation > incarnation || (m.Incarnation == incarnation && m.Sequence > sequence)
}

// sameAnnouncement reports whether m and o, of one daemon, are the same announcement.
func (m *Member) sameAnnouncement(o *Member) bool {
	return m.Incarnation == o.Incarnation && m.Sequence == o.Sequence
}

// digest returns a hash that identifies the announcement. The digest of a table is
// the XOR of those of its members: independent of their order and cheap to update.
func (m *Member) digest() uint64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, m.ID...)
	buf = binary.LittleEndian.AppendUint64(buf, m.Incarnation)
	buf = binary.LittleEndian.AppendUint64(buf, m.Sequence)
	buf = append(buf, byte(m.State))
	return xxhash.Sum64(buf)
}
