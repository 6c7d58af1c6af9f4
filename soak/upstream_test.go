package soak

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/lifecycle"
	"github.com/bilberrydeck/bilberrydeck/platform"
)

const (
	upstreamSlots      = 8
	defaultServiceTime = 20 * time.Millisecond
)

// upstream is the emulated upstream on the VM of a daemon. It executes requests, calls
// other services through the daemon and sends it heartbeats.
type upstream struct {
	vm     *vm
	server *http.Server

	mu              sync.Mutex
	incarnation     int // number of starts
	startedAt       time.Time
	sequence        uint64
	draining        bool
	gone            bool
	serviceTime     time.Duration
	failureRatio    float64 // fraction of requests that fail with status 500
	truncationRatio float64 // fraction of responses that are truncated
	cancel          context.CancelFunc
}

func newUpstream(v *vm) *upstream {
	u := &upstream{vm: v, serviceTime: defaultServiceTime}
	u.start()
	return u
}

func (u *upstream) id() string { return fmt.Sprintf("i-%s-%d", u.vm.name, u.incarnation) }

// start starts an incarnation: it listens for requests and sends heartbeats.
func (u *upstream) start() {
	u.mu.Lock()
	u.incarnation++
	u.startedAt, u.sequence, u.draining, u.gone = time.Now(), 0, false, false
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve)}
	server := u.server
	u.mu.Unlock()
	listener, err := net.Listen("tcp", u.vm.addressOf(portUpstream))
	if err != nil {
		u.vm.cluster.checker.addViolation("harness: upstream of %s cannot listen: %v", u.vm.name, err)
		return
	}
	go func() { _ = server.Serve(listener) }() // returns after close
	go u.sendHeartbeats(ctx)
}

// sendHeartbeats sends heartbeats until ctx ends.
func (u *upstream) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		u.sendHeartbeat(ctx, u.nextHeartbeat())
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func (u *upstream) nextHeartbeat() lifecycle.Heartbeat {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	h := lifecycle.Heartbeat{ID: u.id(), StartedAtMs: u.startedAt.UnixMilli(), Sequence: u.sequence, Service: u.vm.settings.Service, State: lifecycle.Ready, Slots: upstreamSlots}
	if u.draining {
		h.State = lifecycle.Draining
	}
	return h
}

// sendHeartbeat sends a heartbeat to the daemon. Once one with state draining is acknowledged, the
// daemon must send the upstream no new requests.
func (u *upstream) sendHeartbeat(ctx context.Context, h lifecycle.Heartbeat) {
	err := u.vm.cluster.client.SendHeartbeat(ctx, u.vm.settings.ControlAddress, h, platform.UpstreamLocation{
		Address: u.vm.addressOf(portUpstream), AvailabilityZone: u.vm.settings.AvailabilityZone, Version: "v1",
	})
	if err == nil && h.State == lifecycle.Draining {
		u.vm.cluster.checker.recordDraining(h.ID)
	}
}

// leave deregisters the upstream without a draining heartbeat. It continues to serve.
func (u *upstream) leave() {
	u.mu.Lock()
	u.draining = true
	id, cancel := u.id(), u.cancel
	u.mu.Unlock()
	cancel()
	if u.vm.cluster.client.Deregister(context.Background(), u.vm.settings.ControlAddress, id) == nil {
		u.vm.cluster.checker.recordDraining(id)
	}
}

// drain stops the upstream gracefully: it reports that it drains, continues to serve,
// deregisters and closes.
func (u *upstream) drain() {
	u.mu.Lock()
	u.draining = true
	id := u.id()
	u.mu.Unlock()
	time.Sleep(drainWithin + 500*time.Millisecond)
	_ = u.vm.cluster.client.Deregister(context.Background(), u.vm.settings.ControlAddress, id) // it closes even if this fails
	time.Sleep(300 * time.Millisecond)
	u.close()
}

// close ends the incarnation at once, like a crash: requests in flight fail.
func (u *upstream) close() {
	u.mu.Lock()
	cancel, server := u.cancel, u.server
	u.gone = true
	u.mu.Unlock()
	cancel()
	_ = server.Close() // requests in flight fail
}

// expectedBody returns the body of the response to a request.
func expectedBody(id string, payload []byte) string {
	sum := sha256.Sum256(append([]byte(id+"\n"), payload...))
	repetitions := 1 + int(sum[0])%8
	if sum[1] < 8 { // larger than what a daemon buffers in memory
		repetitions = 20_000
	}
	return strings.Repeat(hex.EncodeToString(sum[:]), repetitions)
}

// uploadExtraTime is the additional service time of uploads, so that some are in flight
// during a graceful shutdown.
const uploadExtraTime = 600 * time.Millisecond

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	headers := platform.HeaderNames()
	u.mu.Lock()
	id, draining, serviceTime, failureRatio, truncationRatio := u.id(), u.draining, u.serviceTime, u.failureRatio, u.truncationRatio
	u.mu.Unlock()
	w.Header().Set(headers.ResponderID, id)
	if r.URL.Path == healthPath {
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	requestID := r.Header.Get(headers.RequestID)
	w.Header().Set(headers.RequestID, requestID)
	if target := r.Header.Get(headers.UpstreamID); target != "" && target != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	payload, err := io.ReadAll(r.Body)
	if err != nil {
		return // the body is incomplete; the request is not executed
	}
	if r.Header.Get(headers.Caller) == "" {
		u.vm.cluster.checker.addViolation("caller: request %s reached %s without the service of its caller", requestID, id)
	}
	u.vm.cluster.checker.recordExecution(requestID, kindOf(r.URL.Path), u.vm.settings.Service, id)
	if kindOf(r.URL.Path) == upload {
		serviceTime += uploadExtraTime
	}
	time.Sleep(serviceTime)
	if !u.callNext(r, requestID) || rand.Float64() < failureRatio {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	response := expectedBody(requestID, payload)
	if rand.Float64() < truncationRatio {
		w.Header().Set("Content-Length", fmt.Sprint(len(response)))
		_, _ = io.WriteString(w, response[:len(response)/2]) // the connection is aborted below
		_ = http.NewResponseController(w).Flush()            // as above
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, response) // the daemon may have disconnected
}

// callNext calls the next service through the local daemon, if the request asks for it.
// It reports whether the call succeeded or was not needed.
func (u *upstream) callNext(r *http.Request, requestID string) bool {
	next := ""
	for i, name := range services[:len(services)-1] {
		if name == u.vm.settings.Service && i == 0 && strings.HasPrefix(r.URL.Path, "/deep/") {
			next = services[i+1]
		}
	}
	if next == "" {
		return true
	}
	headers := platform.HeaderNames()
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+u.vm.settings.IngressAddress+"/read/"+requestID, nil)
	if err != nil {
		return false
	}
	req.Host = next + ".example"
	req.Header.Set(headers.RequestID, "call-of-"+requestID)
	req.Header.Set(headers.Deadline, "1000")
	u.vm.cluster.checker.recordRequest(next)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }() // read completely or cancelled
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
