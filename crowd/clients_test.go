package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/platform"
)

// crowd is a number of clients that send what they are told to and keep their connections.
type crowd struct {
	size int
	// run is one client's behaviour on its connection. It returns when it has sent and read all that it
	// will; the connection stays open until the test ends.
	run func(n int, c net.Conn)
	// address is where a client connects to.
	address func(n int) string
}

// gather starts all clients of a crowd and waits until each has done what it does, or until they make
// no progress any more. The connections stay open until the test ends.
func (c crowd) gather(t *testing.T) {
	t.Helper()
	var clients sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	for n := range c.size {
		clients.Go(func() {
			// Small buffers, as the users' networks have: the kernel would otherwise hold what the process
			// does not.
			dialer := net.Dialer{Timeout: waitTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) {
					_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) // a larger one only weakens the crowd
				})
			}}
			conn, err := dialer.Dial("tcp", c.address(n))
			if err != nil {
				return // refused, which is allowed
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(crowdTimeout))
			c.run(n, conn)
		})
	}
	t.Cleanup(func() {
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range conns {
			_ = conn.Close() // it may have been closed by the process
		}
	})
	clients.Wait()
}

// crowdTimeout ends the writes and reads of a client that the process does not serve any more.
const crowdTimeout = 20 * time.Second

// body is how a client sends the body of its request.
type body struct {
	size  int
	chunk int // size of the chunks, 0 for a body with a length
	piece int // size of the pieces in which it is written, 0 for one write
}

// stopsShort reports whether a client of a crowd stops just short of the end of its body; most do.
func stopsShort(n int) bool { return n%8 != 0 }

// header returns the headers that state the length.
func (b body) header() string {
	if b.chunk > 0 {
		return "Transfer-Encoding: chunked\r\n"
	}
	return "Content-Length: " + strconv.Itoa(b.size) + "\r\n"
}

// text returns the body as it is sent, without its last bytes if short is set.
func (b body) text(short bool) []byte {
	if b.chunk == 0 {
		text := bytes.Repeat([]byte{'b'}, b.size)
		if short {
			text = text[:b.size-1]
		}
		return text
	}
	chunk := append(fmt.Appendf(nil, "%x\r\n", b.chunk), bytes.Repeat([]byte{'b'}, b.chunk)...)
	chunk = append(chunk, "\r\n"...)
	text := bytes.Repeat(chunk, b.size/b.chunk)
	if short {
		return text[:len(text)-3]
	}
	return append(text, "0\r\n\r\n"...)
}

// write writes a text in the pieces of the body.
func (b body) write(c net.Conn, text []byte) {
	piece := b.piece
	if piece == 0 {
		piece = math.MaxInt
	}
	for len(text) > 0 {
		n, err := c.Write(text[:min(piece, len(text))])
		if err != nil {
			return // the process has closed the connection, which is allowed
		}
		text = text[n:]
		if b.piece > 0 {
			time.Sleep(time.Millisecond) // a packet for each piece
		}
	}
}

// requestHead returns the head of a request of a crowd.
func requestHead(method, service, path, id, length string) string {
	headers := platform.HeaderNames()
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s.example\r\n%s: %s\r\n%s: %d\r\n%s\r\n",
		method, path, service, headers.RequestID, id, headers.Deadline, routeTimeout.Milliseconds(), length)
}

// uploads is a crowd whose clients send bodies to the ingress of the first daemon, half of them for the
// upstream on its VM and half for the other one.
func (f *fleet) uploads(size int, b body) crowd {
	short, whole := b.text(true), b.text(false)
	return crowd{size: size, address: func(int) string { return f.daemons[0].settings.IngressAddress }, run: func(n int, c net.Conn) {
		head := requestHead(http.MethodPost, services[n%2], "/upload/10", fmt.Sprint("crowd-", n), b.header())
		if _, err := io.WriteString(c, head); err != nil {
			return
		}
		if stopsShort(n / 2) {
			b.write(c, short)
			return
		}
		b.write(c, whole)
	}}
}

