package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/attend"
)

// The periods of an Agent.
const (
	// renewEvery is the interval of requests on a quiet session.
	renewEvery = time.Second
	// retryDelay is the pause before the next session after a failure.
	retryDelay = 100 * time.Millisecond
	// confirmedWithin is the greatest age of a confirmation that lets a starting
	// daemon put the state in force. With the time for an update to arrive it
	// stays below the two seconds within which a change must be in force.
	confirmedWithin = 1500 * time.Millisecond
	// watchEvery is how often a session is checked for silence.
	watchEvery = 200 * time.Millisecond
)

// State is what an agent knows of the fleet.
type State struct {
	Index   uint64
	Routing *api.RoutingDocument // nil before the first configuration
	Members map[string]*api.FleetMember
	// Age is an upper bound of the time since it was confirmed that nothing newer
	// had been committed, at the time of the update.
	Age time.Duration
}

// AgentConfig configures an Agent.
type AgentConfig struct {
	Address  string // of the peer listener, the key of the member entry
	Region   string
	Zone     string // availability zone
	RegionOf func(zone string) string
	Seeds    []string
	Dial     Dial
	Log      *log.Logger
	Clock    func() time.Time
	Seed     uint64
	// Changed is called with each new state, from one goroutine. The state must
	// not be changed.
	Changed func(State)
}

// Agent keeps the session of a daemon with a control replica.
type Agent struct {
	cfg     AgentConfig
	boot    uint64
	chooser *attend.Chooser

	mu     sync.Mutex
	member *api.FleetMember
	seeds  []string // to be taken over, nil if unchanged
	wake   chan struct{}

	state     State // owned by run
	confirmed atomic.Bool
	attended  atomic.Pointer[string]
}

// NewAgent returns an agent that works while Run does. The member describes the
// upstream beside the daemon; Announce replaces it.
func NewAgent(cfg AgentConfig, member *api.FleetMember) *Agent {
	a := &Agent{
		cfg: cfg, boot: rand.Uint64(), chooser: attend.New(cfg.Zone, cfg.Region, cfg.Seeds, cfg.Seed),
		wake: make(chan struct{}, 1), state: State{Members: map[string]*api.FleetMember{}},
	}
	a.Announce(member)
	return a
}

// Announce replaces the member entry of the daemon.
func (a *Agent) Announce(member *api.FleetMember) {
	m := proto.CloneOf(member)
	m.PeerAddress, m.Region, m.AvailabilityZone, m.Boot = a.cfg.Address, a.cfg.Region, a.cfg.Zone, a.boot
	a.mu.Lock()
	m.Sequence = a.member.GetSequence() + 1
	a.member = m
	a.mu.Unlock()
	a.nudge()
}

// SetSeeds takes over the seeds of changed settings.
func (a *Agent) SetSeeds(seeds []string) {
	a.mu.Lock()
	a.seeds = seeds
	a.mu.Unlock()
	a.nudge()
}

func (a *Agent) nudge() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Confirmed reports whether the state has been confirmed since the start.
func (a *Agent) Confirmed() bool { return a.confirmed.Load() }

// Attended is the control replica of the present session, empty if there is
// none.
func (a *Agent) Attended() string {
	if p := a.attended.Load(); p != nil {
		return *p
	}
	return ""
}

func (a *Agent) current() *api.FleetMember {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.member
}

