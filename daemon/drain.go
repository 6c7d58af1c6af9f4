package daemon

import (
	"context"
	"sync"
	"time"
)

// startDrain starts a graceful shutdown: it sets the state to draining and rejects new requests at
// the admission queue.
func (d *Daemon) startDrain() {
	d.drainOnce.Do(func() {
		d.snapshotMu.Lock()
		d.draining.Store(true)
		if active := d.snapshot.Load(); active != nil {
			d.updateBalancers(active.source, active)
		}
		if queue := d.admissionQueue.Load(); queue != nil {
			queue.Drain()
		}
		d.snapshotMu.Unlock()
		d.updateState()
		close(d.drainStarted)
	})
}

// shutdown closes the listeners after the requests in flight have completed. The egress listener
// stays open until then, because the local upstream may need it to complete its requests.
func (d *Daemon) shutdown() error {
	d.waitDrainDelay()
	var shutdowns sync.WaitGroup
	for _, s := range []*server{&d.listeners.ingress, &d.listeners.peer} {
		shutdowns.Go(func() { d.shutdownServer(s) })
	}
	shutdowns.Wait()
	d.waitBackgroundClaims()
	d.shutdownServer(&d.listeners.egress)
	d.stopped.Store(true)
	d.updateState()
	_ = d.listeners.admin.http.Close() // requests to the admin listener may be aborted
	return nil
}

// waitDrainDelay waits until the other daemons have received the draining state. The ingress
// listener accepts requests until then.
func (d *Daemon) waitDrainDelay() {
	timer := time.NewTimer(d.cfg.DrainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.killed.Done():
	}
}

// shutdownServer closes one listener and waits for its requests in flight without a timeout. Only
// Kill ends the wait.
func (d *Daemon) shutdownServer(s *server) {
	if s.http.Shutdown(d.killed) != nil {
		_ = s.http.Close() // killed
	}
}

// waitBackgroundClaims waits until the claims of completed requests have been finished or released.
func (d *Daemon) waitBackgroundClaims() {
	done, cancel := context.WithCancel(context.Background())
	go func() {
		d.backgroundClaims.Wait()
		cancel()
	}()
	select {
	case <-done.Done():
	case <-d.killed.Done():
		cancel()
	}
}
