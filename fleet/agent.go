package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/replicaselect"
)

// The intervals and timeouts of an Agent.
const (
	// renewInterval is the interval of requests on an idle session. The replica responds to each
	// at once. The interval plus the round-trip time must be well below
	// replicaselect.SessionTimeout.
	renewInterval = 500 * time.Millisecond
	// sessionCheckInterval is the interval at which the sessions are checked.
	sessionCheckInterval = 100 * time.Millisecond
	// sessionOpenTimeout limits the time until the first update of a session. It covers a
	// connection across regions to a busy VM, and is short since a frozen VM still accepts
	// connections.
	sessionOpenTimeout = 500 * time.Millisecond
	// candidateInterval is the minimum interval between two candidate sessions while there is an
	// active session. During an outage of the control plane, the active session is kept to detect
	// the end of the outage.
	candidateInterval = 250 * time.Millisecond
	// sessionDropTimeout is the time without an update after which the active session is closed
	// even if there is no other session.
	sessionDropTimeout = 4 * time.Second
	// maxStartupConfirmationAge is the maximum age of a quorum confirmation with which a daemon
	// activates its first state. Together with the transmission time of an update, it is less than
	// the two seconds within which a change must be active.
	maxStartupConfirmationAge = 1500 * time.Millisecond
)

// State is the replicated state of the fleet that an agent has received.
type State struct {
	Index   uint64
	Routing *api.RoutingDocument // nil before the first configuration
	Members map[string]*api.FleetMember
	// ConfirmationAge is an upper bound, at the time of the update, of the time since a quorum
	// confirmed that nothing newer was committed.
	ConfirmationAge time.Duration
}

// AgentConfig configures an Agent.
type AgentConfig struct {
	Address          string // of the peer listener; the key of the member entry
	Region           string
	AvailabilityZone string
	RegionOf         func(zone string) string
	Seeds            []string
	Dialer           Dialer
	Logger           *log.Logger
	Clock            func() time.Time
	Seed             uint64
	// OnChange is called with each new state, always from the same goroutine. It must not modify
	// the state.
	OnChange func(State)
}

// Agent maintains a daemon's session with a control replica. If the replica becomes
// unresponsive or loses quorum contact, the agent opens a candidate session with another one
// and keeps the active session until the candidate proves better. All sessions belong to the
// goroutine that executes Run.
type Agent struct {
	cfg         AgentConfig
	incarnation uint64
	selector    *replicaselect.Selector
	events      chan event

	mu     sync.Mutex
	member *api.FleetMember
	seeds  []string // to be applied by Run, nil if unchanged
	wake   chan struct{}

	state     State
	active    *session // nil if there is none
	candidate *session // session that may replace the active one, nil if there is none
	// candidateAt is when the last candidate session was opened.
	candidateAt time.Time

	confirmed        atomic.Bool
	connectedReplica atomic.Pointer[string]
}

// NewAgent returns an agent that is active while Run executes. The daemon becomes a member of
// the fleet with the first Announce.
func NewAgent(cfg AgentConfig) *Agent {
	return &Agent{
		cfg: cfg, incarnation: rand.Uint64(), selector: replicaselect.NewSelector(cfg.AvailabilityZone, cfg.Region, cfg.Seeds, cfg.Seed), events: make(chan event),
		wake: make(chan struct{}, 1), state: State{Members: map[string]*api.FleetMember{}},
	}
}

// Announce replaces the member entry of the daemon, which describes the upstream on its VM.
func (a *Agent) Announce(member *api.FleetMember) {
	m := proto.CloneOf(member)
	m.PeerAddress, m.Region, m.AvailabilityZone, m.Boot = a.cfg.Address, a.cfg.Region, a.cfg.AvailabilityZone, a.incarnation
	a.mu.Lock()
	m.Sequence = a.member.GetSequence() + 1
	a.member = m
	a.mu.Unlock()
	a.wakeUp()
}

// SetSeeds replaces the seeds after a change of the settings.
func (a *Agent) SetSeeds(seeds []string) {
	a.mu.Lock()
	a.seeds = seeds
	a.mu.Unlock()
	a.wakeUp()
}

func (a *Agent) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Confirmed reports whether a quorum has confirmed the state since startup.
func (a *Agent) Confirmed() bool { return a.confirmed.Load() }

// ConnectedReplica returns the address of the control replica of the active session, empty if
// there is none.
func (a *Agent) ConnectedReplica() string {
	if p := a.connectedReplica.Load(); p != nil {
		return *p
	}
	return ""
}

func (a *Agent) currentMember() *api.FleetMember {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.member
}

// Run maintains sessions with control replicas until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	ticker := time.NewTicker(sessionCheckInterval)
	defer ticker.Stop()
	a.maintainSessions(ctx)
	for {
		select {
		case <-ctx.Done():
			a.closeSession(&a.active)
			a.closeSession(&a.candidate)
			return
		case e := <-a.events:
			a.handleEvent(e)
		case <-a.wake:
			a.applySeeds()
			a.announce()
		case <-ticker.C:
		}
		a.maintainSessions(ctx)
	}
}

func (a *Agent) applySeeds() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seeds != nil {
		a.selector.SetSeeds(a.seeds)
		a.seeds = nil
	}
}

// announce sends the member entry on the active session if it has changed.
func (a *Agent) announce() {
	if a.active != nil && a.active.stream != nil && a.active.sentMember != a.currentMember() {
		a.sendRequest(&a.active)
	}
}

// Reasons for closing a session.
var (
	errUnresponsive    = errors.New("the control replica is unresponsive")
	errNoQuorumContact = errors.New("the control replica has lost quorum contact")
	errBetterReplica   = errors.New("a better control replica was found")
)

