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
	Name             string // name of this relay in Relays
	ID               string // subscriber id, as in the certificate; empty selects Name
	Region           string
	AvailabilityZone string
	// Sources serve the configuration, in order of preference: control replicas,
	// or relays that fetch it across a metered link. The other relays of the
	// availability zone are used if none of them is available.
	Sources []Endpoint
	// Relays are all relays configured for the availability zone, this one
	// included. Majorities are counted over them.
	Relays []Endpoint
	// Remote holds the relays of each other availability zone, by zone.
	Remote      map[string][]Endpoint
	Credentials credentials.TransportCredentials // nil for plain text
	Authorize   Authorize                        // nil without TLS
	Logger      *log.Logger                      // nil discards all log lines
}

// Relay serves configuration and membership to the daemons of its availability zone, and the
// membership of its availability zone to other relays. It implements api.FeedServer.
type Relay struct {
	*hub
	cfg            RelayConfig
	log            *log.Logger
	epoch          uint64           // of the tables that this relay sends
	links          map[string]*link // to sources and relays of the availability zone, by name
	remotes        map[string]*remoteZone
	daemonStatuses *daemonStatuses

	sub     *feed.Subscriber
	store   feed.DocumentStore
	started bool // set by checkStarted; from then on this relay counts for majorities

	leases         *feed.Leases
	leasesComplete bool
	leaseTable     *feed.Table                  // members with a lease at this relay
	mergedTables   map[string]*feed.MergedTable // by availability zone
	cache          documentCache
	members        memberCache

	lastBroadcast        time.Time
	broadcastConfirmedAt time.Time // confirmation time of the last broadcast
	lastRenewal          time.Time
}

// remoteZone receives the membership of another availability zone from one of its relays at a
// time.
type remoteZone struct {
	az          string
	links       []*link
	active      int       // index in links of the relay in use
	activeSince time.Time // when that relay was selected
	lastUpdate  time.Time // when the active relay sent its last update
}

// NewRelay returns a relay that is active while Run executes.
func NewRelay(cfg RelayConfig) (*Relay, error) {
	now := time.Now()
	lp := newLoop()
	if cfg.ID == "" {
		cfg.ID = cfg.Name
	}
	r := &Relay{
		cfg:            cfg,
		log:            logger(cfg.Logger),
		epoch:          newEpoch(),
		links:          map[string]*link{},
		remotes:        map[string]*remoteZone{},
		daemonStatuses: newDaemonStatuses(),
		leases:         feed.NewLeases(now),
		mergedTables:   map[string]*feed.MergedTable{},
	}
	r.hub = newHub(lp, r.log, cfg.Authorize, r)
	lp.tick, lp.flush = r.tick, r.flush
	r.leaseTable = feed.NewTable(r.epoch)
	localTable := feed.NewMergedTable(r.epoch)
	localTable.SetIncomplete(now, cfg.Name, true)
	r.mergedTables[cfg.AvailabilityZone] = localTable
	if err := r.createLinks(now); err != nil {
		return nil, err
	}
	return r, nil
}

// createLinks creates the links to the sources and relays, in order of preference, and the feed
// subscriber that selects among them.
func (r *Relay) createLinks(now time.Time) error {
	order := sourceOrder(r.cfg)
	names := make([]string, 0, len(order))
	for _, e := range order {
		l, err := newLink(e, r.cfg.Credentials, r.loop, r)
		if err != nil {
			return err
		}
		r.links[e.Name] = l
		names = append(names, e.Name)
	}
	relays := make([]string, 0, len(r.cfg.Relays))
	for _, e := range r.cfg.Relays {
		relays = append(relays, e.Name)
		if l := r.links[e.Name]; l != nil {
			l.scope = api.MemberScope_MEMBER_SCOPE_DIRECT
		}
	}
	r.sub = feed.NewSubscriber(feed.SubscriberConfig{Start: now, Sources: names, Relays: relays, Relay: true})
	for az, endpoints := range r.cfg.Remote {
		if err := r.createRemoteLinks(now, az, endpoints); err != nil {
			return err
		}
	}
	return nil
}

