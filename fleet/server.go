// Package fleet connects daemons with the replicated state of a fleet: its routing
// configuration and its members. A SessionServer runs in each control replica; an Agent runs
// in each daemon and keeps a session with one replica.
package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/control"
	"github.com/bilberrydeck/bilberrydeck/core/statemachine"
)

// The intervals and timeouts of a SessionServer.
const (
	// idleCheckInterval is the interval at which a session is checked for idleness.
	idleCheckInterval = time.Second
	// sessionIdleTimeout is the time without a request after which a session ends. Daemons send
	// two requests a second.
	sessionIdleTimeout = 4 * time.Second
	// reconcileInterval is the interval at which entries that differ from the announcements are
	// proposed again.
	reconcileInterval = 250 * time.Millisecond
	// memberLeaseTTL is how long the member entry of a daemon without a session is kept. A daemon
	// that is partitioned from the control plane still serves its peers, and peers detect failed
	// daemons themselves, so only entries of removed VMs matter.
	memberLeaseTTL = 30 * time.Second
	// proposeTimeout limits one proposal, including the round trip to the leader.
	proposeTimeout = 2 * time.Second
)

// SessionServer serves the sessions of daemons at one control replica.
type SessionServer struct {
	inflated inflatedDocument
	control  *control.Server
	log      *log.Logger
	clock    func() time.Time
	leader   leaderClient

	mu            sync.Mutex
	sessions      map[string]*daemonSession // by peer address; only sessions that announced a member
	orphanedSince map[string]time.Time      // by peer address of a member entry: first check without a session

	wake          chan struct{} // receives a value when an announcement is to be proposed
	quorumContact quorumContact

	api.UnimplementedFleetServer
}

// NewSessionServer returns a service that is active while Run executes. SetControlServer must be
// called before the replica runs.
func NewSessionServer(logger *log.Logger, clock func() time.Time, dial Dialer) *SessionServer {
	return &SessionServer{
		log: logger, clock: clock, leader: leaderClient{dial: dial},
		sessions: map[string]*daemonSession{}, orphanedSince: map[string]time.Time{}, wake: make(chan struct{}, 1), quorumContact: newQuorumContact(),
	}
}

// SetControlServer sets the replica whose state the service provides.
func (s *SessionServer) SetControlServer(server *control.Server) { s.control = server }

// Run reconciles the member entries with the sessions until ctx ends.
func (s *SessionServer) Run(ctx context.Context) {
	defer s.leader.close()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	go s.monitorQuorumContact(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.wake:
		}
		s.reconcile(ctx)
	}
}

// monitorQuorumContact runs concurrently with the proposals, which may wait for a leader.
func (s *SessionServer) monitorQuorumContact(ctx context.Context) {
	ticker := time.NewTicker(quorumCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.quorumContact.update(s.control.ConfirmationAge())
		}
	}
}

func (s *SessionServer) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Execute replicates a command of another replica if this one is the leader.
func (s *SessionServer) Execute(ctx context.Context, cmd *api.FleetCommand) (*api.FleetResult, error) {
	res := &api.FleetResult{}
	if err := s.control.Execute(ctx, cmd, res); err != nil {
		return nil, err
	}
	return res, nil
}

// Attend implements the session of one daemon.
func (s *SessionServer) Attend(stream grpc.BidiStreamingServer[api.AttendRequest, api.AttendUpdate]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetPeerAddress() == "" {
		return status.Error(codes.InvalidArgument, "the first request of a session must name the daemon")
	}
	ctx, cancel := context.WithCancelCause(stream.Context())
	defer cancel(nil)
	ds := &daemonSession{server: s, address: first.PeerAddress, cancel: cancel, sentIndex: first.HeldIndex, requested: make(chan struct{}, 1)}
	ds.recordRequest(first)
	if first.Member != nil {
		s.registerSession(ds)
	}
	defer s.unregisterSession(ds)
	go ds.receive(stream, cancel, s.registerSession)
	return ds.send(ctx, stream)
}

