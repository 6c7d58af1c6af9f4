// Package crowd runs the real processes on loopback, with lowered limits in their settings, and sends
// them crowds of clients that stay within the limits of requests but do not behave. Processes must
// survive, stay within the memory and the descriptors of their VM, and answer ordinary callers.
package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/lifecycle"
	"github.com/bilberrydeck/bilberrydeck/core/routing"
	"github.com/bilberrydeck/bilberrydeck/internal/testprogram"
	"github.com/bilberrydeck/bilberrydeck/platform"
)

// waitTimeout bounds each wait for a condition. It is long enough that a test which reaches it has
// failed, however slow the machine is.
const waitTimeout = 90 * time.Second

// Ports of each VM. Every VM has its own loopback address.
const (
	portPeer = 21000 + iota
	portUpstream
	portReady
	portIngress
	portControl
	portClaim   // held by the test, so that no two runs have the same network
	portReplica = 21020
)

// limits are the limits of a VM in its settings.
type limits struct {
	memoryBytes int64
	descriptors int // 0 for none in the settings
}

// reservedDescriptors are those of the limit that the processes leave to files of the platform.
const reservedDescriptors = 200

// fleet is a system under test: three control replicas, and two daemons with an upstream each.
type fleet struct {
	t        *testing.T
	dir      string
	network  int // second byte of the addresses
	client   platform.Client
	controls []*vm
	daemons  []*vm // of the services alpha and beta

	spareRoutes int // of the configuration, beside those of the services
}

// vm is an emulated VM with one process of the system.
type vm struct {
	*process
	host     string
	settings platform.Settings
}

var services = []string{"alpha", "beta"}

// requestLimits are the limits that clients know. They are those of the users' deployments.
var requestLimits = routing.RequestLimits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

const (
	upstreamSlots = 100
	routeTimeout  = 60 * time.Second
	grace         = 6 * time.Second
	healthPath    = "/healthz"
)

// newFleet starts a fleet whose VMs have the given limits, and waits until it serves.
func newFleet(t *testing.T, l limits) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), client: platform.Client{HTTP: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}}
	f.claimNetwork()
	for i := range 3 {
		f.controls = append(f.controls, f.newVM(fmt.Sprint("control-", i), 1+i, l))
	}
	for i, service := range services {
		v := f.newVM("daemon-"+service, 101+i, l)
		s := &v.settings
		s.Service, s.UpstreamAddress, s.IngressAddress = service, v.addressOf(portUpstream), v.addressOf(portIngress)
		s.PeerAddress, s.ReadyAddress = v.addressOf(portPeer), v.addressOf(portReady)
		f.startUpstream(v)
		f.daemons = append(f.daemons, v)
	}
	for _, v := range f.controls {
		v.process = f.start("fleet-control", v)
	}
	for _, v := range f.daemons {
		v.process = f.start("fleet-daemon", v)
	}
	f.publish(1)
	for _, v := range f.daemons {
		for _, service := range services {
			f.awaitAnswer(v, service)
		}
	}
	return f
}

// claimNetwork chooses loopback addresses that no other run uses.
func (f *fleet) claimNetwork() {
	for n := 216; n < 250; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, portClaim))
		if err != nil {
			continue
		}
		f.t.Cleanup(func() { _ = l.Close() }) // nothing was accepted
		f.network = n
		return
	}
	require.FailNow(f.t, "no network of loopback addresses is free")
}

func (f *fleet) newVM(name string, n int, l limits) *vm {
	v := &vm{host: fmt.Sprintf("127.%d.%d.1", f.network, n)}
	v.settings = platform.Settings{
		VM: name, Address: netip.MustParseAddr(v.host), AvailabilityZone: "zone", Region: "region", RegionOf: map[string]string{"zone": "region"},
		FirstStart: true, DataDir: filepath.Join(f.dir, name), MemoryBytes: l.memoryBytes, MaxDescriptors: l.descriptors, ControlAddress: v.addressOf(portControl), ReplicaPort: portReplica,
		ToleratedFailures: 1, HeartbeatInterval: 500 * time.Millisecond, ShutdownGracePeriod: grace, MaxConfigApplyTime: 2 * time.Second,
		RetryRatio: 0.2, MinRetries: 49, RetryWindow: 10 * time.Second,
	}
	for i := range 3 {
		v.settings.Seeds = append(v.settings.Seeds, fmt.Sprintf("127.%d.%d.1:%d", f.network, 1+i, portReplica))
	}
	return v
}

