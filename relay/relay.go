package relay

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc/credentials"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/feed"
)

// RelayConfig configures a relay.
type RelayConfig struct {
	Name             string // its name in Relays
	ID               string // what it subscribes as, the id of its certificate; empty means Name
	Region           string
	AvailabilityZone string
	// Sources serve the configuration, preferred first: control replicas, or
	// relays that fetch it across a metered link. The other relays of the
	// availability zone are always tried after them.
	Sources []Endpoint
	// Relays are all relays configured for the availability zone, this one
	// included. A majority of them counts.
	Relays []Endpoint
	// Remote are the relays of each other availability zone.
	Remote      map[string][]Endpoint
	Credentials credentials.TransportCredentials // nil for plain text
	Authorize   Authorize                        // nil without TLS
	Log         *log.Logger                      // nil for none
}

// Relay serves configuration and membership to the daemons of its availability
// zone and its own membership to other relays. It implements api.FeedServer.
type Relay struct {
	*hub
	cfg     RelayConfig
	log     *log.Logger
	epoch   uint64
	config  map[string]*link // sources and relays of the availability zone
	remotes map[string]*remote
	reports *reports

	sub     *feed.Subscriber
	store   feed.DocumentStore
	started bool

	leases         *feed.Leases
	leasesComplete bool
	direct         *feed.Table                  // own leases
	merges         map[string]*feed.MergedTable // by availability zone
	cache          documentCache
	members        memberCache

	waveAt    time.Time
	waveFresh time.Time // confirmation that the last wave carried
	renewAt   time.Time
}

// remote follows the membership of one other availability zone through one of
// its relays.
type remote struct {
	az    string
	links []*link
	using int
	since time.Time // when using was chosen
	seen  time.Time // last update of the relay in use
}

// NewRelay returns a relay that works while Run does.
func NewRelay(cfg RelayConfig) (*Relay, error) {
	now := time.Now()
	lp := newLoop()
	if cfg.ID == "" {
		cfg.ID = cfg.Name
	}
	r := &Relay{
		cfg:     cfg,
		log:     logger(cfg.Log),
		epoch:   newEpoch(),
		config:  map[string]*link{},
		remotes: map[string]*remote{},
		reports: newReports(),
		leases:  feed.NewLeases(now),
		merges:  map[string]*feed.MergedTable{},
	}
	r.hub = newHub(lp, r.log, cfg.Authorize, r)
	lp.tick, lp.flush = r.tick, r.flush
	r.direct = feed.NewTable(r.epoch)
	own := feed.NewMergedTable(r.epoch)
	own.SetIncomplete(now, cfg.Name, true)
	r.merges[cfg.AvailabilityZone] = own
	if err := r.dial(now); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Relay) dial(now time.Time) error {
	order := sourceOrder(r.cfg)
	names := make([]string, 0, len(order))
	for _, e := range order {
		l, err := newLink(e, r.cfg.Credentials, r.loop, r)
		if err != nil {
			return err
		}
		r.config[e.Name] = l
		names = append(names, e.Name)
	}
	relays := make([]string, 0, len(r.cfg.Relays))
	for _, e := range r.cfg.Relays {
		relays = append(relays, e.Name)
		if l := r.config[e.Name]; l != nil {
			l.scope = api.MemberScope_MEMBER_SCOPE_DIRECT
		}
	}
	r.sub = feed.NewSubscriber(feed.SubscriberConfig{Start: now, Sources: names, Relays: relays, Relay: true})
	for az, endpoints := range r.cfg.Remote {
		if err := r.dialRemote(now, az, endpoints); err != nil {
			return err
		}
	}
	return nil
}

// sourceOrder is the configured order followed by the other relays of the
// availability zone.
func sourceOrder(cfg RelayConfig) []Endpoint {
	seen := map[string]bool{cfg.Name: true}
	var order []Endpoint
	for _, list := range [][]Endpoint{cfg.Sources, cfg.Relays} {
		for _, e := range list {
			if !seen[e.Name] {
				seen[e.Name] = true
				order = append(order, e)
			}
		}
	}
	return order
}

