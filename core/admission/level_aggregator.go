package admission

import (
	"slices"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

const (
	// levelHold is the age up to which a reported level is taken in full.
	levelHold = 200 * time.Millisecond
	// LevelTTL is the age at which a reported level has lost all weight. It
	// stays below the recovery time of 2 s, since a gate that is never asked
	// cannot report that its level fell.
	LevelTTL = 1500 * time.Millisecond
	// maxSources bounds the upstreams that are remembered per route.
	maxSources = 16
	// maxLevelRoutes bounds the number of routes.
	maxLevelRoutes = 4096
	// refreshInterval is how long a combined level is reused.
	refreshInterval = 10 * time.Millisecond
)

// DecayLevel reduces a reported level by its age, slowly at first, so that a few
// requests probe a gate before many do.
func DecayLevel(level chain.Priority, age time.Duration) chain.Priority {
	if age <= levelHold {
		return level
	}
	if age >= LevelTTL {
		return 0
	}
	lost := float64(age-levelHold) / float64(LevelTTL-levelHold)
	return chain.Priority(float64(level) * (1 - lost*lost))
}

type source struct {
	upstream string
	level    chain.Priority
	at       time.Time
}

type routeLevels struct {
	sources  []source
	combined chain.Priority
	computed time.Time
}

// LevelAggregator keeps the levels that several upstreams reported for a route or a
// service, and combines them into one. The zero value is ready for use.
type LevelAggregator struct {
	mu     sync.Mutex
	routes map[string]*routeLevels
}

// Record stores the level of one upstream: the highest of its own level and of
// the levels below it.
func (l *LevelAggregator) Record(now time.Time, route, upstream string, r LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reported := max(r.Level, r.DependencyLevel)
	routes := l.routes[route]
	if routes == nil {
		if reported == 0 {
			return
		}
		routes = l.add(now, route)
	}
	routes.set(now, upstream, reported)
}

func (l *LevelAggregator) add(now time.Time, route string) *routeLevels {
	if l.routes == nil {
		l.routes = make(map[string]*routeLevels)
	}
	if len(l.routes) >= maxLevelRoutes {
		l.purge(now)
	}
	r := &routeLevels{}
	if len(l.routes) < maxLevelRoutes {
		l.routes[route] = r
	}
	return r
}

func (l *LevelAggregator) purge(now time.Time) {
	for name, r := range l.routes {
		r.dropExpired(now)
		if len(r.sources) == 0 {
			delete(l.routes, name)
		}
	}
}

// Allow reports whether a call to the route with this priority is worth a
// try. It is monotone in the priority, so it keeps the order of the classes.
func (l *LevelAggregator) Allow(now time.Time, route string, p chain.Priority) bool {
	return p >= l.Level(now, route)
}

// Level returns the combined level of a route, 0 if nothing is known.
func (l *LevelAggregator) Level(now time.Time, route string) chain.Priority {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.routes[route]
	if r == nil {
		return 0
	}
	if age := now.Sub(r.computed); age < 0 || age >= refreshInterval {
		r.combine(now)
	}
	return r.combined
}

func (r *routeLevels) set(now time.Time, upstream string, level chain.Priority) {
	r.computed = time.Time{}
	oldest := 0
	for i := range r.sources {
		if r.sources[i].upstream == upstream {
			r.sources[i] = source{upstream, level, now}
			return
		}
		if r.sources[i].at.Before(r.sources[oldest].at) {
			oldest = i
		}
	}
	if len(r.sources) < maxSources {
		r.sources = append(r.sources, source{upstream, level, now})
		return
	}
	r.sources[oldest] = source{upstream, level, now}
}

func (r *routeLevels) dropExpired(now time.Time) {
	r.sources = slices.DeleteFunc(r.sources, func(s source) bool {
		return now.Sub(s.at) >= LevelTTL
	})
}

// combine takes the median of the fresh levels: the highest one would refuse
// work that another upstream admits, and the lowest one would admit work that
// most of them refuse. Without a fresh report, the newest one counts by its age.
// Older ones have no vote: upstreams that are rarely called would lower the
// level by their age alone.
func (r *routeLevels) combine(now time.Time) {
	r.computed = now
	r.dropExpired(now)
	r.combined = 0
	if len(r.sources) == 0 {
		return
	}
	var buffer [maxSources]chain.Priority
	fresh := buffer[:0]
	newest := r.sources[0]
	for _, s := range r.sources {
		if now.Sub(s.at) <= levelHold {
			fresh = append(fresh, s.level)
		}
		if s.at.After(newest.at) {
			newest = s
		}
	}
	if len(fresh) == 0 {
		r.combined = DecayLevel(newest.level, now.Sub(newest.at))
		return
	}
	slices.Sort(fresh)
	r.combined = fresh[(len(fresh)-1)/2]
}
