package relay

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/feed"
)

// errUnresponsive is the reason for the end of a stream on which nothing arrives any more.
var errUnresponsive = errors.New("no update within the timeout")

// createRemoteLinks creates the links to the relays of another availability zone.
func (r *Relay) createRemoteLinks(now time.Time, az string, endpoints []Endpoint) error {
	zone := &remoteZone{az: az, activeSince: now}
	for _, e := range endpoints {
		l, err := newLink(e, r.cfg.Credentials, r.loop, r)
		if err != nil {
			return err
		}
		l.scope = api.MemberScope_MEMBER_SCOPE_MERGED
		zone.links = append(zone.links, l)
	}
	if len(zone.links) == 0 {
		return nil
	}
	// The relays of an availability zone start with different relays of each other
	// zone, so that not all of them use the same one.
	h := fnv.New32a()
	h.Write([]byte(r.cfg.Name))
	zone.active = int(h.Sum32()) % len(zone.links)
	r.remotes[az] = zone
	return nil
}

// isActive reports whether a link is the one in use for its availability zone.
func (r *Relay) isActive(l *link) bool {
	for _, zone := range r.remotes {
		if zone.links[zone.active] == l {
			return true
		}
	}
	return false
}

// tickRemotes switches to the next relay of an availability zone if the current one has sent no
// update for too long. If none is reachable, the last received table stays.
func (r *Relay) tickRemotes(now time.Time) {
	for _, zone := range r.remotes {
		last := zone.lastUpdate
		if zone.activeSince.After(last) {
			last = zone.activeSince
		}
		if now.Sub(last) <= feed.MaxConfirmationAge+feed.RenewInterval {
			continue
		}
		from := zone.links[zone.active]
		zone.active, zone.activeSince = (zone.active+1)%len(zone.links), now
		to := zone.links[zone.active]
		r.log.Info().Str("event", "members_source_chosen").Str("availability_zone", zone.az).
			Str("from", from.endpoint.Name).Str("to", to.endpoint.Name).Str("reason", "silent").Msg("")
		from.reset(now, errUnresponsive)
		if to.connected {
			to.subscribe = true
			to.send(r.request(now, to))
		}
	}
}

// remoteTableState returns the state of the local table for the availability zone of a link, from
// which the relay at its other end can continue.
func (r *Relay) remoteTableState(l *link) []*api.HeldMembers {
	for az, zone := range r.remotes {
		m := r.mergedTables[az]
		if zone.links[zone.active] != l || m == nil || !m.HasListings() {
			continue
		}
		h := m.ResumeState(l.endpoint.Name)
		return []*api.HeldMembers{{AvailabilityZone: az, Epoch: h.Epoch, Revision: h.Revision, Digest: h.Digest}}
	}
	return nil
}

// remoteUpdate applies an update from the active relay of another availability zone.
func (r *Relay) remoteUpdate(now time.Time, l *link, u *api.SyncUpdate) {
	for _, zone := range r.remotes {
		if zone.links[zone.active] != l {
			continue
		}
		zone.lastUpdate = now
		for _, d := range u.GetMembers() {
			if d.GetAvailabilityZone() == zone.az {
				r.applyMembers(now, l, d, true)
			}
		}
	}
}

// applyMembers applies the delta of a table that another relay sent. exclusive is set for another
// availability zone, whose table comes from one relay at a time.
func (r *Relay) applyMembers(now time.Time, l *link, d *api.MemberDelta, exclusive bool) {
	az := d.GetAvailabilityZone()
	m := r.mergedTables[az]
	if m == nil {
		m = feed.NewMergedTable(r.epoch)
		r.mergedTables[az] = m
	}
	wasComplete := m.Complete()
	changes, ok := m.Apply(now, l.endpoint.Name, tableDeltaFromProto(now, d), d.GetIncomplete(), exclusive)
	if !ok {
		l.subscribe = true
		return
	}
	r.membersChanged(az, changes)
	if m.Complete() != wasComplete {
		m.Table.BumpRevision()
		r.markAllDirty()
	}
}

// membersChanged logs membership changes and schedules an update to each subscriber.
func (r *Relay) membersChanged(az string, changes []feed.MergeChange) {
	for _, c := range changes {
		logMember(r.log, az, c)
	}
	if len(changes) > 0 {
		r.markAllDirty()
	}
}

