package relay

import (
	"context"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc/credentials"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/feed"
)

// SubscriberConfig configures the feed client of a daemon.
type SubscriberConfig struct {
	ID               string
	Region           string
	AvailabilityZone string
	Incarnation      uint64     // higher at each start; 0 selects the current time
	Relays           []Endpoint // all relays configured for the availability zone
	Services         []string   // services whose documents are requested; empty means all
	Credentials      credentials.TransportCredentials
	Logger           *log.Logger
	// OnChange is called with each new state, one call at a time. It must not block.
	OnChange func(*FeedState)
}

// Announcement is the state of a daemon's upstream, as it is published to the other daemons.
type Announcement struct {
	Service      string
	Address      string // of the daemon's listener for its peers
	State        feed.State
	Slots        uint32
	ServingSince time.Time // when the upstream started to serve, zero if not yet
}

// FeedState is the state of the feed at a daemon. It is immutable. Documents and Members are the
// same maps as in the previous state if they have not changed.
type FeedState struct {
	// Confirmed is false until a version has become active. Until then the daemon
	// rejects requests with the reason configuration-unconfirmed.
	Confirmed     bool
	ActiveVersion uint64 // version of the active configuration
	// ConfirmedAt is the time of the newest quorum confirmation by control, zero
	// if none. It advances about once per second.
	ConfirmedAt time.Time
	Source      string            // name of the selected relay, empty if none
	Documents   map[string][]byte // canonical JSON by service
	// Members lists the upstreams by service, sorted by id.
	Members map[string][]*feed.Member
}

// ConfirmationAge returns the time since the newest quorum confirmation by control; ok is
// false if there was none.
func (v *FeedState) ConfirmationAge(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(v.ConfirmedAt), !v.ConfirmedAt.IsZero()
}

// Subscriber is the feed client of a daemon. It keeps streams to all relays of its availability
// zone.
type Subscriber struct {
	cfg   SubscriberConfig
	log   *log.Logger
	loop  *loop
	links []*link // in order of preference

	sub              *feed.Subscriber
	staged           feed.StagedConfig
	epoch            uint64
	mergedTables     map[string]*feed.MergedTable
	membersByService map[string][]*feed.Member
	member           *feed.Member    // announcement of this daemon, nil if none yet
	deregistration   *deregistration // pending call of Deregister, nil if none

	// refetch is set after a change of the filter, when a full copy is needed: the
	// documents of added services may be older than the synced version.
	refetch     bool
	refetchSent *refetch

	stateChanged        bool // the state differs from the one last passed to OnChange
	lastRenewal         time.Time
	notifiedConfirmedAt time.Time // ConfirmedAt of the state last passed to OnChange
}

// refetch is the request that asked for a full copy.
type refetch struct {
	link     *link
	sequence uint64
}

// deregistration is a call of Deregister that waits until the relays have received the last
// announcement.
type deregistration struct {
	pending map[*link]uint64 // sequence of the request on each link
	done    chan struct{}
}

// NewSubscriber returns a feed client that is active while Run executes.
func NewSubscriber(cfg SubscriberConfig) (*Subscriber, error) {
	now := time.Now()
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(now.UnixNano())
	}
	s := &Subscriber{
		cfg:              cfg,
		log:              logger(cfg.Logger),
		loop:             newLoop(),
		epoch:            newEpoch(),
		mergedTables:     map[string]*feed.MergedTable{},
		membersByService: map[string][]*feed.Member{},
	}
	s.loop.tick, s.loop.flush = s.tick, s.flush
	var names []string
	for _, e := range orderRelays(cfg.ID, cfg.Relays) {
		l, err := newLink(e, cfg.Credentials, s.loop, s)
		if err != nil {
			return nil, err
		}
		l.scope = api.MemberScope_MEMBER_SCOPE_MERGED
		s.links = append(s.links, l)
		names = append(names, e.Name)
	}
	s.sub = feed.NewSubscriber(feed.SubscriberConfig{Start: now, Sources: names, Relays: names})
	return s, nil
}

