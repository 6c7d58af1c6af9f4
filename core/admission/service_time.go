package admission

import "time"

// serviceTime is the moving average of the time that requests execute, including the time spent
// waiting for dependencies.
type serviceTime struct {
	mean    time.Duration
	sampled bool // observed a request since the last decay
}

// observe adds the execution time of a request. A failed request shows only that the service
// takes at least that long, so it never lowers the mean: otherwise, fast failures would make it
// seem that queued requests can meet their deadlines.
func (s *serviceTime) observe(took time.Duration, ok bool) {
	if !ok && took < s.mean {
		return
	}
	s.sampled = true
	if s.mean == 0 {
		s.mean = took
		return
	}
	s.mean += (took - s.mean) / 8
}

// decay lowers a mean that got no sample since the last decay. Otherwise, a mean above every
// client's deadline would reject all requests and never be corrected.
func (s *serviceTime) decay() {
	if !s.sampled {
		s.mean -= s.mean / 10
	}
	s.sampled = false
}

// canMeetDeadline reports whether the remaining time is at least the given ratio of the mean
// service time.
func (s *serviceTime) canMeetDeadline(remaining time.Duration, ratio float64) bool {
	return remaining > 0 && remaining >= time.Duration(ratio*float64(s.mean))
}
