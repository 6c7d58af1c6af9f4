// Package demo runs a small Pant Dent in one process on loopback: a control replica, and a
// daemon for each emulated upstream of a call chain of four services. After steady load, the
// deep service becomes slow while the request rate surges and customers retry aggressively;
// then the load returns to normal. Control and the daemons are started by package process
// and configured by settings and a published change, as in separate operating system
// processes.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/control/client"
	"github.com/bilberrydeck/bilberrydeck/declaration"
	"github.com/bilberrydeck/bilberrydeck/emulator"
	"github.com/bilberrydeck/bilberrydeck/loadtest"
	"github.com/bilberrydeck/bilberrydeck/logging"
	"github.com/bilberrydeck/bilberrydeck/process"
	"github.com/bilberrydeck/bilberrydeck/settings"
)

// startTimeout bounds the time until all daemons serve requests.
const startTimeout = 10 * time.Second

// Scenario returns the load scenario of the demo, which ends within 30 s.
func Scenario() emulator.Scenario {
	s := emulator.DefaultScenario()
	s.Steady, s.Overload, s.Calm = 4*time.Second, 8*time.Second, 6*time.Second
	return s
}

// StartError reports that the system did not start to serve requests in time.
type StartError struct{ Waiting string }

// Error implements error.
func (e *StartError) Error() string {
	return "the system did not start: still waiting for " + e.Waiting
}

// system is the running demo.
type system struct {
	scenario emulator.Scenario
	dir      string
	logger   *logging.Logger
	control  string // address
	daemons  map[string][]settings.Daemon
	fleet    *emulator.Fleet

	runCtx     context.Context
	forceCtx   context.Context
	processes  sync.WaitGroup
	mu         sync.Mutex
	processErr error // errors of processes that ended by themselves
}

// Run starts the system, runs the scenario and stops the system. All processes write their
// logs, including decisions, to the file demo.log in dir.
func Run(ctx context.Context, s emulator.Scenario, dir string, progress func(string)) (*loadtest.Result, error) {
	logFile, err := os.Create(filepath.Join(dir, "demo.log"))
	if err != nil {
		return nil, errors.Wrap(err, "creating the log file")
	}
	defer func() { _ = logFile.Close() }()
	sys := &system{scenario: s, dir: dir, logger: logging.New(&syncWriter{w: logFile}), daemons: make(map[string][]settings.Daemon)}
	runCtx, stop := context.WithCancel(ctx)
	forceCtx, forceStop := context.WithCancel(context.Background())
	sys.runCtx, sys.forceCtx = runCtx, forceCtx
	defer sys.processes.Wait()
	defer forceStop()
	defer stop()
	progress("starting control, daemons and upstreams")
	if err := sys.start(); err != nil {
		return nil, err
	}
	defer sys.fleet.Close()
	rep := s.Run(ctx, sys.fleet, sys.targets, progress)
	return loadtest.NewResult(s, rep, sys.fleet), sys.processFailure()
}

func (s *system) start() error {
	if err := s.configure(); err != nil {
		return err
	}
	s.run("control", func() error {
		return process.RunControl(s.runCtx, settings.Control{
			ID: 1, Listen: s.control, DataDir: filepath.Join(s.dir, "control"), ClaimShards: 2,
			ClaimRetention: settings.DefaultRetention,
		}, s.logger)
	})
	for _, list := range s.daemons {
		for _, d := range list {
			s.run(d.ID, func() error { return process.RunDaemon(s.runCtx, s.forceCtx, d, s.logger) })
		}
	}
	if err := s.publish(); err != nil {
		return err
	}
	return s.awaitServing()
}

// run runs a process of the system in a goroutine and records its error.
func (s *system) run(name string, f func() error) {
	s.processes.Go(func() {
		err := f()
		if err == nil || s.runCtx.Err() != nil {
			return // the demo is stopping
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.processErr = errors.CombineErrors(s.processErr, errors.Wrap(err, name))
	})
}

func (s *system) processFailure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processErr
}

// publish publishes the declarations of the emulated services as one change.
func (s *system) publish() error {
	c := client.New(client.Config{Addresses: []string{s.control}})
	defer c.Close()
	ctx, cancel := context.WithTimeout(s.runCtx, startTimeout)
	defer cancel()
	ch := &api.Change{Set: "default", Number: 1, ChangeId: "demo", Author: "demo"}
	for _, name := range emulator.Services() {
		doc := declaration.Encode(emulator.Declaration(name))
		ch.Services = append(ch.Services, &api.ServiceDocument{Service: name, Json: doc})
	}
	res, err := c.Publish(ctx, ch)
	if err != nil {
		return errors.Wrap(err, "publishing the declarations")
	}
	if res.Status != api.ChangeStatus_CHANGE_STATUS_ACCEPTED {
		return errors.Newf("publishing the declarations: %v %v", res.Status, res.Problems)
	}
	return nil
}