// maintainSessions renews the sessions, closes those that timed out and opens a candidate
// session if a better replica is wanted.
func (a *Agent) maintainSessions(ctx context.Context) {
	now := a.cfg.Clock()
	a.renewSession(now, &a.active)
	a.renewSession(now, &a.candidate)
	if s := a.candidate; s != nil && s.idleTime(now) > sessionOpenTimeout {
		a.failSession(&a.candidate, errUnresponsive)
	}
	if s := a.active; s != nil && s.idleTime(now) > sessionDropTimeout {
		a.failSession(&a.active, errUnresponsive)
	}
	wanted := a.active == nil || !a.active.healthy(now) || a.selector.ShouldSwitch(now)
	if !wanted || a.candidate != nil || a.active != nil && now.Sub(a.candidateAt) < candidateInterval {
		return
	}
	a.candidateAt = now
	if address := a.selector.Next(now); address != "" {
		a.candidate = a.openSession(ctx, address)
	}
}

func (a *Agent) renewSession(now time.Time, s **session) {
	if *s != nil && (*s).stream != nil && now.Sub((*s).lastRequestAt) >= renewInterval {
		a.sendRequest(s)
	}
}

// handleEvent processes an event of a session.
func (a *Agent) handleEvent(e event) {
	var s **session
	switch e.session {
	case a.active:
		s = &a.active
	case a.candidate:
		s = &a.candidate
	default:
		return // the session has been closed in the meantime
	}
	switch {
	case e.err != nil:
		a.failSession(s, e.err)
	case e.update == nil:
		(*s).stream = e.stream
		a.sendRequest(s)
	default:
		a.applySessionUpdate(s, e.update)
	}
}

// applySessionUpdate applies an update of a session. An update of the candidate decides first
// whether the candidate becomes the active session, so that the state that OnChange receives does
// not precede the session that it came from.
func (a *Agent) applySessionUpdate(s **session, u *api.AttendUpdate) {
	now := a.cfg.Clock()
	age, ageKnown := (*s).recordUpdate(now, u)
	if len(u.Controls) > 0 {
		a.setReplicas(u.Controls)
	}
	if s == &a.candidate {
		a.evaluateCandidate(now)
	}
	a.applyState(u, age, ageKnown)
	if a.active != nil && a.active.healthy(now) {
		a.selector.MarkHealthy(a.active.address)
	}
}

// evaluateCandidate promotes or closes the candidate after its first update.
func (a *Agent) evaluateCandidate(now time.Time) {
	candidate := a.candidate
	switch {
	case candidate.healthy(now):
		a.promoteCandidate(errBetterReplica)
	case a.active == nil:
		a.promoteCandidate(nil) // even without quorum contact, the session reports when it is regained
	default:
		a.failSession(&a.candidate, errNoQuorumContact)
	}
}

// promoteCandidate makes the candidate the active session.
func (a *Agent) promoteCandidate(reason error) {
	if a.active != nil {
		a.cfg.Logger.Info().Str("control", a.active.address).Err(reason).Msg("control session replaced")
		a.closeSession(&a.active)
	}
	a.active, a.candidate = a.candidate, nil
	a.selector.SetConnected(a.active.address)
	a.connectedReplica.Store(&a.active.address)
	a.cfg.Logger.Info().Str("control", a.active.address).Uint64("index", a.state.Index).Dur("confirmation_age", a.active.confirmationAge).Msg("control session established")
	a.sendRequest(&a.active)
}

// failSession closes a session after a failure and marks its replica as failed.
func (a *Agent) failSession(s **session, err error) {
	address := (*s).address
	a.selector.MarkFailed(a.cfg.Clock(), address)
	a.cfg.Logger.Warn().Str("control", address).Bool("main", s == &a.active).Err(err).Uint64("index", a.state.Index).Msg("control session lost")
	a.closeSession(s)
}

func (a *Agent) closeSession(s **session) {
	if *s == nil {
		return
	}
	(*s).cancel()
	*s = nil
	if s == &a.active {
		empty := ""
		a.connectedReplica.Store(&empty)
		a.selector.SetConnected(empty)
	}
}

// sendRequest renews a session. Only the active session announces the member entry.
func (a *Agent) sendRequest(s **session) {
	r := &api.AttendRequest{}
	if m := a.currentMember(); s == &a.active && m != nil && m != (*s).sentMember {
		(*s).sentMember, r.Member = m, m
	}
	if (*s).sequence == 0 {
		r.HeldIndex, r.PeerAddress = a.state.Index, a.cfg.Address
	}
	if err := (*s).send(a.cfg.Clock(), r); err != nil {
		a.failSession(s, err)
	}
}

func (a *Agent) setReplicas(refs []*api.ReplicaRef) {
	replicas := make([]replicaselect.Replica, 0, len(refs))
	for _, r := range refs {
		replicas = append(replicas, replicaselect.Replica{Address: r.Address, AvailabilityZone: r.AvailabilityZone, Region: a.cfg.RegionOf(r.AvailabilityZone)})
	}
	a.selector.SetReplicas(replicas)
}

// applyState applies an update to the state. An update with a lower index is ignored, so the
// state never regresses.
func (a *Agent) applyState(u *api.AttendUpdate, age time.Duration, ageKnown bool) {
	fresh := ageKnown && age <= maxStartupConfirmationAge
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
	next := State{Index: u.Index, Routing: a.state.Routing, Members: members, ConfirmationAge: age}
	if u.Routing != nil {
		next.Routing = u.Routing
	}
	a.state = next
	if fresh {
		a.confirmed.Store(true)
	}
	if a.confirmed.Load() {
		a.cfg.OnChange(next)
	}
}
