package admission

import (
	"slices"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

const (
	// levelHold is the age up to which a reported level does not decay.
	levelHold = 200 * time.Millisecond
	// LevelTTL is the age at which a reported level has decayed to 0. It is less than the
	// recovery time of 2 s, since a controller that gets no requests cannot report that its level
	// fell.
	LevelTTL = 1500 * time.Millisecond
	// maxRouteUpstreams bounds the upstreams whose levels are kept for one route.
	maxRouteUpstreams = 16
	// maxLevelRoutes bounds the routes of a LevelAggregator.
	maxLevelRoutes = 4096
	// refreshInterval is how long a combined level is cached.
	refreshInterval = 10 * time.Millisecond
)

// DecayLevel reduces a reported level by its age, slowly at first, so that a few requests probe
// an upstream before many do.
func DecayLevel(level chain.Priority, age time.Duration) chain.Priority {
	if age <= levelHold {
		return level
	}
	if age >= LevelTTL {
		return 0
	}
	decayed := float64(age-levelHold) / float64(LevelTTL-levelHold)
	return chain.Priority(float64(level) * (1 - decayed*decayed))
}

type upstreamLevel struct {
	upstream   string
	level      chain.Priority
	recordedAt time.Time
}

type routeLevels struct {
	upstreams  []upstreamLevel
	combined   chain.Priority
	computedAt time.Time
}

// LevelAggregator keeps the admission levels that several upstreams reported for a route or a
// service, and combines them into one. The zero value is ready for use.
type LevelAggregator struct {
	mu     sync.Mutex
	routes map[string]*routeLevels
}

// Record stores the level that one upstream reported: the maximum of its own level and that of
// its dependencies.
func (a *LevelAggregator) Record(now time.Time, route, upstream string, r LoadReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	reported := max(r.Level, r.DependencyLevel)
	levels := a.routes[route]
	if levels == nil {
		if reported == 0 {
			return
		}
		levels = a.add(now, route)
	}
	levels.record(now, upstream, reported)
}

func (a *LevelAggregator) add(now time.Time, route string) *routeLevels {
	if a.routes == nil {
		a.routes = make(map[string]*routeLevels)
	}
	if len(a.routes) >= maxLevelRoutes {
		a.purge(now)
	}
	r := &routeLevels{}
	if len(a.routes) < maxLevelRoutes {
		a.routes[route] = r
	}
	return r
}

func (a *LevelAggregator) purge(now time.Time) {
	for name, r := range a.routes {
		r.dropExpired(now)
		if len(r.upstreams) == 0 {
			delete(a.routes, name)
		}
	}
}

// Allow reports whether the route is likely to admit a call of this priority. It is monotonic in
// the priority, so a higher class is never rejected before a lower one.
func (a *LevelAggregator) Allow(now time.Time, route string, p chain.Priority) bool {
	return p >= a.Level(now, route)
}

// Level returns the combined level of a route, 0 if no level was reported.
func (a *LevelAggregator) Level(now time.Time, route string) chain.Priority {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.routes[route]
	if r == nil {
		return 0
	}
	if age := now.Sub(r.computedAt); age < 0 || age >= refreshInterval {
		r.combine(now)
	}
	return r.combined
}

func (r *routeLevels) record(now time.Time, upstream string, level chain.Priority) {
	r.computedAt = time.Time{}
	oldest := 0
	for i := range r.upstreams {
		if r.upstreams[i].upstream == upstream {
			r.upstreams[i] = upstreamLevel{upstream, level, now}
			return
		}
		if r.upstreams[i].recordedAt.Before(r.upstreams[oldest].recordedAt) {
			oldest = i
		}
	}
	if len(r.upstreams) < maxRouteUpstreams {
		r.upstreams = append(r.upstreams, upstreamLevel{upstream, level, now})
		return
	}
	r.upstreams[oldest] = upstreamLevel{upstream, level, now}
}

func (r *routeLevels) dropExpired(now time.Time) {
	r.upstreams = slices.DeleteFunc(r.upstreams, func(u upstreamLevel) bool {
		return now.Sub(u.recordedAt) >= LevelTTL
	})
}

// combine sets the combined level to the median of the fresh levels: the highest one would reject
// calls that another upstream admits, and the lowest one would admit calls that most upstreams
// reject. If no level is fresh, the newest one counts, decayed by its age. Older levels are left
// out of the median: upstreams that are rarely called would otherwise lower the level by their
// age alone.
func (r *routeLevels) combine(now time.Time) {
	r.computedAt = now
	r.dropExpired(now)
	r.combined = 0
	if len(r.upstreams) == 0 {
		return
	}
	var buffer [maxRouteUpstreams]chain.Priority
	fresh := buffer[:0]
	newest := r.upstreams[0]
	for _, u := range r.upstreams {
		if now.Sub(u.recordedAt) <= levelHold {
			fresh = append(fresh, u.level)
		}
		if u.recordedAt.After(newest.recordedAt) {
			newest = u
		}
	}
	if len(fresh) == 0 {
		r.combined = DecayLevel(newest.level, now.Sub(newest.recordedAt))
		return
	}
	slices.Sort(fresh)
	r.combined = fresh[(len(fresh)-1)/2]
}
