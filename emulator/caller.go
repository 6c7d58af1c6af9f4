package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// StatusError reports a response with a status other than 2xx.
type StatusError struct {
	Status  int
	Outcome string // the Bilberry-Outcome header, empty without a daemon
	Reason  string // the Bilberry-Reason header
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d outcome=%s reason=%s", e.Status, e.Outcome, e.Reason)
}

// EgressCaller makes calls through the egress listener of the local daemon.
type EgressCaller struct {
	Base   string // such as http://127.0.0.1:8001
	Client *http.Client
}

// forwardedHeaders are the headers that a service copies from a request to the calls that
// it makes for it.
var forwardedHeaders = []string{"Bilberry-Chain", workHeader}

// Call implements Caller.
func (c *EgressCaller) Call(ctx context.Context, parent http.Header, call CallSpec) (*Response, error) {
	return fetch(ctx, c.Client, c.Base, parent, call)
}

// DirectCaller calls upstreams round-robin without any daemon and retries each failure, as
// services without overload control often do.
type DirectCaller struct {
	Upstreams      map[string][]string // base addresses by service
	Client         *http.Client
	Attempts       int
	AttemptTimeout time.Duration
	next           atomic.Uint64
}

// Call implements Caller.
func (c *DirectCaller) Call(ctx context.Context, parent http.Header, call CallSpec) (*Response, error) {
	addresses := c.Upstreams[call.Service]
	var lastErr error
	for range c.Attempts {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		address := addresses[c.next.Add(1)%uint64(len(addresses))]
		attemptCtx, cancel := context.WithTimeout(ctx, c.AttemptTimeout)
		response, err := fetch(attemptCtx, c.Client, address, parent, CallSpec{Method: call.Method, Path: call.Path})
		cancel()
		if err == nil {
			return response, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// fetch makes one call. If the call names a service, the path is prefixed with it, as
// daemons expect.
func fetch(ctx context.Context, client *http.Client, base string, parent http.Header, call CallSpec) (*Response, error) {
	url := base
	if call.Service != "" {
		url += "/" + call.Service
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, url+call.Path, nil)
	if err != nil {
		return nil, err
	}
	for _, h := range forwardedHeaders {
		if v := parent.Get(h); v != "" {
			req.Header.Set(h, v)
		}
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	return readResponse(resp)
}

// readResponse reads and decodes a complete response. It returns a StatusError for a status
// other than 2xx.
func readResponse(resp *http.Response) (*Response, error) {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode/100 != 2 {
		return nil, &StatusError{
			Status:  resp.StatusCode,
			Outcome: resp.Header.Get("Bilberry-Outcome"),
			Reason:  resp.Header.Get("Bilberry-Reason"),
		}
	}
	var response Response
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, fmt.Errorf("response is not complete: %w", err)
	}
	return &response, nil
}
