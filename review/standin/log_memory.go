package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryLimit is memory_mb of a control VM, in bytes.
	memoryLimit = 280 << 20
	// endsLimit is the number of ends on half of the core VMs that breaks the rule.
	endsLimit = 3
	// changesTime bounds the time for the orders.
	changesTime = 95 * time.Second
	// manyServices and routesPerService give the configuration of an installation of the size that the
	// users' letter names.
	manyServices, routesPerService = 240, 10
)

// playLogMemory checks the rule Fault: operators change the configuration of a large installation some
// thousand times. The platform ends a process that uses more memory than its VM has, and starts it
// again. With TROUBLE=0 the same orders carry a small configuration.
func playLogMemory(ctx context.Context, r *record, trouble bool) (string, error) {
	d, err := newDeployment(r)
	if err != nil {
		return "", err
	}
	defer d.close()
	if err := d.start(); err != nil {
		return "", err
	}
	services := manyServices
	if !trouble {
		services = 4
	}
	c := newChanges(d, services)
	if err := d.putConfig(ctx, 0, c.configuration(1)); err != nil {
		return "", err
	}
	r.add("config", "%d routes, %d bytes", services*routesPerService, len(c.configuration(1)))
	watch := newMemoryWatch(d)
	defer watch.stop()
	c.play(ctx, watch)
	overdue := trouble && !watch.broken() && c.sent.Load() < changesLimit
	read := "is not read back within 10 s after the last order"
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(operatorPeriod) {
		if _, err := readConfig(d.controls[rand.IntN(len(d.controls))]); err == nil {
			read = "is read back after the last order"
			break
		}
	}
	r.add("read", "the configuration %s", read)
	r.add("result", "%d orders were sent, %d acknowledged; ends for lack of memory: %v; most memory: %v MB", c.sent.Load(), c.accepted.Load(), watch.endsByVM(), watch.peaks())
	switch {
	case overdue:
		return "", errors.New("the orders took too long on this machine")
	case !watch.broken():
		return "", nil
	}
	return fmt.Sprintf("processes of the core ended for lack of memory, without an impairment: %v times on the three core VMs, after %d orders", watch.endsByVM(), c.sent.Load()), nil
}

// changes are the orders of a day, up to eight in progress at a time.
type changes struct {
	d        *deployment
	routes   []string
	services string
	first    string // the service of the route that changes
	version  atomic.Int64
	sent     atomic.Int64
	accepted atomic.Int64
	leader   atomic.Pointer[string]
}

func newChanges(d *deployment, services int) *changes {
	c := &changes{d: d}
	var list []string
	for range services {
		service := randomWord(7)
		c.first = service // any of them
		list = append(list, fmt.Sprintf(serviceFormat, service))
		for range routesPerService {
			c.routes = append(c.routes, c.route(service, randomWord(6)+".example"))
		}
	}
	c.services = strings.Join(list, ",")
	c.version.Store(1)
	address := d.controls[0].addr(portControl)
	c.leader.Store(&address)
	return c
}

func (c *changes) route(service, host string) string {
	return fmt.Sprintf(routeFormat, "r-"+randomWord(7), host, "/"+randomWord(7)+"/", "idempotent", 1000+100*rand.IntN(50), 500+100*rand.IntN(20), rand.IntN(3), service)
}

const letters = "abcdefghijklmnopqrstuvwxyz0123456789"

func randomWord(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = letters[rand.IntN(len(letters))]
	}
	return string(b)
}

// configuration returns the configuration of a version: one route is another one each time.
func (c *changes) configuration(version int64) []byte {
	routes := slices.Clone(c.routes)
	routes[rand.IntN(len(routes))] = c.route(c.first, randomWord(6)+".example")
	return fmt.Appendf(nil, configFormat, version, strings.Join(routes, ","), c.services)
}

