package routing

import (
	"math"
	"slices"
	"sync"
)

// WeightedSelector distributes the requests of a route among its targets by smooth weighted
// round robin: any sequence of consecutive requests comes as close to the weights as whole
// requests can. It is safe for concurrent use.
type WeightedSelector struct {
	mu      sync.Mutex
	targets []Target
	credit  []int
	total   int
}

// NewWeightedSelector returns a WeightedSelector for the targets. It skips the given number
// of selections, so that daemons that start together do not all begin with the same target.
func NewWeightedSelector(targets []Target, skip int) *WeightedSelector {
	s := &WeightedSelector{targets: scaleWeights(targets), credit: make([]int, len(targets))}
	for _, t := range s.targets {
		s.total += t.Weight
	}
	if s.total > 0 {
		for range skip % s.total {
			s.Next()
		}
	}
	return s
}

// Next returns the service for the next request.
func (s *WeightedSelector) Next() string {
	if len(s.targets) == 1 {
		return s.targets[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for i, t := range s.targets {
		s.credit[i] += t.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= s.total
	return s.targets[best].Service
}

// maxTotalWeight is the total up to which weights are used as they are. Up to it, credits cannot
// overflow and skipping takes little time, and no service gets measurably more or less than its part.
const maxTotalWeight = 100_000

// scaleWeights returns the targets with weights in the same proportions whose total does not
// exceed maxTotalWeight by more than the number of targets. A weight above 0 stays above 0.
func scaleWeights(targets []Target) []Target {
	total := 0.0
	for _, t := range targets {
		total += float64(t.Weight)
	}
	if total <= maxTotalWeight {
		return targets
	}
	scaled := slices.Clone(targets)
	for i, t := range targets {
		if t.Weight > 0 {
			scaled[i].Weight = max(1, int(math.Round(float64(t.Weight)/total*maxTotalWeight)))
		}
	}
	return scaled
}
