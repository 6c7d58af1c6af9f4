package relay

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/feed"
)

// millis returns a duration in whole milliseconds.
func millis(d time.Duration) int64 { return d.Milliseconds() }

// millisRoundUp returns a duration in milliseconds, rounded up so that an upper bound remains
// one.
func millisRoundUp(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

func fromMillis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func memberFromProto(now time.Time, a *api.Announcement) *feed.Member {
	m := &feed.Member{
		ID:               a.GetId(),
		Incarnation:      a.GetBoot(),
		Sequence:         a.GetSequence(),
		Service:          a.GetService(),
		Region:           a.GetRegion(),
		AvailabilityZone: a.GetAvailabilityZone(),
		Address:          a.GetPeerAddress(),
		State:            feed.State(a.GetState()),
		Slots:            a.GetSlots(),
	}
	if a.GetUpMs() > 0 {
		m.ServingSince = now.Add(-fromMillis(a.GetUpMs()))
	}
	return m
}

func announcementToProto(now time.Time, m *feed.Member) *api.Announcement {
	a := &api.Announcement{
		Id:               m.ID,
		Boot:             m.Incarnation,
		Sequence:         m.Sequence,
		Service:          m.Service,
		Region:           m.Region,
		AvailabilityZone: m.AvailabilityZone,
		PeerAddress:      m.Address,
		State:            api.UpstreamState(m.State),
		Slots:            m.Slots,
	}
	if !m.ServingSince.IsZero() {
		a.UpMs = max(millis(now.Sub(m.ServingSince)), 1)
	}
	return a
}

func tableDeltaFromProto(now time.Time, d *api.MemberDelta) feed.TableDelta {
	t := feed.TableDelta{
		Epoch:    d.GetEpoch(),
		Revision: d.GetRevision(),
		Full:     d.GetFull(),
		Same:     d.GetSame(),
		Removed:  d.GetRemoved(),
	}
	for _, a := range d.GetChanged() {
		t.Changed = append(t.Changed, memberFromProto(now, a))
	}
	return t
}

func memberDeltaToProto(now time.Time, az string, d feed.TableDelta, incomplete bool) *api.MemberDelta {
	m := &api.MemberDelta{
		AvailabilityZone: az,
		Epoch:            d.Epoch,
		Revision:         d.Revision,
		Full:             d.Full,
		Same:             d.Same,
		Removed:          d.Removed,
		Incomplete:       incomplete,
	}
	for _, member := range d.Changed {
		m.Changed = append(m.Changed, announcementToProto(now, member))
	}
	return m
}

func deltaFromProto(c *api.ConfigDelta) feed.Delta {
	d := feed.Delta{From: c.GetFromVersion(), To: c.GetToVersion(), Removed: c.GetRemovedServices()}
	for _, doc := range c.GetServices() {
		d.Changed = append(d.Changed, feed.Document{Service: doc.GetService(), JSON: doc.GetJson()})
	}
	return d
}

func configDeltaToProto(d feed.Delta) *api.ConfigDelta {
	c := &api.ConfigDelta{FromVersion: d.From, ToVersion: d.To, RemovedServices: d.Removed}
	for _, doc := range d.Changed {
		c.Services = append(c.Services, &api.ServiceDocument{Service: doc.Service, Json: doc.JSON})
	}
	return c
}

func sourceStatusFromProto(u *api.SyncUpdate) feed.SourceStatus {
	r := feed.SourceStatus{
		Echo:             u.GetEcho(),
		Started:          u.GetSourceStarted(),
		Version:          u.GetSourceVersion(),
		ConfirmedVersion: u.GetConfirmedVersion(),
	}
	if u.GetConfirmationAgeMs() >= 0 && u.GetConfirmationBoundMs() >= 0 {
		r.Confirmed = true
		r.Age = fromMillis(u.GetConfirmationAgeMs())
		r.Bound = fromMillis(u.GetConfirmationBoundMs())
	}
	return r
}
