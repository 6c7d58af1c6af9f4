package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/internal/freeport"
	"github.com/bilberrydeck/bilberrydeck/internal/testprogram"
)

// daemonMemoryBytes is the memory that a daemon of the product's own interface may take on a VM.
const daemonMemoryBytes = 128 << 20

// system is a system with the product's own interface: a control replica, and two daemons. The first one
// has the upstream of the service jobs, the second one has none.
type system struct {
	t       *testing.T
	dir     string
	ingress []string // of the daemons
	daemons []*process
	http    http.Client
}

// newSystem starts a system whose daemons have the given limits, and waits until it serves.
func newSystem(t *testing.T, l limits) *system {
	t.Helper()
	s := &system{t: t, dir: t.TempDir(), http: http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	control, relay := freeport.Address(t), freeport.Address(t)
	startProcess(t, "control", "-settings", s.write("control.settings.json", fmt.Sprintf(
		`{"id": 1, "listen": %q, "data_dir": "control", "claim_shards": 1}`, control)))
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			writeAnswer(w, r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
		}
	}))
	t.Cleanup(upstream.Close)
	for name, section := range map[string]string{
		"jobs": fmt.Sprintf(`"service": "jobs", "upstream": {"url": %q},`, upstream.URL),
		"edge": fmt.Sprintf(`"relay": {"listen": %q, "sources": [%q]},`, relay, control),
	} {
		ingress := freeport.Address(t)
		file := s.write(name+".settings.json", fmt.Sprintf(`{"id": %q, "region": "south", "availability_zone": "south-a", %s
			"listen": {"entrance": %q, "exit": %q, "peer": %q, "admin": %q}, "relays": [%q], "controls": [%q]}`,
			name, section, ingress, freeport.Address(t), freeport.Address(t), freeport.Address(t), relay, control))
		s.ingress = append(s.ingress, ingress)
		s.daemons = append(s.daemons, startLimitedProcess(t, l.descriptors, "daemon", "-settings", file))
	}
	s.publish(control)
	for _, ingress := range s.ingress {
		s.awaitStatus(http.MethodGet, ingress, "/jobs/answer/1000", nil)
	}
	return s
}

func (s *system) write(name, text string) string {
	path := filepath.Join(s.dir, name)
	require.NoError(s.t, os.MkdirAll(filepath.Dir(path), 0o700))
	require.NoError(s.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// publish publishes the declaration of the service until it is accepted.
func (s *system) publish(control string) {
	s.write("declared/jobs/bilberrydeck.json", fmt.Sprintf(`{"service": "jobs", "slots": %d, "max_connections": 500, "routes": [
		{"name": "answer", "method": "GET", "path": "/answer/{size}", "idempotent": true, "timeout": "60s"},
		{"name": "order", "method": "POST", "path": "/order/{size}", "timeout": "60s", "max_body": "1MiB"},
		{"name": "upload", "method": "POST", "path": "/upload/{size}", "timeout": "60s", "body": "stream"},
	]}`, upstreamSlots))
	path, err := testprogram.Path()
	require.NoError(s.t, err)
	var out []byte
	require.Eventually(s.t, func() bool {
		out, err = exec.Command(path, "publish", "-number", "1", "-author", "tester", "-controls", control, filepath.Join(s.dir, "declared")).CombinedOutput()
		return err == nil
	}, waitTimeout, 100*time.Millisecond, "the declaration was not accepted")
	require.NoError(s.t, err, string(out))
}

// awaitStatus sends ordinary requests until one is answered.
func (s *system) awaitStatus(method, ingress, path string, payload []byte) {
	s.t.Helper()
	last := ""
	require.Eventually(s.t, func() bool {
		req, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+ingress+path, bytes.NewReader(payload))
		require.NoError(s.t, err)
		resp, err := s.http.Do(req)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }() // read to its end
		text, err := io.ReadAll(resp.Body)
		last = string(text)
		return err == nil && resp.StatusCode == http.StatusOK
	}, waitTimeout, 200*time.Millisecond, "%s %s at %s was not answered", method, path, ingress)
	require.NotEmpty(s.t, last)
}

// requireServing checks that all daemons live within their limits and that ordinary callers get answers
// while the crowd is still there.
func (s *system) requireServing(l limits) {
	s.t.Helper()
	for _, ingress := range s.ingress {
		s.awaitStatus(http.MethodGet, ingress, "/jobs/answer/1000", nil)
		s.awaitStatus(http.MethodPost, ingress, "/jobs/order/10", bytes.Repeat([]byte{'o'}, 20_000))
		s.awaitStatus(http.MethodPost, ingress, "/jobs/upload/10", bytes.Repeat([]byte{'o'}, 100_000))
	}
	for _, p := range s.daemons {
		p.requireWithin(l)
	}
}

