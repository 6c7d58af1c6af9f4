package admit

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

const (
	// riseStep is the part of the observed arrivals that one rise sheds in
	// addition; larger steps oscillate, smaller ones need seconds for a surge.
	riseStep = 0.05
	// fallStep is the part of the observed arrivals that one fall admits again.
	fallStep = 0.01
	// maxFallStep bounds the doubling of fallStep while capacity is spare.
	maxFallStep = 0.25
	// histogramKeep is the weight of earlier periods in the histogram.
	histogramKeep = 0.7
	// maxLevel always admits the highest priority, so that load keeps being
	// measured and a gate never closes by its own level.
	maxLevel = chain.MaxPriority - 1
)

// level is the admission level of a gate and what it is derived from.
type level struct {
	current   chain.Priority
	histogram [chain.MaxPriority]float32 // arrivals by priority, decayed by period
	total     float32
	step      float32 // next fall

	waits    int
	waitSum  time.Duration
	arrivals int
	noRoom   int  // refusals of this period for lack of room or time in the queue
	wasFull  bool // the limit was reached in this period
}

func (l *level) arrive(p chain.Priority) {
	l.histogram[p]++
	l.total++
	l.arrivals++
}

func (l *level) wait(d time.Duration) {
	l.waits++
	l.waitSum += d
}

// adapt ends a period. oldest is the wait of the oldest queued entry.
func (l *level) adapt(target, oldest time.Duration, queued int) {
	mean := time.Duration(0)
	if l.waits > 0 {
		mean = l.waitSum / time.Duration(l.waits)
	} else if queued > 0 {
		mean = oldest // nothing was started in the whole period
	}
	switch {
	case mean > target || l.noRoom > 0:
		l.rise()
	case l.wasFull || queued > 0:
		l.step = fallStep
		l.fall()
	default:
		l.fall()
		l.step = min(2*l.step, maxFallStep)
	}
	l.reset()
}

// rise sheds riseStep more of the arrivals, or the part that found no room if
// that is larger: 5% a period would need two seconds for a fifteenfold surge.
func (l *level) rise() {
	l.step = fallStep
	part := float32(riseStep)
	if l.arrivals > 0 {
		part = max(part, float32(l.noRoom)/float32(l.arrivals))
	}
	want := part * l.total
	for l.current < maxLevel && want > 0 {
		want -= l.histogram[l.current]
		l.current++
	}
}

func (l *level) fall() {
	want := max(l.step, fallStep) * l.total
	for l.current > 0 {
		l.current--
		want -= l.histogram[l.current]
		if want <= 0 && l.histogram[l.current] > 0 {
			return
		}
	}
}

func (l *level) reset() {
	l.total = 0
	for i := range l.histogram {
		l.histogram[i] *= histogramKeep
		if l.histogram[i] < 0.01 {
			l.histogram[i] = 0
		}
		l.total += l.histogram[i]
	}
	l.waits, l.waitSum, l.arrivals, l.noRoom, l.wasFull = 0, 0, 0, 0, false
}
