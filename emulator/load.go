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

// Kind is one kind of request that customers make.
type Kind struct {
	Name    string
	Class   string // the class that its route declares, for the report
	Call    CallSpec
	Rate    float64       // requests per second at factor 1
	Timeout time.Duration // how long the customer waits in all
	Keyed   bool          // sends an idempotency key, the same in each try
	Depth   int           // services in a whole answer
}

// Phase is a stretch of a run.
type Phase struct {
	Name     string
	Duration time.Duration
	Factor   float64 // multiplies all rates
	Start    func()  // called at the start of the phase, may be nil
}

// LoadConfig describes a run.
type LoadConfig struct {
	Kinds      []Kind
	Phases     []Phase
	Targets    func(CallSpec) []string // base addresses for a call, tried in turn
	Customers  int                     // each calls from an address of its own
	Tries      int                     // tries of an impatient customer, in all
	RetryDelay time.Duration           // between tries, whatever Retry-After says
	TryTimeout time.Duration           // of one try; 0 means the request's timeout
	Seed       uint64
	Ledger     *Ledger
}

// generator makes requests at random times that do not depend on the answers.
type generator struct {
	cfg     LoadConfig
	clients []*http.Client
	rec     *recorder
	wg      sync.WaitGroup
}

// RunLoad runs all phases and returns what happened.
func RunLoad(ctx context.Context, cfg LoadConfig) *Report {
	g := &generator{cfg: cfg, rec: newRecorder(time.Now())}
	for i := range max(cfg.Customers, 1) {
		g.clients = append(g.clients, customerClient(i))
	}
	var marks []time.Duration
	for i, phase := range cfg.Phases {
		marks = append(marks, time.Since(g.rec.start))
		if phase.Start != nil {
			phase.Start()
		}
		g.runPhase(ctx, phase, cfg.Seed+uint64(i))
	}
	marks = append(marks, time.Since(g.rec.start))
	g.wg.Wait()
	for _, c := range g.clients {
		c.CloseIdleConnections()
	}
	return g.rec.report(cfg, marks)
}

// customerClient calls from a loopback address of its own, so that limits per
// caller address see separate customers.
func customerClient(i int) *http.Client {
	local := &net.TCPAddr{IP: net.IPv4(127, 1, byte(i/250), byte(1+i%250))}
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: local}
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
		phaseWG.Go(func() { g.arrivals(phaseCtx, ctx, kind, kind.Rate*phase.Factor, rng) })
	}
	phaseWG.Wait()
}

func (g *generator) arrivals(phase, run context.Context, kind Kind, rate float64, rng *rand.Rand) {
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

// request is one customer's request with all its tries.
func (g *generator) request(ctx context.Context, kind Kind, client *http.Client, first int) {
	ctx, cancel := context.WithTimeout(ctx, kind.Timeout)
	defer cancel()
	res := result{kind: kind.Name, start: time.Since(g.rec.start)}
	key := ""
	if kind.Keyed {
		key = uuid.Must(uuid.NewV7()).String()
	}
	for try := range max(g.cfg.Tries, 1) {
		if try > 0 && sleep(ctx, g.cfg.RetryDelay) != nil {
			break
		}
		res.tries++
		err := g.try(ctx, kind, client, first+try, key, &res)
		if err == nil {
			res.ok = true
			break
		}
		res.errs = append(res.errs, errorKind(err))
	}
	res.end = time.Since(g.rec.start)
	g.rec.add(res)
}

// try makes one call and checks what its outcome claims.
func (g *generator) try(ctx context.Context, kind Kind, client *http.Client, n int, key string, res *result) error {
	if g.cfg.TryTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, g.cfg.TryTimeout)
		defer cancel()
	}
	work := uuid.NewString()
	header := http.Header{workHeader: {work}}
	answer, err := g.fetchKeyed(ctx, kind, client, n, header, key)
	var status *StatusError
	if errors.As(err, &status) && status.Outcome == "not-run" && g.cfg.Ledger.Ran(kind.Call.Service, work) {
		res.broken = append(res.broken, "refused as not-run, but it ran")
	}
	if err != nil {
		return err
	}
	if answer.Work != work && key == "" {
		res.broken = append(res.broken, "answer of another request")
	}
	if answer.Depth() != kind.Depth {
		res.broken = append(res.broken, fmt.Sprintf("answer of %d services, want %d", answer.Depth(), kind.Depth))
	}
	return nil
}

func (g *generator) fetchKeyed(ctx context.Context, kind Kind, client *http.Client, n int, header http.Header, key string) (*Answer, error) {
	bases := g.cfg.Targets(kind.Call)
	url := bases[n%len(bases)] + kind.Call.Path
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
	return readAnswer(resp)
}

// errorKind names an error for the counts in the report.
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
