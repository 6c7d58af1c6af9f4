package relay

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/feed"
)

// maxMemberLines bounds the log lines of one membership update at a daemon. A
// first table has thousands of members and is logged as one line.
const maxMemberLines = 16

func (d *Subscriber) linkUp(now time.Time, l *link) {
	d.sub.Connected(now, l.endpoint.Name)
	d.choose(now)
	if l.subscribe {
		l.send(d.request(now, l))
	}
}

func (d *Subscriber) linkDown(now time.Time, l *link, err error) {
	d.log.Info().Str("event", "feed_lost").Str("source", l.endpoint.Name).Err(err).Msg("")
	d.sub.Disconnected(l.endpoint.Name)
	if d.leaving != nil {
		delete(d.leaving.pending, l)
		d.checkLeft()
	}
	d.choose(now)
}

func (d *Subscriber) linkUpdate(now time.Time, l *link, u *api.SyncUpdate) {
	if l.probe != 0 && u.GetEcho() >= l.probe {
		l.probe = 0
	}
	if d.leaving != nil {
		if sequence, ok := d.leaving.pending[l]; ok && u.GetEcho() >= sequence {
			delete(d.leaving.pending, l)
			d.checkLeft()
		}
	}
	d.sub.UpdateReceived(now, l.endpoint.Name, reportOf(u))
	if c := u.GetConfig(); c != nil {
		d.stage(l, u.GetEcho(), c)
	}
	for _, m := range u.GetMembers() {
		d.applyMembers(now, l, m)
	}
	if fresh, ok := d.freshAt(now); ok && fresh.Sub(d.viewFresh) >= feed.RenewInterval/2 {
		d.changed = true
	}
	d.evaluate(now)
}

func (d *Subscriber) freshAt(now time.Time) (time.Time, bool) {
	age, _, _, ok := d.sub.Confirmation(now)
	return now.Add(-age), ok
}

// stage queues a received delta until a majority of relays holds its version.
func (d *Subscriber) stage(l *link, echo uint64, c *api.ConfigDelta) {
	if err := d.staged.Add(deltaOf(c)); err != nil {
		d.log.Warn().Str("event", "delta_refused").Str("source", l.endpoint.Name).Err(err).Msg("")
		l.subscribe = true
		return
	}
	sent := d.refetchSent
	if sent != nil && sent.link == l && echo >= sent.sequence && c.GetFromVersion() == 0 {
		d.refetch, d.refetchSent = false, nil
	}
}

// evaluate lets the rules decide after each event.
func (d *Subscriber) evaluate(now time.Time) {
	d.choose(now)
	candidates := d.staged.Versions()
	if len(candidates) == 0 {
		return
	}
	version, ok, probe := d.sub.ActiveVersion(candidates)
	if ok {
		before, _, known := d.staged.Active()
		d.staged.Activate(version)
		d.sub.CompactHistory(version)
		d.changed = true
		if !known || version != before {
			d.log.Info().Str("event", "version_in_force").Uint64("version", version).Uint64("before", before).
				Str("source", d.sub.Source()).Msg("")
		}
	}
	if probe {
		d.probe(now)
	}
}

// probe asks each relay for an answer, by which a majority can be shown to
// hold a version at one moment.
func (d *Subscriber) probe(now time.Time) {
	for _, l := range d.links {
		if !l.up || l.probe != 0 {
			continue
		}
		q := d.request(now, l)
		q.AnswerNow = true
		if l.send(q) {
			l.probe = q.GetSequence()
		}
	}
}

// choose follows the decision on the source: documents and the tables of all
// availability zones come from it, versions and the own table from the others.
func (d *Subscriber) choose(now time.Time) {
	choice, changed := d.sub.SelectSource(now, d.staged.NewestReceived())
	if !changed {
		return
	}
	d.changed = true
	d.log.Info().Str("event", "source_chosen").Str("from", choice.From).Str("to", choice.To).
		Str("reason", string(choice.Reason)).Msg("")
	for _, l := range d.links {
		wanted := l.endpoint.Name == choice.To
		if l.config == wanted {
			continue
		}
		l.config, l.subscribe = wanted, true
		l.scope = api.MemberScope_MEMBER_SCOPE_MERGED
		if wanted {
			l.scope = api.MemberScope_MEMBER_SCOPE_ALL
		}
		if l.up {
			l.send(d.request(now, l))
		}
	}
}

func (d *Subscriber) applyMembers(now time.Time, l *link, delta *api.MemberDelta) {
	az := delta.GetAvailabilityZone()
	alone := az != d.cfg.AvailabilityZone
	if alone && !l.config {
		return // a late update of the former source
	}
	m := d.merges[az]
	if m == nil {
		m = feed.NewMergedTable(d.epoch)
		d.merges[az] = m
	}
	changes, ok := m.Apply(now, l.endpoint.Name, tableDeltaOf(now, delta), delta.GetIncomplete(), alone)
	if !ok {
		l.subscribe = true
		return
	}
	d.membersChanged(az, changes)
}

func (d *Subscriber) membersChanged(az string, changes []feed.MergeChange) {
	if len(changes) == 0 {
		return
	}
	d.changed = true
	if len(changes) > maxMemberLines {
		d.log.Info().Str("event", "members_changed").Str("availability_zone", az).Int("changes", len(changes)).Msg("")
	}
	byName := maps.Clone(d.byName)
	copied := map[string]bool{}
	for _, c := range changes {
		if len(changes) <= maxMemberLines {
			logMember(d.log, az, c)
		}
		if c.From != nil {
			updateService(byName, copied, c.From.Service, c.ID, nil)
		}
		if c.To != nil {
			updateService(byName, copied, c.To.Service, c.ID, c.To)
		}
	}
	d.byName = byName
}

// updateService replaces the entry of id in the list of a service. Lists that
// an earlier view shares are copied first.
func updateService(byName map[string][]*feed.Member, copied map[string]bool, service, id string, m *feed.Member) {
	list := byName[service]
	if !copied[service] {
		copied[service] = true
		list = slices.Clone(list)
	}
	at, found := slices.BinarySearchFunc(list, id, func(e *feed.Member, id string) int { return strings.Compare(e.ID, id) })
	switch {
	case found && m != nil:
		list[at] = m
	case found:
		list = slices.Delete(list, at, at+1)
	case m != nil:
		list = slices.Insert(list, at, m)
	}
	if len(list) == 0 {
		delete(byName, service)
		return
	}
	byName[service] = list
}

// flush gives out a view if something changed.
func (d *Subscriber) flush(now time.Time) {
	if !d.changed || d.cfg.OnView == nil {
		return
	}
	d.changed = false
	v := &View{Source: d.sub.Source(), Members: d.byName}
	v.ActiveVersion, v.Documents, v.Confirmed = d.staged.Active()
	if fresh, ok := d.freshAt(now); ok {
		v.ConfirmedAt, d.viewFresh = fresh, fresh
	}
	d.cfg.OnView(v)
}
