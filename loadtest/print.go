package loadtest

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// Phases of the scenario, in order.
const (
	phaseSteady = iota
	phaseOverload
	phaseCalm
)

// GoodputRatio returns the goodput during the overload as a fraction of the capacity of the
// bottleneck.
func (r *Result) GoodputRatio() float64 {
	return r.Report.Phases[phaseOverload].Goodput() / r.Bottleneck
}

// RecoverySeconds returns the recovery time after the overload, and false if the run ended
// before the recovery.
func (r *Result) RecoverySeconds() (float64, bool) {
	d, ok := r.Report.Recovery(phaseCalm)
	return d.Seconds(), ok
}

// Violations returns the number of violated guarantees.
func (r *Result) Violations() int {
	n := 0
	for _, count := range r.Report.Violations {
		n += count
	}
	return n
}

// Inversions counts, by class, the requests of the overload without a complete response
// while a request of a lower class got one.
func (r *Result) Inversions() (inverted map[string]int, requests int) {
	return r.Report.Inversions(phaseOverload, r.Kinds, chain.ClassNames())
}

// Print writes the result in human-readable form.
func (r *Result) Print(w io.Writer) {
	for _, p := range r.Report.Phases {
		_, _ = fmt.Fprintf(w, "%-9s %5.1f s, %6.1f complete responses/s\n", p.Name, p.Duration.Seconds(), p.Goodput())
		for _, name := range slices.Sorted(maps.Keys(p.Kinds)) {
			k := p.Kinds[name]
			_, _ = fmt.Fprintf(w, "  %-8s %5d requests, %5d complete, %.2f attempts each, p50 %5.1f ms, p99 %6.1f ms%s\n",
				name, k.Requests, k.Complete, float64(k.Attempts)/float64(max(k.Requests, 1)),
				float64(k.P50.Microseconds())/1000, float64(k.P99.Microseconds())/1000, counts(k.Errors))
		}
	}
	inverted, requests := r.Inversions()
	_, _ = fmt.Fprintf(w, "calls to the deep service for each request that reached the first service: %.2f\n", r.Amplification)
	_, _ = fmt.Fprintf(w, "requests without a complete response while a lower class got one, in the overload, of %d%s\n", requests, counts(inverted))
	_, _ = fmt.Fprintf(w, "violations: %d%s\n", r.Violations(), counts(r.Report.Violations))
}

func counts(m map[string]int) string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(m)) {
		_, _ = fmt.Fprintf(&b, ", %s %d", k, m[k])
	}
	return b.String()
}

// Summary returns the machine-readable summary line.
func (r *Result) Summary(result string) string {
	recovery, ok := r.RecoverySeconds()
	inverted, _ := r.Inversions()
	critical, normal := inverted[chain.Critical.String()], inverted[chain.Default.String()]
	return fmt.Sprintf("result=%s goodput_ratio=%.3f recovery_s=%.2f recovered=%t amplification=%.2f inversions_critical=%d inversions_default=%d broken=%d",
		result, r.GoodputRatio(), recovery, ok, r.Amplification, critical, normal, r.Violations())
}
