package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

const uploadConfig = `{"version":%d,"routes":[` +
	`{"name":"r-up","host":"photos.example","path_prefix":"/up/","route_type":"upload","timeout":"6000ms","target_latency":"1500ms","priority":1,"service":"photos","max_attempts":2},` +
	`{"name":"r-look","host":"photos.example","path_prefix":"/look/","route_type":"idempotent","timeout":"4000ms","target_latency":"1500ms","priority":2,"service":"rounds","max_attempts":2}],` +
	`"services":[{"name":"photos","health_path":"/healthz","max_connections":316,"protocol":"h1","tls":false},{"name":"rounds","health_path":"/healthz","max_connections":316,"protocol":"h1","tls":false}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`

// Sizes and times of the uploads of a client on a slow link.
const (
	uploadBytes    = 3 << 19 // 1.5 MiB
	uploadDuration = 5 * time.Second
	uploadClients  = 6
	// leaveAfter is the time from the confirmation to the end of the upstream: a little longer
	// than the bound within which it still gets requests.
	leaveAfter = boundDrain + 1500*time.Millisecond
)

// slowUpload lets an upstream leave while clients send photos over a slow link.
func slowUpload(e *environment) (bool, error) {
	control, _, err := e.startControl()
	if err != nil {
		return false, err
	}
	sender := e.newMachine("sidecar-quimper-1", "rounds", 0)
	receivers := []*machine{e.newMachine("sidecar-quimper-2", "photos", 0), e.newMachine("sidecar-vannes-2", "photos", 1)}
	for _, m := range append([]*machine{sender}, receivers...) {
		if _, err := e.startProcess(m, true); err != nil {
			return false, err
		}
	}
	if _, err := e.startUpstream(sender, "i-rounds1", 36, 50*time.Millisecond); err != nil {
		return false, err
	}
	var photos []*upstream
	for i, m := range receivers {
		u, err := e.startUpstream(m, fmt.Sprintf("i-photos%d", i+1), 36, 50*time.Millisecond)
		if err != nil {
			return false, err
		}
		photos = append(photos, u)
	}
	if err := e.putConfig(control, 0, fmt.Sprintf(uploadConfig, 3)); err != nil {
		return false, err
	}
	if err := e.awaitReady(sender); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // all machines are in touch
	results := make(chan string, uploadClients)
	for i := range uploadClients {
		go func() { results <- e.upload(sender, fmt.Sprintf("up%013d", i)) }()
	}
	time.Sleep(500 * time.Millisecond)
	leaving := photos[0]
	confirmedAt := time.Time{}
	if e.trouble {
		if confirmedAt, err = leaving.drain(); err != nil {
			return false, err
		}
		e.record("upstream %s: its report that it leaves is confirmed", leaving.id)
		time.Sleep(time.Until(confirmedAt.Add(leaveAfter)))
		status := leaving.deregister()
		leaving.stop()
		e.record("upstream %s: deregistered, answered %d, and ended", leaving.id, status)
	}
	for range uploadClients {
		e.record("%s", <-results)
	}
	late := 0
	for _, u := range photos {
		for _, r := range u.allRuns() {
			note := ""
			if u == leaving && e.trouble && r.at.Sub(confirmedAt) > boundDrain {
				late++
				note = fmt.Sprintf(", %.3f s after the confirmation: LATE", r.at.Sub(confirmedAt).Seconds())
			}
			e.record("upstream %s: %s %s %s reached it at %.3f, %d bytes, complete %t%s", u.id, r.id, r.method, r.path, r.at.Sub(e.start).Seconds(), r.bodyLen, r.complete, note)
		}
	}
	e.record("requests that reached the leaving upstream later than %s after the confirmation: %d", boundDrain, late)
	return late > 0, nil
}

// upload sends one photo in even pieces over uploadDuration and returns a line for the record.
func (e *environment) upload(m *machine, id string) string {
	nc, err := net.Dial("tcp", m.addr(portOutbound))
	if err != nil {
		return fmt.Sprintf("client %s: no connection: %v", id, err)
	}
	defer func() { _ = nc.Close() }()
	begin := time.Now()
	_, err = fmt.Fprintf(nc, "POST /up/%s HTTP/1.1\r\nHost: photos.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 6000\r\nContent-Length: %d\r\n\r\n", id, id, uploadBytes)
	const pieces = 100
	piece := make([]byte, uploadBytes/pieces)
	sent := 0
	for i := range pieces {
		if err != nil {
			break
		}
		time.Sleep(time.Until(begin.Add(uploadDuration * time.Duration(i) / pieces)))
		if i == pieces-1 {
			piece = make([]byte, uploadBytes-sent)
		}
		var n int
		n, err = nc.Write(piece)
		sent += n
	}
	_ = nc.SetReadDeadline(time.Now().Add(15 * time.Second))
	resp, readErr := http.ReadResponse(bufio.NewReader(nc), nil)
	if readErr != nil {
		return fmt.Sprintf("client %s: sent %d bytes from %.3f on (%v), no answer: %v", id, sent, begin.Sub(e.start).Seconds(), err, readErr)
	}
	_ = resp.Body.Close()
	return fmt.Sprintf("client %s: sent %d bytes from %.3f on, answered %d", id, sent, begin.Sub(e.start).Seconds(), resp.StatusCode)
}
