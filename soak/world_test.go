// Package soak runs fleets of real processes on loopback for as long as it is
// told, injects faults from outside and checks the promises from what callers and
// upstreams see. Each run has a seed from which its schedule of faults follows.
package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/internal/faultproxy"
	"github.com/bilberrydeck/bilberrydeck/platform"
)

// The terms of the fleet, shorter than the users' so that a run sees more of them.
const (
	grace       = 4 * time.Second
	applyWithin = 2 * time.Second
	drainWithin = 2 * time.Second
	budgetRatio = 0.02
	budgetSlack = 4
	budgetSpan  = 10 * time.Second
	reportEvery = 500 * time.Millisecond

	requestTimeout = 1500 * time.Millisecond // of the routes
)

// Ports of each VM; VMs differ by their loopback address.
const (
	portPeer = 21000 + iota
	portUpstream
	portReady
	portEntrance
	portControl
	portReplica = 21020
)

// world is one fleet: control replicas, daemons with their upstreams, and a proxy
// on each link between two VMs.
type world struct {
	t        *testing.T
	net      int // second byte of the addresses
	dir      string
	judge    *judge
	client   platform.Client
	activity activity

	seed uint64

	controls []*vm
	daemons  []*vm
	links    map[[2]*vm][]*faultproxy.Proxy // by sender and receiver
}

// vm is one VM with one process of the system.
type vm struct {
	w        *world
	name     string
	host     string
	role     string // command of the process
	settings platform.Settings
	upstream *upstream // beside a daemon

	disturbed sync.Mutex // held by the fault that goes on

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	boot    int // counts starts
	frozen  bool
	stopped time.Time // of the planned stop in progress, zero if there is none
}

var binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "bilberrydeck-soak-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "bilberrydeck")
	out, err := exec.Command("go", "build", "-o", path, "../cmd/bilberrydeck").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build: %w: %s", err, out)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := binary(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path)) // a leftover of a test
	}
	os.Exit(code)
}

var services = []string{"rounds", "bookings", "photos"}

func newWorld(t *testing.T, seed uint64, controls, daemons int) *world {
	w := &world{
		t: t, seed: seed, net: 64 + int(seed%150), dir: t.TempDir(), judge: newJudge(),
		client: platform.Client{HTTP: &http.Client{Timeout: 2 * time.Second}}, links: map[[2]*vm][]*faultproxy.Proxy{},
	}
	for i := range controls {
		w.controls = append(w.controls, w.newVM(fmt.Sprint("control-", i), i, "fleet-control"))
	}
	for i := range daemons {
		v := w.newVM(fmt.Sprint("daemon-", i), 100+i, "fleet-daemon")
		v.settings.Service = services[i%len(services)]
		v.settings.UpstreamAddress = v.at(portUpstream)
		v.settings.IngressAddress, v.settings.PeerAddress, v.settings.ReadyAddress = v.at(portEntrance), v.at(portPeer), v.at(portReady)
		v.upstream = newUpstream(v)
		w.daemons = append(w.daemons, v)
	}
	t.Cleanup(w.close)
	for _, v := range w.all() {
		v.configure()
		v.start()
	}
	return w
}

func (w *world) newVM(name string, n int, role string) *vm {
	v := &vm{w: w, name: name, role: role, host: fmt.Sprintf("127.%d.%d.1", w.net, n)}
	v.settings = platform.Settings{
		VM: name, Role: role, Address: netip.MustParseAddr(v.host), AvailabilityZone: fmt.Sprint("zone-", n%3), Region: "region",
		RegionOf: map[string]string{"zone-0": "region", "zone-1": "region", "zone-2": "region"}, FirstStart: true,
		DataDir: filepath.Join(w.dir, name), MemoryBytes: 256 << 20, ControlAddress: v.at(portControl), ReplicaPort: portReplica,
		ToleratedFailures: 1, HeartbeatInterval: reportEvery, ShutdownGracePeriod: grace, MaxConfigApplyTime: applyWithin,
		RetryRatio: budgetRatio, MinRetries: budgetSlack, RetryWindow: budgetSpan,
	}
	return v
}

func (w *world) all() []*vm { return append(append([]*vm(nil), w.controls...), w.daemons...) }

func (v *vm) at(port int) string { return fmt.Sprintf("%s:%d", v.host, port) }

func (v *vm) path(suffix string) string { return filepath.Join(v.w.dir, v.name+suffix) }

// configure writes the settings of a VM: the platform's file, and the addresses of
// the proxies to the other VMs.
func (v *vm) configure() {
	w := v.w
	for _, c := range w.controls[:3] {
		v.settings.Seeds = append(v.settings.Seeds, c.at(portReplica))
	}
	v.writeSettings()
	dial := map[string]string{}
	for _, other := range w.all() {
		if other == v {
			continue
		}
		port := portPeer
		if other.role == "fleet-control" {
			port = portReplica
		}
		p, err := faultproxy.New(other.at(port))
		require.NoError(w.t, err)
		w.links[[2]*vm{v, other}] = append(w.links[[2]*vm{v, other}], p)
		dial[other.at(port)] = p.Address()
	}
	own, err := json.Marshal(map[string]any{"dial": dial})
	require.NoError(w.t, err)
	require.NoError(w.t, os.WriteFile(v.path(".own.json"), own, 0o600))
}

func (v *vm) writeSettings() {
	text, err := platform.EncodeSettings(&v.settings)
	require.NoError(v.w.t, err)
	require.NoError(v.w.t, os.WriteFile(v.path(".toml"), text, 0o600))
}

// start runs the process of the VM.
func (v *vm) start() {
	path, err := binary()
	require.NoError(v.w.t, err)
	log, err := os.OpenFile(v.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(v.w.t, err)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd = exec.Command(path, v.role, "-settings", v.path(".toml"), "-own", v.path(".own.json"))
	v.cmd.Stdout, v.cmd.Stderr = log, log
	require.NoError(v.w.t, v.cmd.Start())
	v.boot++
	v.frozen, v.stopped = false, time.Time{}
	v.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // it is killed as a rule
		_ = log.Close()
		close(ended)
	}(v.cmd, v.ended)
}

// signal sends a signal to the process of the VM, which this run has started.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s) // it may have ended
	}
	v.frozen = s == syscall.SIGSTOP || v.frozen && s != syscall.SIGCONT
	if s == syscall.SIGTERM {
		v.stopped = time.Now()
	}
}

// await waits for the end of the process, and kills it after the grace.
func (v *vm) await(limit time.Duration) {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(limit):
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		<-ended
	}
}

func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	v.await(time.Second)
}

func (v *vm) currentBoot() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.boot
}

func (w *world) close() {
	for _, v := range w.all() {
		v.signal(syscall.SIGCONT)
		v.kill()
		if v.upstream != nil {
			v.upstream.close()
		}
	}
	for _, proxies := range w.links {
		for _, p := range proxies {
			p.Close()
		}
	}
	if w.t.Failed() {
		w.keepLogs()
	}
}

// keepLogs copies the logs of a failed run out of its directory, which is removed.
func (w *world) keepLogs() {
	dir, err := os.MkdirTemp("", "soak-logs-")
	if err != nil {
		return
	}
	names, _ := filepath.Glob(filepath.Join(w.dir, "*.log"))
	for _, name := range names {
		if text, err := os.ReadFile(name); err == nil {
			_ = os.WriteFile(filepath.Join(dir, filepath.Base(name)), text, 0o600)
		}
	}
	w.t.Logf("logs of the processes are in %s", dir)
}
