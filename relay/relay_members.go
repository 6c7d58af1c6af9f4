package relay

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/feed"
)

// errSilent ends a stream on which nothing arrives any more.
var errSilent = errors.New("no update within the time limit")

func (r *Relay) dialRemote(now time.Time, az string, endpoints []Endpoint) error {
	rm := &remote{az: az, since: now}
	for _, e := range endpoints {
		l, err := newLink(e, r.cfg.Credentials, r.loop, r)
		if err != nil {
			return err
		}
		l.scope = api.MemberScope_MEMBER_SCOPE_MERGED
		rm.links = append(rm.links, l)
	}
	if len(rm.links) == 0 {
		return nil
	}
	// The relays of one availability zone start with different relays of
	// another one, so that no relay serves all.
	h := fnv.New32a()
	h.Write([]byte(r.cfg.Name))
	rm.using = int(h.Sum32()) % len(rm.links)
	r.remotes[az] = rm
	return nil
}

func (r *Relay) inUse(l *link) bool {
	for _, rm := range r.remotes {
		if rm.links[rm.using] == l {
			return true
		}
	}
	return false
}

// tickRemotes moves to the next relay of an availability zone when the present
// one is silent. With none reachable, the last known table stays.
func (r *Relay) tickRemotes(now time.Time) {
	for _, rm := range r.remotes {
		last := rm.seen
		if rm.since.After(last) {
			last = rm.since
		}
		if now.Sub(last) <= feed.MaxConfirmationAge+feed.RenewInterval {
			continue
		}
		from := rm.links[rm.using]
		rm.using, rm.since = (rm.using+1)%len(rm.links), now
		to := rm.links[rm.using]
		r.log.Info().Str("event", "members_source_chosen").Str("availability_zone", rm.az).
			Str("from", from.endpoint.Name).Str("to", to.endpoint.Name).Str("reason", "silent").Msg("")
		from.reset(now, errSilent)
		if to.up {
			to.subscribe = true
			to.send(r.request(now, to))
		}
	}
}

// heldRemote describes the table held of the availability zone of a link.
func (r *Relay) heldRemote(l *link) []*api.HeldMembers {
	for az, rm := range r.remotes {
		m := r.merges[az]
		if rm.links[rm.using] != l || m == nil || !m.HasListings() {
			continue
		}
		h := m.ResumeState(l.endpoint.Name)
		return []*api.HeldMembers{{AvailabilityZone: az, Epoch: h.Epoch, Revision: h.Revision, Digest: h.Digest}}
	}
	return nil
}

func (r *Relay) remoteUpdate(now time.Time, l *link, u *api.SyncUpdate) {
	for _, rm := range r.remotes {
		if rm.links[rm.using] != l {
			continue
		}
		rm.seen = now
		for _, d := range u.GetMembers() {
			if d.GetAvailabilityZone() == rm.az {
				r.applyMembers(now, l, d, true)
			}
		}
	}
}

// applyMembers records a table that another relay sent. alone is set for
// another availability zone, of which one relay at a time is followed.
func (r *Relay) applyMembers(now time.Time, l *link, d *api.MemberDelta, alone bool) {
	az := d.GetAvailabilityZone()
	m := r.merges[az]
	if m == nil {
		m = feed.NewMergedTable(r.epoch)
		r.merges[az] = m
	}
	was := m.Complete()
	changes, ok := m.Apply(now, l.endpoint.Name, tableDeltaOf(now, d), d.GetIncomplete(), alone)
	if !ok {
		l.subscribe = true
		return
	}
	r.membersChanged(az, changes)
	if m.Complete() != was {
		m.Table.BumpRevision()
		r.markAll()
	}
}

func (r *Relay) membersChanged(az string, changes []feed.MergeChange) {
	for _, c := range changes {
		logMember(r.log, az, c)
	}
	if len(changes) > 0 {
		r.markAll()
	}
}

