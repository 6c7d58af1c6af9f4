package relay

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/feed"
)

// maxMemberLogLines bounds the number of log lines for one membership update at a daemon. A
// larger update, such as the first table with thousands of members, is logged as one line.
const maxMemberLogLines = 16

func (s *Subscriber) linkUp(now time.Time, l *link) {
	s.sub.Connected(now, l.endpoint.Name)
	s.selectSource(now)
	if l.subscribe {
		l.send(s.request(now, l))
	}
}

func (s *Subscriber) linkDown(now time.Time, l *link, err error) {
	s.log.Info().Str("event", "feed_lost").Str("source", l.endpoint.Name).Err(err).Msg("")
	s.sub.Disconnected(l.endpoint.Name)
	if s.deregistration != nil {
		delete(s.deregistration.pending, l)
		s.checkDeregistered()
	}
	s.selectSource(now)
}

func (s *Subscriber) linkUpdate(now time.Time, l *link, u *api.SyncUpdate) {
	if l.probeSequence != 0 && u.GetEcho() >= l.probeSequence {
		l.probeSequence = 0
	}
	if s.deregistration != nil {
		if sequence, ok := s.deregistration.pending[l]; ok && u.GetEcho() >= sequence {
			delete(s.deregistration.pending, l)
			s.checkDeregistered()
		}
	}
	s.sub.UpdateReceived(now, l.endpoint.Name, sourceStatusFromProto(u))
	if c := u.GetConfig(); c != nil {
		s.stage(l, u.GetEcho(), c)
	}
	for _, m := range u.GetMembers() {
		s.applyMembers(now, l, m)
	}
	if confirmed, ok := s.confirmedAt(now); ok && confirmed.Sub(s.notifiedConfirmedAt) >= feed.RenewInterval/2 {
		s.stateChanged = true
	}
	s.evaluate(now)
}

// confirmedAt returns the time of the newest quorum confirmation.
func (s *Subscriber) confirmedAt(now time.Time) (time.Time, bool) {
	age, _, _, ok := s.sub.Confirmation(now)
	return now.Add(-age), ok
}

// stage stores a received delta until a majority of the relays has its version.
func (s *Subscriber) stage(l *link, echo uint64, c *api.ConfigDelta) {
	if err := s.staged.Add(deltaFromProto(c)); err != nil {
		s.log.Warn().Str("event", "delta_refused").Str("source", l.endpoint.Name).Err(err).Msg("")
		l.subscribe = true
		return
	}
	sent := s.refetchSent
	if sent != nil && sent.link == l && echo >= sent.sequence && c.GetFromVersion() == 0 {
		s.refetch, s.refetchSent = false, nil
	}
}

// evaluate selects the source and activates a staged version if the rules of core/feed permit
// it. It is called after each event.
func (s *Subscriber) evaluate(now time.Time) {
	s.selectSource(now)
	candidates := s.staged.Versions()
	if len(candidates) == 0 {
		return
	}
	version, ok, probe := s.sub.VersionToActivate(candidates)
	if ok {
		before, _, known := s.staged.Active()
		s.staged.Activate(version)
		s.sub.CompactHistory(version)
		s.stateChanged = true
		if !known || version != before {
			s.log.Info().Str("event", "version_in_force").Uint64("version", version).Uint64("before", before).
				Str("source", s.sub.Source()).Msg("")
		}
	}
	if probe {
		s.probeRelays(now)
	}
}

// probeRelays requests an immediate response from each relay, which shows whether a majority has
// a version at the same time.
func (s *Subscriber) probeRelays(now time.Time) {
	for _, l := range s.links {
		if !l.connected || l.probeSequence != 0 {
			continue
		}
		q := s.request(now, l)
		q.AnswerNow = true
		if l.send(q) {
			l.probeSequence = q.GetSequence()
		}
	}
}

// selectSource selects the source and changes the subscriptions accordingly: the source sends
// documents and the tables of all availability zones, the other relays only their version and
// the table of this availability zone.
func (s *Subscriber) selectSource(now time.Time) {
	choice, changed := s.sub.SelectSource(now, s.staged.NewestReceived())
	if !changed {
		return
	}
	s.stateChanged = true
	s.log.Info().Str("event", "source_chosen").Str("from", choice.From).Str("to", choice.To).
		Str("reason", string(choice.Reason)).Msg("")
	for _, l := range s.links {
		wanted := l.endpoint.Name == choice.To
		if l.wantConfig == wanted {
			continue
		}
		l.wantConfig, l.subscribe = wanted, true
		l.scope = api.MemberScope_MEMBER_SCOPE_MERGED
		if wanted {
			l.scope = api.MemberScope_MEMBER_SCOPE_ALL
		}
		if l.connected {
			l.send(s.request(now, l))
		}
	}
}

// applyMembers applies the delta of a membership table.
func (s *Subscriber) applyMembers(now time.Time, l *link, delta *api.MemberDelta) {
	az := delta.GetAvailabilityZone()
	exclusive := az != s.cfg.AvailabilityZone
	if exclusive && !l.wantConfig {
		return // a late update of the previous source
	}
	m := s.mergedTables[az]
	if m == nil {
		m = feed.NewMergedTable(s.epoch)
		s.mergedTables[az] = m
	}
	changes, ok := m.Apply(now, l.endpoint.Name, tableDeltaFromProto(now, delta), delta.GetIncomplete(), exclusive)
	if !ok {
		l.subscribe = true
		return
	}
	s.membersChanged(az, changes)
}

// membersChanged logs membership changes and applies them to the lists by service.
func (s *Subscriber) membersChanged(az string, changes []feed.MergeChange) {
	if len(changes) == 0 {
		return
	}
	s.stateChanged = true
	if len(changes) > maxMemberLogLines {
		s.log.Info().Str("event", "members_changed").Str("availability_zone", az).Int("changes", len(changes)).Msg("")
	}
	byService := maps.Clone(s.membersByService)
	copied := map[string]bool{}
	for _, c := range changes {
		if len(changes) <= maxMemberLogLines {
			logMember(s.log, az, c)
		}
		if c.From != nil {
			updateService(byService, copied, c.From.Service, c.ID, nil)
		}
		if c.To != nil {
			updateService(byService, copied, c.To.Service, c.ID, c.To)
		}
	}
	s.membersByService = byService
}

// updateService replaces the member id in the list of a service, or removes it if m is nil. A
// list that earlier states share is copied first.
func updateService(byService map[string][]*feed.Member, copied map[string]bool, service, id string, m *feed.Member) {
	list := byService[service]
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
		delete(byService, service)
		return
	}
	byService[service] = list
}

// flush calls OnChange if the state has changed.
func (s *Subscriber) flush(now time.Time) {
	if !s.stateChanged || s.cfg.OnChange == nil {
		return
	}
	s.stateChanged = false
	state := &FeedState{Source: s.sub.Source(), Members: s.membersByService}
	state.ActiveVersion, state.Documents, state.Confirmed = s.staged.Active()
	if confirmed, ok := s.confirmedAt(now); ok {
		state.ConfirmedAt, s.notifiedConfirmedAt = confirmed, confirmed
	}
	s.cfg.OnChange(state)
}