// uploads is a crowd whose clients send bodies to both daemons.
func (s *system) uploads(size int, path string, b body) crowd {
	short, whole := b.text(true), b.text(false)
	return crowd{size: size, address: func(n int) string { return s.ingress[n%2] }, run: func(n int, c net.Conn) {
		if _, err := fmt.Fprintf(c, "POST /jobs%s HTTP/1.1\r\nHost: jobs\r\n%s\r\n", path, b.header()); err != nil {
			return // closed by the process, which is allowed
		}
		if stopsShort(n / 2) {
			b.write(c, short)
			return
		}
		b.write(c, whole)
	}}
}

// silent is a crowd whose clients send a text, which is no whole request, and nothing more.
func (s *system) silent(size int, text string) crowd {
	return silent(size, text, func(n int) string { return s.ingress[n%2] })
}

// streams is a crowd whose clients send bodies that stop just short of their end on many streams of each
// connection (HTTP/2).
func (s *system) streams(size, perConnection int, path string, b body) crowd {
	short := b.text(true)
	return crowd{size: size, address: func(n int) string { return s.ingress[n%2] }, run: func(_ int, c net.Conn) {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{Protocols: protocols, DialContext: func(context.Context, string, string) (net.Conn, error) { return c, nil }}
		conn, err := transport.NewClientConn(context.Background(), "http", "jobs:80")
		if err != nil {
			return // closed by the process, which is allowed
		}
		for range perConnection {
			text, writer := io.Pipe()
			go func() { _, _ = writer.Write(short) }() // blocks until the connection is closed
			req, err := http.NewRequest(http.MethodPost, "http://jobs/jobs"+path, text)
			if err != nil {
				return
			}
			req.ContentLength = int64(b.size)
			go func() { _, _ = conn.RoundTrip(req) }() // as above
		}
		time.Sleep(crowdSendTime)
	}}
}

// crowdSendTime is how long the clients of a crowd that does not tell when it has sent all are given.
const crowdSendTime = 5 * time.Second

// slowReaders is a crowd whose clients ask both daemons for long answers and read them slowly.
func (s *system) slowReaders(r slowReader) crowd {
	return crowd{size: r.clients, address: func(n int) string { return s.ingress[n%2] }, run: func(_ int, c net.Conn) {
		for range r.requests {
			if _, err := fmt.Fprintf(c, "GET /jobs/answer/%d HTTP/1.1\r\nHost: jobs\r\n\r\n", r.answer); err != nil {
				return // closed by the process, which is allowed
			}
		}
		readSlowly(c)
	}}
}

// TestCrowdAtDaemon guards the daemon of the product's own interface against the same crowds.
func TestCrowdAtDaemon(t *testing.T) {
	for name, c := range map[string]struct {
		limits limits
		gather func(*system) crowd
	}{
		"bodies, whole":                     {limits{memoryBytes: daemonMemoryBytes}, func(s *system) crowd { return s.uploads(1500, "/order/10", body{size: 30_000}) }},
		"bodies, in pieces":                 {limits{memoryBytes: daemonMemoryBytes}, func(s *system) crowd { return s.uploads(1500, "/upload/10", body{size: 1_000_000, piece: 16 << 10}) }},
		"bodies, in large chunks":           {limits{memoryBytes: daemonMemoryBytes}, func(s *system) crowd { return s.uploads(1500, "/upload/10", body{size: 1_000_000, chunk: 100_000}) }},
		"bodies, in small chunks":           {limits{memoryBytes: daemonMemoryBytes}, func(s *system) crowd { return s.uploads(1500, "/upload/10", body{size: 200_000, chunk: 10}) }},
		"short bodies on many streams":      {limits{memoryBytes: daemonMemoryBytes}, func(s *system) crowd { return s.streams(200, 30, "/order/10", body{size: 30_000}) }},
		"long bodies on many streams":       {limits{memoryBytes: daemonMemoryBytes}, func(s *system) crowd { return s.streams(400, 30, "/upload/10", body{size: 2_000_000}) }},
		"slow readers":                      {limits{memoryBytes: daemonMemoryBytes}, func(s *system) crowd { return s.slowReaders(slowReader{clients: 1500, answer: 8_000_000, requests: 1}) }},
		"idle connections":                  {limits{memoryBytes: daemonMemoryBytes, descriptors: 500}, func(s *system) crowd { return s.silent(1200, "") }},
		"slow readers with few descriptors": {limits{memoryBytes: daemonMemoryBytes, descriptors: 500}, func(s *system) crowd { return s.slowReaders(slowReader{clients: 1200, answer: 8_000_000, requests: 1}) }},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, c.limits)
			c.gather(s).gather(t)
			s.requireServing(c.limits)
		})
	}
}
