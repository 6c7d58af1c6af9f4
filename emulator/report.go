package emulator

import (
	"slices"
	"sync"
	"time"
)

// result is the result of one request of a customer.
type result struct {
	kind       string
	start, end time.Duration // since the start of the run
	ok         bool
	attempts   int
	errs       []string
	violations []string
}

type recorder struct {
	start   time.Time
	mu      sync.Mutex
	results []result
}

func newRecorder(start time.Time) *recorder { return &recorder{start: start} }

func (r *recorder) add(res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
}

// KindReport counts the requests of one kind that started in a phase.
type KindReport struct {
	Requests int
	Complete int // complete responses within the timeout of the request
	Attempts int
	P50, P99 time.Duration // latencies of complete responses
	Errors   map[string]int
}

// PhaseReport summarizes the requests that started in a phase.
type PhaseReport struct {
	Name     string
	Duration time.Duration
	Kinds    map[string]*KindReport
	Complete int // complete responses that ended in the phase, whenever their requests started
}

// Goodput returns the complete responses per second that ended in the phase.
func (p *PhaseReport) Goodput() float64 { return float64(p.Complete) / p.Duration.Seconds() }

// Report is the report of a run.
type Report struct {
	Phases     []*PhaseReport
	Violations map[string]int // violated guarantees by kind; empty in a correct run

	results     []result
	phaseBounds []time.Duration
}

func (r *recorder) report(cfg LoadConfig, phaseBounds []time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := &Report{Violations: make(map[string]int), results: r.results, phaseBounds: phaseBounds}
	latencies := make(map[*KindReport][]time.Duration)
	for i, phase := range cfg.Phases {
		p := &PhaseReport{Name: phase.Name, Duration: phaseBounds[i+1] - phaseBounds[i], Kinds: make(map[string]*KindReport)}
		for _, k := range cfg.Kinds {
			p.Kinds[k.Name] = &KindReport{Errors: make(map[string]int)}
		}
		rep.Phases = append(rep.Phases, p)
	}
	for _, res := range r.results {
		rep.count(res, latencies)
	}
	for k, l := range latencies {
		slices.Sort(l)
		k.P50, k.P99 = l[len(l)/2], l[len(l)*99/100]
	}
	if n := cfg.Ledger.Duplicates(); n > 0 {
		rep.Violations["keyed work executed more than once"] = n
	}
	return rep
}

func (rep *Report) count(res result, latencies map[*KindReport][]time.Duration) {
	k := rep.Phases[rep.phaseAt(res.start)].Kinds[res.kind]
	k.Requests++
	k.Attempts += res.attempts
	for _, e := range res.errs {
		k.Errors[e]++
	}
	for _, b := range res.violations {
		rep.Violations[b]++
	}
	if !res.ok {
		return
	}
	k.Complete++
	latencies[k] = append(latencies[k], res.end-res.start)
	if res.end < rep.phaseBounds[len(rep.phaseBounds)-1] {
		rep.Phases[rep.phaseAt(res.end)].Complete++
	}
}

func (rep *Report) phaseAt(t time.Duration) int {
	for i := len(rep.Phases) - 1; i > 0; i-- {
		if t >= rep.phaseBounds[i] {
			return i
		}
	}
	return 0
}

// Parameters of the recovery time.
const (
	recoveryWindow = 250 * time.Millisecond
	recoveredRatio = 0.95 // fraction of the requests of a window with a complete response
)

// Recovery returns the time from the start of a phase until at least 95% of the requests
// get complete responses in every following window of the phase. Requests count in the
// window in which they start. If the last full window is still below 95%, Recovery returns
// the length of the phase and false.
func (rep *Report) Recovery(phase int) (time.Duration, bool) {
	begin, end := rep.phaseBounds[phase], rep.phaseBounds[phase+1]
	windows := int((end - begin) / recoveryWindow)
	requests, complete := make([]int, windows), make([]int, windows)
	for _, res := range rep.results {
		w := int((res.start - begin) / recoveryWindow)
		if res.start < begin || w >= windows {
			continue
		}
		requests[w]++
		if res.ok {
			complete[w]++
		}
	}
	for w := windows - 1; w >= 0; w-- {
		if float64(complete[w]) < recoveredRatio*float64(requests[w]) {
			return time.Duration(w+1) * recoveryWindow, w < windows-1
		}
	}
	return 0, true
}

// Inversions counts priority inversions by class: requests of a phase without a complete
// response although a request of a lower class, started in the same window, got one.
// order lists the classes, beginning with the one that is shed first.
func (rep *Report) Inversions(phase int, kinds []RequestKind, order []string) (inverted map[string]int, requests int) {
	inverted = make(map[string]int)
	class := make(map[string]int)
	for _, k := range kinds {
		class[k.Name] = slices.Index(order, k.Class)
	}
	begin, end := rep.phaseBounds[phase], rep.phaseBounds[phase+1]
	lowestServed := make(map[int]int) // lowest class with a complete response, by window
	for _, res := range rep.results {
		w := int((res.start - begin) / recoveryWindow)
		if served, ok := lowestServed[w]; res.ok && (!ok || class[res.kind] < served) {
			lowestServed[w] = class[res.kind]
		}
	}
	for _, res := range rep.results {
		if res.start < begin || res.start >= end || class[res.kind] == 0 {
			continue
		}
		requests++
		served, ok := lowestServed[int((res.start-begin)/recoveryWindow)]
		if !res.ok && ok && served < class[res.kind] {
			inverted[order[class[res.kind]]]++
		}
	}
	return inverted, requests
}

// Totals returns the sums over all kinds of a phase.
func (p *PhaseReport) Totals() (requests, complete, attempts int) {
	for _, k := range p.Kinds {
		requests += k.Requests
		complete += k.Complete
		attempts += k.Attempts
	}
	return requests, complete, attempts
}