// sourceOrder returns the configured sources followed by the other relays of the availability
// zone, without duplicates.
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

// Run keeps the streams open and serves until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var streams sync.WaitGroup
	for _, l := range r.links {
		streams.Go(func() { l.run(ctx) })
	}
	for _, zone := range r.remotes {
		for _, l := range zone.links {
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
		r.links[name].reset(now, errUnresponsive)
	}
	r.selectSource(now)
	r.tickRemotes(now)
	urgent := r.confirmationAwaited() // a starting process waits for a newer confirmation
	if urgent || now.Sub(r.lastRenewal) >= feed.RenewInterval-tickInterval/2 {
		r.renew(now, urgent)
	}
	if now.Sub(r.lastBroadcast) >= broadcastInterval {
		r.broadcast(now)
	}
}

// confirmationAwaited reports whether this relay or one of its subscribers waits for a quorum
// confirmation newer than its start.
func (r *Relay) confirmationAwaited() bool {
	if !r.started {
		return true
	}
	for s := range r.subscriptions {
		if !s.started {
			return true
		}
	}
	return false
}

// renew sends requests to the sources and the relays of the availability zone, with urgent set for
// an immediate response. Statuses and requests to other zones are sent only once per RenewInterval.
func (r *Relay) renew(now time.Time, urgent bool) {
	periodic := now.Sub(r.lastRenewal) >= feed.RenewInterval-tickInterval/2
	var list []*api.DaemonStatus
	if periodic {
		r.lastRenewal = now
		r.daemonStatuses.expire(now)
		list = r.daemonStatuses.nextBatch(now)
	}
	for _, l := range r.links {
		if !l.connected {
			continue
		}
		q := r.request(now, l)
		q.AnswerNow = q.AnswerNow || urgent
		if r.sendsStatusesTo(l) {
			q.Reports = list
		}
		l.send(q)
	}
	for _, zone := range r.remotes {
		if l := zone.links[zone.active]; l.connected && periodic {
			l.send(r.request(now, l))
		}
	}
}

// sendsStatusesTo reports whether the statuses of daemons are sent on a link. They are sent to
// all configured sources outside the availability zone, so that each control replica has them;
// if none of those is connected, to the selected source.
func (r *Relay) sendsStatusesTo(l *link) bool {
	outside := false
	for _, e := range r.cfg.Sources {
		if r.links[e.Name] != nil && !r.isLocalRelay(e.Name) {
			outside = outside || r.links[e.Name].connected
		}
	}
	if outside {
		return !r.isLocalRelay(l.endpoint.Name)
	}
	return l.endpoint.Name == r.sub.Source()
}

// isLocalRelay reports whether name is a relay of this availability zone.
func (r *Relay) isLocalRelay(name string) bool {
	for _, e := range r.cfg.Relays {
		if e.Name == name {
			return true
		}
	}
	return false
}

// request returns the next request for a link.
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
	q.WantConfig = l.wantConfig
	q.HeldVersion = r.store.Version()
	q.MemberScope = l.scope
	if l.remote() {
		q.HeldTables = r.remoteTableState(l)
	}
	return q
}

func (r *Relay) linkUp(now time.Time, l *link) {
	if l.remote() {
		if r.isActive(l) {
			l.send(r.request(now, l))
		}
		return
	}
	r.sub.Connected(now, l.endpoint.Name)
	r.selectSource(now)
	l.wantConfig = l.endpoint.Name == r.sub.Source()
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
	r.selectSource(now)
}

func (r *Relay) linkUpdate(now time.Time, l *link, u *api.SyncUpdate) {
	if l.remote() {
		r.remoteUpdate(now, l, u)
		return
	}
	r.sub.UpdateReceived(now, l.endpoint.Name, sourceStatusFromProto(u))
	if c := u.GetConfig(); c != nil {
		r.apply(l, c)
	}
	for _, d := range u.GetMembers() {
		r.applyMembers(now, l, d, false)
	}
	r.selectSource(now)
	r.checkStarted()
	r.broadcastConfirmation(now)
}

