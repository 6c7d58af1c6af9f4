package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// checker records what callers, operators and upstreams observe, and the violations of
// the guarantees of the system.
type checker struct {
	mu         sync.Mutex
	violations []string

	executions     map[string]int         // number of executions of requests that must execute at most once, by id
	rejectedAt     map[string]time.Time   // rejections of such requests, by id
	drainedAt      map[string]time.Time   // first acknowledgement of a draining heartbeat, by upstream
	requests       map[string][]time.Time // requests sent by callers and upstreams, by service
	retries        map[string][]time.Time // executions of requests that had executed before, by service
	seen           map[string]bool        // ids of requests that have executed
	firstConfirmed map[uint64]time.Time   // first confirmation, by configuration number
	newest         uint64
	outcomes       map[string]int // number of results of callers, by outcome
	samples        []sample
}

// sample is the result of one request at its caller.
type sample struct {
	at time.Time
	ok bool
}

func newChecker() *checker {
	return &checker{
		executions: map[string]int{}, rejectedAt: map[string]time.Time{}, drainedAt: map[string]time.Time{},
		requests: map[string][]time.Time{}, retries: map[string][]time.Time{}, seen: map[string]bool{}, firstConfirmed: map[uint64]time.Time{}, outcomes: map[string]int{},
	}
}

// addViolation records a violation with the current time.
func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(format, args...)
}

// maxViolations keeps the output of a run readable.
const maxViolations = 20

func (c *checker) addViolationLocked(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// recordExecution records that an upstream starts to execute a request.
func (c *checker) recordExecution(id string, kind requestKind, service, upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.seen[id] {
		c.retries[service] = append(c.retries[service], now)
	}
	c.seen[id] = true
	if at, ok := c.drainedAt[upstream]; ok && now.Sub(at) > drainWithin {
		c.addViolationLocked("draining: request %s reached %s %s after its draining was acknowledged", id, upstream, now.Sub(at))
	}
	if kind == read {
		return
	}
	c.executions[id]++
	if c.executions[id] > 1 {
		c.addViolationLocked("at most once: request %s was executed again at %s", id, upstream)
	}
	if _, rejected := c.rejectedAt[id]; rejected {
		c.addViolationLocked("not run: request %s was executed at %s after its rejection", id, upstream)
	}
}

// recordRequest records that a caller or an upstream sends a request to a service.
func (c *checker) recordRequest(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[service] = append(c.requests[service], time.Now())
}

// recordRejection records a response to a caller that says that the request was not
// executed.
func (c *checker) recordRejection(id string, kind requestKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kind == read {
		return
	}
	c.rejectedAt[id] = time.Now()
	if c.executions[id] > 0 {
		c.addViolationLocked("not run: request %s was rejected, but was executed", id)
	}
}

// recordDraining records that a daemon has acknowledged that its upstream drains.
func (c *checker) recordDraining(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drainedAt[upstream].IsZero() {
		c.drainedAt[upstream] = time.Now()
	}
}

// recordOutcome records the result of a request at its caller.
func (c *checker) recordOutcome(outcome string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[outcome]++
	c.samples = append(c.samples, sample{time.Now(), ok})
}

// recordConfirmation records that control has confirmed a configuration.
func (c *checker) recordConfirmation(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstConfirmed[version].IsZero() {
		c.firstConfirmed[version] = time.Now()
	}
	c.newest = max(c.newest, version)
}

// confirmedAt returns the time of the first confirmation of a configuration, or the
// current time if it is not confirmed.
func (c *checker) confirmedAt(version uint64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, ok := c.firstConfirmed[version]; ok {
		return at
	}
	return time.Now()
}

func (c *checker) newestConfirmed() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// checkRetryBudget checks that retries stayed within the budget in each window that ends
// with a retry. Requests sent up to requestTimeout before the window count too, because
// they may be retried in it.
func (c *checker) checkRetryBudget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, retries := range c.retries {
		requests := c.requests[service]
		slices.SortFunc(requests, time.Time.Compare)
		slices.SortFunc(retries, time.Time.Compare)
		for i, end := range retries {
			begin := end.Add(-budgetWindow)
			retryCount := i + 1 - firstAfter(retries, begin)
			requestCount := firstAfter(requests, end) - firstAfter(requests, begin.Add(-requestTimeout))
			if float64(retryCount) > budgetRatio*float64(requestCount)+budgetMinRetries {
				c.addViolationLocked("retry budget: %d retries for %d requests to %s in %s", retryCount, requestCount, service, budgetWindow)
				break
			}
		}
	}
}

// firstAfter returns the index of the first time that is after the given time.
func firstAfter(times []time.Time, after time.Time) int {
	i, _ := slices.BinarySearchFunc(times, after, func(t, after time.Time) int {
		if t.After(after) {
			return 1
		}
		return -1
	})
	return i
}

// successRatioSince returns the fraction of successful requests after t and their total
// number.
func (c *checker) successRatioSince(t time.Time) (ratio float64, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok := 0
	for _, s := range c.samples {
		if s.at.After(t) {
			n++
			if s.ok {
				ok++
			}
		}
	}
	return float64(ok) / float64(max(n, 1)), n
}

func (c *checker) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name := range c.outcomes {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "%s=%d ", name, c.outcomes[name])
	}
	fmt.Fprintf(&b, "configurations=%d", len(c.firstConfirmed))
	return b.String()
}
