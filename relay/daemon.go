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
	Incarnation      uint64     // grows with each start; 0 takes the time of day
	Relays           []Endpoint // all relays configured for the availability zone
	Services         []string   // services whose documents are needed; empty means all
	Credentials      credentials.TransportCredentials
	Log              *log.Logger
	// OnView receives each new view, one after the other. It must not wait.
	OnView func(*View)
}

// Announcement is what a daemon says of its upstream.
type Announcement struct {
	Service      string
	Address      string // of the peer listener
	State        feed.State
	Slots        uint32
	ServingSince time.Time // when the upstream started to serve, zero if not yet
}

// View is the state of the feed at a daemon. It is never changed. Documents and
// Members are the same maps as in the view before if they have not changed.
type View struct {
	// Confirmed is false until a version may be in force. Until then the
	// daemon refuses traffic as configuration-unconfirmed.
	Confirmed     bool
	ActiveVersion uint64 // in force
	// ConfirmedAt is the time of the newest confirmation by control, zero if none.
	// It advances about once a second.
	ConfirmedAt time.Time
	Source      string            // relay that is followed, empty if none
	Documents   map[string][]byte // canonical JSON by service
	// Members lists the upstreams by service, sorted by id.
	Members map[string][]*feed.Member
}

// ConfirmationAge returns the time since the newest quorum confirmation by control; ok is
// false if there was none.
func (v *View) ConfirmationAge(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(v.ConfirmedAt), !v.ConfirmedAt.IsZero()
}

// Subscriber keeps streams to all relays of its availability zone.
type Subscriber struct {
	cfg   SubscriberConfig
	log   *log.Logger
	loop  *loop
	links []*link // in order of preference

	sub     *feed.Subscriber
	staged  feed.StagedConfig
	epoch   uint64
	merges  map[string]*feed.MergedTable
	byName  map[string][]*feed.Member
	member  *feed.Member // own announcement, nil if none yet
	leaving *leaving

	// After a change of the filter a full copy is needed: documents of added
	// services may be older than the held version.
	refetch     bool
	refetchSent *refetch

	changed   bool // the view differs from the last one given out
	renewAt   time.Time
	viewFresh time.Time // ConfirmedAt of the last view
}

// refetch is the request that asked for a full copy.
type refetch struct {
	link     *link
	sequence uint64
}

// leaving waits until the relays have received the last announcement.
type leaving struct {
	pending map[*link]uint64
	done    chan struct{}
}

// NewSubscriber returns a feed client that works while Run does.
func NewSubscriber(cfg SubscriberConfig) (*Subscriber, error) {
	now := time.Now()
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(now.UnixNano())
	}
	d := &Subscriber{
		cfg:    cfg,
		log:    logger(cfg.Log),
		loop:   newLoop(),
		epoch:  newEpoch(),
		merges: map[string]*feed.MergedTable{},
		byName: map[string][]*feed.Member{},
	}
	d.loop.tick, d.loop.flush = d.tick, d.flush
	var names []string
	for _, e := range preference(cfg.ID, cfg.Relays) {
		l, err := newLink(e, cfg.Credentials, d.loop, d)
		if err != nil {
			return nil, err
		}
		l.scope = api.MemberScope_MEMBER_SCOPE_MERGED
		d.links = append(d.links, l)
		names = append(names, e.Name)
	}
	d.sub = feed.NewSubscriber(feed.SubscriberConfig{Start: now, Sources: names, Relays: names})
	return d, nil
}

// preference orders the relays by a hash of both names, which spreads the
// daemons evenly and moves few of them when a relay is added.
func preference(id string, relays []Endpoint) []Endpoint {
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

// Run works until ctx ends.
func (d *Subscriber) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var streams sync.WaitGroup
	for _, l := range d.links {
		streams.Go(func() { l.run(ctx) })
	}
	d.loop.run(ctx)
	cancel()
	streams.Wait()
}

// Announce replaces the announcement of this daemon and sends it at once.
func (d *Subscriber) Announce(a Announcement) {
	d.loop.post(eventFunc(func(now time.Time) { d.announce(now, a) }))
}

func (d *Subscriber) announce(now time.Time, a Announcement) {
	sequence := uint64(1)
	if d.member != nil {
		sequence = d.member.Sequence + 1
	}
	d.member = &feed.Member{
		ID:               d.cfg.ID,
		Incarnation:      d.cfg.Incarnation,
		Sequence:         sequence,
		Service:          a.Service,
		Region:           d.cfg.Region,
		AvailabilityZone: d.cfg.AvailabilityZone,
		Address:          a.Address,
		State:            a.State,
		Slots:            a.Slots,
		ServingSince:     a.ServingSince,
	}
	d.log.Info().Str("event", "announced").Str("service", a.Service).Str("state", a.State.String()).
		Uint64("sequence", sequence).Msg("")
	for _, l := range d.links {
		if l.up {
			q := d.request(now, l)
			q.Announcement = announcementOf(now, d.member)
			l.send(q)
		}
	}
}

