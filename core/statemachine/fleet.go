package statemachine

import (
	"bytes"
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// Limits on what the fleet remembers beside its present state.
const (
	// maxAcceptedRoutings bounds the changes that are recognised when they are
	// resent: more than four days at 21,000 a day.
	maxAcceptedRoutings = 100_000
	// maxRemovedMembers bounds the removals that are remembered for daemons
	// that are behind; a daemon that is further behind gets the whole table.
	maxRemovedMembers = 4096
)

// Fleet is the state machine of a fleet: the routing configuration and the
// daemons with their upstreams. Both share the log, so that one index orders
// all that a daemon acts on.
type Fleet struct {
	index    uint64 // of the last command
	routing  *api.RoutingDocument
	routedAt uint64                       // index of the routing
	members  map[string]*api.StoredMember // by peer address, removed ones included
	removed  int
	// horizon is the index from which on all removals are remembered.
	horizon  uint64
	accepted map[uint64][]byte // digest by number
	order    []uint64          // accepted numbers, oldest first
}

// NewFleet returns a fleet without routing and members.
func NewFleet() *Fleet {
	f := &Fleet{}
	f.reset()
	return f
}

func (f *Fleet) reset() {
	*f = Fleet{members: map[string]*api.StoredMember{}, accepted: map[uint64][]byte{}}
}

// Apply executes a marshalled api.FleetCommand and returns a marshalled
// api.FleetResult. A command that cannot be decoded changes nothing, on every
// replica alike.
func (f *Fleet) Apply(index uint64, command []byte) []byte {
	f.index = index
	var cmd api.FleetCommand
	if err := decode("fleet command", command, &cmd); err != nil {
		return encode(&api.FleetResult{})
	}
	switch {
	case cmd.GetRouting() != nil:
		return encode(f.route(cmd.GetRouting()))
	case cmd.GetAnnounce() != nil:
		f.announce(cmd.GetAnnounce())
	case cmd.GetRemove() != nil:
		f.remove(cmd.GetRemove())
	}
	return encode(&api.FleetResult{Current: f.ConfigVersion()})
}

// route accepts a routing change that builds on the current number. A change
// that was accepted before gets the same answer again, also after others
// followed: its operator may not have seen the first answer.
func (f *Fleet) route(ch *api.RoutingChange) *api.FleetResult {
	number := ch.GetDocument().GetNumber()
	if digest, ok := f.accepted[number]; ok && bytes.Equal(digest, ch.Digest) {
		return &api.FleetResult{Status: api.RoutingStatus_ROUTING_STATUS_ACCEPTED, Current: f.ConfigVersion(), Repeated: true}
	}
	switch {
	case ch.Base != f.ConfigVersion():
		return &api.FleetResult{Status: api.RoutingStatus_ROUTING_STATUS_STALE_BASE, Current: f.ConfigVersion()}
	case number <= f.ConfigVersion():
		return &api.FleetResult{Status: api.RoutingStatus_ROUTING_STATUS_STALE_NUMBER, Current: f.ConfigVersion()}
	}
	f.routing, f.routedAt = ch.Document, f.index
	f.remember(number, ch.Digest)
	return &api.FleetResult{Status: api.RoutingStatus_ROUTING_STATUS_ACCEPTED, Current: number}
}

func (f *Fleet) remember(number uint64, digest []byte) {
	f.accepted[number] = digest
	f.order = append(f.order, number)
	if len(f.order) > maxAcceptedRoutings {
		delete(f.accepted, f.order[0])
		f.order = f.order[1:]
	}
}

// announce stores an entry. Within a boot of the daemon the sequence orders
// announcements; between boots the log does, and a daemon that finds another
// entry under its address announces itself again.
func (f *Fleet) announce(m *api.FleetMember) {
	old := f.members[m.PeerAddress]
	if old != nil && !old.Removed && old.Member.Boot == m.Boot {
		if m.Sequence < old.Member.Sequence || proto.Equal(old.Member, m) {
			return
		}
	}
	if old != nil && old.Removed {
		f.removed--
	}
	f.members[m.PeerAddress] = &api.StoredMember{Member: m, Index: f.index}
}

func (f *Fleet) remove(r *api.MemberRemoval) {
	old := f.members[r.PeerAddress]
	if old == nil || old.Removed || old.Member.Boot != r.Boot || old.Member.Home != r.Home {
		return
	}
	f.members[r.PeerAddress] = &api.StoredMember{
		Member: &api.FleetMember{PeerAddress: r.PeerAddress}, Index: f.index, Removed: true,
	}
	f.removed++
	f.forgetRemovals()
}

// forgetRemovals drops the older half of the remembered removals if there are
// too many.
func (f *Fleet) forgetRemovals() {
	if f.removed <= maxRemovedMembers {
		return
	}
	var gone []*api.StoredMember
	for _, m := range f.members {
		if m.Removed {
			gone = append(gone, m)
		}
	}
	slices.SortFunc(gone, func(a, b *api.StoredMember) int { return cmp.Compare(a.Index, b.Index) })
	for _, m := range gone[:len(gone)/2] {
		delete(f.members, m.Member.PeerAddress)
		f.horizon = max(f.horizon, m.Index)
		f.removed--
	}
}

// AppliedIndex is the index of the last command.
func (f *Fleet) AppliedIndex() uint64 { return f.index }

// ConfigVersion is the number of the current routing, 0 if there is none.
func (f *Fleet) ConfigVersion() uint64 { return f.routing.GetNumber() }

// Routing returns the current routing, nil if there is none.
func (f *Fleet) Routing() *api.RoutingDocument { return f.routing }

// HasAccepted reports whether a routing with this number and digest was accepted.
func (f *Fleet) HasAccepted(number uint64, digest []byte) bool {
	held, ok := f.accepted[number]
	return ok && bytes.Equal(held, digest)
}

// Members lists the entries, ordered by peer address.
func (f *Fleet) Members() []*api.FleetMember {
	var out []*api.FleetMember
	for _, address := range sortedKeys(f.members) {
		if m := f.members[address]; !m.Removed {
			out = append(out, m.Member)
		}
	}
	return out
}

// ChangesSince fills in what changed after an index. If it is 0, or too old to tell
// the removals, the update holds everything. It is empty for an index that this
// replica has not reached.
func (f *Fleet) ChangesSince(index uint64) *api.AttendUpdate {
	u := &api.AttendUpdate{Index: f.index}
	if index >= f.index && index > 0 {
		return u
	}
	if index == 0 || index < f.horizon {
		u.Full, u.Routing, u.Members = true, f.routing, f.Members()
		return u
	}
	if f.routedAt > index {
		u.Routing = f.routing
	}
	for _, address := range sortedKeys(f.members) {
		switch m := f.members[address]; {
		case m.Index <= index:
		case m.Removed:
			u.Removed = append(u.Removed, address)
		default:
			u.Members = append(u.Members, m.Member)
		}
	}
	return u
}

// Snapshot returns the whole state.
func (f *Fleet) Snapshot() ([]byte, error) {
	s := &api.FleetSnapshot{Index: f.index, Routing: f.routing, RoutingIndex: f.routedAt}
	for _, address := range sortedKeys(f.members) {
		if m := f.members[address]; !m.Removed {
			s.Members = append(s.Members, m)
		}
	}
	for _, number := range f.order {
		s.Accepted = append(s.Accepted, &api.AcceptedRouting{Number: number, Digest: f.accepted[number]})
	}
	return encode(s), nil
}

// Restore replaces the whole state. On error the state is unchanged. Removals
// are not part of a snapshot: daemons that are further behind get everything.
func (f *Fleet) Restore(data []byte) error {
	var s api.FleetSnapshot
	if err := decode("fleet snapshot", data, &s); err != nil {
		return err
	}
	f.reset()
	f.index, f.horizon = s.Index, s.Index
	f.routing, f.routedAt = s.Routing, s.RoutingIndex
	for _, m := range s.Members {
		f.members[m.GetMember().GetPeerAddress()] = m
	}
	for _, a := range s.Accepted {
		f.remember(a.Number, a.Digest)
	}
	return nil
}
