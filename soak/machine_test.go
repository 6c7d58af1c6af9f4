package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Intervals of the measurement of the machine.
const (
	machineInterval = 10 * time.Millisecond
	// longHold is the time from which on a hold of the machine is reported: heartbeats of control replicas
	// are 250 ms apart, and leadership is lost after 0.9 s without them.
	longHold = 200 * time.Millisecond
)

// machineWatch measures for how long the machine holds up a process: this one when it wants to run, and a
// write when it is synced to the disk that the control replicas use. All VMs of a cluster share that
// machine, so a long hold affects all of them at once, which no injected fault does.
type machineWatch struct {
	mu     sync.Mutex
	events []string
	worst  map[string]time.Duration
}

// run measures until ctx ends.
func (w *machineWatch) run(ctx context.Context, dir string) {
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() {
		w.measure(ctx, "processor", func() { time.Sleep(machineInterval) }, machineInterval)
	})
	f, err := os.Create(filepath.Join(dir, "machine-watch"))
	if err != nil {
		w.record("disk", 0, err.Error())
		return
	}
	defer func() { _ = f.Close() }() // nothing in it is needed
	all.Go(func() {
		w.measure(ctx, "disk", func() {
			_, _ = f.WriteAt([]byte("x"), 0) // only the time counts
			_ = f.Sync()                     // as above
		}, 0)
	})
	<-ctx.Done()
	all.Wait()
}

// measure records by how much an action exceeds the time that it should take.
func (w *machineWatch) measure(ctx context.Context, what string, action func(), expected time.Duration) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		action()
		w.record(what, time.Since(startedAt)-expected, "")
		time.Sleep(machineInterval)
	}
}

func (w *machineWatch) record(what string, held time.Duration, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.worst == nil {
		w.worst = map[string]time.Duration{}
	}
	w.worst[what] = max(w.worst[what], held)
	if held >= longHold || text != "" {
		w.events = append(w.events, fmt.Sprintf("%s %s held up for %s %s", time.Now().Format("15:04:05.000"), what, held.Round(time.Millisecond), text))
	}
}

// summary returns the longest holds, and when each long one ended.
func (w *machineWatch) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := fmt.Sprintf("longest holds: processor %s, disk %s", w.worst["processor"].Round(time.Millisecond), w.worst["disk"].Round(time.Millisecond))
	return strings.Join(append([]string{s}, w.events...), "\n")
}
