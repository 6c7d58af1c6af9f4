// Package soak runs clusters of real processes on loopback for a given time, injects
// faults from outside, and checks the guarantees of the system from what callers and
// upstreams observe. The schedule of the faults is derived from the seed of a run.
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
	"github.com/bilberrydeck/bilberrydeck/internal/testprogram"
	"github.com/bilberrydeck/bilberrydeck/platform"
)

// Settings of the cluster. The times are shorter than those of the users, so that a run
// covers more of these intervals.
const (
	shutdownGrace     = 4 * time.Second
	applyWithin       = 2 * time.Second
	drainWithin       = 2 * time.Second
	budgetRatio       = 0.02
	budgetMinRetries  = 4
	budgetWindow      = 10 * time.Second
	heartbeatInterval = 500 * time.Millisecond

	requestTimeout = 1500 * time.Millisecond // timeout of the routes
)

// Ports of each VM. Every VM has its own loopback address.
const (
	portPeer = 21000 + iota
	portUpstream
	portReady
	portIngress
	portControl
	portReplica = 21020
)

// cluster is a system under test: control replicas, daemons with their upstreams, and a
// proxy for each direction between two VMs.
type cluster struct {
	t        *testing.T
	net      int // second byte of the addresses
	dir      string
	checker  *checker
	client   platform.Client
	activity activity

	seed uint64

	controls []*vm
	daemons  []*vm
	links    map[[2]*vm][]*faultproxy.Proxy // by sender and receiver
}

// vm is an emulated VM that runs one process of the system.
type vm struct {
	cluster  *cluster
	name     string
	host     string
	role     string // subcommand of the program
	settings platform.Settings
	upstream *upstream // the co-located upstream, nil for a control replica

	faultLock sync.Mutex // held while a fault affects the process

	mu            sync.Mutex
	cmd           *exec.Cmd
	ended         chan struct{}
	incarnation   int // number of starts
	frozen        bool
	shutdownStart time.Time // start of the graceful shutdown in progress, zero if there is none
}

func TestMain(m *testing.M) {
	code := m.Run()
	testprogram.Remove()
	os.Exit(code)
}

var services = []string{"rounds", "bookings", "photos"}

func newCluster(t *testing.T, seed uint64, controls, daemons int) *cluster {
	c := &cluster{
		t: t, seed: seed, net: 64 + int(seed%150), dir: t.TempDir(), checker: newChecker(),
		client: platform.Client{HTTP: &http.Client{Timeout: 2 * time.Second}}, links: map[[2]*vm][]*faultproxy.Proxy{},
	}
	for i := range controls {
		c.controls = append(c.controls, c.newVM(fmt.Sprint("control-", i), i, "fleet-control"))
	}
	for i := range daemons {
		v := c.newVM(fmt.Sprint("daemon-", i), 100+i, "fleet-daemon")
		v.settings.Service = services[i%len(services)]
		v.settings.UpstreamAddress = v.addressOf(portUpstream)
		v.settings.IngressAddress, v.settings.PeerAddress, v.settings.ReadyAddress = v.addressOf(portIngress), v.addressOf(portPeer), v.addressOf(portReady)
		v.upstream = newUpstream(v)
		c.daemons = append(c.daemons, v)
	}
	t.Cleanup(c.close)
	for _, v := range c.all() {
		v.configure()
		v.start()
	}
	return c
}

func (c *cluster) newVM(name string, n int, role string) *vm {
	v := &vm{cluster: c, name: name, role: role, host: fmt.Sprintf("127.%d.%d.1", c.net, n)}
	v.settings = platform.Settings{
		VM: name, Role: role, Address: netip.MustParseAddr(v.host), AvailabilityZone: fmt.Sprint("zone-", n%3), Region: "region",
		RegionOf: map[string]string{"zone-0": "region", "zone-1": "region", "zone-2": "region"}, FirstStart: true,
		DataDir: filepath.Join(c.dir, name), MemoryBytes: 256 << 20, ControlAddress: v.addressOf(portControl), ReplicaPort: portReplica,
		ToleratedFailures: 1, HeartbeatInterval: heartbeatInterval, ShutdownGracePeriod: shutdownGrace, MaxConfigApplyTime: applyWithin,
		RetryRatio: budgetRatio, MinRetries: budgetMinRetries, RetryWindow: budgetWindow,
	}
	return v
}

