package admission

import (
	"strconv"
	"strings"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// String returns the report as a header carries it: level, limit, requests in flight, queued
// requests and the highest level of the dependencies.
func (r LoadReport) String() string {
	buf := make([]byte, 0, 32)
	for i, v := range [...]int{int(r.Level), r.Limit, r.InFlight, r.Queued, int(r.DependencyLevel)} {
		if i > 0 {
			buf = append(buf, ',')
		}
		buf = strconv.AppendInt(buf, int64(v), 10)
	}
	return string(buf)
}

// ParseLoadReport parses a load report. It returns nil for a malformed one, which then counts as
// absent: a load report may only reduce the calls to an upstream.
func ParseLoadReport(value string) *LoadReport {
	var v [5]int
	for i := range v {
		field, rest, more := strings.Cut(value, ",")
		n, err := strconv.ParseUint(field, 10, 31)
		if err != nil || more != (i < len(v)-1) {
			return nil
		}
		v[i], value = int(n), rest
	}
	if v[0] > int(chain.NumPriorities) || v[4] > int(chain.NumPriorities) {
		return nil
	}
	return &LoadReport{
		Level: chain.Priority(v[0]), Limit: v[1], InFlight: v[2], Queued: v[3], DependencyLevel: chain.Priority(v[4]),
	}
}
