package integration

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/bilberrydeck/bilberrydeck/internal/freeport"
)

// fleet is a cluster with one service, "jobs", in one availability zone. It has two
// daemons with an upstream, which are not relays, and three daemons without an upstream,
// which are relays. Tests send requests to the ingress of the relays.
type fleet struct {
	*cluster
	t          *testing.T
	executions *executionLog
	release    func() // lets the blocked handlers respond
	version    uint64 // last version published
}

var (
	upstreamNames = []string{"up-1", "up-2"}
	relayNames    = []string{"relay-1", "relay-2", "relay-3"}
	// noKeepAliveClient opens a connection for each request, because net/http sends a
	// request again by itself when a pooled connection breaks.
	noKeepAliveClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
)

// newFleet starts the control replicas and all daemons of a fleet.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	blocked := make(chan struct{})
	f := &fleet{cluster: newControls(t, false), t: t, executions: &executionLog{byID: map[string][]string{}, byKey: map[string][]string{}, firstID: map[string]string{}}}
	f.release = sync.OnceFunc(func() { close(blocked) })
	var feeds []string
	for _, name := range relayNames {
		n := newNode(t)
		f.daemons[name] = n
		feeds = append(feeds, n.feed)
		defer f.startDaemon(name, func() string {
			return fmt.Sprintf(`"relay": {"listen": %q, "sources": [%s]},`, n.feed, quoted(f.addresses()))
		}, &feeds)
	}
	for _, name := range upstreamNames {
		n := newNode(t)
		f.daemons[name] = n
		n.upstream = httptest.NewServer(f.executions.handler(name, blocked))
		t.Cleanup(n.upstream.Close)
		defer f.startDaemon(name, func() string {
			return fmt.Sprintf(`"service": "jobs", "upstream": {"url": %q},`, n.upstream.URL)
		}, &feeds)
	}
	t.Cleanup(f.release)
	return f
}

// newNode returns a node with free listen addresses.
func newNode(t *testing.T) *node {
	return &node{ingress: freeport.Address(t), egress: freeport.Address(t), peer: freeport.Address(t), admin: freeport.Address(t), feed: freeport.Address(t)}
}

// startDaemon writes the settings of a daemon, with the fields that extraFields returns,
// and starts it.
func (f *fleet) startDaemon(name string, extraFields func() string, feeds *[]string) {
	n := f.daemons[name]
	n.settingsFile = writeFile(f.t, f.dir, name+".settings.json", fmt.Sprintf(`{
		"id": %q, "region": "south", "availability_zone": "south-a", %s
		"listen": {"entrance": %q, "exit": %q, "peer": %q, "admin": %q},
		"relays": [%s], "controls": [%s], %s
	}`, name, extraFields(), n.ingress, n.egress, n.peer, n.admin, quoted(*feeds), quoted(f.addresses()), f.tlsSection(f.t, "daemon", name)))
	n.process = start(f.t, "daemon", "-settings", n.settingsFile)
}

// publishNext publishes a change with the next version, which must be accepted.
func (f *fleet) publishNext() {
	f.t.Helper()
	f.version++
	file := writeFile(f.t, f.dir, "declared/jobs/bilberrydeck.json", fmt.Sprintf(`{
		"service": "jobs", "slots": 40, "max_connections": %d,
		"routes": [
			{"name": "look", "method": "GET", "path": "/look", "idempotent": true, "timeout": "30s"},
			{"name": "slow", "method": "GET", "path": "/slow", "idempotent": true, "timeout": "2m"},
			{"name": "book", "method": "POST", "path": "/book", "class": "critical", "timeout": "30s"},
			{"name": "book-slow", "method": "POST", "path": "/book-slow", "class": "critical", "timeout": "30s"},
		],
	}`, 100+f.version))
	// The command can be run again after a lost response, because the change id is derived
	// from the content.
	waitFor(f.t, fmt.Sprintf("version %d to be accepted", f.version), func() bool {
		_, _, code := runCommand(f.t, "publish", "-number", fmt.Sprint(f.version), "-author", "tester",
			"-controls", strings.Join(f.addresses(), ","), strings.TrimSuffix(file, "/jobs/bilberrydeck.json"))
		return code == 0
	})
}

// serve publishes the first version and waits until both upstreams execute lookups sent
// to each daemon.
func (f *fleet) serve() {
	f.t.Helper()
	f.publishNext()
	for name := range f.daemons {
		f.awaitUpstreams(name, upstreamNames...)
	}
}

// awaitUpstreams waits until lookups sent to the ingress of a daemon reach all of the
// named upstreams. It sends them concurrently, because single lookups would all go to the
// faster upstream.
func (f *fleet) awaitUpstreams(ingress string, upstreams ...string) {
	f.t.Helper()
	reached := map[string]bool{}
	waitFor(f.t, "lookups from "+ingress+" at "+strings.Join(upstreams, " and "), func() bool {
		for _, r := range f.lookups(ingress, 12) {
			if executedAt := f.executions.upstreamsOfRequest(r.id); r.status == http.StatusOK {
				reached[executedAt[len(executedAt)-1]] = true
			}
		}
		for _, upstream := range upstreams {
			if !reached[upstream] {
				return false
			}
		}
		return true
	})
}

