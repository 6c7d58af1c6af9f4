package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// backend is one boot of an application backend beside a daemon.
type backend struct {
	vm       *vm
	id       string
	service  string
	born     int64
	slots    int
	workTime time.Duration
	server   *http.Server
	stopBeat context.CancelFunc

	mu       sync.Mutex
	sequence int
	leaving  bool
	arrivals []arrival
	runs     []arrival
}

// arrival is a request with the time at which it reached a backend, or at which the backend began to
// work on it.
type arrival struct {
	id string
	at time.Time
}

// startBackend starts a backend that reports its status every heartbeat.
func startBackend(v *vm, id string, workTime time.Duration) (*backend, error) {
	b := &backend{vm: v, id: id, service: v.service, born: time.Now().UnixMilli(), slots: 72, workTime: workTime}
	l, err := net.Listen("tcp", v.addr(portUpstream))
	if err != nil {
		return nil, err
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }() // returns once the backend has ended
	ctx, cancel := context.WithCancel(context.Background())
	b.stopBeat = cancel
	go b.reportRegularly(ctx)
	v.d.record.add("backend", "%s starts beside %s for service %s", id, v.name, b.service)
	return b, nil
}

func (b *backend) reportRegularly(ctx context.Context) {
	for ctx.Err() == nil {
		b.sendReport(b.nextReport("ready"))
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// report is a status report that a backend has written.
type report struct {
	sequence int
	state    string
	body     []byte
}

func (b *backend) nextReport(state string) report {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	body := fmt.Appendf(nil, reportFormat, b.service, b.vm.addr(portUpstream), b.vm.zone, b.slots, state, b.sequence, b.born)
	return report{b.sequence, state, body}
}

// sendReport delivers a status report to the daemon of the VM and returns the status of the answer.
func (b *backend) sendReport(r report) int {
	return b.call(http.MethodPut, r.body, fmt.Sprintf("report %d (%s)", r.sequence, r.state))
}

// drain reports draining and returns the status of the answer. From now on the backend is leaving.
func (b *backend) drain() int {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	b.stopBeat()
	return b.sendReport(b.nextReport("draining"))
}

// leave sends DELETE and returns the status of the answer. From now on the backend is leaving.
func (b *backend) leave() int {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	b.stopBeat()
	return b.call(http.MethodDelete, nil, "DELETE")
}

func (b *backend) call(method string, body []byte, what string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.vm.addr(portControl)+names.InstancesPath+b.id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.vm.d.record.add("status", "%s: %s got no answer", b.id, what)
		return 0
	}
	_ = resp.Body.Close() // only the status matters
	b.vm.d.record.add("status", "%s: %s answered %d", b.id, what, resp.StatusCode)
	return resp.StatusCode
}

// serve answers one request as a sound backend does.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	leaving := b.leaving
	b.mu.Unlock()
	if r.URL.Path == "/healthz" {
		w.Header().Set(names.Responder, b.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if target := r.Header.Get(names.Target); target != "" && target != b.id {
		w.Header().Set(names.Responder, b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if leaving {
		w.Header().Set("Connection", "close")
	}
	b.mu.Lock()
	b.arrivals = append(b.arrivals, arrival{id, time.Now()})
	b.mu.Unlock()
	b.vm.d.record.add("arrive", "%s gets %s (%s)", b.id, id, r.Method)
	payload, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request is incomplete and isn't run
	}
	b.mu.Lock()
	b.runs = append(b.runs, arrival{id, time.Now()})
	b.mu.Unlock()
	b.vm.d.record.add("run", "%s runs %s (%s, caller service %s)", b.id, id, r.Method, r.Header.Get(names.Caller))
	time.Sleep(b.workTime)
	body := answerBody(id, payload)
	if strings.HasSuffix(r.URL.Path, largePath) {
		body = strings.Repeat(body, largeRepeat)
	}
	w.Header().Set(names.Signature, signature(b.id, body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	for len(body) > 0 {
		n := min(len(body), 64<<10)
		_, _ = io.WriteString(w, body[:n]) // the daemon may have closed the connection
		body = body[n:]
		time.Sleep(5 * time.Millisecond)
	}
}

// Requests whose path ends with largePath get largeRepeat times the usual body, 3.2 MB.
const (
	largePath   = "/large"
	largeRepeat = 50_000
)

// exit ends the backend; requests that it holds get no answer.
func (b *backend) exit() {
	b.stopBeat()
	_ = b.server.Close() // the backend ends in any case
	b.vm.d.record.add("backend", "%s ends", b.id)
}

func (b *backend) arrivalsSoFar() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}

func answerBody(id string, payload []byte) string {
	sum := sha256.Sum256(append([]byte(id+"\n"), payload...))
	return hex.EncodeToString(sum[:])
}

func signature(id, body string) string {
	sum := sha256.Sum256([]byte(id + body))
	return id + "." + hex.EncodeToString(sum[:4])
}
