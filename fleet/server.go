// Package fleet connects daemons with the replicated state of a fleet: its
// routing configuration and its members. A SessionServer runs in each control
// replica; an Agent runs in each daemon and attends one of them.
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

// The periods of a SessionServer.
const (
	// silenceEvery is how often a session is checked for silence.
	silenceEvery = time.Second
	// sessionSilence is the time without a request after which a session ends;
	// daemons send two a second.
	sessionSilence = 4 * time.Second
	// reconcileEvery is how often entries that are not yet as announced are
	// proposed again.
	reconcileEvery = 250 * time.Millisecond
	// leaseTime is how long the entry of a daemon without a session is kept. A
	// daemon that is cut off from control still serves its peers, and peers
	// notice dead ones by themselves, so only entries of VMs that are gone matter.
	leaseTime = 30 * time.Second
	// proposeTimeout bounds one proposal, to the leader and back.
	proposeTimeout = 2 * time.Second
)

// SessionServer serves the sessions of daemons at one control replica.
type SessionServer struct {
	control *control.Server
	log     *log.Logger
	clock   func() time.Time
	leader  leaderLink

	mu       sync.Mutex
	sessions map[string]*attendee // by peer address, those that announced themselves
	unheld   map[string]time.Time

	wake  chan struct{} // an announcement is to be proposed
	touch touch

	api.UnimplementedFleetServer
}

// NewSessionServer returns a service that works while Run does. SetControlServer must follow
// before the replica runs.
func NewSessionServer(logger *log.Logger, clock func() time.Time, dial Dial) *SessionServer {
	return &SessionServer{
		log: logger, clock: clock, leader: leaderLink{dial: dial},
		sessions: map[string]*attendee{}, unheld: map[string]time.Time{}, wake: make(chan struct{}, 1), touch: newTouch(),
	}
}

// SetControlServer sets the replica whose state the service shows.
func (s *SessionServer) SetControlServer(server *control.Server) { s.control = server }

// Run keeps the entries of the fleet in line with the sessions until ctx ends.
func (s *SessionServer) Run(ctx context.Context) {
	defer s.leader.close()
	ticker := time.NewTicker(reconcileEvery)
	defer ticker.Stop()
	go s.watchTouch(ctx)
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

// watchTouch runs beside the proposals, which may wait for a leader.
func (s *SessionServer) watchTouch(ctx context.Context) {
	ticker := time.NewTicker(touchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.touch.look(s.control.ConfirmationAge())
		}
	}
}

func (s *SessionServer) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Execute replicates a command of another replica, if this one leads.
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
	at := &attendee{service: s, address: first.PeerAddress, cancel: cancel, held: first.HeldIndex, asked: make(chan struct{}, 1)}
	at.note(first)
	if first.Member != nil {
		s.announced(at)
	}
	defer s.leave(at)
	go at.receive(stream, cancel, s.announced)
	return at.send(ctx, stream)
}

// announced registers a daemon that relies on its session here. A former session
// of the same address ends: its daemon has come back, or its VM was replaced.
func (s *SessionServer) announced(at *attendee) {
	s.mu.Lock()
	former := s.sessions[at.address]
	s.sessions[at.address] = at
	s.mu.Unlock()
	if former != at {
		if former != nil {
			former.cancel(errReplacedSession)
		}
		s.log.Info().Str("daemon", at.address).Msg("daemon attends")
	}
	s.nudge()
}

func (s *SessionServer) leave(at *attendee) {
	s.mu.Lock()
	current := s.sessions[at.address] == at
	if current {
		delete(s.sessions, at.address)
	}
	s.mu.Unlock()
	if current {
		s.log.Info().Str("daemon", at.address).Msg("session of a daemon ended")
	}
}

// reconcile proposes what differs between the sessions and the entries.
func (s *SessionServer) reconcile(ctx context.Context) {
	now := s.clock()
	for _, cmd := range s.differences(now) {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		_, err := s.Submit(ctx, cmd)
		cancel()
		if err != nil {
			s.log.Info().Err(err).Msg("member entry is not stored yet; trying again")
			return
		}
	}
}

func (s *SessionServer) differences(now time.Time) []*api.FleetCommand {
	entries := map[string]*api.FleetMember{}
	s.readFleet(func(f *statemachine.Fleet) {
		for _, m := range f.Members() {
			entries[m.PeerAddress] = m
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	var cmds []*api.FleetCommand
	for address, at := range s.sessions {
		delete(s.unheld, address)
		if wanted := at.entry(s.control.Self().Id); wanted != nil && !proto.Equal(wanted, entries[address]) {
			cmds = append(cmds, &api.FleetCommand{Operation: &api.FleetCommand_Announce{Announce: wanted}})
		}
	}
	return append(cmds, s.expired(now, entries)...)
}

// expired lists the removals of entries that have been without a session for
// long: those that this replica holds, and on the leader those of replicas that
// left the group.
func (s *SessionServer) expired(now time.Time, entries map[string]*api.FleetMember) []*api.FleetCommand {
	view := s.control.RaftStatus()
	orphaned := func(home uint64) bool {
		return view.LastContact != nil && home != s.control.Self().Id && now.Sub(view.LastContact[home]) > leaseTime
	}
	var cmds []*api.FleetCommand
	for address, m := range entries {
		if s.sessions[address] != nil || m.Home != s.control.Self().Id && !orphaned(m.Home) {
			delete(s.unheld, address)
			continue
		}
		if s.unheld[address].IsZero() {
			s.unheld[address] = now
		}
		if now.Sub(s.unheld[address]) > leaseTime {
			s.log.Info().Str("daemon", address).Str("service", m.Service).Msg("member removed: its daemon attends no replica")
			cmds = append(cmds, removalOf(m))
		}
	}
	return cmds
}

func removalOf(m *api.FleetMember) *api.FleetCommand {
	return &api.FleetCommand{Operation: &api.FleetCommand_Remove{
		Remove: &api.MemberRemoval{PeerAddress: m.PeerAddress, Boot: m.Boot, Home: m.Home},
	}}
}

// readFleet gives access to the state that this replica has applied.
func (s *SessionServer) readFleet(read func(*statemachine.Fleet)) {
	s.control.Read(func(m control.StateMachine) { read(m.(*statemachine.Fleet)) })
}

// ConfigVersion is the number of the current configuration as this replica knows it.
func (s *SessionServer) ConfigVersion() (number uint64) {
	s.readFleet(func(f *statemachine.Fleet) { number = f.ConfigVersion() })
	return number
}

// Sessions is the number of daemons that rely on this replica.
func (s *SessionServer) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}
