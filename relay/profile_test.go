package relay

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"runtime/pprof"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
)

const roleKey = "role"

// withRole calls f with a profiler label, which all goroutines started by it inherit.
func withRole(role string, f func()) {
	pprof.Do(context.Background(), pprof.Labels(roleKey, role), func(context.Context) { f() })
}

// cpuByRole profiles the process during f and returns the CPU time by role label. Garbage
// collection and the scheduler have no label and are counted under "".
func cpuByRole(tb testing.TB, f func()) map[string]time.Duration {
	var compressed bytes.Buffer
	if err := pprof.StartCPUProfile(&compressed); err != nil {
		f() // the profiler is already used by the flag -cpuprofile
		return nil
	}
	f()
	pprof.StopCPUProfile()
	r, err := gzip.NewReader(&compressed)
	require.NoError(tb, err)
	profile, err := io.ReadAll(r)
	require.NoError(tb, err)
	return sumByRole(tb, profile)
}

// Field numbers of the pprof format, in the message Profile and its submessages.
const (
	profileSample, profileStringTable = 2, 6
	sampleValue, sampleLabel          = 2, 3
	labelKey, labelStr                = 1, 2
)

// sumByRole returns the sum of the CPU time of all samples by role label.
func sumByRole(tb testing.TB, profile []byte) map[string]time.Duration {
	var table []string
	var samples [][]byte
	eachField(tb, profile, func(n protowire.Number, _ uint64, data []byte) {
		switch n {
		case profileSample:
			samples = append(samples, data)
		case profileStringTable:
			table = append(table, string(data))
		}
	})
	sums := map[string]time.Duration{}
	for _, s := range samples {
		role, nanoseconds := "", uint64(0)
		eachField(tb, s, func(n protowire.Number, v uint64, data []byte) {
			switch n {
			case sampleValue: // count, then nanoseconds; not packed as there are only two
				require.Empty(tb, data)
				nanoseconds = v
			case sampleLabel:
				var key, value uint64
				eachField(tb, data, func(n protowire.Number, v uint64, _ []byte) {
					switch n {
					case labelKey:
						key = v
					case labelStr:
						value = v
					}
				})
				if table[key] == roleKey {
					role = table[value]
				}
			}
		})
		sums[role] += time.Duration(nanoseconds)
	}
	return sums
}

// eachField calls visit for each field of a protobuf message.
func eachField(tb testing.TB, message []byte, visit func(n protowire.Number, v uint64, data []byte)) {
	for len(message) > 0 {
		n, kind, size := protowire.ConsumeTag(message)
		require.Positive(tb, size)
		message = message[size:]
		var v uint64
		var data []byte
		if kind == protowire.VarintType {
			v, size = protowire.ConsumeVarint(message)
		} else {
			data, size = protowire.ConsumeBytes(message)
		}
		require.Positive(tb, size)
		message = message[size:]
		visit(n, v, data)
	}
}