// Run works until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var streams sync.WaitGroup
	for _, l := range r.config {
		streams.Go(func() { l.run(ctx) })
	}
	for _, rm := range r.remotes {
		for _, l := range rm.links {
			streams.Go(func() { l.run(ctx) })
		}
	}
	r.loop.run(ctx)
	cancel()
	streams.Wait()
}

func (r *Relay) tick(now time.Time) {
	r.tickLeases(now)
	for _, name := range r.sub.TimedOutSources(now) {
		r.config[name].reset(now, errSilent)
	}
	r.choose(now)
	r.tickRemotes(now)
	urgent := r.starting() // a waiting process needs a newer confirmation
	if urgent || now.Sub(r.renewAt) >= feed.RenewInterval-tickEvery/2 {
		r.renew(now, urgent)
	}
	if now.Sub(r.waveAt) >= waveEvery {
		r.wave(now)
	}
}

// starting reports whether this relay or one of its subscribers waits for a
// confirmation made after its start.
func (r *Relay) starting() bool {
	if !r.started {
		return true
	}
	for s := range r.subscribers {
		if !s.started {
			return true
		}
	}
	return false
}

// renew sends the periodic requests. With urgent set, they ask for an answer.
func (r *Relay) renew(now time.Time, urgent bool) {
	periodic := now.Sub(r.renewAt) >= feed.RenewInterval-tickEvery/2
	var list []*api.DaemonStatus
	if periodic {
		r.renewAt = now
		r.reports.expire(now)
		list = r.reports.next(now)
	}
	for _, l := range r.config {
		if !l.up {
			continue
		}
		q := r.request(now, l)
		q.AnswerNow = q.AnswerNow || urgent
		if r.reportsTo(l) {
			q.Reports = list
		}
		l.send(q)
	}
	for _, rm := range r.remotes {
		if l := rm.links[rm.using]; l.up && periodic {
			l.send(r.request(now, l))
		}
	}
}

// reportsTo selects who hears of the daemons: all configured sources outside
// the availability zone, so that each control replica can tell, and without
// any of those the source that is followed.
func (r *Relay) reportsTo(l *link) bool {
	outside := false
	for _, e := range r.cfg.Sources {
		if r.config[e.Name] != nil && !r.peer(e.Name) {
			outside = outside || r.config[e.Name].up
		}
	}
	if outside {
		return !r.peer(l.endpoint.Name)
	}
	return l.endpoint.Name == r.sub.Source()
}

// peer reports whether name is a relay of the same availability zone.
func (r *Relay) peer(name string) bool {
	for _, e := range r.cfg.Relays {
		if e.Name == name {
			return true
		}
	}
	return false
}

// request builds the next request for a link.
func (r *Relay) request(now time.Time, l *link) *api.SyncRequest {
	q := &api.SyncRequest{Started: r.started, InForceVersion: r.store.Version()}
	if !l.remote() {
		q.Sequence = r.sub.NextRequest(now, l.endpoint.Name)
	}
	if !l.subscribe {
		return q
	}
	l.subscribe = false
	q.Initial = true
	q.Subscriber = r.cfg.ID
	q.AvailabilityZone = r.cfg.AvailabilityZone
	q.Region = r.cfg.Region
	q.Relay = true
	q.WantConfig = l.config
	q.HeldVersion = r.store.Version()
	q.MemberScope = l.scope
	if l.remote() {
		q.HeldTables = r.heldRemote(l)
	}
	return q
}

func (r *Relay) linkUp(now time.Time, l *link) {
	if l.remote() {
		if r.inUse(l) {
			l.send(r.request(now, l))
		}
		return
	}
	r.sub.Connected(now, l.endpoint.Name)
	r.choose(now)
	l.config = l.endpoint.Name == r.sub.Source()
	if l.subscribe {
		l.send(r.request(now, l))
	}
}

func (r *Relay) linkDown(now time.Time, l *link, err error) {
	r.log.Info().Str("event", "feed_lost").Str("source", l.endpoint.Name).Err(err).Msg("")
	if l.remote() {
		return
	}
	r.sub.Disconnected(l.endpoint.Name)
	r.choose(now)
}