// awaitServing waits until each GET request of the scenario succeeds at the ingress of each
// daemon of the called service.
func (s *system) awaitServing() error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	deadline := time.Now().Add(startTimeout)
	for _, kind := range s.scenario.Kinds() {
		if kind.Call.Method != http.MethodGet {
			continue
		}
		for _, base := range s.targets(kind.Call) {
			for !succeeds(client, base+kind.Call.Path) {
				if err := s.processFailure(); err != nil {
					return err
				}
				if time.Now().After(deadline) || s.runCtx.Err() != nil {
					return &StartError{Waiting: "a response to " + base + kind.Call.Path}
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return nil
}

func succeeds(client *http.Client, url string) bool {
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return err == nil && resp.StatusCode == http.StatusOK
}

// targets returns the ingress URLs of the daemons of the called service.
func (s *system) targets(c emulator.CallSpec) []string {
	var addresses []string
	for _, d := range s.daemons[c.Service] {
		addresses = append(addresses, "http://"+d.Listen.Ingress+"/"+c.Service)
	}
	return addresses
}

// availabilityZone returns the availability zone of the n-th upstream of a service. The
// demo has one region with two availability zones.
func availabilityZone(n int) string { return fmt.Sprintf("south-%c", 'a'+n%2) }

// configure chooses addresses, builds the settings of all daemons and starts the emulated
// upstreams. The first daemon of the first service in each availability zone is a relay.
func (s *system) configure() error {
	ports, err := freeAddresses(1 + s.scenario.UpstreamsPerService*(len(emulator.Services())*4+1))
	if err != nil {
		return err
	}
	next := func() string {
		address := ports[0]
		ports = ports[1:]
		return address
	}
	s.control = next()
	relays := make(map[string][]string)
	for n := range min(s.scenario.UpstreamsPerService, 2) {
		relays[availabilityZone(n)] = []string{next()}
	}
	for i, service := range emulator.Services() {
		for n := range s.scenario.UpstreamsPerService {
			d := s.daemonSettings(service, n, next)
			d.Relays = relays[d.AvailabilityZone]
			if i == 0 && n < 2 {
				d.Relay = s.relaySettings(d.AvailabilityZone, relays)
			}
			s.daemons[service] = append(s.daemons[service], d)
		}
	}
	return s.startFleet()
}

func (s *system) daemonSettings(service string, n int, next func() string) settings.Daemon {
	return settings.Daemon{
		ID: fmt.Sprintf("%s-%d", service, n+1), Region: "south", AvailabilityZone: availabilityZone(n), Service: service,
		Listen:   settings.DaemonListen{Ingress: next(), Egress: next(), Peer: next(), Admin: next()},
		Controls: []string{s.control},
	}
}

func (s *system) relaySettings(az string, relays map[string][]string) *settings.Relay {
	r := &settings.Relay{Listen: relays[az][0], Sources: []string{s.control}, RemoteRelays: make(map[string][]string)}
	for other, list := range relays {
		if other != az {
			r.RemoteRelays[other] = list
		}
	}
	return r
}

// startFleet starts the emulated upstreams and adds their addresses to the settings.
func (s *system) startFleet() error {
	caller := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	fleet, err := s.scenario.StartFleet(0, func(_ *emulator.Fleet, service string, n int) emulator.Caller {
		return &emulator.EgressCaller{Base: "http://" + s.daemons[service][n].Listen.Egress, Client: caller}
	})
	if err != nil {
		return errors.Wrap(err, "starting the emulated upstreams")
	}
	s.fleet = fleet
	for service, list := range s.daemons {
		for n := range list {
			list[n].Upstream.URL = "http://" + fleet.Addresses[service][n]
		}
	}
	return nil
}

// The range of ports is below the ephemeral ports, which the operating system assigns to
// outgoing connections and to listeners on port 0.
const (
	firstPort = 20_000
	lastPort  = 30_000
)

// freeAddresses returns n loopback addresses on which nothing listens.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	offset := os.Getpid() * 64 % (lastPort - firstPort) // concurrent demos begin their search at different ports
	for i := range lastPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(offset+i)%(lastPort-firstPort))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use
		}
		_ = l.Close()
		if addresses = append(addresses, address); len(addresses) == n {
			return addresses, nil
		}
	}
	return nil, &StartError{Waiting: fmt.Sprintf("%d free ports on loopback", n)}
}

// syncWriter serializes the writes of several loggers to a file.
type syncWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write implements io.Writer.
func (s *syncWriter) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.w.Write(p)
}
