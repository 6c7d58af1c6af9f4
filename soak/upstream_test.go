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
	upstreamSlots = 8
	usualWork     = 20 * time.Millisecond
)

// upstream is the emulated upstream beside a daemon. It runs requests, makes calls
// of its own through the daemon and reports to it.
type upstream struct {
	vm     *vm
	server *http.Server

	mu       sync.Mutex
	run      int // counts its runs
	sequence uint64
	draining bool
	gone     bool
	work     time.Duration
	failing  float64 // share of requests that it fails
	cutting  float64 // share of answers that end early
	end      context.CancelFunc
}

func newUpstream(v *vm) *upstream {
	u := &upstream{vm: v, work: usualWork}
	u.begin()
	return u
}

func (u *upstream) id() string { return fmt.Sprintf("i-%s-%d", u.vm.name, u.run) }

// begin starts a run: a listener and reports.
func (u *upstream) begin() {
	u.mu.Lock()
	u.run++
	u.sequence, u.draining, u.gone = 0, false, false
	ctx, end := context.WithCancel(context.Background())
	u.end = end
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve)}
	server, id := u.server, u.id()
	u.mu.Unlock()
	l, err := net.Listen("tcp", u.vm.at(portUpstream))
	if err != nil {
		u.vm.w.judge.violate("harness: upstream of %s cannot listen: %v", u.vm.name, err)
		return
	}
	go func() { _ = server.Serve(l) }() // ends with close
	go u.report(ctx, id)
}

// report sends reports until the run ends. The confirmation of a report that it
// drains binds the daemon.
func (u *upstream) report(ctx context.Context, id string) {
	born := time.Now().UnixMilli()
	for ctx.Err() == nil {
		u.mu.Lock()
		u.sequence++
		r := lifecycle.Heartbeat{ID: id, StartedAtMs: born, Sequence: u.sequence, Service: u.vm.settings.Service, State: lifecycle.Ready, Slots: upstreamSlots}
		if u.draining {
			r.State = lifecycle.Draining
		}
		u.mu.Unlock()
		err := u.vm.w.client.SendHeartbeat(ctx, u.vm.settings.ControlAddress, r)
		if err == nil && r.State == lifecycle.Draining {
			u.vm.w.judge.drained(id)
		}
		select {
		case <-ctx.Done():
		case <-time.After(reportEvery):
		}
	}
}

// drain lets the upstream leave as upstreams do: it reports, serves on, and ends.
func (u *upstream) drain() {
	u.mu.Lock()
	u.draining = true
	id := u.id()
	u.mu.Unlock()
	time.Sleep(drainWithin + 500*time.Millisecond)
	_ = u.vm.w.client.Deregister(context.Background(), u.vm.settings.ControlAddress, id) // it leaves either way
	time.Sleep(300 * time.Millisecond)
	u.close()
}

// close ends the run at once: requests in flight break.
func (u *upstream) close() {
	u.mu.Lock()
	end, server := u.end, u.server
	u.gone = true
	u.mu.Unlock()
	end()
	_ = server.Close() // a crash
}

// answerTo is the body that belongs to a request.
func answerTo(id string, payload []byte) string {
	sum := sha256.Sum256(append([]byte(id+"\n"), payload...))
	times := 1 + int(sum[0])%8
	if sum[1] < 8 { // above what a daemon holds in memory
		times = 20_000
	}
	return strings.Repeat(hex.EncodeToString(sum[:]), times)
}

// uploadWork is how much longer uploads take, so that planned stops find some under way.
const uploadWork = 600 * time.Millisecond

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	d := platform.HeaderNames()
	u.mu.Lock()
	id, work, failing, cutting := u.id(), u.work, u.failing, u.cutting
	u.mu.Unlock()
	w.Header().Set(d.ResponderID, id)
	if r.URL.Path == healthPath {
		return
	}
	request := r.Header.Get(d.RequestID)
	w.Header().Set(d.RequestID, request)
	if target := r.Header.Get(d.UpstreamID); target != "" && target != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	payload, err := io.ReadAll(r.Body)
	if err != nil {
		return // torn on the way; it does not run
	}
	if r.Header.Get(d.Caller) == "" {
		u.vm.w.judge.violate("request %s reached %s without the service of its caller", request, id)
	}
	u.vm.w.judge.ran(request, kindOf(r.URL.Path), u.vm.settings.Service, id)
	if kindOf(r.URL.Path) == upload {
		work += uploadWork
	}
	time.Sleep(work)
	if !u.call(r, request) || rand.Float64() < failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	answer := answerTo(request, payload)
	if rand.Float64() < cutting {
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		_, _ = io.WriteString(w, answer[:len(answer)/2]) // the connection breaks in any case
		_ = http.NewResponseController(w).Flush()        // as above
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer) // the reader may be gone
}

// call makes the call of the next service, through the daemon on the same VM.
func (u *upstream) call(r *http.Request, request string) bool {
	next := ""
	for i, name := range services[:len(services)-1] {
		if name == u.vm.settings.Service && i == 0 && strings.HasPrefix(r.URL.Path, "/deep/") {
			next = services[i+1]
		}
	}
	if next == "" {
		return true
	}
	d := platform.HeaderNames()
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+u.vm.settings.IngressAddress+"/read/"+request, nil)
	if err != nil {
		return false
	}
	req.Host = next + ".example"
	req.Header.Set(d.RequestID, "call-of-"+request)
	req.Header.Set(d.Deadline, "1000")
	u.vm.w.judge.sends(next)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }() // read or given up
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