// play sends orders until the rule is broken, the day's orders have been sent or the time is over.
func (c *changes) play(ctx context.Context, watch *memoryWatch) {
	ctx, cancel := context.WithTimeout(ctx, changesTime)
	defer cancel()
	var all sync.WaitGroup
	for range ordersAtOnce {
		all.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
			for ctx.Err() == nil && !watch.broken() && c.sent.Load() < changesLimit {
				c.order(ctx, client)
			}
		})
	}
	all.Wait()
}

// changesLimit is a part of the changes a day for which the users' letter asks.
const changesLimit = 9_000

// order sends one order to the leader. After a failure it moves on to another control VM.
func (c *changes) order(ctx context.Context, client *http.Client) {
	base := c.version.Load()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+*c.leader.Load()+names.ConfigPath, bytes.NewReader(c.configuration(base+1)))
	if err != nil {
		return
	}
	req.Header.Set("If-Match", fmt.Sprint(base))
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		c.moveOn()
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body) // only the status matters
	_ = resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusOK:
		c.version.CompareAndSwap(base, base+1)
		c.accepted.Add(1)
		c.sent.Add(1)
	case resp.StatusCode == http.StatusTemporaryRedirect:
		address := strings.Split(strings.TrimPrefix(resp.Header.Get("Location"), "http://"), "/")[0]
		c.leader.Store(&address)
	case resp.StatusCode >= http.StatusInternalServerError:
		c.moveOn()
	default:
		c.sent.Add(1)
	}
}

func (c *changes) moveOn() {
	address := c.d.controls[rand.IntN(len(c.d.controls))].addr(portControl)
	c.leader.Store(&address)
	time.Sleep(operatorPeriod)
}

// memoryWatch ends the processes of the control VMs that use more memory than their VM has, as the
// platform does, and starts them again after a short delay.
type memoryWatch struct {
	d       *deployment
	stopped chan struct{}
	all     sync.WaitGroup

	mu   sync.Mutex
	ends []int
	peak []int64
}

func newMemoryWatch(d *deployment) *memoryWatch {
	w := &memoryWatch{d: d, stopped: make(chan struct{}), ends: make([]int, len(d.controls)), peak: make([]int64, len(d.controls))}
	for i, v := range d.controls {
		w.all.Go(func() { w.watch(i, v) })
	}
	return w
}

func (w *memoryWatch) watch(i int, v *vm) {
	for {
		select {
		case <-w.stopped:
			return
		case <-time.After(50 * time.Millisecond):
		}
		used := v.memory()
		w.mu.Lock()
		w.peak[i] = max(w.peak[i], used)
		w.mu.Unlock()
		if used <= memoryLimit {
			continue
		}
		w.d.record.add("memory", "%s uses %d MB of its %d and is ended", v.name, used>>20, memoryLimit>>20)
		v.stop(syscall.SIGKILL)
		w.mu.Lock()
		w.ends[i]++
		w.mu.Unlock()
		time.Sleep(restartDelay)
		if err := v.start(); err != nil {
			return
		}
	}
}

// memory returns the bytes of anonymous memory that the process of a VM uses.
func (v *vm) memory() int64 {
	v.mu.Lock()
	pid := v.cmd.Process.Pid
	v.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		var kb int64
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kb); n == 1 {
			return kb << 10
		}
	}
	return 0
}

func (w *memoryWatch) stop() {
	close(w.stopped)
	w.all.Wait()
}

func (w *memoryWatch) endsByVM() []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]int(nil), w.ends...)
}

func (w *memoryWatch) peaks() []int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var mb []int64
	for _, p := range w.peak {
		mb = append(mb, p>>20)
	}
	return mb
}

// broken reports whether the processes on half of the control VMs have ended three times.
func (w *memoryWatch) broken() bool {
	n := 0
	for _, ends := range w.endsByVM() {
		if ends >= endsLimit {
			n++
		}
	}
	return 2*n >= len(w.d.controls)
}