// requested implements hubHandler: it renews the lease of the subscriber and
// records its status.
func (r *Relay) requested(now time.Time, s *subscriber, q *api.SyncRequest) {
	for _, d := range q.GetReports() {
		r.reports.record(now, d)
	}
	if a := q.GetAnnouncement(); a != nil && a.GetAvailabilityZone() == r.cfg.AvailabilityZone {
		s.member = memberOf(now, a)
	}
	if s.member == nil {
		return
	}
	if change, changed := r.leases.Announce(now, s.member); changed {
		r.leaseChanged(now, change)
	}
	if s.wantConfig {
		r.reports.record(now, &api.DaemonStatus{
			Id:                s.member.ID,
			Service:           s.member.Service,
			AvailabilityZone:  s.member.AvailabilityZone,
			Version:           s.inForce,
			State:             s.member.State.String(),
			ConfirmationAgeMs: q.GetConfirmationAgeMs(),
		})
	}
}

func (r *Relay) left(time.Time, *subscriber) {}

func (r *Relay) leaseChanged(now time.Time, c feed.LeaseChange) {
	r.direct.Set(c.ID, c.Member)
	az := r.cfg.AvailabilityZone
	r.membersChanged(az, r.merges[az].Set(now, r.cfg.Name, c.ID, c.Member))
	r.markAll()
}

func (r *Relay) tickLeases(now time.Time) {
	for _, c := range r.leases.Tick(now) {
		if c.Expired {
			r.log.Info().Str("event", "lease_expired").Str("member", c.ID).Msg("")
		}
		r.leaseChanged(now, c)
	}
	own := r.merges[r.cfg.AvailabilityZone]
	if !r.leasesComplete && r.leases.Complete(now) {
		r.leasesComplete = true
		r.membersChanged(r.cfg.AvailabilityZone, own.SetIncomplete(now, r.cfg.Name, false))
		own.Table.BumpRevision()
		r.direct.BumpRevision()
		r.markAll()
	}
	for _, m := range r.merges {
		m.Tick(now)
	}
	for name, l := range r.config {
		if r.peer(name) && !l.up && now.Sub(l.downAt) > feed.LeaseTTL && own.HasListing(name) {
			r.membersChanged(r.cfg.AvailabilityZone, own.RemoveSource(now, name))
		}
	}
}

// memberDeltas builds the membership part of an update and notes what s then
// holds.
func (r *Relay) memberDeltas(now time.Time, s *subscriber) []*api.MemberDelta {
	own := r.cfg.AvailabilityZone
	var deltas []*api.MemberDelta
	add := func(az, kind string, t *feed.Table, incomplete bool) {
		if d := r.members.get(now, az, kind, t, s.tables[az], incomplete); d != nil {
			deltas = append(deltas, d)
			s.tables[az] = t.SyncState()
		}
	}
	switch s.scope {
	case api.MemberScope_MEMBER_SCOPE_DIRECT:
		add(own, "direct", r.direct, !r.leasesComplete)
	case api.MemberScope_MEMBER_SCOPE_MERGED:
		// A daemon has the table from the relay it follows. It gets this one
		// once it is complete, and by then mostly finds that both are equal;
		// after a restart each daemon would otherwise get all members anew.
		if complete := r.merges[own].Complete(); complete || s.relay {
			add(own, "merged", r.merges[own].Table, !complete)
		}
	case api.MemberScope_MEMBER_SCOPE_ALL:
		for az, m := range r.merges {
			add(az, "merged", m.Table, !m.Complete())
		}
	}
	return deltas
}

// memberCache shares the delta that many subscribers need after a change.
type memberCache struct {
	entries map[memberKey]*api.MemberDelta
	// A delta carries elapsed times, so it is built anew each second.
	second int64
}

type memberKey struct {
	az, kind string
	from     feed.SyncState
	revision uint64
}

func (c *memberCache) get(now time.Time, az, kind string, t *feed.Table, from feed.SyncState, incomplete bool) *api.MemberDelta {
	held := t.SyncState()
	if from.Epoch == held.Epoch && from.Revision == held.Revision {
		return nil
	}
	if second := now.Unix(); c.entries == nil || c.second != second {
		c.second = second
		c.entries = map[memberKey]*api.MemberDelta{}
	}
	key := memberKey{az: az, kind: kind, from: from, revision: held.Revision}
	if d := c.entries[key]; d != nil {
		return d
	}
	d, ok := t.Since(from)
	if !ok {
		return nil
	}
	c.entries[key] = memberDeltaOf(now, az, d, incomplete)
	return c.entries[key]
}

// newEpoch numbers the run of a process. It only has to differ from others.
func newEpoch() uint64 { return rand.Uint64() | 1 }