// orderRelays orders the relays by rendezvous hashing of their name and the daemon's id, which
// distributes the daemons evenly and moves few of them when a relay is added.
func orderRelays(id string, relays []Endpoint) []Endpoint {
	weight := func(e Endpoint) uint64 {
		h := fnv.New64a()
		h.Write([]byte(e.Name + "\x00" + id))
		return h.Sum64()
	}
	ordered := slices.Clone(relays)
	slices.SortFunc(ordered, func(a, b Endpoint) int {
		wa, wb := weight(a), weight(b)
		switch {
		case wa < wb:
			return -1
		case wa > wb:
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	return ordered
}

// Run keeps the streams open until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var streams sync.WaitGroup
	for _, l := range s.links {
		streams.Go(func() { l.run(ctx) })
	}
	s.loop.run(ctx)
	cancel()
	streams.Wait()
}

// Announce replaces the announcement of this daemon and sends it immediately.
func (s *Subscriber) Announce(a Announcement) {
	s.loop.post(eventFunc(func(now time.Time) { s.announce(now, a) }))
}

func (s *Subscriber) announce(now time.Time, a Announcement) {
	sequence := uint64(1)
	if s.member != nil {
		sequence = s.member.Sequence + 1
	}
	s.member = &feed.Member{
		ID:               s.cfg.ID,
		Incarnation:      s.cfg.Incarnation,
		Sequence:         sequence,
		Service:          a.Service,
		Region:           s.cfg.Region,
		AvailabilityZone: s.cfg.AvailabilityZone,
		Address:          a.Address,
		State:            a.State,
		Slots:            a.Slots,
		ServingSince:     a.ServingSince,
	}
	s.log.Info().Str("event", "announced").Str("service", a.Service).Str("state", a.State.String()).
		Uint64("sequence", sequence).Msg("")
	for _, l := range s.links {
		if l.connected {
			q := s.request(now, l)
			q.Announcement = announcementToProto(now, s.member)
			l.send(q)
		}
	}
}

// Deregister announces that the upstream has deregistered and returns once each connected
// relay has received the announcement, or when ctx ends.
func (s *Subscriber) Deregister(ctx context.Context) {
	w := &deregistration{pending: map[*link]uint64{}, done: make(chan struct{})}
	if !s.loop.post(eventFunc(func(now time.Time) { s.deregister(now, w) })) {
		return
	}
	select {
	case <-w.done:
	case <-s.loop.done:
	case <-ctx.Done():
	}
}

func (s *Subscriber) deregister(now time.Time, w *deregistration) {
	s.deregistration = w
	if s.member != nil {
		s.member = &feed.Member{ID: s.member.ID, Incarnation: s.member.Incarnation, Sequence: s.member.Sequence + 1,
			Service: s.member.Service, Region: s.member.Region, AvailabilityZone: s.member.AvailabilityZone,
			Address: s.member.Address, State: feed.StateDeregistered}
		for _, l := range s.links {
			if !l.connected {
				continue
			}
			q := s.request(now, l)
			q.Announcement, q.AnswerNow = announcementToProto(now, s.member), true
			if l.send(q) {
				w.pending[l] = q.GetSequence()
			}
		}
	}
	s.checkDeregistered()
}

// checkDeregistered ends the wait of Deregister once no relay is pending.
func (s *Subscriber) checkDeregistered() {
	if s.deregistration != nil && len(s.deregistration.pending) == 0 {
		close(s.deregistration.done)
		s.deregistration = nil
	}
}

// SetServices replaces the filter of documents by service; empty means all.
func (s *Subscriber) SetServices(services []string) {
	services = slices.Clone(services)
	s.loop.post(eventFunc(func(now time.Time) {
		s.cfg.Services, s.refetch, s.refetchSent = services, true, nil
		for _, l := range s.links {
			if l.connected && l.wantConfig {
				l.subscribe = true
				l.send(s.request(now, l))
			}
		}
	}))
}

// tick resets streams that have timed out and sends the periodic requests. Until a version is
// active, it requests an immediate response at each tick.
func (s *Subscriber) tick(now time.Time) {
	for _, l := range s.links {
		if slices.Contains(s.sub.TimedOutSources(now), l.endpoint.Name) {
			l.reset(now, errUnresponsive)
		}
	}
	_, _, active := s.staged.Active()
	urgent := !active
	if urgent || now.Sub(s.lastRenewal) >= feed.RenewInterval-tickInterval/2 {
		s.lastRenewal = now
		for _, l := range s.links {
			if l.connected {
				q := s.request(now, l)
				q.AnswerNow = urgent
				l.send(q)
			}
		}
	}
	s.removeStaleListings(now)
	s.evaluate(now)
}

// removeStaleListings removes the listings of relays that have been disconnected for longer
// than LeaseTTL, unless no other relay with a listing is connected.
func (s *Subscriber) removeStaleListings(now time.Time) {
	localTable := s.mergedTables[s.cfg.AvailabilityZone]
	connected := slices.ContainsFunc(s.links, func(l *link) bool { return l.connected && localTable.HasListing(l.endpoint.Name) })
	for _, m := range s.mergedTables {
		m.Tick(now)
	}
	if !connected {
		return
	}
	for _, l := range s.links {
		if !l.connected && now.Sub(l.disconnectedAt) > feed.LeaseTTL && localTable.HasListing(l.endpoint.Name) {
			s.membersChanged(s.cfg.AvailabilityZone, localTable.RemoveSource(now, l.endpoint.Name))
		}
	}
}

// request returns the next request for a link.
func (s *Subscriber) request(now time.Time, l *link) *api.SyncRequest {
	_, minVersionKnown := s.sub.MinVersion()
	version, _, _ := s.staged.Active()
	q := &api.SyncRequest{
		Sequence:          s.sub.NextRequest(now, l.endpoint.Name),
		Started:           minVersionKnown,
		InForceVersion:    version,
		ConfirmationAgeMs: -1,
	}
	if age, _, _, ok := s.sub.Confirmation(now); ok {
		q.ConfirmationAgeMs = millis(age)
	}
	if !l.subscribe {
		return q
	}
	l.subscribe = false
	q.Initial = true
	q.Subscriber = s.cfg.ID
	q.AvailabilityZone = s.cfg.AvailabilityZone
	q.Region = s.cfg.Region
	q.WantConfig = l.wantConfig
	q.HeldVersion = s.staged.NewestReceived()
	if s.refetch && l.wantConfig {
		q.HeldVersion = 0
		s.refetchSent = &refetch{link: l, sequence: q.GetSequence()}
	}
	q.Services = s.cfg.Services
	q.MemberScope = l.scope
	if s.member != nil {
		q.Announcement = announcementToProto(now, s.member)
	}
	for az, m := range s.mergedTables {
		if az == s.cfg.AvailabilityZone || l.scope == api.MemberScope_MEMBER_SCOPE_ALL {
			h := m.ResumeState(l.endpoint.Name)
			q.HeldTables = append(q.HeldTables, &api.HeldMembers{
				AvailabilityZone: az, Epoch: h.Epoch, Revision: h.Revision, Digest: h.Digest})
		}
	}
	return q
}
