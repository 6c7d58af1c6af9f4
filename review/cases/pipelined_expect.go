package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const photoConfig = `{"version":%d,"routes":[` +
	`{"name":"r-photo","host":"photos.example","path_prefix":"/photo/","route_type":"idempotent","timeout":"10000ms","target_latency":"2500ms","priority":1,"service":"photos","max_attempts":2}],` +
	`"services":[{"name":"photos","health_path":"/healthz","max_connections":316,"protocol":"h1","tls":false},{"name":"rounds","health_path":"/healthz","max_connections":316,"protocol":"h1","tls":false}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`

const (
	photoBytes   = 12 << 20
	photoClients = 5
	firstPart    = 256 << 10 // read before the next request is sent
)

// photo returns the bytes of a photo, which depend on the path.
func photo(path string) []byte {
	seed := sha256.Sum256([]byte(path))
	return bytes.Repeat(seed[:], photoBytes/len(seed))
}

// pipelinedExpect lets clients send the next request while they still read a long answer.
func pipelinedExpect(e *environment) (bool, error) {
	control, _, err := e.startControl()
	if err != nil {
		return false, err
	}
	sender, err := e.startVM("sidecar-quimper-1", "rounds", "i-rounds1", 0, 36, 50*time.Millisecond)
	if err != nil {
		return false, err
	}
	target, err := e.startVM("sidecar-quimper-2", "photos", "i-photos1", 0, 36, 50*time.Millisecond)
	if err != nil {
		return false, err
	}
	target.upstream.respond = func(r *http.Request) []byte {
		if r.Method == http.MethodGet {
			return photo(r.URL.Path)
		}
		return []byte("found")
	}
	if err := e.putConfig(control, 0, fmt.Sprintf(photoConfig, 3)); err != nil {
		return false, err
	}
	if err := e.awaitReady(sender.machine); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // all machines are in touch
	var mu sync.Mutex
	wrong := 0
	var clients sync.WaitGroup
	for i := range photoClients {
		clients.Go(func() {
			line, isWrong := readTwo(sender.machine, i, e.trouble)
			e.record("client %d: %s", i, line)
			if isWrong {
				mu.Lock()
				wrong++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	for _, r := range target.upstream.allRuns() {
		e.record("upstream %s: %s %s %s, complete %t", target.upstream.id, r.id, r.method, r.path, r.complete)
	}
	e.record("successes with another body than that of the upstream: %d", wrong)
	return wrong > 0, nil
}

// readTwo reads a photo and sends a second idempotent request on the same connection before the first
// answer is complete. With expect it asks to be told before it sends the body of that request.
func readTwo(m *machine, number int, expect bool) (string, bool) {
	nc, err := net.Dial("tcp", m.addr(portOutbound))
	if err != nil {
		return err.Error(), false
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(15 * time.Second))
	path := fmt.Sprintf("/photo/%d", number)
	_, _ = fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: photos.example\r\nAttempt-Id: ga%014d\r\nDeadline-Ms: 10000\r\n\r\n", path, number)
	reader := bufio.NewReader(nc)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return fmt.Sprintf("no answer: %v", err), false
	}
	body := make([]byte, firstPart)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return fmt.Sprintf("the answer broke off: %v", err), false
	}
	query := `{"search":"dent"}`
	head := fmt.Sprintf("POST /photo/search HTTP/1.1\r\nHost: photos.example\r\nAttempt-Id: po%014d\r\nDeadline-Ms: 10000\r\nContent-Length: %d\r\n", number, len(query))
	if expect {
		_, _ = fmt.Fprintf(nc, "%sExpect: 100-continue\r\n\r\n", head)
	} else {
		_, _ = fmt.Fprintf(nc, "%s\r\n%s", head, query)
	}
	time.Sleep(300 * time.Millisecond) // a client may read slowly
	rest, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Sprintf("the answer broke off after %d bytes: %v", firstPart+len(rest), err), false
	}
	body = append(body, rest...)
	got, want := sha256.Sum256(body), sha256.Sum256(photo(path))
	line := fmt.Sprintf("GET %s answered %d with signature %s, %d bytes, digest %s, that of the upstream's body %s",
		path, resp.StatusCode, resp.Header.Get("Server-Signature"), len(body), hex.EncodeToString(got[:6]), hex.EncodeToString(want[:6]))
	if got == want {
		return line, false
	}
	if at := bytes.Index(body, []byte("HTTP/1.1 100 Continue\r\n\r\n")); at >= 0 {
		line += fmt.Sprintf("; \"HTTP/1.1 100 Continue\" stands at byte %d of the body", at)
	}
	return line + ": MIXED", resp.StatusCode == http.StatusOK
}
