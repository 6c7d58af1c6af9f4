package forward

import (
	"context"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/httpwire"
)

// Durations of a graceful shutdown.
const (
	// readinessPropagation is the time within which clients notice that the daemon is not
	// ready: two health checks, one a second, and the transmission of the last request.
	readinessPropagation = 2500 * time.Millisecond
	// killMargin is left between the end of all execution and the end of the shutdown grace
	// period.
	killMargin = 300 * time.Millisecond
	// lastAnswerTime is the part of killMargin in which peers return the calls that the daemon
	// withdraws at the end: several round trips between regions.
	lastAnswerTime = 150 * time.Millisecond
	// maxWithdrawalLead is how long before the end of all execution the daemon gives up requests
	// that still wait. An execution that begins later would often be cut off.
	maxWithdrawalLead = time.Second
	// defaultShutdownGracePeriod applies if none is configured.
	defaultShutdownGracePeriod = 30 * time.Second
)

// withdrawalLead is maxWithdrawalLead, or less if the grace period is short.
func withdrawalLead(grace time.Duration) time.Duration { return min(maxWithdrawalLead, grace/6) }

// shutdown stops the daemon without interrupting requests. Until clients have noticed that
// the daemon is not ready, the local upstream is used as before, except for calls that may
// outlive the shutdown grace period: the upstream keeps running, and its capacity may be
// needed. After that, new calls go to other upstreams and requests in flight complete. Those
// that no upstream has begun to execute shortly before the end are withdrawn.
func (f *Forwarder) shutdown() {
	startedAt := time.Now()
	grace := f.cfg.ShutdownGracePeriod
	if grace <= 0 {
		grace = defaultShutdownGracePeriod
	}
	f.draining.Store(true)
	f.ingress.Drain()
	f.local.setShutdownDeadline(f.cfg.Now().Add(grace - killMargin))
	f.cfg.Logger.Info().Int("in_flight", f.inFlight()).Dur("grace", grace).Msg("planned stop begins")
	time.Sleep(time.Until(startedAt.Add(min(readinessPropagation, grace/2))))
	f.stopAccepting()
	end := startedAt.Add(grace - killMargin)
	f.awaitIdle(end.Add(-withdrawalLead(grace)))
	f.withdrawWaiting()
	f.awaitIdle(end)
	f.withdrawal.endAll()
	f.awaitIdle(end.Add(lastAnswerTime))
	f.closeServers(end.Add(lastAnswerTime))
	f.cfg.Logger.Info().Dur("took", time.Since(startedAt)).Msg("planned stop ends")
}

// inFlight returns the number of requests and calls whose response has not been written.
func (f *Forwarder) inFlight() int { return f.ingress.InFlight() + f.peerServer.InFlight() }

// withdrawWaiting ends the requests that no upstream has begun to execute.
func (f *Forwarder) withdrawWaiting() {
	if n := f.inFlight(); n > 0 {
		f.cfg.Logger.Info().Int("in_flight", n).Msg("planned stop withdraws waiting requests")
	}
	f.withdrawal.endWaiting()
}

// closeServers closes the listeners and, at the given time at the latest, all connections.
func (f *Forwarder) closeServers(end time.Time) {
	_ = f.ingressListener.Close() // the process ends, so errors are ignored
	_ = f.peerListener.Close()    // as above
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	var servers sync.WaitGroup
	servers.Go(func() { f.ingress.Shutdown(ctx) })
	servers.Go(func() { f.peerServer.Shutdown(ctx) })
	servers.Wait()
}

// stopAccepting rejects new calls for the local upstream, and requests at the ingress
// listener that may outlive the daemon. It is called once clients have had time to notice
// the shutdown.
func (f *Forwarder) stopAccepting() {
	f.peerServer.Drain()
	f.local.drain()
}

// awaitIdle waits until no request is in flight, or until a time.
func (f *Forwarder) awaitIdle(end time.Time) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for f.inFlight() > 0 && time.Now().Before(end) {
		<-ticker.C
	}
}

// withdrawal ends the requests that wait when the daemon is about to stop, so that each of them gets a
// response. A request waits while its body is read, and while a daemon queues it; the queue of this
// daemon is drained before.
type withdrawal struct {
	waiting    context.Context // its end withdraws calls that have not been executed
	endWaiting context.CancelFunc
	all        context.Context // its end withdraws calls whatever their state
	endAll     context.CancelFunc
}

func newWithdrawal() *withdrawal {
	w := &withdrawal{}
	w.waiting, w.endWaiting = context.WithCancel(context.Background())
	w.all, w.endAll = context.WithCancel(context.Background())
	return w
}

// withdrawalOf returns the context whose end withdraws a call, nil if the call ends before the daemon.
// A call whose withdrawal would also end an execution that has begun is withdrawn last.
func (f *Forwarder) withdrawalOf(c *call, endsExecution bool) context.Context {
	switch {
	case f.local.shutdownDeadline.Load() != nil && !f.local.outlivesShutdown(c):
		return nil
	case endsExecution:
		return f.withdrawal.all
	}
	return f.withdrawal.waiting
}

// isWithdrawn reports whether a call must not wait any more.
func (f *Forwarder) isWithdrawn(c *call) bool {
	ctx := f.withdrawalOf(c, false)
	return ctx != nil && ctx.Err() != nil
}

// shutdownRetryAfter is the Retry-After of a rejection by a daemon that is shutting down.
// Another daemon can take the request at once, so only the new connection takes time.
const shutdownRetryAfter = 50 * time.Millisecond

// rejectedByShutdown returns the result of a request that has not been executed because this daemon
// shuts down.
func rejectedByShutdown() *result {
	res := rejected(chain.ReasonStopping, "the daemon stops before the deadline of the request")
	res.retryAfter = shutdownRetryAfter
	return res
}

// asWithdrawn returns the result of a call that its upstream's daemon has ended because it was
// withdrawn. Other results are returned unchanged.
func asWithdrawn(withdrawal context.Context, res *result) *result {
	if res.failure == nil || res.failure.Reason != chain.ReasonCancelled || withdrawal == nil || withdrawal.Err() == nil {
		return res
	}
	if res.failure.Outcome == chain.NotRun {
		rejection := rejectedByShutdown()
		rejection.loadReport = res.loadReport
		return rejection
	}
	res.failure = chain.NewFailure(res.failure.Outcome, chain.ReasonStopping, "the daemon stopped while the upstream executed the request")
	return res
}

// readBody buffers the body of a call. The reading ends when the daemon is about to stop: a request that
// its upstream has not received can be rejected.
func (f *Forwarder) readBody(c *call, from *httpwire.Body) *chain.Failure {
	interrupted := func() bool { return false }
	if ctx := f.withdrawalOf(c, false); ctx != nil {
		stop := context.AfterFunc(ctx, from.Interrupt)
		interrupted = func() bool { return !stop() }
	}
	failure := c.readBody(from, from.Length)
	if interrupted() && failure == nil && c.stream != nil {
		return bodyFailure(httpwire.ErrBodyInterrupted) // the rest of the body cannot be read
	}
	return failure
}
