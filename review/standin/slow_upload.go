package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Uploads of this case: 1.5 MB at 300 KB a second, within a time limit of 6 s.
const (
	uploadBytes    = 1_500_000
	uploadPerTick  = 30_000
	uploadTick     = 100 * time.Millisecond
	uploadLimit    = 6 * time.Second
	uploadCount    = 8
	leaveAfter     = 500 * time.Millisecond
	exitAfterDrain = 4 * time.Second
)

// playSlowUpload checks the rule DRAIN: while clients send uploads slowly, one of the two backends of
// the service leaves as planned, and its report is confirmed. No upload may reach it more than the
// drain time later.
func playSlowUpload(ctx context.Context, r *record, trouble bool) (string, error) {
	d, err := newDeployment(r, "files", "files", "shop")
	if err != nil {
		return "", err
	}
	defer d.close()
	if err := d.start(); err != nil {
		return "", err
	}
	var backends []*backend
	for i, v := range d.daemons {
		b, err := startBackend(v, fmt.Sprintf("i-%s-%d", v.service, i+1), 200*time.Millisecond)
		if err != nil {
			return "", err
		}
		defer b.exit()
		backends = append(backends, b)
	}
	if err := d.putConfig(ctx, 0, configuration(1, "files", "shop")); err != nil {
		return "", err
	}
	if err := d.awaitReady(ctx); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second) // all machines are in touch after stable_window
	leaver, entry := backends[0], d.daemons[2]

	var mu sync.Mutex
	answers := map[string]int{}
	var uploads sync.WaitGroup
	for n := range uploadCount {
		uploads.Go(func() {
			id := fmt.Sprintf("upload-%d", n+1)
			status := sendSlowly(entry, "files", id)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = status
		})
	}
	var confirmedAt time.Time
	if trouble {
		time.Sleep(leaveAfter)
		if status := leaver.drain(); status != http.StatusOK {
			return "", fmt.Errorf("the report of draining was answered %d", status)
		}
		confirmedAt = time.Now()
		time.Sleep(exitAfterDrain)
		leaver.leave()
		leaver.exit()
	}
	uploads.Wait()
	return judgeSlowUpload(r, leaver, confirmedAt, answers), nil
}

func judgeSlowUpload(r *record, leaver *backend, confirmedAt time.Time, answers map[string]int) string {
	served := 0
	for _, status := range answers {
		if status == http.StatusOK {
			served++
		}
	}
	reached, lost := 0, 0
	for _, a := range leaver.arrivalsSoFar() {
		if confirmedAt.IsZero() || a.at.Sub(confirmedAt) <= drainBound {
			continue
		}
		reached++
		if answers[a.id] != http.StatusOK {
			lost++
		}
	}
	r.add("result", "%d of %d uploads served; %d reached %s more than %s after its leaving was confirmed, %d of them got no success", served, len(answers), reached, leaver.id, drainBound, lost)
	if reached == 0 {
		return ""
	}
	return fmt.Sprintf("%d uploads reached a backend more than %s after the confirmation that it leaves (%d without a success)", reached, drainBound, lost)
}

// sendSlowly sends an upload at a steady pace on a connection of its own. It returns the status of
// the answer, 0 without a complete one.
func sendSlowly(v *vm, service, id string) int {
	v.d.record.add("send", "%s POST %s to %s, %d bytes at %d a second", id, service, v.name, uploadBytes, uploadPerTick*int(time.Second/uploadTick))
	status := exchangeSlowly(v, service, id)
	if status == 0 {
		v.d.record.add("answer", "%s no complete answer", id)
	} else {
		v.d.record.add("answer", "%s %d", id, status)
	}
	return status
}

func exchangeSlowly(v *vm, service, id string) int {
	c, err := net.DialTimeout("tcp", v.addr(portIngress), time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }() // the exchange has ended
	_ = c.SetDeadline(time.Now().Add(uploadLimit))
	answered := make(chan int, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			answered <- 0
			return
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			answered <- 0
			return
		}
		answered <- resp.StatusCode
	}()
	_, err = fmt.Fprintf(c, "POST /upload/1 HTTP/1.1\r\nHost: %s.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		service, names.RequestID, id, names.Deadline, uploadLimit.Milliseconds(), uploadBytes)
	ticker := time.NewTicker(uploadTick)
	defer ticker.Stop()
	part := bytes.Repeat([]byte("0123456789"), uploadPerTick/10)
	for sent := 0; sent < uploadBytes && err == nil; sent += len(part) {
		select {
		case status := <-answered:
			return status // the answer came before the end of the body
		case <-ticker.C:
		}
		_, err = c.Write(part[:min(len(part), uploadBytes-sent)])
	}
	return <-answered
}
