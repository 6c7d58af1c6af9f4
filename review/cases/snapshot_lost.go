package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	boundAck     = 4 * time.Second
	orderRetry   = 250 * time.Millisecond
	watchedOrder = 25 * time.Second
)

// snapshotLost kills a control process while a snapshot is on its way to it, and replaces another control
// machine later.
func snapshotLost(e *environment) (bool, error) {
	control, processes, err := e.startControl()
	if err != nil {
		return false, err
	}
	o := &operator{e: e, all: control, address: control[0].addr(portControl), client: &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	if err := o.putMany(5); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	leader, behind, gone := 0, -1, -1
	for i, m := range control {
		switch host, _, _ := net.SplitHostPort(o.address); {
		case m.ip == host:
			leader = i
		case behind < 0:
			behind = i
		default:
			gone = i
		}
	}
	if err := o.putUpTo(changesBefore); err != nil {
		return false, err
	}
	processes[behind].kill()
	e.record("%s is killed", control[behind].name)
	if err := o.putMany(changesWhileDown); err != nil {
		return false, err
	}
	if processes[behind], err = e.startProcess(control[behind], false); err != nil {
		return false, err
	}
	e.record("%s is started again", control[behind].name)
	if !killAfterSnapshot(e, control[behind], processes[behind], ".tmp") {
		return false, fmt.Errorf("%s got no snapshot", control[behind].name)
	}
	if e.trouble {
		e.record("%s is killed while it stores a snapshot", control[behind].name)
		time.Sleep(500 * time.Millisecond)
		if processes[behind], err = e.startProcess(control[behind], false); err != nil {
			return false, err
		}
		e.record("%s is started again", control[behind].name)
	}
	time.Sleep(catchUp + stableWindow)
	if err := o.putMany(20); err != nil {
		return false, err
	}
	processes[gone].kill()
	e.record("%s is gone for good; %s leads", control[gone].name, control[leader].name)
	time.Sleep(time.Second)
	added := e.newMachine(control[gone].name+"b", "", gone)
	if _, err := e.startProcess(added, false); err != nil {
		return false, err
	}
	e.record("%s is added, with an empty disk", added.name)
	o.all = []*machine{control[leader], control[behind], added}
	// From here on nothing happens to the core any more.
	stableAt := time.Now().Add(stableWindow)
	confirmed := time.Duration(0)
	attempts := 0
	for time.Now().Before(stableAt.Add(watchedOrder)) {
		attempts++
		if o.putOnce(attempts) {
			confirmed = time.Since(stableAt)
			break
		}
		time.Sleep(orderRetry)
	}
	if confirmed == 0 {
		e.record("operator: one order, sent %d times, has no confirmation %s after the core became stable (ack is %s)", attempts, watchedOrder, boundAck)
		return true, nil
	}
	e.record("operator: the order is confirmed %.2f s after the core became stable", confirmed.Seconds())
	return confirmed > boundAck, nil
}
