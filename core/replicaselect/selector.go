// Package replicaselect selects the control replica that a daemon connects to: the nearest
// one that responds and has quorum contact. It performs no I/O.
package replicaselect

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Timeouts and intervals of the selection.
const (
	// SessionTimeout is the time after which a daemon closes a control session, counted from
	// the newest request that received a response. Together with the time to find another replica, it must stay
	// below the two seconds within which a change must be active.
	SessionTimeout = 1200 * time.Millisecond
	// MaxConfirmationAge is the age of the quorum confirmation above which a replica counts
	// as without quorum contact. It has the same upper bound as SessionTimeout, and exceeds
	// the age that a follower's confirmation may reach: three heartbeat intervals, or three
	// quarters of a second.
	MaxConfirmationAge = 1200 * time.Millisecond
	// failbackInterval is how often a daemon that is connected to a distant replica tries a
	// nearer one.
	failbackInterval = 5 * time.Second
	// initialBackoff is how long a replica is not selected after its first failure. It
	// doubles with each further failure up to maxBackoff, which bounds the time until a
	// recovered replica is selected again.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = time.Second
)

// Replica is a control replica that a daemon may connect to.
type Replica struct {
	Address          string
	AvailabilityZone string // empty for a seed, whose location is not known
	Region           string
}

// locality orders replicas by the cost of traffic to them, lowest first.
type locality uint8

const (
	sameZone locality = iota
	sameRegion
	otherRegion
	unknownLocality
)

// Selector selects the replica to connect to. It is not safe for concurrent use.
type Selector struct {
	zone, region  string
	seeds         []Replica
	replicas      []Replica
	random        *rand.Rand
	backoffs      map[string]backoff
	connected     string    // address of the connected replica, empty if none
	lastSelection time.Time // time of the last call of Next
}

// backoff is the state of a replica after consecutive failures.
type backoff struct {
	failures int
	until    time.Time
}

// NewSelector returns a Selector for a daemon in the given availability zone and region.
// seeds are the configured addresses; seed initializes the random choice among equally
// near replicas.
func NewSelector(zone, region string, seeds []string, seed uint64) *Selector {
	s := &Selector{zone: zone, region: region, random: rand.New(rand.NewPCG(seed, 1)), backoffs: map[string]backoff{}}
	s.SetSeeds(seeds)
	return s
}

// SetSeeds replaces the seed addresses, as after a reload of the settings.
func (s *Selector) SetSeeds(seeds []string) {
	s.seeds = nil
	for _, address := range seeds {
		s.seeds = append(s.seeds, Replica{Address: address})
	}
}

// SetReplicas replaces the known control replicas, as received from a control replica.
func (s *Selector) SetReplicas(replicas []Replica) { s.replicas = replicas }

// SetConnected records the address of the connected replica, empty for none.
func (s *Selector) SetConnected(address string) { s.connected = address }

// Next selects a replica other than the connected one and returns its address. If all
// replicas and seeds are in backoff, it selects the one whose backoff ends first. It returns
// an empty string if there is no other replica or seed.
func (s *Selector) Next(now time.Time) string {
	s.lastSelection = now
	// If all known replicas are in backoff, the configured seeds may be newer.
	for _, from := range [...][]Replica{s.replicas, s.seeds} {
		if nearest, ok := s.nearestUsable(now, s.exceptConnected(from)); ok {
			return nearest.Address
		}
	}
	all := s.exceptConnected(append(slices.Clone(s.replicas), s.seeds...))
	if len(all) == 0 {
		return ""
	}
	return slices.MinFunc(all, func(a, b Replica) int {
		return s.backoffs[a.Address].until.Compare(s.backoffs[b.Address].until)
	}).Address
}

func (s *Selector) exceptConnected(from []Replica) []Replica {
	return slices.DeleteFunc(slices.Clone(from), func(r Replica) bool { return r.Address == s.connected })
}

// nearestUsable returns a random one of the nearest replicas that are not in backoff.
func (s *Selector) nearestUsable(now time.Time, from []Replica) (Replica, bool) {
	var usable []Replica
	for _, r := range from {
		if !now.Before(s.backoffs[r.Address].until) {
			usable = append(usable, r)
		}
	}
	if len(usable) == 0 {
		return Replica{}, false
	}
	s.random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	return slices.MinFunc(usable, func(a, b Replica) int { return cmp.Compare(s.localityOf(a), s.localityOf(b)) }), true
}

func (s *Selector) localityOf(r Replica) locality {
	switch {
	case r.AvailabilityZone == "":
		return unknownLocality
	case r.AvailabilityZone == s.zone:
		return sameZone
	case r.Region == s.region:
		return sameRegion
	}
	return otherRegion
}

// MarkFailed records that a replica could not be reached, stopped responding or lost quorum
// contact.
func (s *Selector) MarkFailed(now time.Time, address string) {
	f := s.backoffs[address]
	delay := min(initialBackoff<<min(f.failures, 8), maxBackoff)
	s.backoffs[address] = backoff{f.failures + 1, now.Add(delay)}
}

// MarkHealthy records that a replica responded and has quorum contact.
func (s *Selector) MarkHealthy(address string) { delete(s.backoffs, address) }

// ShouldSwitch reports whether the daemon should try a replica nearer than the connected one
// now.
func (s *Selector) ShouldSwitch(now time.Time) bool {
	current := unknownLocality
	for _, r := range s.replicas {
		if r.Address == s.connected {
			current = s.localityOf(r)
		}
	}
	nearest, ok := s.nearestUsable(now, s.exceptConnected(s.replicas))
	if !ok || s.localityOf(nearest) >= current {
		return false
	}
	return current == unknownLocality || now.Sub(s.lastSelection) >= failbackInterval
}
