package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// removedKill kills a control process while it clears its disk after it was replaced.
func removedKill(e *environment) (bool, error) {
	control, processes, err := e.startControl()
	if err != nil {
		return false, err
	}
	o := &operator{e: e, all: control, address: control[0].addr(portControl), client: &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	if err := o.putMany(9000); err != nil {
		return false, err
	}
	v := control[0]
	processes[0].signal(syscall.SIGSTOP)
	e.record("%s is frozen", v.name)
	spare := e.newMachine("core-quimper-2", "", 0)
	if _, err := e.startProcess(spare, false); err != nil {
		return false, err
	}
	o.all = append(append([]*machine{}, control[1:]...), spare)
	o.address = o.all[0].addr(portControl)
	time.Sleep(7500 * time.Millisecond)
	processes[0].signal(syscall.SIGCONT)
	e.record("%s wakes again", v.name)
	if err := o.putMany(20); err != nil {
		return false, err
	}
	killed := e.killAfterRemoval(v, processes[0])
	e.record("%s: removal seen %s", v.name, killed)
	for range 3 {
		time.Sleep(300 * time.Millisecond)
		p, err := e.startProcess(v, false)
		if err != nil {
			return false, err
		}
		select {
		case <-p.exited:
			e.record("%s: the process ended by itself, %s", v.name, p.cmd.ProcessState)
		case <-time.After(3 * time.Second):
			resp, err := o.client.Get("http://" + v.addr(portControl) + "/v1/config")
			if err != nil {
				e.record("read: %v", err)
				continue
			}
			text, _ := io.ReadAll(resp.Body)
			e.record("read of the configuration at %s: %d %.40s", v.name, resp.StatusCode, text)
		}
		p.kill()
	}
	for _, l := range e.logLines(v, "") {
		if len(l) > 300 {
			l = l[:300]
		}
		e.record("log %s", l)
	}
	return false, nil
}

func (e *environment) killAfterRemoval(m *machine, p *machineProcess) string {
	dir := filepath.Join(e.dir, m.name, "data", "replica")
	end := time.Now().Add(25 * time.Second)
	for time.Now().Before(end) {
		for _, name := range []string{"identity.json", "group-0/log-0000000000000001"} {
			if _, err := os.Lstat(filepath.Join(dir, name)); err != nil {
				if e.trouble {
					_ = p.cmd.Process.Kill()
					<-p.exited
				}
				left := ""
				for _, other := range []string{"identity.json", "lock", "group-0", "group-0/log-0000000000000001"} {
					if _, err := os.Lstat(filepath.Join(dir, other)); err == nil {
						left += " " + other
					}
				}
				return fmt.Sprintf("%s first; left:%s", name, left)
			}
		}
	}
	return "never"
}
