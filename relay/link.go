package relay

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/feed"
)

// Endpoint is the name and address of a feed server.
type Endpoint struct {
	Name    string // unique in the system
	Address string // host and port
}

const (
	firstReconnectDelay = 100 * time.Millisecond
	// linkQueueSize bounds the number of requests queued for a slow stream.
	// Further requests are dropped; the next one contains the whole subscription.
	linkQueueSize = 8
	// maxMessageBytes is large enough for a full copy of configuration and
	// membership.
	maxMessageBytes = 64 << 20
	// streamBufferBytes is the size of each transport buffer of a connection. A
	// relay has one connection per daemon, so with the default of 32 KiB each way
	// the buffers for 950 daemons would use half of its memory limit.
	streamBufferBytes = 4 << 10
)

// link keeps a stream to one feed server open. Its goroutines pass messages to and from the
// loop.
type link struct {
	endpoint     Endpoint
	loop         *loop
	creds        credentials.TransportCredentials
	conn         *grpc.ClientConn // owned by the goroutine that executes run
	handler      linkHandler
	unresponsive atomic.Bool // nothing arrives on the connection any more

	// Owned by the loop.
	requests       chan *api.SyncRequest
	cancel         context.CancelFunc
	connected      bool
	subscribe      bool   // the next request contains the whole subscription
	probeSequence  uint64 // sequence of the request whose response is awaited, 0 if none
	wantConfig     bool   // documents are requested on this link
	scope          api.MemberScope
	disconnectedAt time.Time
}

// remote reports whether a relay uses the link for the membership of another availability
// zone. It is meaningful only for the links of a relay.
func (l *link) remote() bool { return l.scope == api.MemberScope_MEMBER_SCOPE_MERGED }

// linkHandler handles events of links. Its methods are called in the loop.
type linkHandler interface {
	linkUp(now time.Time, l *link)
	linkUpdate(now time.Time, l *link, u *api.SyncUpdate)
	linkDown(now time.Time, l *link, err error)
}

// newLink returns a link to a feed server. Without credentials it uses plain text.
func newLink(e Endpoint, creds credentials.TransportCredentials, lp *loop, h linkHandler) (*link, error) {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	l := &link{endpoint: e, creds: creds, loop: lp, handler: h}
	return l, l.dial()
}

// dial prepares a connection, which is established when the first stream is opened.
func (l *link) dial() error {
	conn, err := grpc.NewClient("passthrough:///"+l.endpoint.Address,
		grpc.WithTransportCredentials(l.creds),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  firstReconnectDelay,
				Multiplier: 1.6,
				Jitter:     0.5,
				MaxDelay:   feed.MaxReconnectDelay / 2,
			},
			MinConnectTimeout: feed.MaxReconnectDelay,
		}),
		grpc.WithReadBufferSize(streamBufferBytes),
		grpc.WithWriteBufferSize(streamBufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	)
	if err != nil {
		return errors.Wrapf(err, "feed client for %s at %s", l.endpoint.Name, l.endpoint.Address)
	}
	l.conn = conn
	return nil
}

// run opens streams until ctx ends. The delays between attempts are jittered, so that the
// subscribers of a failed source do not reconnect at the same time.
func (l *link) run(ctx context.Context) {
	defer func() { l.conn.Close() }()
	attempt := 0
	for ctx.Err() == nil {
		if l.stream(ctx) {
			attempt = 0
		}
		l.redialUnresponsive()
		attempt++
		delay := min(firstReconnectDelay<<min(attempt, 5), feed.MaxReconnectDelay/2)
		delay = time.Duration((0.5 + 0.5*rand.Float64()) * float64(delay))
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// redialUnresponsive replaces a connection on which nothing arrives any more. TCP detects a
// partition without connection errors only after many minutes, and a new stream on the same
// connection would receive nothing either.
func (l *link) redialUnresponsive() {
	if !l.unresponsive.Swap(false) {
		return
	}
	former := l.conn
	if l.dial() == nil {
		former.Close()
	}
}

// stream opens one stream and receives updates until it ends. It reports whether an update
// arrived.
func (l *link) stream(ctx context.Context) (received bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := api.NewFeedClient(l.conn).Sync(ctx)
	if err != nil {
		l.loop.post(eventFunc(func(now time.Time) { l.closed(now, nil, err) }))
		return false
	}
	requests := make(chan *api.SyncRequest, linkQueueSize)
	if !l.loop.post(eventFunc(func(now time.Time) { l.opened(now, requests, cancel) })) {
		return false
	}
	go sendRequests(ctx, stream, requests)
	for {
		u, err := stream.Recv()
		if err != nil {
			l.loop.post(eventFunc(func(now time.Time) { l.closed(now, requests, err) }))
			return received
		}
		received = true
		l.loop.post(eventFunc(func(now time.Time) { l.received(now, requests, u) }))
	}
}

// sendRequests sends queued requests until the stream ends.
func sendRequests(ctx context.Context, stream api.Feed_SyncClient, requests <-chan *api.SyncRequest) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-requests:
			if stream.Send(r) != nil {
				return // Recv reports the error
			}
		}
	}
}

// opened records a new stream.
func (l *link) opened(now time.Time, requests chan *api.SyncRequest, cancel context.CancelFunc) {
	l.requests, l.cancel, l.connected = requests, cancel, true
	l.subscribe, l.probeSequence = true, 0
	l.handler.linkUp(now, l)
}

// received handles an update. It drops updates of a stream that was reset.
func (l *link) received(now time.Time, requests chan *api.SyncRequest, u *api.SyncUpdate) {
	if l.requests != requests {
		return
	}
	l.handler.linkUpdate(now, l, u)
}

// closed records the end of a stream, unless it was reset before.
func (l *link) closed(now time.Time, requests chan *api.SyncRequest, err error) {
	if l.requests != requests || !l.connected {
		return
	}
	l.requests, l.connected, l.disconnectedAt = nil, false, now
	l.handler.linkDown(now, l, err)
}

// reset ends the current connection; run opens another one.
func (l *link) reset(now time.Time, err error) {
	if !l.connected {
		return
	}
	l.unresponsive.Store(true)
	l.cancel()
	l.closed(now, l.requests, err)
}

// send queues a request. It returns false if the queue is full.
func (l *link) send(r *api.SyncRequest) bool {
	select {
	case l.requests <- r:
		return true
	default:
		l.subscribe = true
		return false
	}
}