func (r *Relay) linkUpdate(now time.Time, l *link, u *api.SyncUpdate) {
	if l.remote() {
		r.remoteUpdate(now, l, u)
		return
	}
	r.sub.UpdateReceived(now, l.endpoint.Name, reportOf(u))
	if c := u.GetConfig(); c != nil {
		r.apply(l, c)
	}
	for _, d := range u.GetMembers() {
		r.applyMembers(now, l, d, false)
	}
	r.choose(now)
	r.checkStarted()
	r.spreadConfirmation(now)
}

// apply stores a delta. One that doesn't follow the held version (the source
// was changed meanwhile) is answered by a new subscription.
func (r *Relay) apply(l *link, c *api.ConfigDelta) {
	before := r.store.Version()
	if err := r.store.Apply(deltaOf(c)); err != nil {
		r.log.Warn().Str("event", "delta_refused").Str("source", l.endpoint.Name).Err(err).Msg("")
		l.subscribe = true
		return
	}
	if r.store.Version() != before {
		r.log.Info().Str("event", "version_held").Str("source", l.endpoint.Name).
			Uint64("version", r.store.Version()).Uint64("before", before).Msg("")
		r.markAll()
	}
}

func (r *Relay) choose(now time.Time) {
	choice, changed := r.sub.SelectSource(now, r.store.Version())
	if !changed {
		return
	}
	r.log.Info().Str("event", "source_chosen").Str("from", choice.From).Str("to", choice.To).
		Str("reason", string(choice.Reason)).Msg("")
	for _, l := range r.config {
		if wanted := l.endpoint.Name == choice.To; l.config != wanted {
			l.config, l.subscribe = wanted, true
			if l.up {
				l.send(r.request(now, l))
			}
		}
	}
}

func (r *Relay) checkStarted() {
	if r.started || !r.sub.Started(r.store.Version()) {
		return
	}
	r.started = true
	floor, _ := r.sub.MinVersion()
	r.log.Info().Str("event", "relay_started").Uint64("version", r.store.Version()).Uint64("floor", floor).Msg("")
	r.markAll()
}

// spreadConfirmation sends a newer confirmation on once it is newer by most of
// a period. Subscribers that wait for one ask themselves.
func (r *Relay) spreadConfirmation(now time.Time) {
	age, _, _, ok := r.sub.Confirmation(now)
	if !ok {
		return
	}
	if now.Add(-age).Sub(r.waveFresh) >= waveEvery*7/10 {
		r.wave(now)
	}
}

func (r *Relay) wave(now time.Time) {
	r.waveAt = now
	if age, _, _, ok := r.sub.Confirmation(now); ok {
		r.waveFresh = now.Add(-age)
	}
	r.markAll()
}

func (r *Relay) flush(now time.Time) { r.hub.flush(now) }

// update implements hubHandler.
func (r *Relay) update(now time.Time, s *subscriber) *api.SyncUpdate {
	u := &api.SyncUpdate{
		Source:              r.cfg.Name,
		SourceStarted:       r.started,
		Echo:                s.echo,
		SourceVersion:       r.store.Version(),
		ConfirmationAgeMs:   -1,
		ConfirmationBoundMs: -1,
	}
	if age, bound, version, ok := r.sub.Confirmation(now); ok {
		u.ConfirmedVersion = version
		u.ConfirmationAgeMs = millisUp(age)
		u.ConfirmationBoundMs = millisUp(bound)
	}
	if s.wantConfig && (s.held < u.SourceVersion || s.held == 0) && u.SourceVersion > 0 {
		u.Config = r.delta(s)
		s.held = u.Config.GetToVersion()
	}
	u.Members = r.memberDeltas(now, s)
	return u
}

func (r *Relay) delta(s *subscriber) *api.ConfigDelta {
	if s.filter != nil {
		return configDeltaOf(r.store.Since(s.held, s.filter))
	}
	return r.cache.get(r.store.Version(), s.held, func() *api.ConfigDelta {
		return configDeltaOf(r.store.Since(s.held, nil))
	})
}
