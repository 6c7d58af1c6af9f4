package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// judge keeps what callers, operators and upstreams have seen, and the promises
// that were broken.
type judge struct {
	mu         sync.Mutex
	violations []string

	runs      map[string]int         // of requests that must run at most once, by id
	refusedAt map[string]time.Time   // such requests that were said not to have run
	drainedAt map[string]time.Time   // upstreams whose leaving was confirmed
	asked     map[string][]time.Time // requests that callers and upstreams sent, by service
	repeats   map[string][]time.Time // arrivals of requests that had arrived before, by service
	seen      map[string]bool        // requests that have arrived once
	accepted  map[uint64]time.Time   // configurations by the time of their confirmation
	newest    uint64
	outcomes  map[string]int // answers to callers
	served    []sample
}

type sample struct {
	at time.Time
	ok bool
}

func newJudge() *judge {
	return &judge{
		runs: map[string]int{}, refusedAt: map[string]time.Time{}, drainedAt: map[string]time.Time{},
		asked: map[string][]time.Time{}, repeats: map[string][]time.Time{}, seen: map[string]bool{}, accepted: map[uint64]time.Time{}, outcomes: map[string]int{},
	}
}

func (j *judge) violate(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violateLocked(format, args...)
}

// maxViolations keeps the report of a run readable.
const maxViolations = 20

func (j *judge) violateLocked(format string, args ...any) {
	if len(j.violations) < maxViolations {
		j.violations = append(j.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// ran records that an upstream begins to work on a request.
func (j *judge) ran(request string, kind requestKind, service, upstream string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	if j.seen[request] {
		j.repeats[service] = append(j.repeats[service], now)
	}
	j.seen[request] = true
	if at, ok := j.drainedAt[upstream]; ok && now.Sub(at) > drainWithin {
		j.violateLocked("draining: request %s reached %s %s after its leaving was confirmed", request, upstream, now.Sub(at))
	}
	if kind == read {
		return
	}
	j.runs[request]++
	if j.runs[request] > 1 {
		j.violateLocked("at most once: request %s ran again at %s", request, upstream)
	}
	if _, refused := j.refusedAt[request]; refused {
		j.violateLocked("not run: request %s runs at %s after it was refused", request, upstream)
	}
}

// sends records that a request to a service is sent.
func (j *judge) sends(service string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.asked[service] = append(j.asked[service], time.Now())
}

// refused records that a caller was told that a request has not run.
func (j *judge) refused(request string, kind requestKind) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if kind == read {
		return
	}
	j.refusedAt[request] = time.Now()
	if j.runs[request] > 0 {
		j.violateLocked("not run: request %s was refused, but has run", request)
	}
}

func (j *judge) drained(upstream string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.drainedAt[upstream].IsZero() {
		j.drainedAt[upstream] = time.Now()
	}
}

// answered records what a caller got.
func (j *judge) answered(outcome string, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outcomes[outcome]++
	j.served = append(j.served, sample{time.Now(), ok})
}

// confirmed records the confirmation of a configuration.
func (j *judge) confirmed(number uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.accepted[number].IsZero() {
		j.accepted[number] = time.Now()
	}
	j.newest = max(j.newest, number)
}

// confirmedAt is when a configuration was confirmed first, now if it was not.
func (j *judge) confirmedAt(number uint64) time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	if at, ok := j.accepted[number]; ok {
		return at
	}
	return time.Now()
}

func (j *judge) newestAccepted() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.newest
}

// checkBudget checks that repeats stayed within the budget in each window that ends with
// one. A request that was sent just before a window may be repeated in it.
func (j *judge) checkBudget() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for service, repeats := range j.repeats {
		asked := j.asked[service]
		slices.SortFunc(asked, time.Time.Compare)
		slices.SortFunc(repeats, time.Time.Compare)
		for i, end := range repeats {
			begin := end.Add(-budgetSpan)
			inWindow := i + 1 - firstAfter(repeats, begin)
			requests := firstAfter(asked, end) - firstAfter(asked, begin.Add(-requestTimeout))
			if float64(inWindow) > budgetRatio*float64(requests)+budgetSlack {
				j.violateLocked("retry budget: %d repeats for %d requests to %s in %s", inWindow, requests, service, budgetSpan)
				break
			}
		}
	}
}

// firstAfter is the index of the first time after a limit.
func firstAfter(times []time.Time, limit time.Time) int {
	i, _ := slices.BinarySearchFunc(times, limit, func(t, limit time.Time) int {
		if t.After(limit) {
			return 1
		}
		return -1
	})
	return i
}

// servedSince returns the share of requests that were answered well after a time.
func (j *judge) servedSince(t time.Time) (share float64, n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	ok := 0
	for _, s := range j.served {
		if s.at.After(t) {
			n++
			if s.ok {
				ok++
			}
		}
	}
	return float64(ok) / float64(max(n, 1)), n
}

func (j *judge) report() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var names []string
	for name := range j.outcomes {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "%s=%d ", name, j.outcomes[name])
	}
	fmt.Fprintf(&b, "configurations=%d", len(j.accepted))
	return b.String()
}
