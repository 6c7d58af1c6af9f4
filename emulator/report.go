package emulator

import (
	"slices"
	"sync"
	"time"
)

// result is one customer's request.
type result struct {
	kind       string
	start, end time.Duration // since the start of the run
	ok         bool
	tries      int
	errs       []string
	broken     []string
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
	Whole    int // whole answers within the customer's patience
	Tries    int
	P50, P99 time.Duration // of whole answers
	Errors   map[string]int
}

// PhaseReport is what happened to the requests that started in a phase.
type PhaseReport struct {
	Name     string
	Duration time.Duration
	Kinds    map[string]*KindReport
	Whole    int // whole answers that ended within the phase, of any start
}

// Goodput is whole answers per second that ended within the phase.
func (p *PhaseReport) Goodput() float64 { return float64(p.Whole) / p.Duration.Seconds() }

// Report is the result of a run.
type Report struct {
	Phases []*PhaseReport
	Broken map[string]int // broken promises by kind; empty is the only good value

	results []result
	marks   []time.Duration
}

func (r *recorder) report(cfg LoadConfig, marks []time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := &Report{Broken: make(map[string]int), results: r.results, marks: marks}
	latencies := make(map[*KindReport][]time.Duration)
	for i, phase := range cfg.Phases {
		p := &PhaseReport{Name: phase.Name, Duration: marks[i+1] - marks[i], Kinds: make(map[string]*KindReport)}
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
	if n := cfg.Ledger.Repeated(); n > 0 {
		rep.Broken["keyed work ran more than once"] = n
	}
	return rep
}

func (rep *Report) count(res result, latencies map[*KindReport][]time.Duration) {
	k := rep.Phases[rep.phaseAt(res.start)].Kinds[res.kind]
	k.Requests++
	k.Tries += res.tries
	for _, e := range res.errs {
		k.Errors[e]++
	}
	for _, b := range res.broken {
		rep.Broken[b]++
	}
	if !res.ok {
		return
	}
	k.Whole++
	latencies[k] = append(latencies[k], res.end-res.start)
	if res.end < rep.marks[len(rep.marks)-1] {
		rep.Phases[rep.phaseAt(res.end)].Whole++
	}
}

func (rep *Report) phaseAt(t time.Duration) int {
	for i := len(rep.Phases) - 1; i > 0; i-- {
		if t >= rep.marks[i] {
			return i
		}
	}
	return 0
}

// Parameters of the recovery time.
const (
	recoveryWindow = 250 * time.Millisecond
	recoveredShare = 0.95 // of the requests of a window get whole answers
)

// Recovery is the time from the start of a phase to the first window from
// which on, in every window to the end of the phase, at least 95% of the
// requests that start in it get whole answers. If the last whole window is
// still worse, it returns the length of the phase and false.
func (rep *Report) Recovery(phase int) (time.Duration, bool) {
	begin, end := rep.marks[phase], rep.marks[phase+1]
	windows := int((end - begin) / recoveryWindow)
	requests, whole := make([]int, windows), make([]int, windows)
	for _, res := range rep.results {
		w := int((res.start - begin) / recoveryWindow)
		if res.start < begin || w >= windows {
			continue
		}
		requests[w]++
		if res.ok {
			whole[w]++
		}
	}
	for w := windows - 1; w >= 0; w-- {
		if float64(whole[w]) < recoveredShare*float64(requests[w]) {
			return time.Duration(w+1) * recoveryWindow, w < windows-1
		}
	}
	return 0, true
}

// Inversions counts, in windows of a phase, the requests of a class that got
// no whole answer although a request of a lower class that started in the same
// window got one, by class. The order of the classes is the order of the
// argument, from the one that is shed first.
func (rep *Report) Inversions(phase int, kinds []Kind, order []string) (inverted map[string]int, requests int) {
	inverted = make(map[string]int)
	class := make(map[string]int)
	for _, k := range kinds {
		class[k.Name] = slices.Index(order, k.Class)
	}
	begin, end := rep.marks[phase], rep.marks[phase+1]
	lowest := make(map[int]int) // lowest class served by window
	for _, res := range rep.results {
		w := int((res.start - begin) / recoveryWindow)
		if served, ok := lowest[w]; res.ok && (!ok || class[res.kind] < served) {
			lowest[w] = class[res.kind]
		}
	}
	for _, res := range rep.results {
		if res.start < begin || res.start >= end || class[res.kind] == 0 {
			continue
		}
		requests++
		served, ok := lowest[int((res.start-begin)/recoveryWindow)]
		if !res.ok && ok && served < class[res.kind] {
			inverted[order[class[res.kind]]]++
		}
	}
	return inverted, requests
}

// Totals sums the kinds of a phase.
func (p *PhaseReport) Totals() (requests, whole, tries int) {
	for _, k := range p.Kinds {
		requests += k.Requests
		whole += k.Whole
		tries += k.Tries
	}
	return requests, whole, tries
}
