package fleet

import (
	"context"
	"net"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/control"
	"github.com/bilberrydeck/bilberrydeck/core/raft"
)

// Dial opens a TCP connection to a control replica.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// maxUpdateBytes limits one message. A full update of the largest fleet planned,
// 5,700 members of 150 bytes and a routing of some thousand routes, takes less.
const maxUpdateBytes = 16 << 20

func connect(dial Dial, address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dial),
		grpc.WithInitialWindowSize(control.WindowBytes),
		grpc.WithInitialConnWindowSize(control.WindowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxUpdateBytes), grpc.MaxCallSendMsgSize(maxUpdateBytes)),
	)
}

// leaderLink is the connection of a replica to the leader.
type leaderLink struct {
	dial Dial

	mu      sync.Mutex
	address string
	conn    *grpc.ClientConn
}

// client returns a client of the leader at an address, reusing the connection.
func (l *leaderLink) client(address string) (api.FleetClient, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address != address {
		conn, err := connect(l.dial, address)
		if err != nil {
			return nil, err
		}
		l.drop()
		l.address, l.conn = address, conn
	}
	return api.NewFleetClient(l.conn), nil
}

// drop closes the connection. The caller holds the mutex.
func (l *leaderLink) drop() {
	if l.conn != nil {
		_ = l.conn.Close() // calls in flight fail and are made again
	}
	l.address, l.conn = "", nil
}

func (l *leaderLink) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop()
}

// Submit replicates a command, here or at the leader. The error has a gRPC
// status; a command whose outcome is unknown may be submitted again.
func (s *SessionServer) Submit(ctx context.Context, cmd *api.FleetCommand) (*api.FleetResult, error) {
	v := s.control.RaftStatus()
	if v.Role == raft.Leader {
		return s.Execute(ctx, cmd)
	}
	if v.Leader.GetAddress() == "" {
		return nil, status.Error(codes.Unavailable, "no leader is known")
	}
	client, err := s.leader.client(v.Leader.Address)
	if err != nil {
		return nil, err
	}
	return client.Execute(ctx, cmd)
}
