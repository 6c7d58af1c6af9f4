package relay

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/feed"
)

// broadcastInterval is the maximum time between two updates to a subscriber.
const broadcastInterval = time.Second

// Authorize returns the authenticated id of the peer of a stream, empty if it has none. If it
// returns an error, the stream is rejected.
type Authorize func(ctx context.Context) (id string, err error)

// hub serves api.Feed: it tracks the subscribers and sends each one at most one update at a
// time. The next update of a slow subscriber contains all changes since the last one.
type hub struct {
	api.UnimplementedFeedServer
	loop      *loop
	log       *log.Logger
	authorize Authorize
	handler   hubHandler

	// Owned by the loop.
	subscriptions map[*subscription]bool
}

// hubHandler handles events of subscribers. Its methods are called in the loop.
type hubHandler interface {
	// requestReceived is called for each request, after the hub has updated the
	// subscription.
	requestReceived(now time.Time, s *subscription, r *api.SyncRequest)
	// subscriptionClosed is called after the stream has ended.
	subscriptionClosed(now time.Time, s *subscription)
	// buildUpdate returns the next update for s.
	buildUpdate(now time.Time, s *subscription) *api.SyncUpdate
}

// subscription is the stream of one subscriber, a daemon or relay. It is owned by the loop.
type subscription struct {
	name          string
	az            string
	relay         bool // the subscriber is a relay
	started       bool
	updates       chan *api.SyncUpdate
	sending       bool            // an update is being sent
	dirty         bool            // an update has to be sent
	echo          uint64          // highest sequence number of a request
	wantConfig    bool            // documents are requested
	filter        map[string]bool // names of the requested services, nil for all
	syncedVersion uint64          // version that the subscriber has after the last update
	activeVersion uint64          // version that is active at the subscriber
	scope         api.MemberScope
	tables        map[string]feed.SyncState
	incomplete    map[string]bool // by availability zone: the last update was incomplete
	member        *feed.Member
}

func newHub(lp *loop, lg *log.Logger, authorize Authorize, h hubHandler) *hub {
	return &hub{loop: lp, log: lg, authorize: authorize, handler: h, subscriptions: map[*subscription]bool{}}
}

// ServerOptions returns the options for a gRPC server with a feed.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ReadBufferSize(streamBufferBytes),
		grpc.WriteBufferSize(4 * streamBufferBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		// Keepalive pings detect a subscriber that disappeared without closing its
		// connection. They are sent only if its requests, one per second, no longer
		// arrive.
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 2 * feed.StreamTimeout, Timeout: feed.StreamTimeout}),
	}
}