func (v *vm) addressOf(port int) string { return fmt.Sprintf("%s:%d", v.host, port) }

// start writes the settings of a VM and starts its process.
func (f *fleet) start(command string, v *vm) *process {
	v.settings.Role = command
	text, err := platform.EncodeSettings(&v.settings)
	require.NoError(f.t, err)
	path := filepath.Join(f.dir, v.settings.VM+".toml")
	require.NoError(f.t, os.WriteFile(path, text, 0o600))
	return startProcess(f.t, command, "-settings", path)
}

// publish sends the configuration with a version until it is accepted.
func (f *fleet) publish(version uint64) {
	f.t.Helper()
	table := routing.Table{Version: version, Limits: requestLimits}
	for _, s := range services {
		table.Services = append(table.Services, routing.Service{Name: s, HealthPath: healthPath, MaxConnections: 500})
		for prefix, kind := range map[string]routing.RouteKind{"/answer/": routing.Idempotent, "/order/": routing.NonIdempotent, "/upload/": routing.Upload} {
			table.Routes = append(table.Routes, routing.Route{
				Name: s + strings.ReplaceAll(prefix, "/", "-"), Host: s + ".example", Prefix: prefix, Kind: kind, Timeout: routeTimeout, MaxAttempts: 2,
				Targets: []routing.Target{{Service: s, Weight: 1}},
			})
		}
	}
	for n := range f.spareRoutes {
		table.Routes = append(table.Routes, routing.Route{
			Name: fmt.Sprint("spare-", n), Host: fmt.Sprintf("host-%d.example", n), Prefix: "/spare/", Timeout: routeTimeout, MaxAttempts: 2,
			Targets: []routing.Target{{Service: services[0], Weight: 1}},
		})
	}
	text, err := platform.EncodeConfig(&table)
	require.NoError(f.t, err)
	require.Eventually(f.t, func() bool {
		for _, v := range f.controls {
			if f.client.PutConfig(f.t.Context(), v.settings.ControlAddress, version-1, text) == nil {
				return true
			}
		}
		return false
	}, waitTimeout, 100*time.Millisecond, "version %d was not accepted", version)
}

// startUpstream starts the upstream of a VM, which sends heartbeats to its daemon.
func (f *fleet) startUpstream(v *vm) {
	id := "i-" + v.settings.Service
	server := &http.Server{Handler: upstreamHandler(id)}
	l, err := net.Listen("tcp", v.settings.UpstreamAddress)
	require.NoError(f.t, err)
	go func() { _ = server.Serve(l) }() // returns after Close
	ctx, cancel := context.WithCancel(context.Background())
	var heartbeats sync.WaitGroup
	heartbeats.Go(func() {
		h := lifecycle.Heartbeat{ID: id, StartedAtMs: time.Now().UnixMilli(), Service: v.settings.Service, State: lifecycle.Ready, Slots: upstreamSlots}
		at := platform.UpstreamLocation{Address: v.settings.UpstreamAddress, AvailabilityZone: "zone", Version: "v1"}
		for ctx.Err() == nil {
			h.Sequence++
			_ = f.client.SendHeartbeat(ctx, v.settings.ControlAddress, h, at) // the next one follows soon
			select {
			case <-ctx.Done():
			case <-time.After(v.settings.HeartbeatInterval):
			}
		}
	})
	f.t.Cleanup(func() {
		cancel()
		heartbeats.Wait()
		_ = server.Close() // the test has ended
	})
}

// upstreamHandler serves answers of the length that ends their path, and reads the bodies of requests.
func upstreamHandler(id string) http.Handler {
	headers := platform.HeaderNames()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.ResponderID, id)
		if r.URL.Path == healthPath {
			return
		}
		w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // the body is incomplete
		}
		writeAnswer(w, r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	})
}

var answerBlock = make([]byte, 64<<10)

// writeAnswer writes an answer of the given length.
func writeAnswer(w http.ResponseWriter, length string) {
	n, err := strconv.Atoi(length)
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", length)
	for ; n > 0 && err == nil; n -= min(n, len(answerBlock)) {
		_, err = w.Write(answerBlock[:min(n, len(answerBlock))])
	}
}

// TestMain runs the tests and removes the program that they built.
func TestMain(m *testing.M) {
	code := m.Run()
	testprogram.Remove()
	os.Exit(code)
}