// Deregister announces that the upstream has deregistered and returns once each connected
// relay has received the announcement, or when ctx ends.
func (d *Subscriber) Deregister(ctx context.Context) {
	w := &leaving{pending: map[*link]uint64{}, done: make(chan struct{})}
	if !d.loop.post(eventFunc(func(now time.Time) { d.leave(now, w) })) {
		return
	}
	select {
	case <-w.done:
	case <-d.loop.done:
	case <-ctx.Done():
	}
}

func (d *Subscriber) leave(now time.Time, w *leaving) {
	d.leaving = w
	if d.member != nil {
		d.member = &feed.Member{ID: d.member.ID, Incarnation: d.member.Incarnation, Sequence: d.member.Sequence + 1,
			Service: d.member.Service, Region: d.member.Region, AvailabilityZone: d.member.AvailabilityZone,
			Address: d.member.Address, State: feed.StateLeft}
		for _, l := range d.links {
			if !l.up {
				continue
			}
			q := d.request(now, l)
			q.Announcement, q.AnswerNow = announcementOf(now, d.member), true
			if l.send(q) {
				w.pending[l] = q.GetSequence()
			}
		}
	}
	d.checkLeft()
}

func (d *Subscriber) checkLeft() {
	if d.leaving != nil && len(d.leaving.pending) == 0 {
		close(d.leaving.done)
		d.leaving = nil
	}
}

// SetServices replaces the filter of documents; empty means all.
func (d *Subscriber) SetServices(services []string) {
	services = slices.Clone(services)
	d.loop.post(eventFunc(func(now time.Time) {
		d.cfg.Services, d.refetch, d.refetchSent = services, true, nil
		for _, l := range d.links {
			if l.up && l.config {
				l.subscribe = true
				l.send(d.request(now, l))
			}
		}
	}))
}

func (d *Subscriber) tick(now time.Time) {
	for _, l := range d.links {
		if slices.Contains(d.sub.TimedOutSources(now), l.endpoint.Name) {
			l.reset(now, errSilent)
		}
	}
	_, _, inForce := d.staged.Active()
	urgent := !inForce
	if urgent || now.Sub(d.renewAt) >= feed.RenewInterval-tickEvery/2 {
		d.renewAt = now
		for _, l := range d.links {
			if l.up {
				q := d.request(now, l)
				q.AnswerNow = urgent
				l.send(q)
			}
		}
	}
	d.dropListings(now)
	d.evaluate(now)
}

// dropListings forgets what a relay listed that has been unreachable for a
// lease time, as long as another one is connected.
func (d *Subscriber) dropListings(now time.Time) {
	own := d.merges[d.cfg.AvailabilityZone]
	connected := slices.ContainsFunc(d.links, func(l *link) bool { return l.up && own.HasListing(l.endpoint.Name) })
	for _, m := range d.merges {
		m.Tick(now)
	}
	if !connected {
		return
	}
	for _, l := range d.links {
		if !l.up && now.Sub(l.downAt) > feed.LeaseTTL && own.HasListing(l.endpoint.Name) {
			d.membersChanged(d.cfg.AvailabilityZone, own.RemoveSource(now, l.endpoint.Name))
		}
	}
}

// request builds the next request for a link.
func (d *Subscriber) request(now time.Time, l *link) *api.SyncRequest {
	_, floorKnown := d.sub.MinVersion()
	version, _, _ := d.staged.Active()
	q := &api.SyncRequest{
		Sequence:          d.sub.NextRequest(now, l.endpoint.Name),
		Started:           floorKnown,
		InForceVersion:    version,
		ConfirmationAgeMs: -1,
	}
	if age, _, _, ok := d.sub.Confirmation(now); ok {
		q.ConfirmationAgeMs = millis(age)
	}
	if !l.subscribe {
		return q
	}
	l.subscribe = false
	q.Initial = true
	q.Subscriber = d.cfg.ID
	q.AvailabilityZone = d.cfg.AvailabilityZone
	q.Region = d.cfg.Region
	q.WantConfig = l.config
	q.HeldVersion = d.staged.NewestReceived()
	if d.refetch && l.config {
		q.HeldVersion = 0
		d.refetchSent = &refetch{link: l, sequence: q.GetSequence()}
	}
	q.Services = d.cfg.Services
	q.MemberScope = l.scope
	if d.member != nil {
		q.Announcement = announcementOf(now, d.member)
	}
	for az, m := range d.merges {
		if az == d.cfg.AvailabilityZone || l.scope == api.MemberScope_MEMBER_SCOPE_ALL {
			h := m.ResumeState(l.endpoint.Name)
			q.HeldTables = append(q.HeldTables, &api.HeldMembers{
				AvailabilityZone: az, Epoch: h.Epoch, Revision: h.Revision, Digest: h.Digest})
		}
	}
	return q
}
