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

// Endpoint names a feed server.
type Endpoint struct {
	Name    string // its id, unique in the system
	Address string // host and port
}

const (
	firstReconnectDelay = 100 * time.Millisecond
	// linkQueue bounds the requests that wait for a slow stream. Requests
	// beyond it are dropped; the next one states the whole subscription.
	linkQueue = 8
	// maxMessage admits a full copy of configuration and membership.
	maxMessage = 64 << 20
	// streamBuffer is the transport buffer per connection. A relay has one
	// connection per daemon, so the default of 32 KiB each way would use half
	// of its memory limit at 950 daemons.
	streamBuffer = 4 << 10
)

// link keeps a stream to one feed server open. Its goroutines move messages;
// the exported state belongs to the loop.
type link struct {
	endpoint Endpoint
	loop     *loop
	creds    credentials.TransportCredentials
	conn     *grpc.ClientConn // owned by run
	handler  linkHandler
	silent   atomic.Bool // the connection carries nothing any more

	// owned by the loop
	out       chan *api.SyncRequest
	cancel    context.CancelFunc
	up        bool
	subscribe bool   // the next request states the whole subscription
	probe     uint64 // sequence of the request whose answer is awaited, 0 if none
	config    bool   // documents are wanted on this link
	scope     api.MemberScope
	downAt    time.Time
}

// remote reports whether a relay uses the link for the membership of another
// availability zone.
func (l *link) remote() bool { return l.scope == api.MemberScope_MEMBER_SCOPE_MERGED }

// linkHandler receives what happens on a link, in the loop.
type linkHandler interface {
	linkUp(now time.Time, l *link)
	linkUpdate(now time.Time, l *link, u *api.SyncUpdate)
	linkDown(now time.Time, l *link, err error)
}

func newLink(e Endpoint, creds credentials.TransportCredentials, lp *loop, h linkHandler) (*link, error) {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	l := &link{endpoint: e, creds: creds, loop: lp, handler: h}
	return l, l.dial()
}

// dial prepares a connection; it is made when the first stream is opened.
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
		grpc.WithReadBufferSize(streamBuffer),
		grpc.WithWriteBufferSize(streamBuffer),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
	)
	if err != nil {
		return errors.Wrapf(err, "feed client for %s at %s", l.endpoint.Name, l.endpoint.Address)
	}
	l.conn = conn
	return nil
}

// run opens streams until ctx ends. Delays between attempts are jittered, so
// that subscribers that lost the same source return spread over time.
func (l *link) run(ctx context.Context) {
	defer func() { l.conn.Close() }()
	attempt := 0
	for ctx.Err() == nil {
		if l.stream(ctx) {
			attempt = 0
		}
		l.replaceSilent()
		attempt++
		delay := min(firstReconnectDelay<<min(attempt, 5), feed.MaxReconnectDelay/2)
		delay = time.Duration((0.5 + 0.5*rand.Float64()) * float64(delay))
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// replaceSilent drops a connection on which nothing arrived. TCP notices a
// silent partition only after many minutes, and a new stream on the same
// connection would be as silent.
func (l *link) replaceSilent() {
	if !l.silent.Swap(false) {
		return
	}
	former := l.conn
	if l.dial() == nil {
		former.Close()
	}
}

// stream runs one stream to its end. It reports whether an update arrived.
func (l *link) stream(ctx context.Context) (received bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := api.NewFeedClient(l.conn).Sync(ctx)
	if err != nil {
		l.loop.post(eventFunc(func(now time.Time) { l.down(now, nil, err) }))
		return false
	}
	out := make(chan *api.SyncRequest, linkQueue)
	if !l.loop.post(eventFunc(func(now time.Time) { l.opened(now, out, cancel) })) {
		return false
	}
	go sendRequests(ctx, stream, out)
	for {
		u, err := stream.Recv()
		if err != nil {
			l.loop.post(eventFunc(func(now time.Time) { l.down(now, out, err) }))
			return received
		}
		received = true
		l.loop.post(eventFunc(func(now time.Time) { l.received(now, out, u) }))
	}
}

func sendRequests(ctx context.Context, stream api.Feed_SyncClient, out <-chan *api.SyncRequest) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-out:
			if stream.Send(r) != nil {
				return // Recv reports the error
			}
		}
	}
}

func (l *link) opened(now time.Time, out chan *api.SyncRequest, cancel context.CancelFunc) {
	l.out, l.cancel, l.up = out, cancel, true
	l.subscribe, l.probe = true, 0
	l.handler.linkUp(now, l)
}

// received drops updates of a stream that the loop has already reset.
func (l *link) received(now time.Time, out chan *api.SyncRequest, u *api.SyncUpdate) {
	if l.out != out {
		return
	}
	l.handler.linkUpdate(now, l, u)
}

func (l *link) down(now time.Time, out chan *api.SyncRequest, err error) {
	if l.out != out || !l.up {
		return
	}
	l.out, l.up, l.downAt = nil, false, now
	l.handler.linkDown(now, l, err)
}

// reset ends the present connection; the link opens another one.
func (l *link) reset(now time.Time, err error) {
	if !l.up {
		return
	}
	l.silent.Store(true)
	l.cancel()
	l.down(now, l.out, err)
}

// send queues a request. It returns false if the stream is too slow.
func (l *link) send(r *api.SyncRequest) bool {
	select {
	case l.out <- r:
		return true
	default:
		l.subscribe = true
		return false
	}
}
