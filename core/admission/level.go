package admission

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

const (
	// riseStep is the ratio of the admitted arrivals that one rise sheds. It relates to the
	// admitted arrivals and not to all of them: in a surge, 5% of all arrivals can be more than
	// the upstream serves, and the level would oscillate between admitting too much and nothing.
	riseStep = 0.05
	// fallStep is the ratio of the admitted arrivals that one fall adds if the wait is just below
	// the target; without any wait it is four times as much.
	fallStep = 0.01
	// maxFallStep bounds a fall while capacity is idle: the admitted arrivals at most double in
	// an interval. So a level that a fifteenfold overload raised falls back in five intervals.
	maxFallStep = 1.0
	// histogramDecay is the factor by which the histogram shrinks in each interval.
	histogramDecay = 0.7
	// criticalTargetFactor multiplies the queue target while only critical requests are admitted.
	// Bursts of them may wait longer before any is shed, since there is no higher class that
	// would be delayed.
	criticalTargetFactor = 3
	// maxLevel admits the highest priority, so that the load is still measured and the level
	// alone never rejects everything.
	maxLevel = chain.NumPriorities - 1
)

// level is the admission level of a controller and the statistics that it is derived from.
type level struct {
	current   chain.Priority
	histogram [chain.NumPriorities]float32 // arrivals by priority, decaying with each interval

	// Statistics of the current interval:
	classes  [numClasses]classStats
	admitted int           // arrivals with a priority of at least the level
	busy     time.Duration // integral of the requests in flight over time
	capacity time.Duration // integral of the concurrency limit over time
}

const numClasses = int(chain.Critical) + 1

// classStats holds the queue waits and rejections of one class in the current interval.
type classStats struct {
	waitCount          int
	waitSum            time.Duration
	oldestWait         time.Duration // wait of the oldest queued entry at the end of the interval
	capacityRejections int           // evictions from a full queue, and entries that expired in the queue
}

// meanWait is the mean queue wait, or the wait of the oldest entry if no entry left the queue.
func (s classStats) meanWait() time.Duration {
	if s.waitCount > 0 {
		return s.waitSum / time.Duration(s.waitCount)
	}
	return s.oldestWait
}

func (l *level) recordArrival(priority chain.Priority) {
	l.histogram[priority]++
	if priority >= l.current {
		l.admitted++
	}
}

func (l *level) recordWait(class chain.Class, d time.Duration) {
	l.classes[class].waitCount++
	l.classes[class].waitSum += d
}

// recordUtilization adds a time span with a constant number of requests in flight.
func (l *level) recordUtilization(d time.Duration, inFlight, limit int) {
	l.busy += d * time.Duration(inFlight)
	l.capacity += d * time.Duration(limit)
}

// adjust updates the level at the end of an interval. A class is shed only because of waits and
// rejections of its own or of a higher class: the queue still holds requests of lower classes
// that arrived before the level rose, and their waits must not shed higher classes, which
// overtake them.
func (l *level) adjust(target time.Duration) {
	admittedWait, rejections := l.statsFrom(l.current.Class())
	overallWait, overallRejections := l.statsFrom(chain.Sheddable)
	if l.current >= chain.Critical.MinPriority() {
		target *= criticalTargetFactor
	}
	switch {
	case admittedWait > target || rejections > 0:
		l.rise(min(max(float32(admittedWait-target)/float32(target), 0.2), 1), rejections)
	case overallWait <= target && overallRejections == 0:
		l.fall(1 - float32(overallWait)/float32(target))
	}
	l.reset()
}

// statsFrom returns the longest mean wait of the given class and the classes above it, and the
// sum of their capacity rejections.
func (l *level) statsFrom(class chain.Class) (wait time.Duration, rejections int) {
	for _, stats := range l.classes[class:] {
		wait = max(wait, stats.meanWait())
		rejections += stats.capacityRejections
	}
	return wait, rejections
}

// admittedArrivals is the number of arrivals in the histogram that the level admits.
func (l *level) admittedArrivals() float32 {
	sum := float32(0)
	for _, n := range l.histogram[l.current:] {
		sum += n
	}
	return sum
}

// rise sheds riseStep of the admitted arrivals, scaled by how far the wait exceeds the target
// (excess, 0.2 to 1), or the ratio of them that was rejected for lack of capacity if that is
// larger: with 5% in each interval, it would take seconds to shed a fifteenfold surge.
func (l *level) rise(excess float32, rejections int) {
	ratio := riseStep * excess
	if l.admitted > 0 {
		ratio = max(ratio, min(1, float32(rejections)/float32(l.admitted)))
	}
	want := ratio * l.admittedArrivals()
	top := l.riseBound()
	for l.current < top && want > 0 {
		want -= l.histogram[l.current]
		l.current++
	}
}

// riseBound is the highest level of one rise. It is the minimum priority of the next class, since
// a higher class is shed only after an interval in which shedding all lower ones was not enough.
func (l *level) riseBound() chain.Priority {
	for class := chain.Sheddable + 1; class <= chain.Critical; class++ {
		if l.current < class.MinPriority() {
			return class.MinPriority()
		}
	}
	return maxLevel
}

// fall lowers the level to admit more arrivals: by fallStep, scaled by how far the wait is below
// the target (margin, 0 to 1), or by what the idle capacity can serve if that is more. Each
// priority below the level counts as at least the average of the priorities above it: if
// ingresses reject early, the controller sees no arrivals below its level, and the level would
// otherwise fall through that empty part of the histogram at once.
func (l *level) fall(margin float32) {
	ratio := fallStep * (1 + 3*margin)
	if l.capacity > 0 {
		utilization := max(float32(l.busy)/float32(l.capacity), 0.01)
		ratio = max(ratio, min(1/utilization-1, maxFallStep))
	}
	width := float32(chain.NumPriorities - l.current)
	density := l.admittedArrivals() / width
	if density == 0 {
		density = 1
	}
	for want := ratio * density * width; l.current > 0 && want > 0; {
		l.current--
		want -= max(l.histogram[l.current], density)
	}
}

func (l *level) reset() {
	for i := range l.histogram {
		l.histogram[i] *= histogramDecay
		if l.histogram[i] < 0.01 {
			l.histogram[i] = 0
		}
	}
	l.classes = [numClasses]classStats{}
	l.admitted, l.busy, l.capacity = 0, 0, 0
}
