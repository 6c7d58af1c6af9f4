package control

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/storage"
)

// maxMessageBytes limits the size of a gRPC message between replicas. A snapshot is sent as
// one message.
const maxMessageBytes = 1 << 30

// Server is a control process.
type Server struct {
	cfg                Config
	self               *api.ReplicaRef
	directory          *storage.Directory
	listener           net.Listener
	grpc               *grpc.Server
	groups             []*group
	transport          *transport
	source             *ConfigSource
	daemonStatuses     daemonStatuses
	allBootstrapped    atomic.Bool // requireBootstrapped has succeeded once
	membershipRequests membershipRequests
	stopped            chan struct{} // closed when Run returns

	api.UnimplementedControlServer
	api.UnimplementedReplicaServer
}

// New opens the listener and locks and reads the data directory. It returns *ConfigError,
// *StateMachineError or an error of the package storage.
func New(cfg Config) (*Server, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, stopped: make(chan struct{})}
	s.source = &ConfigSource{server: s, changed: make(chan struct{})}
	if err := s.listen(); err != nil {
		return nil, err
	}
	if err := s.openStorage(); err != nil {
		s.releaseResources()
		return nil, err
	}
	s.transport = newTransport(&s.cfg, s.self.Address)
	s.registerServices()
	return s, nil
}

// listen opens the listener. Without TLS it requires a loopback address, unless plaintext is
// configured.
func (s *Server) listen() error {
	s.listener = s.cfg.Listener
	if s.listener == nil {
		l, err := net.Listen("tcp", s.cfg.ListenAddress)
		if err != nil {
			return &ConfigError{err.Error()}
		}
		s.listener = l
	}
	switch {
	case s.cfg.ServerTLS != nil && s.cfg.ClientTLS != nil:
	case s.cfg.Plaintext:
		s.cfg.Logger.Warn().Str("address", s.Addr()).Msg("connections between replicas are not encrypted, as configured")
	default:
		if err := requireLoopback(s.listener.Addr()); err != nil {
			_ = s.listener.Close() // the first error is reported
			return err
		}
		s.cfg.Logger.Warn().Str("address", s.Addr()).Msg("TLS is not configured; listening on loopback only")
	}
	return nil
}

// newDiskID returns 64 random bits in hexadecimal, which makes a collision between the disks
// of an installation practically impossible.
func newDiskID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, as documented
	return hex.EncodeToString(b[:])
}

// newReplicaID returns a random id for a replica without a configured one. 63 random bits make
// a collision practically impossible.
func newReplicaID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, as documented
	return binary.LittleEndian.Uint64(b[:])>>1 | 1
}

// openStorage locks the data directory, reads the identity of the replica and opens its groups.
func (s *Server) openStorage() error {
	identity := storage.Identity{Replica: s.cfg.ReplicaID, DiskID: newDiskID(), ClaimShards: s.cfg.ClaimShards}
	openDirectory := storage.OpenDirectory
	if s.cfg.Discovery != nil {
		identity.Replica = newReplicaID()
		openDirectory = storage.OpenDirectoryOfAnyReplica
	}
	d, err := openDirectory(s.cfg.FS, s.cfg.DataDirectory, identity)
	if err != nil {
		return err
	}
	s.directory = d
	s.cfg.ReplicaID = d.Identity.Replica
	// With a different number of claim groups a key would move to a group that
	// does not have its claim, and its work could be executed twice.
	if d.Identity.ClaimShards != s.cfg.ClaimShards {
		return &ConfigError{"claim_shards differs from the number that the data directory was created with"}
	}
	address := cmp.Or(s.cfg.AdvertiseAddress, s.cfg.Peers[s.cfg.ReplicaID], s.Addr())
	s.self = &api.ReplicaRef{Id: s.cfg.ReplicaID, DiskId: d.Identity.DiskID, Address: address}
	if s.cfg.Discovery != nil {
		s.self.AvailabilityZone = s.cfg.Discovery.AvailabilityZone
	}
	if err := s.openGroups(); err != nil {
		return err
	}
	return s.resumeBootstrap()
}

// openGroups opens all groups concurrently, since most of the time is spent on disk I/O.
func (s *Server) openGroups() error {
	s.groups = make([]*group, s.cfg.ClaimShards+1)
	failures := make([]error, len(s.groups))
	var all sync.WaitGroup
	for id := range s.groups {
		all.Go(func() { s.groups[id], failures[id] = s.openGroup(uint32(id)) })
	}
	all.Wait()
	return errors.Join(failures...)
}

// registerServices creates the gRPC server and registers its services.
func (s *Server) registerServices() {
	transportCredentials := insecure.NewCredentials()
	if s.cfg.ServerTLS != nil {
		transportCredentials = credentials.NewTLS(s.cfg.ServerTLS)
	}
	s.grpc = grpc.NewServer(append([]grpc.ServerOption{
		grpc.Creds(transportCredentials),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.InitialWindowSize(WindowBytes),
		grpc.InitialConnWindowSize(WindowBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: 3 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}),
	}, s.cfg.ServerOptions...)...)
	api.RegisterControlServer(s.grpc, s)
	api.RegisterReplicaServer(s.grpc, s)
	if s.cfg.Register != nil {
		s.cfg.Register(s.grpc)
	}
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until the context ends, a disk fails or the group has removed this replica. It
// returns *BootstrapError if a new group must not be bootstrapped, and *RemovedError if this
// replica was removed. It may be called once.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer s.releaseResources()
	go func() {
		if err := s.grpc.Serve(s.listener); err != nil {
			cancel(err)
		}
	}()
	if err := s.bootstrapIfEmpty(ctx); err != nil {
		s.shutdown()
		return err
	}
	var loops sync.WaitGroup
	if s.cfg.Discovery != nil {
		loops.Go(func() { s.reconcileReplicaSet(ctx) })
		loops.Go(func() {
			if err := s.maintainMembership(ctx); err != nil {
				cancel(err)
			}
		})
	}
	for _, g := range s.groups {
		loops.Go(func() {
			if err := g.run(ctx); err != nil {
				s.cfg.Logger.Error().Uint32("group", g.id).Err(err).Msg("group failed; the replica stops")
				cancel(err)
			}
		})
	}
	<-ctx.Done()
	s.shutdown()
	loops.Wait()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

// shutdown cancels all calls and closes all connections.
func (s *Server) shutdown() {
	close(s.stopped)
	s.grpc.Stop()
	s.transport.close()
}

// releaseResources closes the listener and unlocks the data directory.
func (s *Server) releaseResources() {
	_ = s.listener.Close() // already closed after Run
	if s.directory != nil {
		_ = s.directory.Close() // the process ends
	}
}
