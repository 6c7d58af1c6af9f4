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

// waveEvery is the longest time between two updates to a subscriber.
const waveEvery = time.Second

// Authorize returns the id that the peer of a stream has proved, if any. With
// an error the stream is refused.
type Authorize func(ctx context.Context) (id string, err error)

// hub serves api.Feed: it keeps the subscribers and hands each one at most one
// update at a time. A subscriber that is slow to read gets the sum of what
// changed meanwhile as its next update.
type hub struct {
	api.UnimplementedFeedServer
	loop      *loop
	log       *log.Logger
	authorize Authorize
	handler   hubHandler

	// owned by the loop
	subscribers map[*subscriber]bool
}

// hubHandler receives what happens to subscribers, in the loop.
type hubHandler interface {
	// requested is called for each request, after the hub has recorded it.
	requested(now time.Time, s *subscriber, r *api.SyncRequest)
	left(now time.Time, s *subscriber)
	// update builds the next update for s.
	update(now time.Time, s *subscriber) *api.SyncUpdate
}

// subscriber is one stream, owned by the loop.
type subscriber struct {
	name       string
	az         string
	relay      bool
	started    bool
	out        chan *api.SyncUpdate
	busy       bool // an update is being sent
	dirty      bool // something is to be sent
	echo       uint64
	wantConfig bool
	filter     map[string]bool
	held       uint64
	inForce    uint64
	scope      api.MemberScope
	tables     map[string]feed.SyncState
	incomplete map[string]bool // availability zone -> last sent as incomplete
	member     *feed.Member
}

func newHub(lp *loop, lg *log.Logger, authorize Authorize, h hubHandler) *hub {
	return &hub{loop: lp, log: lg, authorize: authorize, handler: h, subscribers: map[*subscriber]bool{}}
}

// ServerOptions are the options a gRPC server with a feed should have.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ReadBufferSize(streamBuffer),
		grpc.WriteBufferSize(4 * streamBuffer),
		grpc.MaxRecvMsgSize(maxMessage),
		// A subscriber that vanished without closing its connection is noticed
		// by a ping once its requests, one a second, no longer arrive.
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 2 * feed.StreamTimeout, Timeout: feed.StreamTimeout}),
	}
}

// Sync implements api.FeedServer.
func (h *hub) Sync(stream api.Feed_SyncServer) error {
	proved, err := h.proved(stream.Context())
	if err != nil {
		return err
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetSubscriber() == "" {
		return status.Error(codes.InvalidArgument, "the first request names no subscriber")
	}
	if proved != "" && proved != first.GetSubscriber() {
		return status.Errorf(codes.PermissionDenied, "certificate of %q used by subscriber %q", proved, first.GetSubscriber())
	}
	s := &subscriber{
		name:  first.GetSubscriber(),
		az:    first.GetAvailabilityZone(),
		relay: first.GetRelay(),
		out:   make(chan *api.SyncUpdate, 1),
	}
	go h.sendUpdates(stream, s)
	defer h.loop.post(eventFunc(func(now time.Time) { h.leave(now, s) }))
	for r := first; ; {
		if a := r.GetAnnouncement(); proved != "" && a != nil && a.GetId() != proved {
			return status.Errorf(codes.PermissionDenied, "certificate of %q used to announce %q", proved, a.GetId())
		}
		if !h.loop.post(requestEvent{h, s, r}) {
			return status.Error(codes.Unavailable, "feed server is stopping")
		}
		if r, err = stream.Recv(); err != nil {
			return err
		}
	}
}

type requestEvent struct {
	hub        *hub
	subscriber *subscriber
	request    *api.SyncRequest
}

func (e requestEvent) handle(now time.Time) { e.hub.request(now, e.subscriber, e.request) }

func (h *hub) proved(ctx context.Context) (string, error) {
	if h.authorize == nil {
		return "", nil
	}
	return h.authorize(ctx)
}

func (h *hub) sendUpdates(stream api.Feed_SyncServer, s *subscriber) {
	for {
		select {
		case <-stream.Context().Done():
			return
		case <-h.loop.done:
			return
		case u := <-s.out:
			if stream.Send(u) != nil {
				return // Recv ends too
			}
			h.loop.post(eventFunc(func(time.Time) { s.busy = false }))
		}
	}
}

func (h *hub) request(now time.Time, s *subscriber, r *api.SyncRequest) {
	if !h.subscribers[s] {
		h.subscribers[s] = true
		h.log.Debug().Str("event", "subscriber_joined").Str("subscriber", s.name).Bool("relay", s.relay).Msg("")
	}
	s.echo = max(s.echo, r.GetSequence())
	s.started = r.GetStarted()
	s.inForce = r.GetInForceVersion()
	if r.GetInitial() {
		s.subscribe(r)
	}
	if r.GetAnswerNow() || r.GetInitial() {
		s.dirty = true
	}
	h.handler.requested(now, s, r)
}

// subscribe takes over the subscription that an initial request states.
func (s *subscriber) subscribe(r *api.SyncRequest) {
	s.wantConfig = r.GetWantConfig()
	s.held = r.GetHeldVersion()
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

func (h *hub) leave(now time.Time, s *subscriber) {
	if !h.subscribers[s] {
		return
	}
	delete(h.subscribers, s)
	h.log.Debug().Str("event", "subscriber_left").Str("subscriber", s.name).Msg("")
	h.handler.left(now, s)
}

// markAll asks for an update to each subscriber.
func (h *hub) markAll() {
	for s := range h.subscribers {
		s.dirty = true
	}
}

// flush sends an update to each subscriber that needs one and has taken the
// former one.
func (h *hub) flush(now time.Time) {
	for s := range h.subscribers {
		if !s.dirty || s.busy {
			continue
		}
		s.dirty, s.busy = false, true
		s.out <- h.handler.update(now, s)
	}
}

// documentCache shares the delta that subscribers without a filter need: after
// a change nearly all of them hold the same version.
type documentCache struct {
	version uint64
	deltas  map[uint64]*api.ConfigDelta
}

func (c *documentCache) get(version, since uint64, build func() *api.ConfigDelta) *api.ConfigDelta {
	if c.version != version || c.deltas == nil {
		c.version, c.deltas = version, map[uint64]*api.ConfigDelta{}
	}
	if c.deltas[since] == nil {
		c.deltas[since] = build()
	}
	return c.deltas[since]
}
