package httpwire

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWithdrawnRequestGetsResponse checks that the server learns that a request was withdrawn, and that
// its response still arrives: only the server knows whether it has executed the request.
func TestWithdrawnRequestGetsResponse(t *testing.T) {
	c, s := connect(t)
	withdraw, cancel := context.WithCancel(context.Background())
	go func() {
		s.readRequest()
		cancel()
		_, err := s.r.ReadByte()
		if err == io.EOF {
			s.send(response1)
		}
	}()
	req := getRequest("1")
	req.Withdraw = withdraw
	resp, err := c.Do(testContext(t), req)
	require.NoError(t, err)
	require.Equal(t, "one", readBody(t, resp))
	require.True(t, c.unusable.Load())
}

// TestWithdrawalBeforeBody checks that a request whose body waits for 100 Continue fails at once when it is
// withdrawn, as the server cannot execute it, and that its body is not sent if 100 Continue arrives later.
func TestWithdrawalBeforeBody(t *testing.T) {
	c, s := connect(t)
	withdraw, cancel := context.WithCancel(context.Background())
	req := getRequest("1")
	req.Withdraw, req.AwaitContinue, req.Body = withdraw, true, []byte("body")
	received := make(chan string, 1)
	go func() {
		s.readRequest()
		cancel()
		for !c.isWithdrawn() {
			time.Sleep(time.Millisecond)
		}
		s.send("HTTP/1.1 100 Continue\r\n\r\n")
		rest, _ := io.ReadAll(s.r) // the client closes the connection
		received <- string(rest)
	}()
	_, err := c.Do(testContext(t), req)
	require.ErrorIs(t, err, ErrWithdrawn)
	require.False(t, c.ContinueReceived())
	c.Close()
	require.Empty(t, <-received)
}

// TestWithdrawalBeforeRequest checks that nothing of a request is sent if it was withdrawn before.
func TestWithdrawalBeforeRequest(t *testing.T) {
	c, _ := connect(t)
	withdraw, cancel := context.WithCancel(context.Background())
	cancel()
	req := getRequest("1")
	req.Withdraw = withdraw
	_, err := c.Do(testContext(t), req)
	require.ErrorIs(t, err, ErrWithdrawn)
	require.Zero(t, c.Written())
}

// TestWithdrawalDuringBody checks that the withdrawal of a request does not cut off its body: the server
// may execute the request once it has the body.
func TestWithdrawalDuringBody(t *testing.T) {
	c, s := connect(t)
	withdraw, cancel := context.WithCancel(context.Background())
	req := getRequest("1")
	req.Method, req.Withdraw, req.AwaitContinue = http.MethodPost, withdraw, true
	req.Body = []byte(strings.Repeat("a", 8<<20))
	go func() {
		in := s.readRequest()
		s.send("HTTP/1.1 100 Continue\r\n\r\n")
		_, _ = io.CopyN(io.Discard, in.Body, 1) // the length is checked below
		cancel()
		n, _ := io.Copy(io.Discard, in.Body) // as above
		if n == 8<<20-1 {
			s.send(response1)
		}
	}()
	resp, err := c.Do(testContext(t), req)
	require.NoError(t, err)
	require.Equal(t, "one", readBody(t, resp))
}

// TestLateWithdrawal checks that the withdrawal of a request whose response has arrived does not affect the
// next request on the connection.
func TestLateWithdrawal(t *testing.T) {
	c, s := connect(t)
	withdraw, cancel := context.WithCancel(context.Background())
	go func() {
		s.readRequest()
		s.send(response1)
		s.readRequest()
		cancel()
		s.send(response2)
	}()
	req := getRequest("1")
	req.Withdraw = withdraw
	resp, err := c.Do(testContext(t), req)
	require.NoError(t, err)
	require.Equal(t, "one", readBody(t, resp))
	resp, err = c.Do(testContext(t), getRequest("2"))
	require.NoError(t, err)
	require.Equal(t, "two", readBody(t, resp))
	require.False(t, c.unusable.Load())
}

// TestInterruptedBody checks that an interrupted body ends with an error, whether a read waits for the
// client or begins later, and that the client gets the response.
func TestInterruptedBody(t *testing.T) {
	for name, wait := range map[string]time.Duration{"before the read": 0, "during the read": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			failure := make(chan error, 1)
			_, address := serve(t, func(x *ServerExchange) {
				if wait == 0 {
					x.Body.Interrupt()
				}
				time.AfterFunc(wait, x.Body.Interrupt)
				_, err := io.ReadAll(x.Body)
				failure <- err
				_ = x.Respond(&ServerResponse{Status: http.StatusServiceUnavailable}) // checked at the client
			})
			c := dialRaw(t, address)
			c.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabc")
			require.ErrorIs(t, <-failure, ErrBodyInterrupted)
			resp, _ := c.readResponse()
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		})
	}
}
