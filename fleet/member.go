package fleet

import (
	"fmt"
	"net/netip"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/lifecycle"
)

// MemberError is returned for a member entry that names no usable upstream although it says so.
// Entries in a replicated log may come from an older version with fewer checks.
type MemberError struct {
	Daemon string // peer address
	Reason string
}

func (e *MemberError) Error() string {
	return fmt.Sprintf("member entry of %q: %s", e.Daemon, e.Reason)
}

// ServingUpstream reports whether a member entry names an upstream that serves. The error is a
// *MemberError if the entry does so and cannot be used.
func ServingUpstream(m *api.FleetMember) (bool, error) {
	if m.GetUpstreamId() == "" || m.GetState() != api.UpstreamState_UPSTREAM_STATE_SERVING {
		return false, nil
	}
	address, err := netip.ParseAddrPort(m.PeerAddress)
	switch {
	case err != nil || address.Port() == 0:
		return false, &MemberError{m.PeerAddress, "the peer address is not an IP address and a port"}
	case m.Slots == 0 || m.Slots > lifecycle.MaxSlots:
		return false, &MemberError{m.PeerAddress, fmt.Sprintf("%d slots are out of range", m.Slots)}
	case !lifecycle.ValidID(m.UpstreamId):
		return false, &MemberError{m.PeerAddress, "the id of the upstream cannot be sent in a header"}
	}
	return true, nil
}