// requestReceived implements hubHandler: it renews the lease of the subscriber and records its
// status.
func (r *Relay) requestReceived(now time.Time, s *subscription, q *api.SyncRequest) {
	for _, d := range q.GetReports() {
		r.daemonStatuses.record(now, d)
	}
	if a := q.GetAnnouncement(); a != nil && a.GetAvailabilityZone() == r.cfg.AvailabilityZone {
		s.member = memberFromProto(now, a)
	}
	if s.member == nil {
		return
	}
	if change, changed := r.leases.Announce(now, s.member); changed {
		r.leaseChanged(now, change)
	}
	if s.wantConfig {
		r.daemonStatuses.record(now, &api.DaemonStatus{
			Id:                s.member.ID,
			Service:           s.member.Service,
			AvailabilityZone:  s.member.AvailabilityZone,
			Version:           s.activeVersion,
			State:             s.member.State.String(),
			ConfirmationAgeMs: q.GetConfirmationAgeMs(),
		})
	}
}

// subscriptionClosed implements hubHandler.
func (r *Relay) subscriptionClosed(time.Time, *subscription) {}

func (r *Relay) leaseChanged(now time.Time, c feed.LeaseChange) {
	r.leaseTable.Set(c.ID, c.Member)
	az := r.cfg.AvailabilityZone
	r.membersChanged(az, r.mergedTables[az].Set(now, r.cfg.Name, c.ID, c.Member))
	r.markAllDirty()
}

func (r *Relay) tickLeases(now time.Time) {
	for _, c := range r.leases.Tick(now) {
		if c.Expired {
			r.log.Info().Str("event", "lease_expired").Str("member", c.ID).Msg("")
		}
		r.leaseChanged(now, c)
	}
	localTable := r.mergedTables[r.cfg.AvailabilityZone]
	if !r.leasesComplete && r.leases.Complete(now) {
		r.leasesComplete = true
		r.membersChanged(r.cfg.AvailabilityZone, localTable.SetIncomplete(now, r.cfg.Name, false))
		localTable.Table.BumpRevision()
		r.leaseTable.BumpRevision()
		r.markAllDirty()
	}
	for _, m := range r.mergedTables {
		m.Tick(now)
	}
	for name, l := range r.links {
		if r.isLocalRelay(name) && !l.connected && now.Sub(l.disconnectedAt) > feed.LeaseTTL && localTable.HasListing(name) {
			r.membersChanged(r.cfg.AvailabilityZone, localTable.RemoveSource(now, name))
		}
	}
}

// memberDeltas returns the membership part of an update and records the table states that s has
// after it.
func (r *Relay) memberDeltas(now time.Time, s *subscription) []*api.MemberDelta {
	localZone := r.cfg.AvailabilityZone
	var deltas []*api.MemberDelta
	add := func(az, kind string, t *feed.Table, incomplete bool) {
		if d := r.members.get(now, az, kind, t, s.tables[az], incomplete); d != nil {
			deltas = append(deltas, d)
			s.tables[az] = t.SyncState()
		}
	}
	switch s.scope {
	case api.MemberScope_MEMBER_SCOPE_DIRECT:
		add(localZone, "direct", r.leaseTable, !r.leasesComplete)
	case api.MemberScope_MEMBER_SCOPE_MERGED:
		// A daemon receives the table from its source, which is another relay. This
		// relay sends its own table only once that is complete, and then usually
		// only confirms that both are equal. Otherwise each daemon would receive all
		// members again after a restart of this relay.
		if complete := r.mergedTables[localZone].Complete(); complete || s.relay {
			add(localZone, "merged", r.mergedTables[localZone].Table, !complete)
		}
	case api.MemberScope_MEMBER_SCOPE_ALL:
		for az, m := range r.mergedTables {
			add(az, "merged", m.Table, !m.Complete())
		}
	}
	return deltas
}

// memberCache shares the deltas that many subscribers need after a change.
type memberCache struct {
	entries map[memberKey]*api.MemberDelta
	// second is the Unix time at which the entries were built. A delta contains
	// elapsed times, so it is not reused in a later second.
	second int64
}

// memberKey identifies a delta of a membership table.
type memberKey struct {
	az, kind string
	from     feed.SyncState
	revision uint64
}

// get returns the delta of a table after from, nil if there is no change or no delta.
func (c *memberCache) get(now time.Time, az, kind string, t *feed.Table, from feed.SyncState, incomplete bool) *api.MemberDelta {
	current := t.SyncState()
	if from.Epoch == current.Epoch && from.Revision == current.Revision {
		return nil
	}
	if second := now.Unix(); c.entries == nil || c.second != second {
		c.second = second
		c.entries = map[memberKey]*api.MemberDelta{}
	}
	key := memberKey{az: az, kind: kind, from: from, revision: current.Revision}
	if d := c.entries[key]; d != nil {
		return d
	}
	d, ok := t.ChangesSince(from)
	if !ok {
		return nil
	}
	c.entries[key] = memberDeltaToProto(now, az, d, incomplete)
	return c.entries[key]
}

// newEpoch returns a random epoch for the tables of this incarnation of the process. It only has
// to differ from other epochs.
func newEpoch() uint64 { return rand.Uint64() | 1 }
