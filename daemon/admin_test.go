package daemon

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/declaration"
)

// TestAnnouncement guards against an announcement that directs the requests of a service to another
// service or another VM, and checks the transition to the serving state.
func TestAnnouncement(t *testing.T) {
	n := startNode(t, nodeConfig("a-1", "a"), nil)
	applySnapshot(t, []declaration.Service{testService("a", routeX)}, n)
	url := "http://" + n.d.ListenAddresses().Admin + "/announce"
	for _, body := range []string{
		`{"service":"b","address":"http://127.0.0.1:1"}`,
		`{"service":"a","address":"http://192.0.2.1:80"}`,
		`{"service":"a","address":"https://127.0.0.1:1"}`,
		`{"service":"a","address":"127.0.0.1:1"}`,
		`{"service":"a"}`, `{"service":"a","address":"http://127.0.0.1:1","more":1}`, `not json`,
	} {
		resp, err := http.Post(url, "application/json", strings.NewReader(body))
		require.NoError(t, err)
		requireErrorResponse(t, resp, 400, chain.NotRun, chain.ReasonBadRequest)
	}
	require.Equal(t, api.UpstreamState_UPSTREAM_STATE_STARTING, n.d.State())
	before, ok := n.d.Announcement()
	require.True(t, ok)
	resp, err := http.Post(url, "application/json", strings.NewReader(`{"service":"a","address":"http://127.0.0.1:1"}`))
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
	after, _ := n.d.Announcement()
	require.Equal(t, api.UpstreamState_UPSTREAM_STATE_SERVING, after.GetState())
	require.Greater(t, after.GetSequence(), before.GetSequence())
	require.EqualValues(t, 8, after.GetSlots())
	require.Equal(t, n.d.ListenAddresses().Peer, after.GetPeerAddress())
}

// TestHealthCheckOnlyLowersState guards against a passing health check that makes an upstream
// serving without an announcement, and against a failing one that is ignored.
func TestHealthCheckOnlyLowersState(t *testing.T) {
	var healthy atomic.Bool
	healthy.Store(true)
	health := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !healthy.Load() {
			w.WriteHeader(500)
		}
	})
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	server := httptest.NewServer(health)
	t.Cleanup(server.Close)
	cfg := nodeConfig("a-1", "a")
	cfg.HealthURL, cfg.HealthCheckInterval = server.URL, 5*time.Millisecond
	unannounced := startNode(t, cfg, nil)
	cfg.ID = "a-2"
	n := startNode(t, cfg, health)
	applySnapshot(t, []declaration.Service{testService("a", routeX)}, n, unannounced, edge)
	waitServing(t, n, edge)
	healthy.Store(false)
	state := func(want api.UpstreamState) func() bool { return func() bool { return n.d.State() == want } }
	require.Eventually(t, state(api.UpstreamState_UPSTREAM_STATE_STARTING), testTimeout, time.Millisecond)
	healthy.Store(true)
	require.Eventually(t, state(api.UpstreamState_UPSTREAM_STATE_SERVING), testTimeout, time.Millisecond)
	require.Equal(t, api.UpstreamState_UPSTREAM_STATE_STARTING, unannounced.d.State())
	_, ok := edge.d.Announcement()
	require.False(t, ok)
}

// TestStatusAndVars checks the JSON of /status and /debug/vars, which operators and scripts read.
func TestStatusAndVars(t *testing.T) {
	n := startNode(t, nodeConfig("a-1", "a"), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	applySnapshot(t, []declaration.Service{testService("a", routeX)}, n)
	require.Equal(t, 200, n.request("GET", "/a/x", nil).StatusCode)
	require.Equal(t, 404, n.request("GET", "/a/y", nil).StatusCode)
	var status Status
	fetchJSON(t, n, "/status", &status)
	require.Equal(t, "serving", status.State)
	require.EqualValues(t, 1, status.ConfigurationVersion)
	var vars struct {
		Bilberrydeck struct {
			Requests int            `json:"entrance_requests"`
			OK       int            `json:"calls_ok"`
			Failed   map[string]int `json:"calls_failed"`
		} `json:"bilberrydeck"`
	}
	fetchJSON(t, n, "/debug/vars", &vars)
	require.Equal(t, 2, vars.Bilberrydeck.Requests)
	require.Equal(t, 1, vars.Bilberrydeck.OK)
	require.Equal(t, map[string]int{"not-run/unknown-route": 1}, vars.Bilberrydeck.Failed)
}

func fetchJSON(t *testing.T, n *testNode, path string, into any) {
	t.Helper()
	resp, err := http.Get("http://" + n.d.ListenAddresses().Admin + path)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal([]byte(readAll(t, resp)), into))
}

// TestSetSnapshotRejections checks that a configuration is never reverted to an older version, and
// that a declaration with invalid patterns changes nothing.
func TestSetSnapshotRejections(t *testing.T) {
	n := startNode(t, nodeConfig("a-1", "a"), nil)
	good := testService("a", routeX)
	set := func(version uint64, svc declaration.Service) error {
		return n.d.SetSnapshot(&Snapshot{Version: version, Confirmed: true, Services: map[string]declaration.Service{"a": svc}})
	}
	require.NoError(t, set(5, good))
	require.ErrorAs(t, set(4, good), new(*SnapshotError))
	require.ErrorAs(t, set(6, testService("a", testRoute("x", "GET", "x{", true))), new(*SnapshotError))
	require.EqualValues(t, 5, n.d.Status().ConfigurationVersion)
	good.Slots = 3
	require.NoError(t, set(6, good))
	a, _ := n.d.Announcement()
	require.EqualValues(t, 3, a.GetSlots())
}

// TestConfigErrors checks that invalid settings are rejected, among them listeners without TLS that
// are not on loopback.
func TestConfigErrors(t *testing.T) {
	for field, change := range map[string]func(*Config){
		"id":       func(c *Config) { c.ID = "" },
		"exit":     func(c *Config) { c.EgressAddress = "0.0.0.0:0" },
		"admin":    func(c *Config) { c.AdminAddress = ":0" },
		"peer":     func(c *Config) { c.PeerListenAddress = "192.0.2.1:1" },
		"upstream": func(c *Config) { c.Upstream = "http://192.0.2.1:80" },
	} {
		cfg := nodeConfig("a-1", "a")
		change(&cfg)
		_, err := New(cfg)
		var configError *ConfigError
		require.ErrorAs(t, err, &configError, field)
		require.Equal(t, field, configError.Field)
	}
}
