package admission

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

const (
	// riseStep is the part of the admitted arrivals that one rise sheds in
	// addition. Under a surge it is the part of the admitted arrivals and not of
	// all: 5% of all can be more than the upstream serves, and the level would
	// swing between too much and nothing.
	riseStep = 0.05
	// fallStep is the part of the admitted arrivals that one fall adds if the wait
	// is just below the target; without any wait it is four times as much.
	fallStep = 0.01
	// maxFallStep bounds a fall while capacity is idle: the admitted work at
	// most doubles in a period, so a fifteenfold overload is undone in five.
	maxFallStep = 1.0
	// histogramKeep is the weight of earlier periods in the histogram.
	histogramKeep = 0.7
	// criticalPatience multiplies the queue target while only critical requests
	// are admitted: bursts of them wait longer before any is shed, since no class
	// is above them that the wait would harm.
	criticalPatience = 3
	// maxLevel always admits the highest priority, so that load keeps being
	// measured and a gate never closes by its own level.
	maxLevel = chain.MaxPriority - 1
)

// level is the admission level of a gate and what it is derived from.
type level struct {
	current   chain.Priority
	histogram [chain.MaxPriority]float32 // arrivals by priority, decayed by period

	// Of the current period:
	classes  [classCount]pressure
	admitted int           // arrivals at or above the level
	busy     time.Duration // integral of the running requests
	capacity time.Duration // integral of the limit
}

const classCount = int(chain.Critical) + 1

// pressure is what the requests of one class met in a period.
type pressure struct {
	waits   int
	waitSum time.Duration
	oldest  time.Duration // wait of the oldest queued entry at the end of the period
	noRoom  int           // refusals for lack of room, or of time in the queue
}

// mean is the mean queue wait, or the oldest wait if nothing left the queue.
func (p pressure) mean() time.Duration {
	if p.waits > 0 {
		return p.waitSum / time.Duration(p.waits)
	}
	return p.oldest
}

func (l *level) arrive(p chain.Priority) {
	l.histogram[p]++
	if p >= l.current {
		l.admitted++
	}
}

func (l *level) wait(class chain.Class, d time.Duration) {
	l.classes[class].waits++
	l.classes[class].waitSum += d
}

// use adds an interval with a constant number of running requests.
func (l *level) use(d time.Duration, running, limit int) {
	l.busy += d * time.Duration(running)
	l.capacity += d * time.Duration(limit)
}

// adapt ends a period. A class is shed only for what it, or a class above it,
// met itself: the queue still holds requests of lower classes that came before
// the level rose, and their waits must not shed higher classes, which overtake
// them.
func (l *level) adapt(target time.Duration) {
	own, noRoom := l.pressureFrom(l.current.Class())
	all, anyNoRoom := l.pressureFrom(chain.Sheddable)
	if l.current >= chain.Critical.MinPriority() {
		target *= criticalPatience
	}
	switch {
	case own > target || noRoom > 0:
		l.rise(min(max(float32(own-target)/float32(target), 0.2), 1), noRoom)
	case all <= target && anyNoRoom == 0:
		l.fall(1 - float32(all)/float32(target))
	}
	l.reset()
}

// pressureFrom is the longest mean wait of a class from the given one on, and
// the refusals of these classes for lack of room.
func (l *level) pressureFrom(class chain.Class) (wait time.Duration, noRoom int) {
	for _, p := range l.classes[class:] {
		wait = max(wait, p.mean())
		noRoom += p.noRoom
	}
	return wait, noRoom
}

// aboveLevel is the number of arrivals that the level admits, by the histogram.
func (l *level) aboveLevel() float32 {
	sum := float32(0)
	for _, n := range l.histogram[l.current:] {
		sum += n
	}
	return sum
}

// rise sheds riseStep of the admitted arrivals, scaled by how far the wait
// exceeds the target (excess, 0.2 to 1), or the part that found no room
// if that is larger: 5% a period would need seconds for a fifteenfold surge.
func (l *level) rise(excess float32, noRoom int) {
	part := riseStep * excess
	if l.admitted > 0 {
		part = max(part, min(1, float32(noRoom)/float32(l.admitted)))
	}
	want := part * l.aboveLevel()
	top := l.riseBound()
	for l.current < top && want > 0 {
		want -= l.histogram[l.current]
		l.current++
	}
}

// riseBound stops a rise at the next class: a higher class is shed only after a
// period in which shedding all of the lower ones was not enough.
func (l *level) riseBound() chain.Priority {
	for class := chain.Sheddable + 1; class <= chain.Critical; class++ {
		if l.current < class.MinPriority() {
			return class.MinPriority()
		}
	}
	return maxLevel
}

// fall admits more by fallStep and slack, the distance of the wait from the
// target (0 to 1), or what the idle capacity can serve. Below the
// level, a priority counts at least as much as the average one above: where
// entrances refuse early, the gate does not see what waits there, and would
// fall through the empty part of the histogram at once.
func (l *level) fall(slack float32) {
	part := fallStep * (1 + 3*slack)
	if l.capacity > 0 {
		used := max(float32(l.busy)/float32(l.capacity), 0.01)
		part = max(part, min(1/used-1, maxFallStep))
	}
	width := float32(chain.MaxPriority - l.current)
	density := l.aboveLevel() / width
	if density == 0 {
		density = 1
	}
	for want := part * density * width; l.current > 0 && want > 0; {
		l.current--
		want -= max(l.histogram[l.current], density)
	}
}

func (l *level) reset() {
	for i := range l.histogram {
		l.histogram[i] *= histogramKeep
		if l.histogram[i] < 0.01 {
			l.histogram[i] = 0
		}
	}
	l.classes = [classCount]pressure{}
	l.admitted, l.busy, l.capacity = 0, 0, 0
}