func (c *cluster) all() []*vm { return append(append([]*vm(nil), c.controls...), c.daemons...) }

func (v *vm) addressOf(port int) string { return fmt.Sprintf("%s:%d", v.host, port) }

func (v *vm) path(suffix string) string { return filepath.Join(v.cluster.dir, v.name+suffix) }

// configure creates the proxies to the other VMs and writes the two settings files of a
// VM: the file of the platform, and a file that redirects dials to the proxies.
func (v *vm) configure() {
	c := v.cluster
	for _, control := range c.controls[:3] {
		v.settings.Seeds = append(v.settings.Seeds, control.addressOf(portReplica))
	}
	v.writeSettings()
	dial := map[string]string{}
	for _, other := range c.all() {
		if other == v {
			continue
		}
		port := portPeer
		if other.role == "fleet-control" {
			port = portReplica
		}
		p, err := faultproxy.New(other.addressOf(port))
		require.NoError(c.t, err)
		c.links[[2]*vm{v, other}] = append(c.links[[2]*vm{v, other}], p)
		dial[other.addressOf(port)] = p.Address()
	}
	overrides, err := json.Marshal(map[string]any{"dial": dial})
	require.NoError(c.t, err)
	require.NoError(c.t, os.WriteFile(v.path(".own.json"), overrides, 0o600))
}

func (v *vm) writeSettings() {
	text, err := platform.EncodeSettings(&v.settings)
	require.NoError(v.cluster.t, err)
	require.NoError(v.cluster.t, os.WriteFile(v.path(".toml"), text, 0o600))
}

// start starts the process of the VM.
func (v *vm) start() {
	path, err := testprogram.Path()
	require.NoError(v.cluster.t, err)
	log, err := os.OpenFile(v.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(v.cluster.t, err)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd = exec.Command(path, v.role, "-settings", v.path(".toml"), "-own", v.path(".own.json"))
	v.cmd.Stdout, v.cmd.Stderr = log, log
	require.NoError(v.cluster.t, v.cmd.Start())
	v.incarnation++
	v.frozen, v.shutdownStart = false, time.Time{}
	v.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // the process is usually killed
		_ = log.Close()
		close(ended)
	}(v.cmd, v.ended)
}

// signal sends a signal to the process of the VM and records whether it is frozen or
// shutting down.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s) // the process may have exited
	}
	v.frozen = s == syscall.SIGSTOP || v.frozen && s != syscall.SIGCONT
	if s == syscall.SIGTERM {
		v.shutdownStart = time.Now()
	}
}

// awaitExit waits until the process exits, and kills it after the timeout.
func (v *vm) awaitExit(timeout time.Duration) {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(timeout):
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		<-ended
	}
}

func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	v.awaitExit(time.Second)
}

func (v *vm) currentIncarnation() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.incarnation
}

func (c *cluster) close() {
	for _, v := range c.all() {
		v.signal(syscall.SIGCONT)
		v.kill()
		if v.upstream != nil {
			v.upstream.close()
		}
	}
	for _, proxies := range c.links {
		for _, p := range proxies {
			p.Close()
		}
	}
	if c.t.Failed() {
		c.keepLogs()
	}
}

// keepLogs copies the logs of a failed run to a directory that outlives the test.
func (c *cluster) keepLogs() {
	dir, err := os.MkdirTemp("", "soak-logs-")
	if err != nil {
		return
	}
	names, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, name := range names {
		if text, err := os.ReadFile(name); err == nil {
			_ = os.WriteFile(filepath.Join(dir, filepath.Base(name)), text, 0o600)
		}
	}
	c.t.Logf("logs of the processes are in %s", dir)
}
