package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as in the settings of the small site files.
const (
	drainBound     = 2 * time.Second
	stableWindow   = 3 * time.Second
	heartbeat      = 1500 * time.Millisecond
	gracePeriod    = 6 * time.Second
	routeTimeout   = 6 * time.Second
	restartDelay   = 500 * time.Millisecond
	operatorPeriod = 250 * time.Millisecond
	ordersAtOnce   = 8
)

// Ports of a VM. Each VM has its own loopback address, and ports are the same on all of them.
const (
	portPeer = 8300 + iota
	portUpstream
	portReady
	_
	portIngress
	_
	portControl
	portInternal = 7620
	portMetrics  = 9464
)

// deployment is a small deployment of the project's processes on loopback addresses.
type deployment struct {
	dir      string
	second   int // second byte of the addresses
	record   *record
	controls []*vm
	daemons  []*vm
}

// vm is one VM with one process of the project.
type vm struct {
	d       *deployment
	name    string
	ip      string
	zone    string
	command string
	service string // of the backend on this VM, empty on control VMs

	mu        sync.Mutex
	cmd       *exec.Cmd
	ended     chan struct{}
	startedAt time.Time
}

// newDeployment prepares three control VMs and one daemon VM for each of the services.
func newDeployment(r *record, services ...string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, record: r, second: 64 + rand.IntN(150)}
	for !d.addressesAreFree(3 + len(services)) {
		d.second = 64 + rand.IntN(150)
	}
	for i := range 3 {
		d.controls = append(d.controls, d.newVM(fmt.Sprintf("core-%d", i+1), i, "fleet-control", ""))
	}
	for i, s := range services {
		d.daemons = append(d.daemons, d.newVM(fmt.Sprintf("daemon-%d", i+1), 3+i, "fleet-daemon", s))
	}
	return d, nil
}

func (d *deployment) host(n int) string { return fmt.Sprintf("127.%d.%d.1", d.second, n+1) }

func (d *deployment) addressesAreFree(n int) bool {
	for i := range n {
		for _, port := range []int{portPeer, portUpstream, portReady, portIngress, portControl, portInternal, portMetrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.host(i), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (d *deployment) newVM(name string, n int, command, service string) *vm {
	return &vm{d: d, name: name, ip: d.host(n), zone: []string{"quimper", "brest", "concarneau"}[n%3], command: command, service: service}
}

func (v *vm) addr(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

func (v *vm) settingsPath() string { return filepath.Join(v.d.dir, v.name+".toml") }

// writeSettings writes the settings file of a VM with the fields that the platform provides.
func (v *vm) writeSettings(bootstrap bool) error {
	fields := map[string]any{
		"Name": v.name, "Service": v.service, "IP": v.ip, "Zone": v.zone, "Bootstrap": bootstrap,
		"Upstream": v.addr(portUpstream), "Control": v.addr(portControl), "Peer": v.addr(portPeer), "Ingress": v.addr(portIngress), "Ready": v.addr(portReady),
		"DataDir": filepath.Join(v.d.dir, v.name+".data"), "FirstPort": portInternal, "LastPort": portInternal + 15,
	}
	var seeds []string
	for _, c := range v.d.controls {
		seeds = append(seeds, c.addr(portControl))
	}
	fields["Seeds"] = seeds
	var text bytes.Buffer
	if err := settingsTemplate.Execute(&text, fields); err != nil {
		return err
	}
	return os.WriteFile(v.settingsPath(), text.Bytes(), 0o600)
}

// start starts the process of a VM with the command of the deploy file. Its output goes to a file
// in the deployment's folder.
func (v *vm) start() error {
	out, err := os.OpenFile(filepath.Join(v.d.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/bilberrydeck", v.command)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", names.SettingsVariable + "=" + v.settingsPath()}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = out.Close() // the first error is reported
		return err
	}
	ended := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.ended, v.startedAt = cmd, ended, time.Now()
	v.mu.Unlock()
	v.d.record.add("start", "%s: process %d started", v.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait() // the process is usually killed
		_ = out.Close()
		close(ended)
	}()
	return nil
}

// stop sends a signal to the process and waits for its end, at most for the grace period.
func (v *vm) stop(s syscall.Signal) {
	v.mu.Lock()
	cmd, ended := v.cmd, v.ended
	v.mu.Unlock()
	if cmd == nil {
		return
	}
	v.d.record.add("signal", "%s: %v", v.name, s)
	_ = cmd.Process.Signal(s) // the process may have ended
	select {
	case <-ended:
	case <-time.After(gracePeriod):
		_ = cmd.Process.Kill() // as above
		<-ended
	}
}

// restart ends the process and starts it again after a short delay, as the platform does.
func (v *vm) restart(s syscall.Signal) error {
	v.stop(s)
	time.Sleep(restartDelay)
	return v.start()
}

// runningSince reports when the process was started last.
func (v *vm) runningSince() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.startedAt
}

// start starts all processes. The settings of later starts say that this is not the first one.
func (d *deployment) start() error {
	all := append(append([]*vm(nil), d.controls...), d.daemons...)
	for _, v := range all {
		if err := v.writeSettings(true); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	for _, v := range all {
		if err := v.writeSettings(false); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes. The logs stay if KEEP names a folder.
func (d *deployment) close() {
	for _, v := range append(append([]*vm(nil), d.controls...), d.daemons...) {
		v.mu.Lock()
		cmd, ended := v.cmd, v.ended
		v.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill() // the process may have ended
			<-ended
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(d.dir, keep) // only for a look at the logs
		return
	}
	_ = os.RemoveAll(d.dir) // a folder of this run
}

// configuration returns a configuration with a route of each type for each service.
func configuration(version int, services ...string) []byte {
	var routes, list []string
	for _, s := range services {
		for _, kind := range []string{"idempotent", "non_idempotent", "upload"} {
			routes = append(routes, fmt.Sprintf(routeFormat, s+"-"+kind, s+".example", "/"+kind+"/", kind, routeTimeout.Milliseconds(), 1500, 0, s))
		}
		list = append(list, fmt.Sprintf(serviceFormat, s))
	}
	return fmt.Appendf(nil, configFormat, version, strings.Join(routes, ","), strings.Join(list, ","))
}

// putConfig sends a configuration to the control VMs until one accepts it.
func (d *deployment) putConfig(ctx context.Context, base int, text []byte) error {
	client := &http.Client{Timeout: 3 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+d.controls[i%len(d.controls)].addr(portControl)+names.ConfigPath, bytes.NewReader(text))
		if err != nil {
			return err
		}
		req.Header.Set("If-Match", fmt.Sprint(base))
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err == nil {
			body, _ := io.ReadAll(resp.Body) // only for the record
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				d.record.add("config", "a configuration on top of %d is confirmed", base)
				return nil
			}
			if resp.StatusCode < 500 {
				return fmt.Errorf("the configuration was answered %d: %s", resp.StatusCode, body)
			}
		}
		time.Sleep(operatorPeriod)
	}
	return errors.New("the configuration was not confirmed")
}

// readConfig reads the configuration from a control VM.
func readConfig(v *vm) ([]byte, error) {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.addr(portControl) + names.ConfigPath)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // read to its end
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return text, err
}

// awaitReady waits until all daemons say that they are ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for _, v := range d.daemons {
		for {
			if ctx.Err() != nil {
				return fmt.Errorf("%s did not become ready", v.name)
			}
			if resp, err := client.Get("http://" + v.addr(portReady) + names.ReadyPath); err == nil {
				_ = resp.Body.Close() // only the status matters
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
