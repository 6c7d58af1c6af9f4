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

// The periods of an Agent.
const (
	// renewEvery is the interval of requests on a quiet session. Each is answered
	// at once; with the ways it must stay well below replicaselect.SessionTimeout.
	renewEvery = 500 * time.Millisecond
	// watchEvery is how often sessions are looked at.
	watchEvery = 100 * time.Millisecond
	// openTimeout bounds the time until the first update of a session. It covers a
	// connection across regions to a busy VM, and is short since a frozen VM still
	// accepts connections.
	openTimeout = 500 * time.Millisecond
	// scoutEvery is the shortest time between two looks for a better replica while
	// there is one; during an outage of control that one tells when it is over.
	scoutEvery = 250 * time.Millisecond
	// dropAfter is the silence after which a session is closed even if there is no
	// other one.
	dropAfter = 4 * time.Second
	// confirmedWithin is the greatest age of a confirmation that lets a starting
	// daemon put the state in force. With the time for an update to arrive it
	// stays below the two seconds within which a change must be in force.
	confirmedWithin = 1500 * time.Millisecond
)

// State is what an agent knows of the fleet.
type State struct {
	Index   uint64
	Routing *api.RoutingDocument // nil before the first configuration
	Members map[string]*api.FleetMember
	// ConfirmationAge is an upper bound of the time since it was confirmed that nothing newer
	// had been committed, at the time of the update.
	ConfirmationAge time.Duration
}

// AgentConfig configures an Agent.
type AgentConfig struct {
	Address          string // of the peer listener, the key of the member entry
	Region           string
	AvailabilityZone string // availability zone
	RegionOf         func(zone string) string
	Seeds            []string
	Dial             Dial
	Log              *log.Logger
	Clock            func() time.Time
	Seed             uint64
	// OnChange is called with each new state, from one goroutine. The state must
	// not be changed.
	OnChange func(State)
}

// Agent attends a control replica for a daemon. If that one falls silent or
// loses touch with its quorum, the agent looks for a better one, and leaves the
// first only once it has found one. All sessions belong to the goroutine that
// executes Run.
type Agent struct {
	cfg     AgentConfig
	boot    uint64
	chooser *replicaselect.Selector
	events  chan event

	mu     sync.Mutex
	member *api.FleetMember
	seeds  []string // to be taken over, nil if unchanged
	wake   chan struct{}

	state State
	main  *session // nil if there is none
	scout *session // a replica that may become the main one
	// scouted is when the last scout was sent.
	scouted time.Time

	confirmed atomic.Bool
	attended  atomic.Pointer[string]
}

// NewAgent returns an agent that works while Run does. The daemon becomes a member
// with the first Announce.
func NewAgent(cfg AgentConfig) *Agent {
	return &Agent{
		cfg: cfg, boot: rand.Uint64(), chooser: replicaselect.NewSelector(cfg.AvailabilityZone, cfg.Region, cfg.Seeds, cfg.Seed), events: make(chan event),
		wake: make(chan struct{}, 1), state: State{Members: map[string]*api.FleetMember{}},
	}
}

