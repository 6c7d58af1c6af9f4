package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const daemonFile = `{
	// Daemon of the second upstream of bookings.
	"id": "south-a-bookings-2", "region": "south", "availability_zone": "south-a", "service": "bookings",
	"listen": {"entrance": "10.0.1.2:7000", "exit": "127.0.0.1:7001", "peer": "10.0.1.2:7002", "admin": "127.0.0.1:7003"},
	"upstream": {"url": "http://127.0.0.1:8080/", "health_url": "http://127.0.0.1:8080/health"},
	"relays": ["10.0.1.2:7004", "10.0.1.3:7004", "10.0.1.4:7004"],
	"relay": {"listen": "10.0.1.2:7004", "sources": ["10.0.9.1:7100"], "others": {"south-b": ["10.0.2.2:7004"]}},
	"controls": ["10.0.9.1:7100"],
	"link_budgets": {"mid": "2MiB/s", "north": "512KiB/s"},
	"tls": {"certificate": "tls/d.pem", "key": "/etc/d.key", "authority": "../ca.pem"},
	"log": {"file": "daemon.log"},
}`

// TestParseDaemon guards against fields that are not read and paths that are not resolved
// against the directory of the file.
func TestParseDaemon(t *testing.T) {
	d, problems := ParseDaemon("/etc/deck/d.json", []byte(daemonFile))
	require.Empty(t, problems)
	require.Equal(t, Daemon{
		ID: "south-a-bookings-2", Region: "south", AvailabilityZone: "south-a", Service: "bookings",
		Listen:   DaemonListen{Ingress: "10.0.1.2:7000", Egress: "127.0.0.1:7001", Peer: "10.0.1.2:7002", Admin: "127.0.0.1:7003"},
		Upstream: Upstream{URL: "http://127.0.0.1:8080", HealthURL: "http://127.0.0.1:8080/health"},
		Relays:   []string{"10.0.1.2:7004", "10.0.1.3:7004", "10.0.1.4:7004"},
		Relay: &Relay{Listen: "10.0.1.2:7004", Sources: []string{"10.0.9.1:7100"},
			RemoteRelays: map[string][]string{"south-b": {"10.0.2.2:7004"}}},
		Controls:    []string{"10.0.9.1:7100"},
		LinkBudgets: map[string]int64{"mid": 2 << 20, "north": 512 << 10},
		TLS:         &TLS{Certificate: "/etc/deck/tls/d.pem", Key: "/etc/d.key", Authority: "/etc/ca.pem"},
		Log:         Log{Level: "info", File: "/etc/deck/daemon.log"},
	}, d)
}

// TestDaemonProblems guards against a rule for daemon settings that is not enforced.
func TestDaemonProblems(t *testing.T) {
	for name, c := range map[string]struct{ old, replacement, want string }{
		"public without tls": {`"tls":`, `// "tls":`, `:4:25: listen.entrance: "10.0.1.2:7000" must be a loopback address (without a tls section a process listens only on loopback)`},
		"public admin":       {`"127.0.0.1:7003"`, `"10.0.1.2:7003"`, `listen.admin: "10.0.1.2:7003" must be a loopback address (it serves the local service and operators on this VM)`},
		"wildcard":           {`"peer": "10.0.1.2:`, `"peer": "0.0.0.0:`, `listen.peer: "0.0.0.0:7002" must be one address of this VM`},
		"host name":          {`"controls": ["10.0.9.1:7100"]`, `"controls": ["control:7100"]`, `controls[0]: "control:7100" must be an IP address and a port`},
		"port 0":             {`127.0.0.1:7001`, `127.0.0.1:0`, `listen.exit: "127.0.0.1:0" must have a port`},
		"shared listener":    {`127.0.0.1:7001`, `127.0.0.1:7003`, `listen.admin: "127.0.0.1:7003" is also the address of exit`},
		"not a relay":        {`{"listen": "10.0.1.2:7004"`, `{"listen": "10.0.1.9:7004"`, `relay.listen: "10.0.1.9:7004" must be one of relays`},
		"relay as source":    {`"sources": ["10.0.9.1:7100"]`, `"sources": ["10.0.1.2:7004"]`, `relay.sources[0]: is this relay itself`},
		"local zone":         {`"south-b":`, `"south-a":`, `relay.others.south-a: is this daemon's own availability zone`},
		"local region":       {`"mid":`, `"south":`, `link_budgets.south: is this daemon's own region`},
		"budget unit":        {`"2MiB/s"`, `"2MiB"`, `link_budgets.mid: must be a size in B, KiB, MiB or GiB, such as "64KiB/s", is "2MiB"`},
		"budget range":       {`"2MiB/s"`, `"2GiB/s"`, `link_budgets.mid: 2GiB/s is outside of 0B/s to 1GiB/s (links between regions carry 4 Gbit/s)`},
		"url":                {`"http://127.0.0.1:8080/"`, `"https://upstream"`, `upstream.url: "https://upstream" must be an http URL`},
		"remote":             {`"http://127.0.0.1:8080/"`, `"http://10.0.0.9:8080"`, `upstream.url: "http://10.0.0.9:8080" must name a loopback address and a port`},
		"url path":           {`"http://127.0.0.1:8080/"`, `"http://127.0.0.1:8080/a"`, `upstream.url: "http://127.0.0.1:8080/a" must not have a path`},
		"no service":         {`"service": "bookings",`, ``, `upstream: needs the service that it belongs to`},
		"unknown field":      {`"authority":`, `"autority":`, `tls.autority: unknown field; did you mean "authority"?`},
		"level":              {`{"file":`, `{"level": "trace", "file":`, `log.level: "trace" is not one of debug, info, warn, error`},
		"no relays":          {`["10.0.1.2:7004", "10.0.1.3:7004", "10.0.1.4:7004"]`, `[]`, `relays: must hold 1 to 7 addresses, holds 0`},
		"duplicate":          {`"10.0.1.3:7004"`, `"10.0.1.4:7004"`, `relays[2]: "10.0.1.4:7004" is given twice`},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, 1, strings.Count(daemonFile, c.old), "the replacement must be unambiguous")
			_, problems := ParseDaemon("d", []byte(strings.Replace(daemonFile, c.old, c.replacement, 1)))
			require.Contains(t, problems.Error(), c.want)
		})
	}
}