// lookups sends n concurrent lookups and returns their results.
func (f *fleet) lookups(ingress string, n int) []result {
	results := make([]result, n)
	var senders sync.WaitGroup
	for i := range results {
		senders.Go(func() { results[i] = f.send(http.MethodGet, ingress, "/look", "", 10*time.Second) })
	}
	senders.Wait()
	return results
}

// result is the outcome of one request as its caller sees it.
type result struct {
	method, id, outcome, reason, body string
	status                            int // 0 if no complete response was received
}

func (r result) notRun() bool { return r.outcome == "not-run" }

func (r result) String() string {
	return fmt.Sprintf("%s: %d %s %s, %d bytes", r.id, r.status, r.outcome, r.reason, len(r.body))
}

// send sends one request to the ingress of a daemon and returns its result. The request
// has no deadline if timeout is 0, and no idempotency key if key is empty.
func (f *fleet) send(method, ingress, path, key string, timeout time.Duration) result {
	id := uuid.NewString()
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+f.daemons[ingress].ingress+"/jobs"+path, nil)
	if err != nil {
		return result{method: method, id: id, body: err.Error()}
	}
	r.Header.Set("Bilberry-Request-Id", id)
	if timeout > 0 {
		r.Header.Set("Bilberry-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := noKeepAliveClient.Do(r)
	if err != nil {
		return result{method: method, id: id, body: err.Error()}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return result{method: method, id: id, body: err.Error()}
	}
	return result{method, id, response.Header.Get("Bilberry-Outcome"), response.Header.Get("Bilberry-Reason"), string(body), response.StatusCode}
}

// status reads GET /status; ok is false if the daemon does not respond.
func (n *node) status() (version uint64, confirmed, ok bool) {
	response, err := noKeepAliveClient.Get("http://" + n.admin + "/status")
	if err != nil {
		return 0, false, false
	}
	defer response.Body.Close()
	var s struct {
		ConfigurationVersion uint64 `json:"configuration_version"`
		Confirmed            bool   `json:"confirmed"`
	}
	err = json.NewDecoder(response.Body).Decode(&s)
	return s.ConfigurationVersion, s.Confirmed, err == nil
}

// executionLog records which upstreams executed each request.
type executionLog struct {
	mu          sync.Mutex
	byID, byKey map[string][]string // names of the upstreams
	firstID     map[string]string   // by key
}

// record records that an upstream executes a request and returns the id of the request.
func (l *executionLog) record(upstream string, r *http.Request) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, key := r.Header.Get("Bilberry-Request-Id"), r.Header.Get("Idempotency-Key")
	l.byID[id] = append(l.byID[id], upstream)
	if len(l.byKey[key]) == 0 {
		l.firstID[key] = id
	}
	l.byKey[key] = append(l.byKey[key], upstream)
	return id
}

// upstreamsOfRequest returns the upstreams that executed a request.
func (l *executionLog) upstreamsOfRequest(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byID[id]
}

// upstreamsOfKey returns the upstreams that executed requests with an idempotency key.
func (l *executionLog) upstreamsOfKey(key string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byKey[key]
}

// firstIDOfKey returns the id of the first executed request with an idempotency key.
func (l *executionLog) firstIDOfKey(key string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstID[key]
}

// handler serves the requests of one upstream with the body that responseBody derives
// from the request id. Requests to a path that ends in "slow" wait until blocked is closed.
func (l *executionLog) handler(upstream string, blocked <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := l.record(upstream, r)
		if strings.HasSuffix(r.URL.Path, "slow") {
			<-blocked
		}
		body := responseBody(r.Method, id)
		if id[0]%2 == 0 { // the other responses use chunked encoding
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		}
		// The pauses let faults happen during the execution and during the response. Write
		// errors are ignored: the daemon has disconnected.
		time.Sleep(2 * time.Millisecond)
		_, _ = io.WriteString(w, body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(2 * time.Millisecond)
		_, _ = io.WriteString(w, body[len(body)/2:])
	})
}

// responseBody is the response to a request: its id, a checksum and a payload of 2 to
// 64 KiB. Responses to bookings are small enough to be stored with the claim.
func responseBody(method, id string) string {
	sum := sha256.Sum256([]byte(id))
	blocks := 1 + int(sum[0])%32
	if method == http.MethodPost {
		blocks = 2
	}
	payload := strings.Repeat(fmt.Sprintf("%x", sum), 32*blocks)
	return fmt.Sprintf("%s\n%x\n%s", id, sha256.Sum256([]byte(payload)), payload)
}
