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

// StatusError is an answer other than 2xx.
type StatusError struct {
	Status  int
	Outcome string // the Bilberry-Outcome header, empty without a daemon
	Reason  string // the Bilberry-Reason header
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d outcome=%s reason=%s", e.Status, e.Outcome, e.Reason)
}

// ExitCaller makes calls through the exit listener of the local daemon.
type ExitCaller struct {
	Base   string // such as http://127.0.0.1:8001
	Client *http.Client
}

// passedOn are the headers that a service copies from a request to its calls.
var passedOn = []string{"Bilberry-Chain", workHeader}

// Call implements Caller.
func (c *ExitCaller) Call(ctx context.Context, parent http.Header, call CallSpec) (*Answer, error) {
	return fetch(ctx, c.Client, c.Base, parent, call)
}

// DirectCaller calls upstreams in turn without any daemon and retries each
// failure, as services without overload control often do.
type DirectCaller struct {
	Upstreams  map[string][]string // base addresses by service
	Client     *http.Client
	Tries      int
	TryTimeout time.Duration
	next       atomic.Uint64
}

// Call implements Caller.
func (c *DirectCaller) Call(ctx context.Context, parent http.Header, call CallSpec) (*Answer, error) {
	bases := c.Upstreams[call.Service]
	var last error
	for range c.Tries {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		base := bases[c.next.Add(1)%uint64(len(bases))]
		tryCtx, cancel := context.WithTimeout(ctx, c.TryTimeout)
		answer, err := fetch(tryCtx, c.Client, base, parent, CallSpec{Method: call.Method, Path: call.Path})
		cancel()
		if err == nil {
			return answer, nil
		}
		last = err
	}
	return nil, last
}

// fetch makes one call. A call without a service name goes to the path as it
// is, otherwise to /SERVICE/PATH as daemons expect.
func fetch(ctx context.Context, client *http.Client, base string, parent http.Header, call CallSpec) (*Answer, error) {
	url := base
	if call.Service != "" {
		url += "/" + call.Service
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, url+call.Path, nil)
	if err != nil {
		return nil, err
	}
	for _, h := range passedOn {
		if v := parent.Get(h); v != "" {
			req.Header.Set(h, v)
		}
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	return readAnswer(resp)
}

// readAnswer reads a whole answer or fails.
func readAnswer(resp *http.Response) (*Answer, error) {
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
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, fmt.Errorf("answer is not whole: %w", err)
	}
	return &a, nil
}
