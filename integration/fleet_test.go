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
)

// fleet is a system with one service "jobs" in one availability zone: two
// upstreams, whose daemons are no relays, and three relays, which are daemons
// without a service and serve as entrances.
type fleet struct {
	*deck
	t       *testing.T
	visits  *visits
	release func() // lets the held handlers answer
	version uint64 // last version published
}

var (
	upstreamNames = []string{"up-1", "up-2"}
	relayNames    = []string{"relay-1", "relay-2", "relay-3"}
	// noReuse never resends a request by itself, which net/http does when a
	// pooled connection breaks.
	noReuse = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitLimit}
)

func newFleet(t *testing.T) *fleet {
	t.Helper()
	held := make(chan struct{})
	f := &fleet{deck: newControls(t, false), t: t, visits: &visits{byID: map[string][]string{}, byKey: map[string][]string{}, firstID: map[string]string{}}}
	f.release = sync.OnceFunc(func() { close(held) })
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
		n.upstream = httptest.NewServer(f.visits.handler(name, held))
		t.Cleanup(n.upstream.Close)
		defer f.startDaemon(name, func() string {
			return fmt.Sprintf(`"service": "jobs", "upstream": {"url": %q},`, n.upstream.URL)
		}, &feeds)
	}
	t.Cleanup(f.release)
	return f
}

func newNode(t *testing.T) *node {
	return &node{entrance: freePort(t), exit: freePort(t), peer: freePort(t), admin: freePort(t), feed: freePort(t)}
}

func (f *fleet) startDaemon(name string, own func() string, feeds *[]string) {
	n := f.daemons[name]
	n.settings = writeFile(f.t, f.dir, name+".settings.json", fmt.Sprintf(`{
		"id": %q, "region": "south", "availability_zone": "south-a", %s
		"listen": {"entrance": %q, "exit": %q, "peer": %q, "admin": %q},
		"relays": [%s], "controls": [%s], %s
	}`, name, own(), n.entrance, n.exit, n.peer, n.admin, quoted(*feeds), quoted(f.addresses()), f.section(f.t, "daemon", name)))
	n.process = start(f.t, "daemon", "-settings", n.settings)
}

// publishNext publishes the next version.
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
	// A lost answer may be repeated: the change id follows from the content.
	until(f.t, fmt.Sprintf("version %d to be accepted", f.version), func() bool {
		_, _, code := runCommand(f.t, "publish", "-number", fmt.Sprint(f.version), "-author", "tester",
			"-controls", strings.Join(f.addresses(), ","), strings.TrimSuffix(file, "/jobs/bilberrydeck.json"))
		return code == 0
	})
}

// serve publishes the first version and waits until both upstreams answer
// lookups from every entrance.
func (f *fleet) serve() {
	f.t.Helper()
	f.publishNext()
	for name := range f.daemons {
		f.awaitUpstreams(name, upstreamNames...)
	}
}

// awaitUpstreams waits until lookups from an entrance reach the upstreams.
// Single lookups would all go to the faster one.
func (f *fleet) awaitUpstreams(entrance string, upstreams ...string) {
	f.t.Helper()
	reached := map[string]bool{}
	until(f.t, "lookups from "+entrance+" at "+strings.Join(upstreams, " and "), func() bool {
		for _, r := range f.looks(entrance, 12) {
			if at := f.visits.of(r.id); r.status == http.StatusOK {
				reached[at[len(at)-1]] = true
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

// looks sends n lookups at once.
func (f *fleet) looks(entrance string, n int) []result {
	results := make([]result, n)
	var all sync.WaitGroup
	for i := range results {
		all.Go(func() { results[i] = f.ask(http.MethodGet, entrance, "/look", "", 10*time.Second) })
	}
	all.Wait()
	return results
}

// result is what a caller got.
type result struct {
	method, id, outcome, reason, body string
	status                            int // 0 if no complete answer came
}

func (r result) notRun() bool { return r.outcome == "not-run" }

func (r result) String() string {
	return fmt.Sprintf("%s: %d %s %s, %d bytes", r.id, r.status, r.outcome, r.reason, len(r.body))
}

func (f *fleet) ask(method, entrance, path, key string, deadline time.Duration) result {
	id := uuid.NewString()
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+f.daemons[entrance].entrance+"/jobs"+path, nil)
	if err != nil {
		return result{method: method, id: id, body: err.Error()}
	}
	r.Header.Set("Bilberry-Request-Id", id)
	if deadline > 0 {
		r.Header.Set("Bilberry-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	answer, err := noReuse.Do(r)
	if err != nil {
		return result{method: method, id: id, body: err.Error()}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return result{method: method, id: id, body: err.Error()}
	}
	return result{method, id, answer.Header.Get("Bilberry-Outcome"), answer.Header.Get("Bilberry-Reason"), string(body), answer.StatusCode}
}

// status reads GET /status; ok is false if the daemon does not answer.
func (n *node) status() (version uint64, confirmed, ok bool) {
	answer, err := noReuse.Get("http://" + n.admin + "/status")
	if err != nil {
		return 0, false, false
	}
	defer answer.Body.Close()
	var s struct {
		ConfigurationVersion uint64 `json:"configuration_version"`
		Confirmed            bool   `json:"confirmed"`
	}
	err = json.NewDecoder(answer.Body).Decode(&s)
	return s.ConfigurationVersion, s.Confirmed, err == nil
}

// visits records which handlers were entered.
type visits struct {
	mu          sync.Mutex
	byID, byKey map[string][]string // names of the upstreams
	firstID     map[string]string   // by key
}

func (v *visits) enter(upstream string, r *http.Request) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	id, key := r.Header.Get("Bilberry-Request-Id"), r.Header.Get("Idempotency-Key")
	v.byID[id] = append(v.byID[id], upstream)
	if len(v.byKey[key]) == 0 {
		v.firstID[key] = id
	}
	v.byKey[key] = append(v.byKey[key], upstream)
	return id
}

func (v *visits) of(id string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byID[id]
}

func (v *visits) ofKey(key string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byKey[key]
}

func (v *visits) idOfKey(key string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.firstID[key]
}

// handler answers with a body that belongs to the request id.
func (v *visits) handler(upstream string, held <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := v.enter(upstream, r)
		if strings.HasSuffix(r.URL.Path, "slow") {
			<-held
		}
		body := echo(r.Method, id)
		if id[0]%2 == 0 { // the others are sent in chunks
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		}
		// Faults meet running handlers and answers that are under way. The
		// daemon has left if a write fails.
		time.Sleep(2 * time.Millisecond)
		_, _ = io.WriteString(w, body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(2 * time.Millisecond)
		_, _ = io.WriteString(w, body[len(body)/2:])
	})
}

// echo is the answer to a request: its id, a checksum and 2 to 64 KiB. Answers
// to bookings are small enough to be kept with the claim.
func echo(method, id string) string {
	sum := sha256.Sum256([]byte(id))
	blocks := 1 + int(sum[0])%32
	if method == http.MethodPost {
		blocks = 2
	}
	payload := strings.Repeat(fmt.Sprintf("%x", sum), 32*blocks)
	return fmt.Sprintf("%s\n%x\n%s", id, sha256.Sum256([]byte(payload)), payload)
}
