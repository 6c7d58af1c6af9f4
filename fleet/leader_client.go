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

// Dialer opens a TCP connection to a control replica.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// maxUpdateBytes limits the size of one message. A full update of the largest planned fleet, with
// 5,700 members of 150 bytes each and several thousand routes, is smaller.
const maxUpdateBytes = 16 << 20

func connect(dial Dialer, address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dial),
		grpc.WithInitialWindowSize(control.WindowBytes),
		grpc.WithInitialConnWindowSize(control.WindowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxUpdateBytes), grpc.MaxCallSendMsgSize(maxUpdateBytes)),
	)
}

// leaderClient holds the connection of a replica to the leader.
type leaderClient struct {
	dial Dialer

	mu      sync.Mutex
	address string
	conn    *grpc.ClientConn
}

// client returns a client of the leader at an address. It reuses an existing connection.
func (l *leaderClient) client(address string) (api.FleetClient, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address != address {
		conn, err := connect(l.dial, address)
		if err != nil {
			return nil, err
		}
		l.closeConn()
		l.address, l.conn = address, conn
	}
	return api.NewFleetClient(l.conn), nil
}

// closeConn closes the connection. The caller holds the mutex.
func (l *leaderClient) closeConn() {
	if l.conn != nil {
		_ = l.conn.Close() // calls in flight fail and are retried
	}
	l.address, l.conn = "", nil
}

func (l *leaderClient) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeConn()
}

// Submit replicates a command, on this replica if it is the leader, otherwise by an RPC to the
// leader. The error has a gRPC status. If the outcome is unknown, the command may be submitted
// again.
func (s *SessionServer) Submit(ctx context.Context, cmd *api.FleetCommand) (*api.FleetResult, error) {
	raftStatus := s.control.RaftStatus()
	if raftStatus.Role == raft.Leader {
		return s.Execute(ctx, cmd)
	}
	if raftStatus.Leader.GetAddress() == "" {
		return nil, status.Error(codes.Unavailable, "no leader is known")
	}
	client, err := s.leader.client(raftStatus.Leader.Address)
	if err != nil {
		return nil, err
	}
	return client.Execute(ctx, cmd)
}