// Sync implements api.FeedServer.
func (h *hub) Sync(stream api.Feed_SyncServer) error {
	peerID, err := h.authenticate(stream.Context())
	if err != nil {
		return err
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetSubscriber() == "" {
		return status.Error(codes.InvalidArgument, "the first request has no subscriber")
	}
	if peerID != "" && peerID != first.GetSubscriber() {
		return status.Errorf(codes.PermissionDenied, "certificate of %q used by subscriber %q", peerID, first.GetSubscriber())
	}
	s := &subscription{
		name:    first.GetSubscriber(),
		az:      first.GetAvailabilityZone(),
		relay:   first.GetRelay(),
		updates: make(chan *api.SyncUpdate, 1),
	}
	go h.sendUpdates(stream, s)
	defer h.loop.post(eventFunc(func(now time.Time) { h.removeSubscription(now, s) }))
	for r := first; ; {
		if a := r.GetAnnouncement(); peerID != "" && a != nil && a.GetId() != peerID {
			return status.Errorf(codes.PermissionDenied, "certificate of %q used to announce %q", peerID, a.GetId())
		}
		if !h.loop.post(requestEvent{h, s, r}) {
			return status.Error(codes.Unavailable, "feed server is stopping")
		}
		if r, err = stream.Recv(); err != nil {
			return err
		}
	}
}

// requestEvent passes a request of a subscriber to the loop.
type requestEvent struct {
	hub          *hub
	subscription *subscription
	request      *api.SyncRequest
}

func (e requestEvent) handle(now time.Time) { e.hub.handleRequest(now, e.subscription, e.request) }

// authenticate returns the authenticated id of the peer, empty without TLS.
func (h *hub) authenticate(ctx context.Context) (string, error) {
	if h.authorize == nil {
		return "", nil
	}
	return h.authorize(ctx)
}

// sendUpdates sends the updates of a subscriber until its stream or the loop ends.
func (h *hub) sendUpdates(stream api.Feed_SyncServer, s *subscription) {
	for {
		select {
		case <-stream.Context().Done():
			return
		case <-h.loop.done:
			return
		case u := <-s.updates:
			if stream.Send(u) != nil {
				return // Recv fails too
			}
			h.loop.post(eventFunc(func(time.Time) { s.sending = false }))
		}
	}
}

// handleRequest updates a subscription from a request and adds it if it is new.
func (h *hub) handleRequest(now time.Time, s *subscription, r *api.SyncRequest) {
	if !h.subscriptions[s] {
		h.subscriptions[s] = true
		h.log.Debug().Str("event", "subscriber_joined").Str("subscriber", s.name).Bool("relay", s.relay).Msg("")
	}
	s.echo = max(s.echo, r.GetSequence())
	s.started = r.GetStarted()
	s.activeVersion = r.GetInForceVersion()
	if r.GetInitial() {
		s.subscribe(r)
	}
	if r.GetAnswerNow() || r.GetInitial() {
		s.dirty = true
	}
	h.handler.requestReceived(now, s, r)
}

// subscribe sets what is sent to the subscriber, as its initial request states.
func (s *subscription) subscribe(r *api.SyncRequest) {
	s.wantConfig = r.GetWantConfig()
	s.syncedVersion = r.GetHeldVersion()
	s.filter = nil
	if names := r.GetServices(); len(names) > 0 {
		s.filter = make(map[string]bool, len(names))
		for _, name := range names {
			s.filter[name] = true
		}
	}
	s.scope = r.GetMemberScope()
	s.tables = map[string]feed.SyncState{}
	s.incomplete = map[string]bool{}
	for _, t := range r.GetHeldTables() {
		s.tables[t.GetAvailabilityZone()] = feed.SyncState{Epoch: t.GetEpoch(), Revision: t.GetRevision(), Digest: t.GetDigest()}
	}
}

// removeSubscription removes a subscription whose stream has ended.
func (h *hub) removeSubscription(now time.Time, s *subscription) {
	if !h.subscriptions[s] {
		return
	}
	delete(h.subscriptions, s)
	h.log.Debug().Str("event", "subscriber_left").Str("subscriber", s.name).Msg("")
	h.handler.subscriptionClosed(now, s)
}

// markAllDirty schedules an update to each subscriber.
func (h *hub) markAllDirty() {
	for s := range h.subscriptions {
		s.dirty = true
	}
}

// flush sends an update to each subscriber that needs one and whose last update was sent.
func (h *hub) flush(now time.Time) {
	for s := range h.subscriptions {
		if !s.dirty || s.sending {
			continue
		}
		s.dirty, s.sending = false, true
		s.updates <- h.handler.buildUpdate(now, s)
	}
}

// documentCache shares deltas between subscribers without a filter: after a change nearly all of
// them need the delta from the same version.
type documentCache struct {
	version uint64
	deltas  map[uint64]*api.ConfigDelta
}

// get returns the delta between two versions and builds it if it is not cached.
func (c *documentCache) get(version, since uint64, build func() *api.ConfigDelta) *api.ConfigDelta {
	if c.version != version || c.deltas == nil {
		c.version, c.deltas = version, map[uint64]*api.ConfigDelta{}
	}
	if c.deltas[since] == nil {
		c.deltas[since] = build()
	}
	return c.deltas[since]
}
