package admit

import (
	"sync"
	"time"
)

const (
	// followTime is how soon after the answer to a call the next one of the same run
	// comes: the upstream and the daemon are on one VM.
	followTime = 2 * time.Millisecond
	// maxSequences bounds the routes that are remembered.
	maxSequences = 1024
)

// Sequences recognises calls that follow an answered call on the same route, as the
// later ones of a run that makes several in a row. It answers overload of a deep service
// that a request needs several times: a run of which a later call is turned away has
// used the room of the earlier ones in vain, so later calls go before first ones, and
// fewer runs are begun. Calls do not tell which run they belong to; this is guessed from
// their times. A wrong guess costs a first call of another run its place. The zero value
// is ready for use.
type Sequences struct {
	mu       sync.Mutex
	answered map[string][]time.Time // by route, answers that nothing has followed yet, oldest first
}

// Answered records a whole answer to a request.
func (s *Sequences) Answered(now time.Time, route string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	times, known := s.answered[route]
	if !known && len(s.answered) >= maxSequences {
		return
	}
	if s.answered == nil {
		s.answered = map[string][]time.Time{}
	}
	s.answered[route] = append(notBefore(times, now.Add(-followTime)), now)
}

// Follows reports whether a request that has just arrived follows an answered one, the
// newest that nothing has followed yet.
func (s *Sequences) Follows(now time.Time, route string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	times := notBefore(s.answered[route], now.Add(-followTime))
	if len(times) == 0 {
		return false
	}
	s.answered[route] = times[:len(times)-1]
	return true
}

func notBefore(times []time.Time, limit time.Time) []time.Time {
	for len(times) > 0 && times[0].Before(limit) {
		times = times[1:]
	}
	return times
}
