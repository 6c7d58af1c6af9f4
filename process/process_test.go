package process

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/control/client"
	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/feed"
	"github.com/bilberrydeck/bilberrydeck/declaration"
	"github.com/bilberrydeck/bilberrydeck/logging"
	"github.com/bilberrydeck/bilberrydeck/relay"
)

func testDocument(slots int) []byte {
	return declaration.Encode(declaration.Service{Name: "tarifs", Slots: slots, MaxConnections: 50, Routes: []declaration.Route{
		{Name: "prix", Method: "GET", Path: "/prix", Timeout: time.Second},
	}})
}

// TestTranslateSnapshot guards against upstreams in a snapshot that do not accept requests yet, and
// against a service that is removed because its declaration has a newer, unreadable format.
func TestTranslateSnapshot(t *testing.T) {
	var lines bytes.Buffer
	translate := newTranslator(logging.New(&lines))
	since := time.Unix(100, 0)
	view := &relay.FeedState{Confirmed: true, ActiveVersion: 7, Documents: map[string][]byte{"tarifs": testDocument(3)},
		Members: map[string][]*feed.Member{"tarifs": {
			{ID: "a", Address: "127.0.0.1:1", Region: "r", AvailabilityZone: "r-a", State: feed.StateServing, Slots: 3, ServingSince: since},
			{ID: "b", State: feed.StateDraining},
			{ID: "c", State: feed.StateStarting},
			{ID: "d", State: feed.StateDeregistered},
		}}}
	s := translate.snapshot(view)
	require.Equal(t, uint64(7), s.Version)
	require.True(t, s.Confirmed)
	require.Equal(t, 3, s.Services["tarifs"].Slots)
	require.Equal(t, []balance.Upstream{
		{ID: "a", Address: "127.0.0.1:1", Region: "r", AvailabilityZone: "r-a", Slots: 3, ServingSince: since},
		{ID: "b", Draining: true},
	}, s.Upstreams["tarifs"])

	view.Documents = map[string][]byte{"tarifs": []byte(`{"service": "tarifs", "hedging": true}`), "other": []byte(`{`)}
	s = translate.snapshot(view)
	require.Equal(t, 3, s.Services["tarifs"].Slots)
	require.NotContains(t, s.Services, "other")
	require.Contains(t, lines.String(), "declaration not readable")
	view.Documents = map[string][]byte{"tarifs": testDocument(4)}
	require.Equal(t, 4, translate.snapshot(view).Services["tarifs"].Slots)
	view.Documents = nil
	require.Empty(t, translate.snapshot(view).Services)
}

// TestLatestKeepsNewestValue guards against an old view that is applied after a newer one.
func TestLatestKeepsNewestValue(t *testing.T) {
	l := newLatest[int]()
	l.put(1)
	l.put(2)
	v, ok := l.take(context.Background())
	require.True(t, ok)
	require.Equal(t, 2, v)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_, ok = l.take(cancelled)
	require.False(t, ok)
}

// TestLostClaimsAreNotRetried guards against a daemon that retries for minutes to finish or release
// a claim that it no longer holds, which control always rejects.
func TestLostClaimsAreNotRetried(t *testing.T) {
	var lines bytes.Buffer
	c := &claimClient{logger: logging.New(&lines)}
	require.NoError(t, c.ignoreNotRecorded(&client.NotRecordedError{Op: "finish", Key: &api.ClaimKey{Key: "k"}}))
	require.Contains(t, lines.String(), "operation=finish key=k")
	require.ErrorIs(t, c.ignoreNotRecorded(context.Canceled), context.Canceled)
	require.NoError(t, c.ignoreNotRecorded(nil))
}
