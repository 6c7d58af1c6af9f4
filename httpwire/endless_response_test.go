package httpwire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sendEndless sends a prefix and then repeats a part until the client closes the connection. It
// returns the number of bytes that the client's side accepted.
func (s *testServer) sendEndless(prefix, part string) *atomic.Int64 {
	accepted := &atomic.Int64{}
	block := []byte(strings.Repeat(part, 1+(16<<10)/len(part)))
	go func() {
		if _, err := http.ReadRequest(s.r); err != nil {
			return
		}
		n, err := io.WriteString(s.Conn, prefix)
		accepted.Add(int64(n))
		for err == nil {
			n, err = s.Write(block)
			accepted.Add(int64(n))
		}
	}()
	return accepted
}

// maxAccepted is an upper bound of what a connection accepts besides what the client reads: the
// socket buffers of both sides.
const maxAccepted = 16 << 20

// TestEndlessResponseHead guards against a server that sends a head without end: an unlimited head
// would occupy memory until the deadline of the request.
func TestEndlessResponseHead(t *testing.T) {
	for name, sent := range map[string][2]string{
		"header value":      {"HTTP/1.1 200 OK\r\nId: 1\r\nX: ", "a"},
		"header lines":      {"HTTP/1.1 200 OK\r\nId: 1\r\n", "X: a\r\n"},
		"header name":       {"HTTP/1.1 200 OK\r\nId: 1\r\n", "a"},
		"continued line":    {"HTTP/1.1 200 OK\r\nId: 1\r\nX: a\r\n", " a\r\n"},
		"status text":       {"HTTP/1.1 200 ", "a"},
		"no line end":       {"", "a"},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"100 Continue":      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"after an interim":  {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nX: ", "a"},
		"after another's":   {"HTTP/1.1 503 No\r\nId: 9\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX: ", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			c, s := connect(t)
			accepted := s.sendEndless(sent[0], sent[1])
			_, err := c.Do(testContext(t), getRequest("1"))
			require.ErrorIs(t, err, ErrResponseHeadTooLarge)
			c.Close()
			require.Less(t, accepted.Load(), int64(maxAccepted))
		})
	}
}

// TestHeadWithinLimit checks that the limit leaves room for an ordinary large head in front of a
// body that is larger than the limit of the head.
func TestHeadWithinLimit(t *testing.T) {
	c, s := connect(t)
	value, body := strings.Repeat("v", maxResponseHead/2), strings.Repeat("b", 4*maxResponseHead)
	go func() {
		s.readRequest()
		_, _ = io.WriteString(s.Conn, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nX: "+value+"\r\n\r\n") // the client fails the test
		_, _ = s.Write(appendChunk(nil, []byte(body)))                                                                  // as above
		_, _ = io.WriteString(s.Conn, "0\r\n\r\n")                                                                      // as above
	}()
	resp, err := c.Do(testContext(t), getRequest("1"))
	require.NoError(t, err)
	require.Equal(t, value, resp.Header.Get("X"))
	require.True(t, readBody(t, resp) == body)
}

// TestEndlessResponseBody guards against a body without an end, in a chunk, between chunks, after
// the last one or without a length.
func TestEndlessResponseBody(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, sent := range map[string][2]string{
		"chunk extension":   {chunked + "3;", "a"},
		"chunk size":        {chunked, "0"},
		"chunk overhead":    {chunked, "1;" + strings.Repeat("a", 1000) + "\r\na\r\n"},
		"trailer":           {chunked + "3\r\none\r\n0\r\nX: ", "a"},
		"trailers":          {chunked + "3\r\none\r\n0\r\n", "X: a\r\n"},
		"after the length":  {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none", "a"},
		"without a length":  {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "a"},
		"chunks":            {chunked, "4000\r\n" + strings.Repeat("a", 0x4000) + "\r\n"},
		"excessive length":  {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9000000000000000000\r\n\r\n", "a"},
		"length over limit": {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 268435457\r\n\r\n", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			c, s := connect(t)
			accepted := s.sendEndless(sent[0], sent[1])
			resp, err := c.Do(testContext(t), getRequest("1"))
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if name == "after the length" {
				require.NoError(t, err, "the response itself is complete")
			} else {
				require.Error(t, err)
			}
			if name == "after the length" {
				require.Eventually(t, c.HasExcessInput, testTimeout, time.Millisecond)
				require.False(t, c.hasNoInput())
			} else {
				pool := Pool{}
				pool.Put(c)
				require.Empty(t, pool.idle)
			}
			require.Less(t, accepted.Load(), int64(maxResponseBody+maxAccepted))
		})
	}
}

// TestDiscardedResponseIsReadToItsEnd guards against a discarded response whose body is cut off at
// the limit: its rest was read as the next response, so that a server could forge a rejection.
func TestDiscardedResponseIsReadToItsEnd(t *testing.T) {
	forged := "HTTP/1.1 503 No\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
	for name, filler := range map[string]int{"at the limit": maxMismatchedBody + 1, "within the limit": 1000} {
		t.Run(name, func(t *testing.T) {
			c, s := connect(t)
			go func() {
				s.readRequest()
				body := strings.Repeat("a", filler) + forged
				_, _ = io.WriteString(s.Conn, "HTTP/1.1 200 OK\r\nId: 9\r\nTransfer-Encoding: chunked\r\n\r\n") // the client may close the connection
				_, _ = s.Write(appendChunk(nil, []byte(body)))                                                  // as above
				_, _ = io.WriteString(s.Conn, "0\r\n\r\n"+response1)                                            // as above
			}()
			resp, err := c.Do(testContext(t), getRequest("1"))
			if filler > maxMismatchedBody {
				require.ErrorIs(t, err, ErrMismatch)
				return
			}
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.Status)
			require.Equal(t, "one", readBody(t, resp))
		})
	}
}

// TestLimitOfDiscardedBody guards against a limit that depends on how a body arrives: what was read
// together with the head did not count, so that some bodies over the limit were read whole.
func TestLimitOfDiscardedBody(t *testing.T) {
	withLength := func(size int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: %d\r\n\r\n", size) + strings.Repeat("a", size)
	}
	chunked := func(size int) string {
		body := appendChunk(nil, bytes.Repeat([]byte{'a'}, size-len("fffff\r\n\r\n0\r\n\r\n")))
		return "HTTP/1.1 200 OK\r\nId: 9\r\nTransfer-Encoding: chunked\r\n\r\n" + string(body) + "0\r\n\r\n"
	}
	for framing, response := range map[string]func(int) string{"length": withLength, "chunks": chunked} {
		for _, size := range []int{maxMismatchedBody - 1, maxMismatchedBody, maxMismatchedBody + 1} {
			sent := response(size)
			head := len(sent) - size
			for _, first := range []int{head - 1, head, head + 1, head + 1000, readBufferBytes} {
				t.Run(fmt.Sprintf("%s/%d bytes/%d first", framing, size, first), func(t *testing.T) {
					client, server := net.Pipe() // each write is at least one read
					t.Cleanup(func() { _, _ = client.Close(), server.Close() })
					go func() {
						if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
							return
						}
						_, _ = io.WriteString(server, sent[:first])           // the client may close the connection
						_, _ = io.WriteString(server, sent[first:]+response1) // as above
					}()
					resp, err := NewClientConn(client).Do(testContext(t), getRequest("1"))
					if size > maxMismatchedBody {
						require.ErrorIs(t, err, ErrMismatch)
						return
					}
					require.NoError(t, err)
					require.Equal(t, "one", readBody(t, resp))
				})
			}
		}
	}
}