// silent is a crowd whose clients send a text, which is no whole request, and nothing more.
func silent(size int, text string, address func(n int) string) crowd {
	return crowd{size: size, address: address, run: func(_ int, c net.Conn) {
		_, _ = io.WriteString(c, text) // the process may have closed the connection
	}}
}

// silent sends such a crowd to the ingress of the first daemon.
func (f *fleet) silent(size int, text string) crowd {
	return silent(size, text, func(int) string { return f.daemons[0].settings.IngressAddress })
}

// configReaders is a crowd whose clients ask all replicas for the configuration, several times at once,
// and read none of the answers.
func (f *fleet) configReaders(size, requests int) crowd {
	return crowd{size: size * len(f.controls), address: func(n int) string { return f.controls[n%len(f.controls)].settings.ControlAddress }, run: func(_ int, c net.Conn) {
		for range requests {
			if _, err := io.WriteString(c, platform.GetConfigHead(c.RemoteAddr().String())); err != nil {
				return // closed by the process, which is allowed
			}
		}
		readSlowly(c)
	}}
}

// operators is a crowd whose clients send configurations to all replicas.
func (f *fleet) operators(size int, b body) crowd {
	short, whole := b.text(true), b.text(false)
	return crowd{size: size * len(f.controls), address: func(n int) string { return f.controls[n%len(f.controls)].settings.ControlAddress }, run: func(n int, c net.Conn) {
		if _, err := io.WriteString(c, platform.PutConfigHead(c.RemoteAddr().String(), 2, b.header())); err != nil {
			return // closed by the process, which is allowed
		}
		if stopsShort(n / len(f.controls)) {
			b.write(c, short)
			return
		}
		b.write(c, whole)
	}}
}

// slowReader is what a crowd of slow readers asks for.
type slowReader struct {
	clients  int
	answer   int // bytes
	requests int // of each client, all sent at once
}

// slowReaders is a crowd whose clients ask for long answers and read them slowly.
func (f *fleet) slowReaders(r slowReader) crowd {
	return crowd{size: r.clients, address: func(int) string { return f.daemons[0].settings.IngressAddress }, run: func(n int, c net.Conn) {
		for i := range r.requests {
			id := fmt.Sprintf("crowd-%d-%d", n, i)
			if _, err := io.WriteString(c, requestHead(http.MethodGet, services[n%2], fmt.Sprint("/answer/", r.answer), id, "")); err != nil {
				return // closed by the process, which is allowed
			}
		}
		readSlowly(c)
	}}
}

// readSlowly reads some of the answers on a connection.
func readSlowly(c net.Conn) {
	part := make([]byte, 256)
	for range 100 {
		if _, err := c.Read(part); err != nil {
			return // closed by the process, which is allowed
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// ask sends one request of an ordinary caller and returns the status, 0 without a whole answer.
func (f *fleet) ask(v *vm, method, service, path string, payload []byte) int {
	ctx, cancel := context.WithTimeout(f.t.Context(), routeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.settings.IngressAddress+path, bytes.NewReader(payload))
	require.NoError(f.t, err)
	headers := platform.HeaderNames()
	req.Host = service + ".example"
	req.Header.Set(headers.RequestID, fmt.Sprint("ordinary-", time.Now().UnixNano()))
	req.Header.Set(headers.Deadline, strconv.FormatInt(routeTimeout.Milliseconds(), 10))
	resp, err := f.client.HTTP.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }() // read to its end
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || resp.StatusCode == http.StatusOK && strconv.FormatInt(n, 10) != path[len(path)-len(strconv.FormatInt(n, 10)):] {
		return 0
	}
	return resp.StatusCode
}

// awaitAnswer sends ordinary requests, as a caller that comes back after a rejection, until one is
// answered.
func (f *fleet) awaitAnswer(v *vm, service string) {
	f.t.Helper()
	f.awaitStatus(v, http.MethodGet, service, "/answer/1000", nil)
}

func (f *fleet) awaitStatus(v *vm, method, service, path string, payload []byte) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return f.ask(v, method, service, path, payload) == http.StatusOK }, waitTimeout, 200*time.Millisecond,
		"%s %s of %s at %s was not answered", method, path, service, v.settings.VM)
}
