package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/routing"
	"github.com/bilberrydeck/bilberrydeck/platform"
)

const healthPath = "/healthz"

// requestKind is a kind of request. Its value is the path prefix of its routes.
type requestKind string

const (
	read   requestKind = "/read/"   // idempotent
	deep   requestKind = "/deep/"   // idempotent; the upstream calls another service
	write  requestKind = "/write/"  // executes at most once
	upload requestKind = "/upload/" // executes at most once, with a large body
)

func kindOf(path string) requestKind {
	for _, k := range []requestKind{write, upload} {
		if strings.HasPrefix(path, string(k)) {
			return k
		}
	}
	return read
}

// configOf returns the configuration with a number. It has the routes of all services, and
// one route for each number up to its own, by which callers find out which configuration
// is active.
func configOf(version uint64) *routing.Table {
	t := &routing.Table{Version: version}
	for rank, s := range services {
		t.Services = append(t.Services, routing.Service{Name: s, HealthPath: healthPath, MaxConnections: 100})
		for _, k := range []requestKind{read, deep, write, upload} {
			kind := map[requestKind]routing.RouteKind{write: routing.NonIdempotent, upload: routing.Upload}[k]
			t.Routes = append(t.Routes, routing.Route{
				Name: s + string(k[1:len(k)-1]), Host: s + ".example", Prefix: string(k), Kind: kind, Timeout: requestTimeout,
				Rank: rank % 3, MaxAttempts: 2, Targets: []routing.Target{{Service: s, Weight: 1}},
			})
		}
	}
	for n := uint64(1); n <= version; n++ {
		t.Routes = append(t.Routes, routing.Route{
			Name: fmt.Sprint("number-", n), Host: "numbers.example", Prefix: fmt.Sprintf("/%d/", n), Timeout: time.Second, MaxAttempts: 1,
			Targets: []routing.Target{{Service: services[0], Weight: 1}},
		})
	}
	return t
}

// caller sends requests to daemons over persistent connections.
type caller struct {
	cluster *cluster
	n       int
	random  *rand.Rand
	http    *http.Client
	sent    int
}

func (c *cluster) newCaller(n int) *caller {
	return &caller{
		cluster: c, n: n, random: c.newInjector(sourceCallers + uint64(n)).random,
		http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}, Timeout: 5 * time.Second},
	}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.request(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(10+c.random.IntN(60)) * time.Millisecond):
		}
	}
}

func (c *caller) request(ctx context.Context) {
	kinds := []requestKind{read, read, deep, write, write, upload}
	kind := kinds[c.random.IntN(len(kinds))]
	service := services[c.random.IntN(len(services))]
	if kind == deep {
		service = services[0]
	}
	c.sent++
	id := fmt.Sprintf("c%d-%d", c.n, c.sent)
	payload := []byte(nil)
	method := http.MethodGet
	switch kind {
	case write:
		method, payload = http.MethodPost, []byte("order "+id)
	case upload:
		method, payload = http.MethodPost, bytes.Repeat([]byte(id+"."), 1+c.random.IntN(20_000))
	}
	if c.random.IntN(20) == 0 { // cancels early
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(c.random.IntN(40))*time.Millisecond)
		defer cancel()
	}
	c.send(ctx, c.cluster.daemons[c.random.IntN(len(c.cluster.daemons))], service, kind, id, method, payload)
}

func (c *caller) send(ctx context.Context, v *vm, service string, kind requestKind, id, method string, payload []byte) {
	headers := platform.HeaderNames()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.settings.IngressAddress+string(kind)+id, bytes.NewReader(payload))
	if err != nil {
		c.cluster.checker.addViolation("harness: %v", err)
		return
	}
	req.GetBody = nil // prevents the transport from sending the request again by itself
	req.Host = service + ".example"
	req.Header.Set(headers.RequestID, id)
	req.Header.Set(headers.Deadline, "3000")
	start := time.Now()
	c.cluster.checker.recordRequest(service)
	resp, err := c.http.Do(req)
	if err != nil {
		c.recordFailure(ctx, v, start, id, err)
		return
	}
	defer func() { _ = resp.Body.Close() }() // read completely or cancelled
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.recordFailure(ctx, v, start, id, err)
		return
	}
	c.checkResponse(kind, id, payload, resp, string(body))
}

