package crowd

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// memoryBytes is the memory of each VM, a third of what the users' VMs have, so that a small crowd shows
// what a large one does there.
const memoryBytes = 96 << 20

// requireServing checks that all processes live within their limits and that ordinary callers get
// answers while the crowd is still there.
func (f *fleet) requireServing(l limits) {
	f.t.Helper()
	for _, v := range f.daemons {
		for _, service := range services {
			f.awaitAnswer(v, service)
			f.awaitStatus(v, http.MethodPost, service, "/upload/10", bytes.Repeat([]byte{'o'}, 100_000))
		}
	}
	for _, v := range append(append([]*vm(nil), f.controls...), f.daemons...) {
		v.requireWithin(l)
	}
}

// TestCrowdOfBodies guards against clients that send many bodies at the same time, most of which stop
// just short of their end and stay open.
func TestCrowdOfBodies(t *testing.T) {
	for name, b := range map[string]body{
		"whole":                 {size: 1_000_000},
		"in pieces":             {size: 1_000_000, piece: 8 << 10},
		"in large chunks":       {size: 1_000_000, chunk: 100_000},
		"in small chunks":       {size: 1_000_000, chunk: 10},
		"long, whole":           {size: 8_000_000},
		"long, in pieces":       {size: 8_000_000, piece: 64 << 10},
		"long, in large chunks": {size: 8_000_000, chunk: 1_000_000},
		"long, in small chunks": {size: 4_000_000, chunk: 10},
	} {
		t.Run(name, func(t *testing.T) {
			l := limits{memoryBytes: memoryBytes}
			f := newFleet(t, l)
			f.uploads(240, b).gather(t)
			f.requireServing(l)
		})
	}
}

// TestCrowdOfSlowReaders guards against clients that ask for long answers and read them slowly, one on a
// connection or several at once.
func TestCrowdOfSlowReaders(t *testing.T) {
	for name, r := range map[string]slowReader{
		"60 KB, pipelined": {clients: 120, answer: 60_000, requests: 32},
		"60 KB":            {clients: 800, answer: 60_000, requests: 1},
		"1 MB":             {clients: 800, answer: 1_000_000, requests: 1},
		"8 MB":             {clients: 1200, answer: 8_000_000, requests: 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := limits{memoryBytes: memoryBytes}
			f := newFleet(t, l)
			f.slowReaders(r).gather(t)
			f.requireServing(l)
		})
	}
}

// TestCrowdOfConnections guards against clients that use up the descriptors of a VM: idle ones, ones that
// stop in the head of a request, and slow readers, each of which keeps a connection to another VM as well.
func TestCrowdOfConnections(t *testing.T) {
	l := limits{memoryBytes: memoryBytes, descriptors: 400}
	for name, gather := range map[string]func(*fleet) crowd{
		"idle":             func(f *fleet) crowd { return f.silent(300, "") },
		"unfinished heads": func(f *fleet) crowd { return f.silent(300, "GET /answer/10 HTTP/1.1\r\nHost: al") },
		"slow readers":     func(f *fleet) crowd { return f.slowReaders(slowReader{clients: 240, answer: 8_000_000, requests: 1}) },
		"bodies":           func(f *fleet) crowd { return f.uploads(240, body{size: 8_000_000}) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, l)
			gather(f).gather(t)
			f.requireServing(l)
		})
	}
}

// TestCrowdAtControl guards against a crowd at the interface of operators: bodies of configurations most
// of which stop just short of their end. The replica still answers operators, and serves daemons.
func TestCrowdAtControl(t *testing.T) {
	for name, b := range map[string]body{
		"whole":           {size: 1_000_000},
		"in pieces":       {size: 1_000_000, piece: 8 << 10},
		"in large chunks": {size: 1_000_000, chunk: 100_000},
		"in small chunks": {size: 1_000_000, chunk: 10},
	} {
		t.Run(name, func(t *testing.T) {
			l := limits{memoryBytes: memoryBytes, descriptors: 800}
			f := newFleet(t, l)
			f.publish(2)
			f.operators(240, b).gather(t)
			f.requireControl(l)
		})
	}
}

// TestCrowdOfConfigReaders guards control against clients that ask for a large configuration several times
// at once and read the answers slowly.
func TestCrowdOfConfigReaders(t *testing.T) {
	l := limits{memoryBytes: memoryBytes, descriptors: 800}
	f := newFleet(t, l)
	f.spareRoutes = 4000
	f.publish(2)
	f.configReaders(240, 8).gather(t)
	f.requireControl(l)
}

// requireControl checks that each replica answers operators while the crowd is still there.
func (f *fleet) requireControl(l limits) {
	f.t.Helper()
	for _, v := range f.controls {
		require.Eventually(f.t, func() bool {
			text, err := f.client.GetConfig(f.t.Context(), v.settings.ControlAddress)
			return err == nil && len(text) > 0
		}, waitTimeout, 200*time.Millisecond, "%s did not answer a read of the configuration", v.settings.VM)
	}
	f.publish(3)
	f.requireServing(l)
}

// TestCalm guards against limits that single clients meet: the largest and slowest requests that stay
// within the limits are served in calm.
func TestCalm(t *testing.T) {
	l := limits{memoryBytes: memoryBytes, descriptors: 400}
	f := newFleet(t, l)
	largest := int(requestLimits.BodyBytes)
	for name, b := range map[string]body{
		"largest body":                  {size: largest},
		"largest body in chunks":        {size: largest, chunk: 1 << 20},
		"body in small pieces":          {size: 200_000, piece: 100},
		"body in small chunks":          {size: 1_000_000, chunk: 10},
		"long body in small chunks":     {size: 4_000_000, chunk: 10},
		"body of exactly a buffer":      {size: 1 << 20},
		"body just longer than buffers": {size: 1<<20 + 1},
	} {
		for _, service := range services {
			t.Run(name+" for "+service, func(t *testing.T) { f.upload(t, service, b) })
		}
	}
	for _, service := range services {
		f.awaitStatus(f.daemons[0], http.MethodGet, service, "/answer/64000000", nil)
	}
	for _, v := range f.daemons {
		v.requireWithin(l)
	}
}

// upload sends one body on a connection of its own and expects its answer at the first attempt.
func (f *fleet) upload(t *testing.T, service string, b body) {
	conn, err := net.Dial("tcp", f.daemons[0].settings.IngressAddress)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }() // the answer has been read
	go func() {
		_, _ = io.WriteString(conn, requestHead(http.MethodPost, service, "/upload/10", "calm", b.header())) // the answer tells
		b.write(conn, b.text(false))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }() // read to its end
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, string(text))
	require.Len(t, text, 10)
}
