package daemon

import (
	"context"
	"sync"
	"time"
)

// startDrain announces the planned stop and refuses new work at the gate.
func (d *Daemon) startDrain() {
	d.drainOnce.Do(func() {
		d.snapshotMu.Lock()
		d.draining.Store(true)
		if c := d.snapshot.Load(); c != nil {
			d.updateBalancers(c.source, c)
		}
		if g := d.admissionQueue.Load(); g != nil {
			g.Drain()
		}
		d.snapshotMu.Unlock()
		d.updateState()
		close(d.drainStarted)
	})
}

// shutdown ends the listeners in an order in which nothing in flight loses what it
// needs: the exit listener stays open until the handlers are done.
func (d *Daemon) shutdown() error {
	d.waitDrainDelay()
	var first sync.WaitGroup
	for _, s := range []*server{&d.listeners.ingress, &d.listeners.peer} {
		first.Go(func() { d.shutdownServer(s) })
	}
	first.Wait()
	d.waitBackgroundClaims()
	d.shutdownServer(&d.listeners.egress)
	d.stopped.Store(true)
	d.updateState()
	_ = d.listeners.admin.http.Close() // nothing in flight there matters
	return nil
}

// waitDrainDelay keeps the entrance routing while the other daemons learn of the stop.
func (d *Daemon) waitDrainDelay() {
	timer := time.NewTimer(d.cfg.DrainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.killed.Done():
	}
}

// shutdownServer stops one listener and waits for what is in flight, however slow.
// Only Kill ends the wait.
func (d *Daemon) shutdownServer(s *server) {
	if s.http.Shutdown(d.killed) != nil {
		_ = s.http.Close() // killed
	}
}

// waitBackgroundClaims waits until the ends of claims have been recorded.
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
