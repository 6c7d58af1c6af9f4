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
	StateStarting          // announced, takes no calls yet
	StateServing
	StateDraining // takes no new calls
	StateLeft     // left; its entry is removed
)

var stateNames = [...]string{"unspecified", "starting", "serving", "draining", "gone"}

// String returns the name used in logs and in status.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return stateNames[0]
}

// Member is the announcement of one daemon for its upstream.
type Member struct {
	ID               string
	Incarnation      uint64 // grows with each start of the daemon
	Sequence         uint64 // grows with each change within a boot
	Service          string
	Region           string
	AvailabilityZone string
	Address          string // of the peer listener
	State            State
	Slots            uint32
	ServingSince     time.Time // when the upstream started to serve, zero if not known
}

// order of announcements of one daemon: by boot, then by sequence.
func (m *Member) newerThan(boot, sequence uint64) bool {
	return m.Incarnation > boot || (m.Incarnation == boot && m.Sequence > sequence)
}

func (m *Member) same(o *Member) bool {
	return m.Incarnation == o.Incarnation && m.Sequence == o.Sequence
}

// digest identifies the announcement. Digests of a table are combined by XOR,
// which makes them independent of order and cheap to update.
func (m *Member) digest() uint64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, m.ID...)
	buf = binary.LittleEndian.AppendUint64(buf, m.Incarnation)
	buf = binary.LittleEndian.AppendUint64(buf, m.Sequence)
	buf = append(buf, byte(m.State))
	return xxhash.Sum64(buf)
}
