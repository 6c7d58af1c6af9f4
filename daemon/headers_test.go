package daemon

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// FuzzParsePeerRequest guards against panics and against peer headers that are accepted with values
// out of range.
func FuzzParsePeerRequest(f *testing.F) {
	f.Add("req-1", "POST /x?y=1", "orders 1 130 2 3 250 7", "")
	f.Add("", "", "", "")
	f.Add("a b", "GET  //x", "s 0 65535 -2 99 -1 x", "not-a-key")
	f.Add("r", "GET /", "s 4294967296 384 70000 33 600001 18446744073709551616", "01890a5d-ac96-774b-bcce-b302099a8057")
	f.Add("r", "GET /", "s 1 383 1 33 600000 1", "01890a5d-ac96-774b-bcce-b302099a8057")
	f.Add("r", "GET /", "s 1 1 1 1 1 1 1", "")
	f.Fuzz(func(t *testing.T, id, path, context, key string) {
		h := http.Header{}
		for name, v := range map[string]string{
			headerRequestID: id, headerPeerPath: path, headerPeerContext: context, headerPeerIdempotencyKey: key,
		} {
			h.Set(name, v)
		}
		p, failure := parsePeerRequest(h)
		if failure != nil {
			require.Equal(t, chain.NotRun, failure.Outcome)
			return
		}
		require.True(t, validRequestID(p.metadata.RequestID))
		require.Positive(t, p.metadata.Attempt)
		require.Less(t, p.metadata.Priority, chain.NumPriorities)
		require.GreaterOrEqual(t, p.allowance, 0)
		require.LessOrEqual(t, p.depth, chain.MaxDepth)
		require.True(t, p.remaining > 0 && p.remaining <= maxRequestTimeout)
		require.True(t, p.metadata.IdempotencyKey == "" || len(p.metadata.IdempotencyKey) == 36)
		h.Set(headerPeerContext, formatPeerContext(&p))
		reparsed, failure := parsePeerRequest(h)
		require.Nil(t, failure)
		require.Equal(t, p, reparsed)
	})
}

// FuzzParseLoadReport guards against load reports that change when they are formatted and parsed
// again, and against panics on malformed ones.
func FuzzParseLoadReport(f *testing.F) {
	f.Add("0,8,3,1,0")
	f.Add("384,1,1,1,384")
	f.Add("1,2,3,4")
	f.Add("1,2,3,4,5,6")
	f.Add("-1,,x,4,9999999999999")
	f.Fuzz(func(t *testing.T, value string) {
		r := admission.ParseLoadReport(value)
		if r == nil {
			return
		}
		require.LessOrEqual(t, r.Level, chain.NumPriorities)
		require.Equal(t, r, admission.ParseLoadReport(r.String()))
	})
}

// FuzzClientHeaders checks that the headers of clients are parsed to valid values or rejected.
func FuzzClientHeaders(f *testing.F) {
	f.Add("250", "01890a5d-ac96-774b-bcce-b302099a8057", "default")
	f.Add("0", "{01890a5d-ac96-774b-bcce-b302099a8057}", "royal")
	f.Add("99999999999999999999", "urn:uuid:01890a5d-ac96-774b-bcce-b302099a8057", "")
	f.Fuzz(func(t *testing.T, deadline, key, class string) {
		if d, failure := parseClientTimeout(deadline, time.Minute); failure == nil {
			require.True(t, d > 0 && d <= time.Minute)
		}
		if k, failure := parseIdempotencyKey(key); failure == nil && k != "" {
			require.Equal(t, strings.ToLower(key), k)
			require.Equal(t, byte('7'), k[14])
		}
		if c, _, failure := effectiveClass(class, chain.Default); failure == nil {
			require.LessOrEqual(t, c, chain.Default)
		}
	})
}

// TestClientCannotRaiseClass checks that a client can lower the class of its request but not raise
// it.
func TestClientCannotRaiseClass(t *testing.T) {
	c, raised, failure := effectiveClass("critical", chain.Default)
	require.Nil(t, failure)
	require.True(t, raised)
	require.Equal(t, chain.Default, c)
	c, raised, _ = effectiveClass("sheddable", chain.Default)
	require.False(t, raised)
	require.Equal(t, chain.Sheddable, c)
}

// TestCopyEndToEndHeaders guards against forwarding hop-by-hop and internal headers.
func TestCopyEndToEndHeaders(t *testing.T) {
	src := http.Header{}
	for _, name := range []string{"Accept", "X-Private", "Te", "Expect", headerPeerContext, headerChain, headerIdempotencyKey, headerIdempotencyKeyAlias} {
		src.Set(name, "v")
	}
	src.Set("Connection", "close, x-private")
	dst := http.Header{}
	copyEndToEndHeaders(dst, src)
	require.Equal(t, http.Header{"Accept": {"v"}}, dst)
}

// TestLoadReportRoundTrip checks the order of the fields in a formatted load report.
func TestLoadReportRoundTrip(t *testing.T) {
	r := admission.LoadReport{Level: 130, Limit: 8, InFlight: 3, Queued: 2, DependencyLevel: 200}
	require.Equal(t, "130,8,3,2,200", r.String())
	require.Equal(t, &r, admission.ParseLoadReport(r.String()))
}