const controlFile = `{
	"id": 1, "listen": "127.0.0.1:7100", "data_dir": "data",
	"peers": [{"id": 2, "address": "127.0.0.1:7101"}, {"id": 3, "address": "127.0.0.1:7102"}],
}`

// TestParseControl guards against wrong defaults.
func TestParseControl(t *testing.T) {
	path := filepath.Join(t.TempDir(), "control.json")
	require.NoError(t, os.WriteFile(path, []byte(controlFile), 0o600))
	c, warnings, err := LoadControl(path)
	require.NoError(t, err)
	require.Empty(t, warnings)
	require.Equal(t, Control{
		ID: 1, Listen: "127.0.0.1:7100", Peers: []Peer{{2, "127.0.0.1:7101"}, {3, "127.0.0.1:7102"}},
		DataDir: filepath.Join(filepath.Dir(path), "data"), ClaimShards: 4, ClaimRetention: 24 * time.Hour,
		Log: Log{Level: "info"},
	}, c)
	_, _, err = LoadControl(path + "x")
	require.ErrorIs(t, err, os.ErrNotExist)
}

// TestControlProblems guards against a rule for control settings that is not enforced.
func TestControlProblems(t *testing.T) {
	for name, c := range map[string]struct{ old, replacement, want string }{
		"even number":  {`{"id": 3, "address": "127.0.0.1:7102"}`, ``, `peers: make 2 replicas with this one; 3, 5 or 7 are needed`},
		"same id":      {`"id": 3`, `"id": 1`, `peers[1].id: 1 is given twice`},
		"same address": {`7102`, `7100`, `peers[1].address: "127.0.0.1:7100" is given twice`},
		"id 0":         {`"id": 1`, `"id": 0`, `id: 0 is outside of 1 to 2147483647 (0 means no replica)`},
		"shards":       {`"data",`, `"data", "claim_shards": 65,`, `claim_shards: 65 is outside of 1 to 64`},
		"retention":    {`"data",`, `"data", "retention": "30m",`, `retention: 30m is outside of 1h to 168h`},
		"public":       {`"127.0.0.1:7100"`, `"10.0.0.1:7100"`, `listen: "10.0.0.1:7100" must be a loopback address`},
		"join alone":   {`"peers"`, `"join": true, "pears"`, `pears: unknown field; did you mean "peers"?`},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, 1, strings.Count(controlFile, c.old), "the replacement must be unambiguous")
			_, problems := ParseControl("c", []byte(strings.Replace(controlFile, c.old, c.replacement, 1)))
			require.Contains(t, problems.Error(), c.want)
		})
	}
}

// FuzzParse guards against panics on any input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(daemonFile))
	f.Add([]byte(controlFile))
	f.Add([]byte(`{"listen": [], "relay": {"others": {"": [1]}}, "link_budgets": {".": "/s"}, "peers": [{}]}`))
	f.Fuzz(func(t *testing.T, src []byte) {
		ParseDaemon("f", src)
		ParseControl("f", src)
	})
}

// TestControlDialAddresses guards against a dial address that is ignored or not validated.
func TestControlDialAddresses(t *testing.T) {
	const text = `{"id": 1, "listen": "127.0.0.1:7100", "data_dir": "d", "peers": [], "dial": {"127.0.0.1:7101": %s}}`
	c, problems := ParseControl("c.settings.json", fmt.Appendf(nil, text, `"127.0.0.1:9000"`))
	require.Empty(t, problems)
	require.Equal(t, map[string]string{"127.0.0.1:7101": "127.0.0.1:9000"}, c.Dial)
	_, problems = ParseControl("c.settings.json", fmt.Appendf(nil, text, `"nowhere"`))
	require.NotEmpty(t, problems)
}