// registerSession registers the session of a daemon that announced a member entry. A previous
// session of the same address ends: its daemon has reconnected, or its VM was replaced.
func (s *SessionServer) registerSession(ds *daemonSession) {
	s.mu.Lock()
	previous := s.sessions[ds.address]
	s.sessions[ds.address] = ds
	s.mu.Unlock()
	if previous != ds {
		if previous != nil {
			previous.cancel(errReplacedSession)
		}
		s.log.Info().Str("daemon", ds.address).Msg("daemon session registered")
	}
	s.wakeUp()
}

func (s *SessionServer) unregisterSession(ds *daemonSession) {
	s.mu.Lock()
	current := s.sessions[ds.address] == ds
	if current {
		delete(s.sessions, ds.address)
	}
	s.mu.Unlock()
	if current {
		s.log.Info().Str("daemon", ds.address).Msg("daemon session ended")
	}
}

// reconcile proposes commands for the differences between the sessions and the member entries.
func (s *SessionServer) reconcile(ctx context.Context) {
	now := s.clock()
	for _, cmd := range s.pendingCommands(now) {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		_, err := s.Submit(ctx, cmd)
		cancel()
		if err != nil {
			s.log.Info().Err(err).Msg("member entry change failed; retrying")
			return
		}
	}
}

func (s *SessionServer) pendingCommands(now time.Time) []*api.FleetCommand {
	entries := map[string]*api.FleetMember{}
	s.readFleet(func(f *statemachine.Fleet) {
		for _, m := range f.Members() {
			entries[m.PeerAddress] = m
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	var cmds []*api.FleetCommand
	for address, ds := range s.sessions {
		delete(s.orphanedSince, address)
		if wanted := ds.entry(s.control.Self().Id); wanted != nil && !proto.Equal(wanted, entries[address]) {
			cmds = append(cmds, &api.FleetCommand{Operation: &api.FleetCommand_Announce{Announce: wanted}})
		}
	}
	return append(cmds, s.expiredMembers(now, entries)...)
}

// expiredMembers returns commands that remove the entries that have been without a session for
// longer than memberLeaseTTL: the entries whose home is this replica and, on the leader, those
// whose home has left the group or does not respond.
func (s *SessionServer) expiredMembers(now time.Time, entries map[string]*api.FleetMember) []*api.FleetCommand {
	raftStatus := s.control.RaftStatus()
	orphaned := func(home uint64) bool {
		return raftStatus.LastContact != nil && home != s.control.Self().Id && now.Sub(raftStatus.LastContact[home]) > memberLeaseTTL
	}
	var cmds []*api.FleetCommand
	for address, m := range entries {
		if s.sessions[address] != nil || m.Home != s.control.Self().Id && !orphaned(m.Home) {
			delete(s.orphanedSince, address)
			continue
		}
		if s.orphanedSince[address].IsZero() {
			s.orphanedSince[address] = now
		}
		if now.Sub(s.orphanedSince[address]) > memberLeaseTTL {
			s.log.Info().Str("daemon", address).Str("service", m.Service).Msg("member lease expired; removing the member entry")
			cmds = append(cmds, removeCommand(m))
		}
	}
	return cmds
}

func removeCommand(m *api.FleetMember) *api.FleetCommand {
	return &api.FleetCommand{Operation: &api.FleetCommand_Remove{
		Remove: &api.MemberRemoval{PeerAddress: m.PeerAddress, Boot: m.Boot, Home: m.Home},
	}}
}

// readFleet calls read with the state that this replica has applied.
func (s *SessionServer) readFleet(read func(*statemachine.Fleet)) {
	s.control.Read(func(m control.StateMachine) { read(m.(*statemachine.Fleet)) })
}

// ConfigVersion returns the version of the newest configuration that this replica has applied.
func (s *SessionServer) ConfigVersion() (version uint64) {
	s.readFleet(func(f *statemachine.Fleet) { version = f.ConfigVersion() })
	return version
}

// Sessions returns the number of daemons that have announced a member on a session with this
// replica.
func (s *SessionServer) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}