// Run keeps a session until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	for ctx.Err() == nil {
		a.takeSeeds()
		address := a.chooser.Next(a.cfg.Clock())
		if address != "" {
			err := a.session(ctx, address)
			a.ended(ctx, address, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

func (a *Agent) takeSeeds() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seeds != nil {
		a.chooser.SetSeeds(a.seeds)
		a.seeds = nil
	}
}

var (
	errNearer = errors.New("a nearer control replica is to be tried")
	errSilent = errors.New("the control replica is silent")
	errStale  = errors.New("the control replica has lost touch with its quorum")
)

func (a *Agent) ended(ctx context.Context, address string, err error) {
	empty := ""
	a.attended.Store(&empty)
	if ctx.Err() != nil || errors.Is(err, errNearer) {
		return
	}
	a.chooser.Failed(a.cfg.Clock(), address)
	a.cfg.Log.Warn().Str("control", address).Err(err).Uint64("index", a.state.Index).Msg("control session lost")
}

// session attends one replica until it fails or a better one is to be tried.
func (a *Agent) session(ctx context.Context, address string) error {
	conn, err := connect(a.cfg.Dial, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // nothing is left to send
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := api.NewFleetClient(conn).Attend(ctx)
	if err != nil {
		return err
	}
	s := &attendance{agent: a, address: address, stream: stream, sent: map[uint64]time.Time{}}
	updates := make(chan received, 1)
	go s.receive(ctx, updates)
	return s.run(ctx, updates)
}

// attendance is one session as the daemon sees it.
type attendance struct {
	agent    *Agent
	address  string
	stream   grpc.BidiStreamingClient[api.AttendRequest, api.AttendUpdate]
	sequence uint64
	sent     map[uint64]time.Time // unanswered requests
	member   *api.FleetMember     // sent last
	heard    time.Time
	touched  time.Time // last update from a replica in touch with its quorum
	held     bool      // an update has come
}

type received struct {
	update *api.AttendUpdate
	err    error
}

func (s *attendance) receive(ctx context.Context, updates chan<- received) {
	for {
		u, err := s.stream.Recv()
		select {
		case updates <- received{u, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

func (s *attendance) run(ctx context.Context, updates <-chan received) error {
	a := s.agent
	s.heard, s.touched = a.cfg.Clock(), a.cfg.Clock()
	if err := s.request(); err != nil {
		return err
	}
	renew := time.NewTicker(renewEvery)
	defer renew.Stop()
	watch := time.NewTicker(watchEvery)
	defer watch.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-updates:
			if r.err != nil {
				return r.err
			}
			err = s.take(r.update)
		case <-renew.C:
			err = s.request()
		case <-a.wake:
			a.takeSeeds()
			if a.current() != s.member {
				err = s.request()
			}
		case <-watch.C:
			err = s.check()
		}
		if err != nil {
			return err
		}
	}
}

// check reports why the session should end.
func (s *attendance) check() error {
	now := s.agent.cfg.Clock()
	switch {
	case now.Sub(s.heard) > attend.SilentAfter:
		return errSilent
	case now.Sub(s.touched) > attend.StaleAfter:
		return errStale
	case s.held && s.agent.chooser.Nearer(now):
		return errNearer
	}
	return nil
}

// request renews the session, with the member entry if it changed.
func (s *attendance) request() error {
	a := s.agent
	s.sequence++
	r := &api.AttendRequest{Sequence: s.sequence}
	if m := a.current(); m != s.member {
		s.member, r.Member = m, m
	}
	if s.sequence == 1 {
		r.HeldIndex = a.state.Index
	}
	s.sent[s.sequence] = a.cfg.Clock()
	return s.stream.Send(r)
}

// take applies an update. It returns errStale if the session has just begun and
// another replica may be in better touch with the quorum.
func (s *attendance) take(u *api.AttendUpdate) error {
	a := s.agent
	now := a.cfg.Clock()
	s.heard = now
	age, known := s.age(now, u)
	inTouch := u.ConfirmationAgeMs >= 0 && time.Duration(u.ConfirmationAgeMs)*time.Millisecond < attend.StaleAfter
	if inTouch {
		s.touched = now
		a.chooser.Works(s.address)
	}
	begun := !s.held
	if begun {
		s.held = true
		a.attended.Store(&s.address)
		a.cfg.Log.Info().Str("control", s.address).Uint64("index", u.Index).Int64("confirmation_age_ms", u.ConfirmationAgeMs).Msg("control session established")
	}
	if len(u.Controls) > 0 {
		a.setControls(u.Controls)
	}
	a.apply(u, age, known)
	if begun && !inTouch && a.chooser.Alternative(now) {
		return errStale
	}
	return nil
}

// age is an upper bound of the time since the confirmation that the update
// carries: the update was sent after the request that it echoes.
func (s *attendance) age(now time.Time, u *api.AttendUpdate) (time.Duration, bool) {
	at, ok := s.sent[u.Echo]
	for sequence := range s.sent {
		if sequence < u.Echo {
			delete(s.sent, sequence)
		}
	}
	if !ok || u.ConfirmationAgeMs < 0 {
		return 0, false
	}
	return now.Sub(at) + time.Duration(u.ConfirmationAgeMs)*time.Millisecond, true
}

func (a *Agent) setControls(refs []*api.ReplicaRef) {
	replicas := make([]attend.Replica, 0, len(refs))
	for _, r := range refs {
		replicas = append(replicas, attend.Replica{Address: r.Address, AvailabilityZone: r.AvailabilityZone, Region: a.cfg.RegionOf(r.AvailabilityZone)})
	}
	a.chooser.SetReplicas(replicas)
}

// apply moves the state forward. An update of a replica that is behind changes
// nothing, so the state never goes back.
func (a *Agent) apply(u *api.AttendUpdate, age time.Duration, known bool) {
	fresh := known && age <= confirmedWithin
	if u.Index < a.state.Index || u.Index == a.state.Index && (a.confirmed.Load() || !fresh) {
		return
	}
	members := make(map[string]*api.FleetMember, len(a.state.Members)+len(u.Members))
	if !u.Full {
		for address, m := range a.state.Members {
			members[address] = m
		}
	}
	for _, m := range u.Members {
		members[m.PeerAddress] = m
	}
	for _, address := range u.Removed {
		delete(members, address)
	}
	next := State{Index: u.Index, Routing: a.state.Routing, Members: members, Age: age}
	if u.Routing != nil {
		next.Routing = u.Routing
	}
	a.state = next
	if fresh {
		a.confirmed.Store(true)
	}
	if a.confirmed.Load() {
		a.cfg.Changed(next)
	}
}
