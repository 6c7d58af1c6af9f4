package main

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// ordersLimit is the number of changes a day for which the users' letter asks.
	ordersLimit = 21_000
	// snapshotInterval is the number of entries between two snapshots of the project.
	snapshotInterval = 10_000
	// ordersTime bounds the time for the orders.
	ordersTime = 75 * time.Second
	// ordersRoutes is the number of routes of each configuration.
	ordersRoutes = 150
	// readBackTime exceeds the time for the recovery after a final fault, 15 s.
	readBackTime = 20 * time.Second
)

// playLostRemoval checks the rule LOST: after a day with thousands of orders all control VMs lose
// power. On each disk, one of two removals of log files that no sync of the directory followed is
// lost. The newest acknowledged configuration must be read back.
func playLostRemoval(ctx context.Context, r *record, trouble bool) (string, error) {
	d, err := newDeployment(r)
	if err != nil {
		return "", err
	}
	defer d.close()
	if err := d.start(); err != nil {
		return "", err
	}
	if err := d.putConfig(ctx, 0, largeConfiguration(1)); err != nil {
		return "", err
	}
	day := &orderDay{d: d, text: map[int][]byte{}, version: 1}
	disks := make([]*disk, len(d.controls))
	for i, c := range d.controls {
		disks[i] = &disk{dir: filepath.Join(d.dir, c.name+".data", "replica", "group-0"), kept: filepath.Join(d.dir, c.name+".kept")}
	}
	if err := day.play(ctx, disks); err != nil {
		return "", err
	}
	version, text := day.newest()
	r.add("config", "%d orders were sent, version %d is the newest that was acknowledged", day.sent.Load(), version)
	for i, c := range d.controls {
		c.stop(syscall.SIGKILL)
		r.add("disk", "%s: files after the loss of power: %s", c.name, strings.Join(disks[i].files(), " "))
	}
	for i, c := range d.controls {
		if !trouble {
			continue
		}
		if err := disks[i].undoFirstRemoval(); err != nil {
			return "", err
		}
		r.add("disk", "%s: the first removal is lost: %s", c.name, strings.Join(disks[i].files(), " "))
	}
	ends, stop := d.superviseControls()
	defer stop()
	end := time.Now().Add(readBackTime)
	for time.Now().Before(end) {
		for _, c := range d.controls {
			if got, err := readConfig(c); err == nil {
				r.add("read", "%s returned %d bytes", c.name, len(got))
				if !bytes.Equal(got, text) {
					return fmt.Sprintf("the configuration read back isn't the newest acknowledged one, version %d", version), nil
				}
				return "", nil
			}
		}
		time.Sleep(operatorPeriod)
	}
	r.add("result", "no control VM returned the configuration within %s; their processes ended %d times by themselves", readBackTime, ends.Load())
	return fmt.Sprintf("the acknowledged configuration, version %d, doesn't come back; the control processes ended %d times by themselves", version, ends.Load()), nil
}

// disk is the data directory of a control VM. It keeps the first log file under a second name, to put
// it back after its removal.
type disk struct{ dir, kept string }

func (k *disk) files() []string {
	entries, _ := os.ReadDir(k.dir) // an unreadable directory has no files
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names
}

func logFile(n int) string { return fmt.Sprintf("log-%016x", n) }

// observe keeps the first log file, which is complete once the second one exists. It reports whether
// the removal of the first two is the last change of the directory: only the third log file and the
// first snapshot, which is newer, are left. A later snapshot or log file brings a sync of the directory.
func (k *disk) observe() (removed bool, err error) {
	files := k.files()
	first, second := slices.Contains(files, logFile(1)), slices.Contains(files, logFile(2))
	if first && second {
		if err := os.Link(filepath.Join(k.dir, logFile(1)), k.kept); err != nil && !errors.Is(err, os.ErrExist) {
			return false, err
		}
	}
	if len(files) != 2 || files[0] != logFile(3) {
		return false, nil
	}
	var index int
	_, err = fmt.Sscanf(files[1], "snapshot-%016x", &index)
	return err == nil && index < 2*snapshotInterval, nil
}

// undoFirstRemoval puts the first log file back, as after a loss of power in which its removal was not
// durable yet, and that of the second one was.
func (k *disk) undoFirstRemoval() error {
	return os.Rename(k.kept, filepath.Join(k.dir, logFile(1)))
}

// orderDay is a day with many orders, up to eight in progress at a time. Each builds on the version
// that its operator knows; one of those on the same version wins.
type orderDay struct {
	d    *deployment
	sent atomic.Int64

	mu      sync.Mutex
	version int
	text    map[int][]byte // of acknowledged versions
}

// play sends orders until all control VMs have removed two log files.
func (o *orderDay) play(ctx context.Context, disks []*disk) error {
	ctx, cancel := context.WithTimeout(ctx, ordersTime)
	defer cancel()
	var done atomic.Bool
	var all sync.WaitGroup
	for n := range ordersAtOnce {
		all.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second}
			for i := n; !done.Load() && ctx.Err() == nil && o.sent.Load() < ordersLimit; i++ {
				o.order(client, o.d.controls[i%len(o.d.controls)])
			}
		})
	}
	defer all.Wait()
	defer done.Store(true)
	for ctx.Err() == nil {
		removed := 0
		for _, k := range disks {
			gone, err := k.observe()
			if err != nil {
				return err
			}
			if gone {
				removed++
			}
		}
		if removed == len(disks) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("the control VMs did not remove two log files in time")
}

// order sends one order on top of the newest version that is known.
func (o *orderDay) order(client *http.Client, v *vm) {
	base, _ := o.newest()
	text := largeConfiguration(base + 1)
	o.sent.Add(1)
	req, err := http.NewRequest(http.MethodPut, "http://"+v.addr(portControl)+names.ConfigPath, bytes.NewReader(text))
	if err != nil {
		return
	}
	req.Header.Set("If-Match", fmt.Sprint(base))
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body) // only the status matters
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.text[base+1] = text
	o.version = max(o.version, base+1)
}

func (o *orderDay) newest() (int, []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version, o.text[o.version]
}

// largeConfiguration returns a configuration with many routes whose names are random.
func largeConfiguration(version int) []byte {
	routes := make([]string, 0, ordersRoutes)
	for range ordersRoutes {
		routes = append(routes, fmt.Sprintf(routeFormat, "r-"+randomName(), "orders.example", "/"+randomName()+"/", "idempotent", routeTimeout.Milliseconds(), 1500, 0, "orders"))
	}
	return fmt.Appendf(nil, configFormat, version, strings.Join(routes, ","), fmt.Sprintf(serviceFormat, "orders"))
}

func randomName() string {
	var b [12]byte
	for i := range b {
		b[i] = byte(rand.IntN(256))
	}
	return hex.EncodeToString(b[:])
}

// superviseControls starts the processes of the control VMs, and again after a short delay whenever
// one ends by itself. ends counts these ends.
func (d *deployment) superviseControls() (ends *atomic.Int64, stop func()) {
	ends = &atomic.Int64{}
	stopping := make(chan struct{})
	var all sync.WaitGroup
	for _, c := range d.controls {
		all.Go(func() {
			for {
				if err := c.start(); err != nil {
					return
				}
				c.mu.Lock()
				ended := c.ended
				c.mu.Unlock()
				select {
				case <-stopping:
					return
				case <-ended:
				}
				ends.Add(1)
				d.record.add("end", "%s: the process ended by itself", c.name)
				select {
				case <-stopping:
					return
				case <-time.After(restartDelay):
				}
			}
		})
	}
	return ends, func() {
		close(stopping)
		all.Wait()
	}
}