// Announce replaces the member entry of the daemon, which describes the upstream
// beside it.
func (a *Agent) Announce(member *api.FleetMember) {
	m := proto.CloneOf(member)
	m.PeerAddress, m.Region, m.AvailabilityZone, m.Boot = a.cfg.Address, a.cfg.Region, a.cfg.AvailabilityZone, a.boot
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

// ConnectedReplica is the control replica of the present session, empty if there is
// none.
func (a *Agent) ConnectedReplica() string {
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

// Run attends control replicas until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	a.look(ctx)
	for {
		select {
		case <-ctx.Done():
			a.drop(&a.main)
			a.drop(&a.scout)
			return
		case e := <-a.events:
			a.handle(e)
		case <-a.wake:
			a.takeSeeds()
			a.announce()
		case <-ticker.C:
		}
		a.look(ctx)
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

// announce sends a changed member entry.
func (a *Agent) announce() {
	if a.main != nil && a.main.stream != nil && a.main.member != a.current() {
		a.request(&a.main)
	}
}

// Reasons for the end of a session.
var (
	errSilent = errors.New("the control replica is silent")
	errStale  = errors.New("the control replica has lost touch with its quorum")
	errBetter = errors.New("a better control replica was found")
)

// look renews the sessions, ends those that failed and opens one if a better
// replica is wanted.
func (a *Agent) look(ctx context.Context) {
	now := a.cfg.Clock()
	a.renew(now, &a.main)
	a.renew(now, &a.scout)
	if s := a.scout; s != nil && s.silence(now) > openTimeout {
		a.fail(&a.scout, errSilent)
	}
	if s := a.main; s != nil && s.silence(now) > dropAfter {
		a.fail(&a.main, errSilent)
	}
	wanted := a.main == nil || !a.main.works(now) || a.chooser.ShouldSwitch(now)
	if !wanted || a.scout != nil || a.main != nil && now.Sub(a.scouted) < scoutEvery {
		return
	}
	a.scouted = now
	if address := a.chooser.Next(now); address != "" {
		a.scout = a.open(ctx, address)
	}
}

func (a *Agent) renew(now time.Time, s **session) {
	if *s != nil && (*s).stream != nil && now.Sub((*s).renewed) >= renewEvery {
		a.request(s)
	}
}

// handle takes what happened on a session.
func (a *Agent) handle(e event) {
	var s **session
	switch e.session {
	case a.main:
		s = &a.main
	case a.scout:
		s = &a.scout
	default:
		return // it was ended in the meantime
	}
	switch {
	case e.err != nil:
		a.fail(s, e.err)
	case e.update == nil:
		(*s).stream = e.stream
		a.request(s)
	default:
		a.take(s, e.update)
	}
}

// take applies an update and settles which session is the main one.
func (a *Agent) take(s **session, u *api.AttendUpdate) {
	now := a.cfg.Clock()
	age, known := (*s).note(now, u)
	if len(u.Controls) > 0 {
		a.setControls(u.Controls)
	}
	a.apply(u, age, known)
	if s == &a.scout {
		a.judge(now)
	}
	if a.main != nil && a.main.works(now) {
		a.chooser.MarkHealthy(a.main.address)
	}
}

// judge decides on the scout after its first update.
func (a *Agent) judge(now time.Time) {
	found := a.scout
	switch {
	case found.works(now):
		a.promote(errBetter)
	case a.main == nil:
		a.promote(nil) // one without a quorum is still the first to learn when that returns
	default:
		a.fail(&a.scout, errStale)
	}
}

// promote makes the scout the main session.
func (a *Agent) promote(why error) {
	if a.main != nil {
		a.cfg.Log.Info().Str("control", a.main.address).Err(why).Msg("control session left")
		a.drop(&a.main)
	}
	a.main, a.scout = a.scout, nil
	a.chooser.SetConnected(a.main.address)
	a.attended.Store(&a.main.address)
	a.cfg.Log.Info().Str("control", a.main.address).Uint64("index", a.state.Index).Dur("confirmation_age", a.main.age).Msg("control session established")
	a.request(&a.main)
}

// fail ends a session that is of no use.
func (a *Agent) fail(s **session, err error) {
	address := (*s).address
	a.chooser.MarkFailed(a.cfg.Clock(), address)
	a.cfg.Log.Warn().Str("control", address).Bool("main", s == &a.main).Err(err).Uint64("index", a.state.Index).Msg("control session lost")
	a.drop(s)
}

func (a *Agent) drop(s **session) {
	if *s == nil {
		return
	}
	(*s).end()
	*s = nil
	if s == &a.main {
		empty := ""
		a.attended.Store(&empty)
		a.chooser.SetConnected(empty)
	}
}

// request renews a session. Only the main one announces the member entry.
func (a *Agent) request(s **session) {
	r := &api.AttendRequest{}
	if m := a.current(); s == &a.main && m != nil && m != (*s).member {
		(*s).member, r.Member = m, m
	}
	if (*s).sequence == 0 {
		r.HeldIndex, r.PeerAddress = a.state.Index, a.cfg.Address
	}
	if err := (*s).send(a.cfg.Clock(), r); err != nil {
		a.fail(s, err)
	}
}

func (a *Agent) setControls(refs []*api.ReplicaRef) {
	replicas := make([]replicaselect.Replica, 0, len(refs))
	for _, r := range refs {
		replicas = append(replicas, replicaselect.Replica{Address: r.Address, AvailabilityZone: r.AvailabilityZone, Region: a.cfg.RegionOf(r.AvailabilityZone)})
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
