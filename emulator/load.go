package emulator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
)

// RequestKind is one kind of request that customers send.
type RequestKind struct {
	Name    string
	Class   string // declared class of the route, for the report
	Call    CallSpec
	Rate    float64       // requests per second at factor 1
	Timeout time.Duration // of the request with all its attempts
	Keyed   bool          // sends an idempotency key, the same in each attempt
	Depth   int           // services that contribute to a complete response
}

// Phase is a part of a run with constant request rates.
type Phase struct {
	Name     string
	Duration time.Duration
	Factor   float64 // multiplies all rates
	Start    func()  // called at the start of the phase, may be nil
}

// LoadConfig is the configuration of a run.
type LoadConfig struct {
	Kinds          []RequestKind
	Phases         []Phase
	Targets        func(CallSpec) []string // base addresses for a call, used round-robin
	Customers      int                     // each has its own source address
	Attempts       int                     // attempts of one request, including the first
	RetryDelay     time.Duration           // between attempts; Retry-After is ignored
	AttemptTimeout time.Duration           // of one attempt; 0 means the timeout of the request
	Seed           uint64
	Ledger         *Ledger
}

// generator sends requests at random times that do not depend on the responses (an open
// workload).
type generator struct {
	cfg     LoadConfig
	clients []*http.Client
	rec     *recorder
	wg      sync.WaitGroup
}

// RunLoad runs all phases and returns a report of their requests.
func RunLoad(ctx context.Context, cfg LoadConfig) *Report {
	g := &generator{cfg: cfg, rec: newRecorder(time.Now())}
	for i := range max(cfg.Customers, 1) {
		g.clients = append(g.clients, customerClient(i))
	}
	var phaseBounds []time.Duration
	for i, phase := range cfg.Phases {
		phaseBounds = append(phaseBounds, time.Since(g.rec.start))
		if phase.Start != nil {
			phase.Start()
		}
		g.runPhase(ctx, phase, cfg.Seed+uint64(i))
	}
	phaseBounds = append(phaseBounds, time.Since(g.rec.start))
	g.wg.Wait()
	for _, c := range g.clients {
		c.CloseIdleConnections()
	}
	return g.rec.report(cfg, phaseBounds)
}

// customerClient returns a client with its own loopback source address, so that limits per
// client address apply to each customer separately.
func customerClient(i int) *http.Client {
	localAddr := &net.TCPAddr{IP: net.IPv4(127, 1, byte(i/250), byte(1+i%250))}
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: localAddr}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
	}}
}

func (g *generator) runPhase(ctx context.Context, phase Phase, seed uint64) {
	var phaseWG sync.WaitGroup
	phaseCtx, cancel := context.WithTimeout(ctx, phase.Duration)
	defer cancel()
	for i, kind := range g.cfg.Kinds {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		phaseWG.Go(func() { g.generateArrivals(phaseCtx, ctx, kind, kind.Rate*phase.Factor, rng) })
	}
	phaseWG.Wait()
}

// generateArrivals starts requests of one kind with exponentially distributed intervals
// until the phase ends.
func (g *generator) generateArrivals(phase, run context.Context, kind RequestKind, rate float64, rng *rand.Rand) {
	if rate <= 0 {
		<-phase.Done()
		return
	}
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if sleep(phase, time.Until(next)) != nil {
			return
		}
		customer := rng.IntN(len(g.clients))
		first := rng.Int()
		g.wg.Go(func() { g.request(run, kind, g.clients[customer], first) })
	}
}

// request sends one request of a customer with all its attempts and records the result.
func (g *generator) request(ctx context.Context, kind RequestKind, client *http.Client, first int) {
	ctx, cancel := context.WithTimeout(ctx, kind.Timeout)
	defer cancel()
	res := result{kind: kind.Name, start: time.Since(g.rec.start)}
	key := ""
	if kind.Keyed {
		key = uuid.Must(uuid.NewV7()).String()
	}
	for attempt := range max(g.cfg.Attempts, 1) {
		if attempt > 0 && sleep(ctx, g.cfg.RetryDelay) != nil {
			break
		}
		res.attempts++
		err := g.attempt(ctx, kind, client, first+attempt, key, &res)
		if err == nil {
			res.ok = true
			break
		}
		res.errs = append(res.errs, errorKind(err))
	}
	res.end = time.Since(g.rec.start)
	g.rec.add(res)
}

// attempt sends one attempt and checks its response: a request reported as not-run was not
// executed, and a successful response is complete and belongs to the request.
func (g *generator) attempt(ctx context.Context, kind RequestKind, client *http.Client, n int, key string, res *result) error {
	if g.cfg.AttemptTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, g.cfg.AttemptTimeout)
		defer cancel()
	}
	workID := uuid.NewString()
	header := http.Header{workHeader: {workID}}
	response, err := g.send(ctx, kind, client, n, header, key)
	var status *StatusError
	if errors.As(err, &status) && status.Outcome == "not-run" && g.cfg.Ledger.Executed(kind.Call.Service, workID) {
		res.violations = append(res.violations, "rejected as not-run, but executed")
	}
	if err != nil {
		return err
	}
	if response.Work != workID && key == "" {
		res.violations = append(res.violations, "response of another request")
	}
	if response.Depth() != kind.Depth {
		res.violations = append(res.violations, fmt.Sprintf("response of %d services, want %d", response.Depth(), kind.Depth))
	}
	return nil
}

func (g *generator) send(ctx context.Context, kind RequestKind, client *http.Client, n int, header http.Header, key string) (*Response, error) {
	addresses := g.cfg.Targets(kind.Call)
	url := addresses[n%len(addresses)] + kind.Call.Path
	req, err := http.NewRequestWithContext(ctx, kind.Call.Method, url, nil)
	if err != nil {
		return nil, err
	}
	req.Header = header
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set("Bilberry-Deadline-Ms", fmt.Sprint(max(time.Until(deadline).Milliseconds(), 1)))
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
		req.Header.Set(keyHeader, key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	return readResponse(resp)
}

// errorKind returns the name under which the report counts an error.
func errorKind(err error) string {
	var status *StatusError
	switch {
	case errors.As(err, &status) && status.Reason != "":
		return status.Outcome + "/" + status.Reason
	case errors.As(err, &status):
		return fmt.Sprintf("status-%d", status.Status)
	case errors.Is(err, context.DeadlineExceeded):
		return "client-timeout"
	}
	return "connection"
}
