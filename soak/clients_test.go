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

// requestKind is a kind of request, named by the path that its routes have.
type requestKind string

const (
	read   requestKind = "/read/"   // may be repeated
	deep   requestKind = "/deep/"   // may be repeated; the upstream calls another service
	write  requestKind = "/write/"  // at most once
	upload requestKind = "/upload/" // at most once, with a large body
)

func kindOf(path string) requestKind {
	for _, k := range []requestKind{write, upload} {
		if strings.HasPrefix(path, string(k)) {
			return k
		}
	}
	return read
}

// tableOf is the configuration with a number: the routes of all services, and one
// route for each number up to it, by which callers see which one is in force.
func tableOf(number uint64) *routing.Table {
	t := &routing.Table{Version: number}
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
	for n := uint64(1); n <= number; n++ {
		t.Routes = append(t.Routes, routing.Route{
			Name: fmt.Sprint("number-", n), Host: "numbers.example", Prefix: fmt.Sprintf("/%d/", n), Timeout: time.Second, MaxAttempts: 1,
			Targets: []routing.Target{{Service: services[0], Weight: 1}},
		})
	}
	return t
}

// caller sends requests to daemons, on connections that it keeps.
type caller struct {
	w      *world
	n      int
	random *rand.Rand
	http   *http.Client
	sent   int
}

func (w *world) newCaller(n int) *caller {
	return &caller{
		w: w, n: n, random: w.striker(sourceCallers + uint64(n)).random,
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
	if c.random.IntN(20) == 0 { // leaves early
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(c.random.IntN(40))*time.Millisecond)
		defer cancel()
	}
	c.send(ctx, c.w.daemons[c.random.IntN(len(c.w.daemons))], service, kind, id, method, payload)
}

func (c *caller) send(ctx context.Context, v *vm, service string, kind requestKind, id, method string, payload []byte) {
	d := platform.HeaderNames()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.settings.IngressAddress+string(kind)+id, bytes.NewReader(payload))
	if err != nil {
		c.w.judge.violate("harness: %v", err)
		return
	}
	req.GetBody = nil // the transport must not send a request again on its own
	req.Host = service + ".example"
	req.Header.Set(d.RequestID, id)
	req.Header.Set(d.Deadline, "3000")
	begun := time.Now()
	c.w.judge.sends(service)
	resp, err := c.http.Do(req)
	if err != nil {
		c.broken(ctx, v, begun, id, err)
		return
	}
	defer func() { _ = resp.Body.Close() }() // read or given up
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.broken(ctx, v, begun, id, err)
		return
	}
	c.judgeAnswer(kind, id, payload, resp, string(body))
}

func (c *caller) judgeAnswer(kind requestKind, id string, payload []byte, resp *http.Response, body string) {
	j := c.w.judge
	switch resp.StatusCode {
	case http.StatusOK:
		if body != answerTo(id, payload) {
			j.violate("whole answers: request %s got %d bytes that are not its answer", id, len(body))
		}
		j.answered("ok", true)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if resp.Header.Get("Retry-After") == "" {
			j.violate("refusals: request %s was refused without a time to come back", id)
		}
		j.refused(id, kind)
		j.answered("refused", false)
	case http.StatusNotFound, http.StatusBadRequest:
		j.violate("refusals: request %s got status %d: %s", id, resp.StatusCode, body)
	default:
		j.answered(fmt.Sprint(resp.StatusCode), false)
	}
}

// broken judges a request without an answer. Around a planned stop with nothing
// else going on there must be none.
func (c *caller) broken(ctx context.Context, v *vm, begun time.Time, id string, err error) {
	if ctx.Err() != nil {
		c.w.judge.answered("left", true)
		return
	}
	v.mu.Lock()
	stopping := !v.stopped.IsZero() && begun.Before(v.stopped)
	v.mu.Unlock()
	if stopping && c.w.activity.calm() && !strings.Contains(err.Error(), "refused") {
		c.w.judge.violate("planned stop: request %s to %s broke off: %v", id, v.name, err)
	}
	c.w.judge.answered("broken", false)
}

// watchNumbers asks daemons for the configurations that they follow: one that has
// shown a number never goes back below it in the same boot.
func (w *world) watchNumbers(ctx context.Context) {
	type place struct {
		v    *vm
		boot int
	}
	shown := map[place]uint64{}
	http := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		v := w.daemons[rand.IntN(len(w.daemons))]
		at := place{v, v.currentBoot()}
		number := max(w.judge.newestAccepted(), 1)
		if shown[at] > 0 && rand.IntN(2) == 0 {
			number = shown[at]
		}
		asked := time.Now()
		found, known := w.follows(ctx, http, v, number)
		if known && v.currentBoot() == at.boot {
			switch {
			case found:
				shown[at] = max(shown[at], number)
			case number <= shown[at]:
				w.judge.violate("configuration: %s followed number %d and no longer knows it", v.name, number)
			case asked.Sub(w.judge.confirmedAt(number)) > applyWithin && w.activity.calm():
				w.judge.violate("configuration: %s does not follow number %d %s after its confirmation", v.name, number, applyWithin)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// follows asks whether a daemon has the route of a number.
func (w *world) follows(ctx context.Context, c *http.Client, v *vm, number uint64) (found, known bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/%d/", v.settings.IngressAddress, number), nil)
	if err != nil {
		return false, false
	}
	req.Host = "numbers.example"
	req.Header.Set(platform.HeaderNames().RequestID, fmt.Sprint("number-", rand.Uint64()))
	w.judge.sends(services[0])
	resp, err := c.Do(req)
	if err != nil {
		return false, false
	}
	_, _ = io.Copy(io.Discard, resp.Body) // only the status counts
	_ = resp.Body.Close()                 // as above
	return resp.StatusCode != http.StatusNotFound, resp.StatusCode != http.StatusServiceUnavailable
}

// operateFrom puts one configuration after the other, two operators at times.
func (w *world) operateFrom(ctx context.Context, first uint64) {
	draw := w.striker(sourceOperator)
	for number := first; ctx.Err() == nil; number++ {
		var both sync.WaitGroup
		for range 1 + draw.pick(2) {
			both.Go(func() { w.put(ctx, number) })
		}
		both.Wait()
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(200+draw.pick(1200)) * time.Millisecond):
		}
	}
}

// put sends a configuration to replicas in turn until it is confirmed.
func (w *world) put(ctx context.Context, number uint64) {
	text, err := platform.EncodeConfig(tableOf(number))
	if err != nil {
		w.judge.violate("harness: %v", err)
		return
	}
	for ctx.Err() == nil {
		c := w.controls[rand.IntN(len(w.controls))]
		err := w.client.PutConfig(ctx, c.settings.ControlAddress, number-1, text)
		var status *platform.StatusError
		switch {
		case err == nil:
			w.judge.confirmed(number)
			return
		case errors.As(err, &status) && status.Status < 500:
			w.judge.violate("configuration: number %d, the same from all operators, was refused: %v", number, err)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}
