package statemachine

import (
	"bytes"
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// Limits on the history that a fleet keeps.
const (
	// maxAcceptedRoutings bounds the accepted changes that are kept to detect
	// retries: at 21,000 changes a day, more than four days.
	maxAcceptedRoutings = 100_000
	// maxRemovedMembers bounds the removals that are kept as deltas for daemons
	// that lag; a daemon that lags further receives the whole table.
	maxRemovedMembers = 4096
)

// Fleet is the state machine of a fleet: the routing configuration and the
// daemons with their upstreams. Both share the log, so that one index orders
// all changes that a daemon receives.
type Fleet struct {
	appliedIndex uint64 // index of the last command
	routing      *api.RoutingDocument
	routingIndex uint64                       // index of the command that set routing
	members      map[string]*api.StoredMember // by peer address, including removed members
	removedCount int                          // removed members in members
	// horizon is the index after which all removals are kept.
	horizon       uint64
	accepted      map[uint64][]byte // digests of accepted changes, by number
	acceptedOrder []uint64          // numbers of accepted changes, oldest first
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
// api.FleetResult. A command that cannot be decoded only advances the applied
// index, on every replica.
func (f *Fleet) Apply(index uint64, command []byte) []byte {
	f.appliedIndex = index
	var cmd api.FleetCommand
	if err := decode("fleet command", command, &cmd); err != nil {
		return encode(&api.FleetResult{})
	}
	switch {
	case cmd.GetRouting() != nil:
		return encode(f.applyRouting(cmd.GetRouting()))
	case cmd.GetAnnounce() != nil:
		f.applyAnnouncement(cmd.GetAnnounce())
	case cmd.GetRemove() != nil:
		f.applyRemoval(cmd.GetRemove())
	}
	return encode(&api.FleetResult{Current: f.ConfigVersion()})
}

// applyRouting accepts a routing change whose base is the current number. A retry
// of an accepted change returns the same status, even after later changes: the
// operator may not have received the first response.
func (f *Fleet) applyRouting(ch *api.RoutingChange) *api.FleetResult {
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
	f.routing, f.routingIndex = ch.Document, f.appliedIndex
	f.recordAccepted(number, ch.Digest)
	return &api.FleetResult{Status: api.RoutingStatus_ROUTING_STATUS_ACCEPTED, Current: number}
}

func (f *Fleet) recordAccepted(number uint64, digest []byte) {
	f.accepted[number] = digest
	f.acceptedOrder = append(f.acceptedOrder, number)
	if len(f.acceptedOrder) > maxAcceptedRoutings {
		delete(f.accepted, f.acceptedOrder[0])
		f.acceptedOrder = f.acceptedOrder[1:]
	}
}

// applyAnnouncement stores the entry of a daemon. Announcements of one incarnation
// of a daemon are ordered by their sequence, those of different incarnations by
// the log. A daemon that finds another entry under its address announces itself
// again.
func (f *Fleet) applyAnnouncement(m *api.FleetMember) {
	old := f.members[m.PeerAddress]
	if old != nil && !old.Removed && old.Member.Boot == m.Boot {
		if m.Sequence < old.Member.Sequence || proto.Equal(old.Member, m) {
			return
		}
	}
	if old != nil && old.Removed {
		f.removedCount--
	}
	f.members[m.PeerAddress] = &api.StoredMember{Member: m, Index: f.appliedIndex}
}

// applyRemoval removes the entry of a daemon, unless another incarnation of it or
// another replica has announced it since.
func (f *Fleet) applyRemoval(r *api.MemberRemoval) {
	old := f.members[r.PeerAddress]
	if old == nil || old.Removed || old.Member.Boot != r.Boot || old.Member.Home != r.Home {
		return
	}
	f.members[r.PeerAddress] = &api.StoredMember{
		Member: &api.FleetMember{PeerAddress: r.PeerAddress}, Index: f.appliedIndex, Removed: true,
	}
	f.removedCount++
	f.evictRemovals()
}

// evictRemovals deletes the older half of the kept removals if there are more than
// maxRemovedMembers, and raises the horizon.
func (f *Fleet) evictRemovals() {
	if f.removedCount <= maxRemovedMembers {
		return
	}
	var removals []*api.StoredMember
	for _, m := range f.members {
		if m.Removed {
			removals = append(removals, m)
		}
	}
	slices.SortFunc(removals, func(a, b *api.StoredMember) int { return cmp.Compare(a.Index, b.Index) })
	for _, m := range removals[:len(removals)/2] {
		delete(f.members, m.Member.PeerAddress)
		f.horizon = max(f.horizon, m.Index)
		f.removedCount--
	}
}

// AppliedIndex returns the index of the last command.
func (f *Fleet) AppliedIndex() uint64 { return f.appliedIndex }

// ConfigVersion returns the version of the current routing, 0 if there is none.
func (f *Fleet) ConfigVersion() uint64 { return f.routing.GetNumber() }

// Routing returns the current routing, nil if there is none.
func (f *Fleet) Routing() *api.RoutingDocument { return f.routing }

// HasAccepted reports whether a routing with this number and digest is among the
// last maxAcceptedRoutings accepted ones.
func (f *Fleet) HasAccepted(number uint64, digest []byte) bool {
	accepted, ok := f.accepted[number]
	return ok && bytes.Equal(accepted, digest)
}

// Members returns the members that are not removed, ordered by peer address.
func (f *Fleet) Members() []*api.FleetMember {
	var out []*api.FleetMember
	for _, address := range sortedKeys(f.members) {
		if m := f.members[address]; !m.Removed {
			out = append(out, m.Member)
		}
	}
	return out
}

// ChangesSince returns the changes after an index. The update is a full copy if the
// index is 0 or below the horizon of removals. It has no changes if the index is
// not below the applied index of this replica.
func (f *Fleet) ChangesSince(index uint64) *api.AttendUpdate {
	u := &api.AttendUpdate{Index: f.appliedIndex}
	if index >= f.appliedIndex && index > 0 {
		return u
	}
	if index == 0 || index < f.horizon {
		u.Full, u.Routing, u.Members = true, f.routing, f.Members()
		return u
	}
	if f.routingIndex > index {
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

// Snapshot returns the marshalled state, an api.FleetSnapshot, without removals.
func (f *Fleet) Snapshot() ([]byte, error) {
	s := &api.FleetSnapshot{Index: f.appliedIndex, Routing: f.routing, RoutingIndex: f.routingIndex}
	for _, address := range sortedKeys(f.members) {
		if m := f.members[address]; !m.Removed {
			s.Members = append(s.Members, m)
		}
	}
	for _, number := range f.acceptedOrder {
		s.Accepted = append(s.Accepted, &api.AcceptedRouting{Number: number, Digest: f.accepted[number]})
	}
	return encode(s), nil
}

// Restore replaces the state by that of a snapshot. On error it is unchanged. A
// snapshot has no removals, so daemons below its index receive a full copy.
func (f *Fleet) Restore(data []byte) error {
	var s api.FleetSnapshot
	if err := decode("fleet snapshot", data, &s); err != nil {
		return err
	}
	f.reset()
	f.appliedIndex, f.horizon = s.Index, s.Index
	f.routing, f.routingIndex = s.Routing, s.RoutingIndex
	for _, m := range s.Members {
		if m.GetMember() != nil { // an entry without a member names no daemon
			f.members[m.Member.PeerAddress] = m
		}
	}
	for _, a := range s.Accepted {
		f.recordAccepted(a.Number, a.Digest)
	}
	return nil
}
