// Package replicaselect decides which control replica a daemon attends: the nearest
// one that answers and is in touch with a quorum. It performs no I/O.
package replicaselect

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// The periods of the choice.
const (
	// SessionTimeout is the age of the newest answered request above which a session is
	// given up. With the time to find another replica it must stay below the two
	// seconds within which a change has to be in force.
	SessionTimeout = 1200 * time.Millisecond
	// MaxConfirmationAge is the confirmation age above which a replica counts as cut off
	// from its quorum. It has the same bound as SessionTimeout, and exceeds the three
	// heartbeats, three quarters of a second, that a follower's confirmation may be old.
	MaxConfirmationAge = 1200 * time.Millisecond
	// returnEvery is how often a daemon that attends a distant replica tries a
	// nearer one.
	returnEvery = 5 * time.Second
	// firstPenalty is how long a replica that failed is passed over at first; it
	// doubles up to maxPenalty, which bounds how long a recovery goes unnoticed.
	firstPenalty = 250 * time.Millisecond
	maxPenalty   = time.Second
)

// Replica is a control replica that may be attended.
type Replica struct {
	Address          string
	AvailabilityZone string // empty for a seed of which nothing is known yet
	Region           string
}

// distance orders replicas by what it costs to reach them.
type distance uint8

const (
	sameZone distance = iota
	sameRegion
	otherRegion
	unknown
)

// Selector chooses the replica to attend. It is not safe for concurrent use.
type Selector struct {
	zone, region string
	seeds        []Replica
	replicas     []Replica
	random       *rand.Rand
	failures     map[string]failure
	attended     string
	lookedAt     time.Time // last time a replica was chosen
}

type failure struct {
	count int
	until time.Time
}

// NewSelector returns a chooser for a daemon at the given place that knows some seeds.
func NewSelector(zone, region string, seeds []string, seed uint64) *Selector {
	c := &Selector{zone: zone, region: region, random: rand.New(rand.NewPCG(seed, 1)), failures: map[string]failure{}}
	c.SetSeeds(seeds)
	return c
}

// SetSeeds replaces the seeds, as after a change of the settings.
func (c *Selector) SetSeeds(seeds []string) {
	c.seeds = nil
	for _, address := range seeds {
		c.seeds = append(c.seeds, Replica{Address: address})
	}
}

// SetReplicas takes the control replicas that a replica has told.
func (c *Selector) SetReplicas(replicas []Replica) { c.replicas = replicas }

// SetConnected tells which replica is attended, none if empty.
func (c *Selector) SetConnected(address string) { c.attended = address }

// Next chooses a replica other than the attended one. It is empty if there is
// none at all.
func (c *Selector) Next(now time.Time) string {
	c.lookedAt = now
	// If none that was told works, the seeds of the settings may be newer.
	for _, from := range [...][]Replica{c.replicas, c.seeds} {
		if best, ok := c.best(now, c.others(from)); ok {
			return best.Address
		}
	}
	all := c.others(append(slices.Clone(c.replicas), c.seeds...))
	if len(all) == 0 {
		return ""
	}
	return slices.MinFunc(all, func(a, b Replica) int {
		return c.failures[a.Address].until.Compare(c.failures[b.Address].until)
	}).Address
}

func (c *Selector) others(from []Replica) []Replica {
	return slices.DeleteFunc(slices.Clone(from), func(r Replica) bool { return r.Address == c.attended })
}

// best returns a random one of the nearest replicas without a recent failure.
func (c *Selector) best(now time.Time, from []Replica) (Replica, bool) {
	var usable []Replica
	for _, r := range from {
		if !now.Before(c.failures[r.Address].until) {
			usable = append(usable, r)
		}
	}
	if len(usable) == 0 {
		return Replica{}, false
	}
	c.random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	return slices.MinFunc(usable, func(a, b Replica) int { return cmp.Compare(c.distance(a), c.distance(b)) }), true
}

func (c *Selector) distance(r Replica) distance {
	switch {
	case r.AvailabilityZone == "":
		return unknown
	case r.AvailabilityZone == c.zone:
		return sameZone
	case r.Region == c.region:
		return sameRegion
	}
	return otherRegion
}

// MarkFailed notes that a replica could not be attended, fell silent or lost touch
// with its quorum.
func (c *Selector) MarkFailed(now time.Time, address string) {
	f := c.failures[address]
	penalty := min(firstPenalty<<min(f.count, 8), maxPenalty)
	c.failures[address] = failure{f.count + 1, now.Add(penalty)}
}

// MarkHealthy notes that a replica answered and is in touch with its quorum.
func (c *Selector) MarkHealthy(address string) { delete(c.failures, address) }

// ShouldSwitch reports whether a nearer replica than the attended one should be tried
// now.
func (c *Selector) ShouldSwitch(now time.Time) bool {
	current := unknown
	for _, r := range c.replicas {
		if r.Address == c.attended {
			current = c.distance(r)
		}
	}
	best, ok := c.best(now, c.others(c.replicas))
	if !ok || c.distance(best) >= current {
		return false
	}
	return current == unknown || now.Sub(c.lookedAt) >= returnEvery
}
