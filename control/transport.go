package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// outboxLimit bounds the number of messages queued for one peer. Further messages are dropped:
// raft resends what is still needed, while blocking the loop would stop the whole group.
const outboxLimit = 4096

// peerIdleTimeout is the time without messages after which a connection is closed, for example
// after the peer was replaced.
const peerIdleTimeout = time.Minute

// transport sends replication messages, one stream per peer address.
type transport struct {
	cfg    *Config
	sender string // advertised address of this replica
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	peers map[string]*peer
	loops sync.WaitGroup

	dropped atomic.Uint64
}

// peer is another replica, by its address.
type peer struct {
	address string
	outbox  chan *api.ReplicaEnvelope
}

func newTransport(cfg *Config, sender string) *transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &transport{cfg: cfg, sender: sender, ctx: ctx, cancel: cancel, peers: map[string]*peer{}}
}

// send queues messages to their peers. It never blocks.
func (t *transport) send(group uint32, messages []*api.ReplicaMessage) {
	for _, m := range messages {
		if m.To.GetAddress() == "" {
			t.dropped.Add(1)
			continue
		}
		address := m.To.Address
		m.From, m.To = withoutAddress(m.From), withoutAddress(m.To)
		select {
		case t.peer(address).outbox <- &api.ReplicaEnvelope{Group: group, Message: m}:
		default:
			t.dropped.Add(1)
		}
	}
}

// withoutAddress returns the reference without the address and availability zone. Each message
// contains both references, and the address of the sender is sent once per stream.
func withoutAddress(ref *api.ReplicaRef) *api.ReplicaRef {
	return &api.ReplicaRef{Id: ref.GetId(), DiskId: ref.GetDiskId()}
}

// senderKey is the gRPC metadata key for the address of the sender of a stream.
const senderKey = "bilberrydeck-sender"

// peer returns the peer with an address and starts its stream if it is new.
func (t *transport) peer(address string) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[address]
	if p == nil {
		p = &peer{address: address, outbox: make(chan *api.ReplicaEnvelope, outboxLimit)}
		t.peers[address] = p
		if t.ctx.Err() == nil {
			t.loops.Go(func() { t.run(p) })
		}
	}
	return p
}

// run keeps a stream to one peer open until the transport closes or the peer is idle.
func (t *transport) run(p *peer) {
	conn, err := dial(t.cfg, p.address)
	if err != nil {
		t.cfg.Logger.Error().Str("peer", p.address).Err(err).Msg("peer address cannot be used")
		t.removePeer(p)
		return
	}
	defer func() { _ = conn.Close() }() // nothing is left to send
	for t.ctx.Err() == nil {
		err := t.stream(api.NewReplicaClient(conn), p)
		if err == nil {
			t.removePeer(p)
			return
		}
		t.cfg.Logger.Warn().Str("peer", p.address).Err(err).Msg("replication stream ended; reconnecting")
		select {
		case <-t.ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// reconnectDelay is short compared with the election timeout, so that a restarted peer receives
// messages before it starts an election.
const reconnectDelay = 200 * time.Millisecond

func (t *transport) removePeer(p *peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers[p.address] == p {
		delete(t.peers, p.address)
	}
}

// stream sends messages until the stream breaks. It returns nil if the peer was idle.
func (t *transport) stream(client api.ReplicaClient, p *peer) error {
	ctx, cancel := context.WithCancel(metadata.AppendToOutgoingContext(t.ctx, senderKey, t.sender))
	defer cancel()
	stream, err := client.Deliver(ctx, grpc.WaitForReady(true))
	if err != nil {
		return err
	}
	idle := time.NewTimer(peerIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case e := <-p.outbox:
			idle.Reset(peerIdleTimeout)
			if err := stream.Send(e); err != nil {
				_, err = stream.CloseAndRecv() // returns the reason
				return err
			}
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-idle.C:
			return nil
		}
	}
}

// close ends all streams and waits for their goroutines.
func (t *transport) close() {
	t.mu.Lock() // no goroutine may start during the wait
	t.cancel()
	t.mu.Unlock()
	t.loops.Wait()
}

// WindowBytes is the flow control window of gRPC connections to and from control. A fixed
// window disables the bandwidth estimation of gRPC, whose pings cost more than most messages
// on links that are paid for by the byte.
const WindowBytes = 1 << 20

// dial opens a connection to another control process. Keepalive pings detect a partition
// without connection errors, in which TCP would retransmit for minutes.
func dial(cfg *Config, address string) (*grpc.ClientConn, error) {
	transportCredentials := insecure.NewCredentials()
	if cfg.ClientTLS != nil {
		transportCredentials = credentials.NewTLS(cfg.ClientTLS)
	}
	if instead, ok := cfg.Dial[address]; ok {
		address = instead
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(transportCredentials),
		grpc.WithInitialWindowSize(WindowBytes),
		grpc.WithInitialConnWindowSize(WindowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 3 * time.Second, PermitWithoutStream: true}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: time.Second,
		}),
	}
	if cfg.Dialer != nil {
		options = append(options, grpc.WithContextDialer(cfg.Dialer))
	}
	return grpc.NewClient("passthrough:///"+address, options...)
}

// Deliver implements api.ReplicaServer: it receives the replication messages of one peer.
func (s *Server) Deliver(stream grpc.ClientStreamingServer[api.ReplicaEnvelope, api.DeliverSummary]) error {
	received := uint64(0)
	sender := senderAddress(stream.Context())
	for {
		e, err := stream.Recv()
		if err != nil {
			return stream.SendAndClose(&api.DeliverSummary{Received: received})
		}
		received++
		if e.Message == nil || int(e.Group) >= len(s.groups) {
			continue
		}
		if e.Message.From.GetAddress() == "" && e.Message.From != nil {
			e.Message.From.Address = sender
		}
		select {
		case s.groups[e.Group].inbox <- e.Message:
		default:
			s.transport.dropped.Add(1)
		}
	}
}

// senderAddress returns the address in the metadata of a stream, empty if it has none.
func senderAddress(ctx context.Context) string {
	if values := metadata.ValueFromIncomingContext(ctx, senderKey); len(values) == 1 {
		return values[0]
	}
	return ""
}