// apply stores a delta. If it does not follow the local version, because the source was changed
// meanwhile, the link subscribes again.
func (r *Relay) apply(l *link, c *api.ConfigDelta) {
	before := r.store.Version()
	if err := r.store.Apply(deltaFromProto(c)); err != nil {
		r.log.Warn().Str("event", "delta_refused").Str("source", l.endpoint.Name).Err(err).Msg("")
		l.subscribe = true
		return
	}
	if r.store.Version() != before {
		r.log.Info().Str("event", "version_held").Str("source", l.endpoint.Name).
			Uint64("version", r.store.Version()).Uint64("before", before).Msg("")
		r.markAllDirty()
	}
}

// selectSource selects the source and requests documents only from it.
func (r *Relay) selectSource(now time.Time) {
	choice, changed := r.sub.SelectSource(now, r.store.Version())
	if !changed {
		return
	}
	r.log.Info().Str("event", "source_chosen").Str("from", choice.From).Str("to", choice.To).
		Str("reason", string(choice.Reason)).Msg("")
	for _, l := range r.links {
		if wanted := l.endpoint.Name == choice.To; l.wantConfig != wanted {
			l.wantConfig, l.subscribe = wanted, true
			if l.connected {
				l.send(r.request(now, l))
			}
		}
	}
}

// checkStarted completes the start once the local version has reached the minimum version: from
// then on this relay counts for majorities.
func (r *Relay) checkStarted() {
	if r.started || !r.sub.Started(r.store.Version()) {
		return
	}
	r.started = true
	minVersion, _ := r.sub.MinVersion()
	r.log.Info().Str("event", "relay_started").Uint64("version", r.store.Version()).Uint64("floor", minVersion).Msg("")
	r.markAllDirty()
}

// broadcastConfirmation broadcasts a quorum confirmation that is newer than the last one sent by
// at least 7/10 of broadcastInterval. Subscribers that wait for a newer one request it.
func (r *Relay) broadcastConfirmation(now time.Time) {
	age, _, _, ok := r.sub.Confirmation(now)
	if !ok {
		return
	}
	if now.Add(-age).Sub(r.broadcastConfirmedAt) >= broadcastInterval*7/10 {
		r.broadcast(now)
	}
}

// broadcast schedules an update with the newest confirmation to all subscribers.
func (r *Relay) broadcast(now time.Time) {
	r.lastBroadcast = now
	if age, _, _, ok := r.sub.Confirmation(now); ok {
		r.broadcastConfirmedAt = now.Add(-age)
	}
	r.markAllDirty()
}

func (r *Relay) flush(now time.Time) { r.hub.flush(now) }

// buildUpdate implements hubHandler.
func (r *Relay) buildUpdate(now time.Time, s *subscription) *api.SyncUpdate {
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
		u.ConfirmationAgeMs = millisRoundUp(age)
		u.ConfirmationBoundMs = millisRoundUp(bound)
	}
	if s.wantConfig && (s.syncedVersion < u.SourceVersion || s.syncedVersion == 0) && u.SourceVersion > 0 {
		u.Config = r.configDelta(s)
		s.syncedVersion = u.Config.GetToVersion()
	}
	u.Members = r.memberDeltas(now, s)
	return u
}

// configDelta returns the configuration changes for a subscriber.
func (r *Relay) configDelta(s *subscription) *api.ConfigDelta {
	if s.filter != nil {
		return configDeltaToProto(r.store.ChangesSince(s.syncedVersion, s.filter))
	}
	return r.cache.get(r.store.Version(), s.syncedVersion, func() *api.ConfigDelta {
		return configDeltaToProto(r.store.ChangesSince(s.syncedVersion, nil))
	})
}