// checkResponse checks a complete response and records its outcome.
func (c *caller) checkResponse(kind requestKind, id string, payload []byte, resp *http.Response, body string) {
	checker := c.cluster.checker
	switch resp.StatusCode {
	case http.StatusOK:
		if body != expectedBody(id, payload) {
			checker.addViolation("complete responses: request %s got %d bytes that are not its response", id, len(body))
		}
		checker.recordOutcome("ok", true)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if resp.Header.Get("Retry-After") == "" {
			checker.addViolation("rejections: request %s was rejected without Retry-After", id)
		}
		checker.recordRejection(id, kind)
		checker.recordOutcome("refused", false)
	case http.StatusNotFound, http.StatusBadRequest:
		checker.addViolation("rejections: request %s got status %d: %s", id, resp.StatusCode, body)
	default:
		checker.recordOutcome(fmt.Sprint(resp.StatusCode), false)
	}
}

// recordFailure records a request without a complete response. It is a violation if the
// request was sent before a graceful shutdown of its daemon and no other fault happened.
func (c *caller) recordFailure(ctx context.Context, v *vm, start time.Time, id string, err error) {
	if ctx.Err() != nil {
		c.cluster.checker.recordOutcome("left", true)
		return
	}
	v.mu.Lock()
	stopping := !v.shutdownStart.IsZero() && start.Before(v.shutdownStart)
	v.mu.Unlock()
	if stopping && c.cluster.activity.quiet() && !strings.Contains(err.Error(), "refused") {
		c.cluster.checker.addViolation("graceful shutdown: request %s to %s was interrupted: %v", id, v.name, err)
	}
	c.cluster.checker.recordOutcome("broken", false)
}

// watchConfigs polls which configurations the daemons use. A daemon must never use an older
// configuration than before in the same incarnation, and must use a confirmed one within
// applyWithin.
func (c *cluster) watchConfigs(ctx context.Context) {
	type vmIncarnation struct {
		v           *vm
		incarnation int
	}
	highest := map[vmIncarnation]uint64{}
	http := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		v := c.daemons[rand.IntN(len(c.daemons))]
		key := vmIncarnation{v, v.currentIncarnation()}
		version := max(c.checker.newestConfirmed(), 1)
		if highest[key] > 0 && rand.IntN(2) == 0 {
			version = highest[key]
		}
		sentAt := time.Now()
		found, definite := c.hasConfig(ctx, http, v, version)
		if definite && v.currentIncarnation() == key.incarnation {
			switch {
			case found:
				highest[key] = max(highest[key], version)
			case version <= highest[key]:
				c.checker.addViolation("configuration: %s used number %d and no longer does", v.name, version)
			case sentAt.Sub(c.checker.confirmedAt(version)) > applyWithin && c.activity.quiet():
				c.checker.addViolation("configuration: %s does not use number %d %s after its confirmation", v.name, version, applyWithin)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// hasConfig reports whether a daemon has the route of a configuration number. The result
// is not definite if the daemon is unreachable or unavailable.
func (c *cluster) hasConfig(ctx context.Context, client *http.Client, v *vm, version uint64) (found, definite bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/%d/", v.settings.IngressAddress, version), nil)
	if err != nil {
		return false, false
	}
	req.Host = "numbers.example"
	req.Header.Set(platform.HeaderNames().RequestID, fmt.Sprint("number-", rand.Uint64()))
	c.checker.recordRequest(services[0])
	response, err := client.Do(req)
	if err != nil {
		return false, false
	}
	_, _ = io.Copy(io.Discard, response.Body) // only the status matters
	_ = response.Body.Close()                 // as above
	return response.StatusCode != http.StatusNotFound, response.StatusCode != http.StatusServiceUnavailable
}

// publishConfigs publishes one configuration after the other, some of them from two
// operators concurrently.
func (c *cluster) publishConfigs(ctx context.Context, first uint64) {
	random := c.newInjector(sourceOperator)
	for version := first; ctx.Err() == nil; version++ {
		var both sync.WaitGroup
		for range 1 + random.intN(2) {
			both.Go(func() { c.putConfig(ctx, version) })
		}
		both.Wait()
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(200+random.intN(1200)) * time.Millisecond):
		}
	}
}

// putConfig sends a configuration to random replicas until one confirms it.
func (c *cluster) putConfig(ctx context.Context, version uint64) {
	text, err := platform.EncodeConfig(configOf(version))
	if err != nil {
		c.checker.addViolation("harness: %v", err)
		return
	}
	for ctx.Err() == nil {
		replica := c.controls[rand.IntN(len(c.controls))]
		err := c.client.PutConfig(ctx, replica.settings.ControlAddress, version-1, text)
		var status *platform.StatusError
		switch {
		case err == nil:
			c.checker.recordConfirmation(version)
			return
		case errors.As(err, &status) && status.Status < 500:
			c.checker.addViolation("configuration: number %d, the same from all operators, was rejected: %v", version, err)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}
