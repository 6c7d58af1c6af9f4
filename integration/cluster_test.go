package integration

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/internal/freeport"
)

// cluster is a complete system on loopback: three control replicas and one daemon
// for each service of the call chain front -> middle -> deep. Every daemon is a relay.
// The service deep is in another availability zone than the other two.
type cluster struct {
	dir             string
	authority       *authority          // nil without TLS
	uploadedBytes   atomic.Int64        // bytes of uploads read by upstreams
	controls        map[string]*process // by address
	initialControls []string            // addresses of the bootstrap replicas by id, from 1
	daemons         map[string]*node    // by service
}

// node is one daemon, its listen addresses and its upstream.
type node struct {
	*process
	ingress, egress, peer, admin, feed string
	upstream                           *httptest.Server
	settingsFile                       string // path of the settings file
}

// calleeOf is the service that each service calls, empty for the last one.
var calleeOf = map[string]string{"front": "middle", "middle": "deep", "deep": ""}

// azOf is the availability zone of each service.
var azOf = map[string]string{"front": "south-a", "middle": "south-a", "deep": "south-b"}

// otherRelays returns JSON fields with the relays of all other availability zones.
func otherRelays(relays map[string][]string, localAZ string) string {
	text := ""
	for az, list := range relays {
		if az != localAZ {
			text += fmt.Sprintf("%q: [%s],", az, quoted(list))
		}
	}
	return text
}

// newCluster starts the control replicas and a daemon for each service. All connections
// use TLS if secured is set.
func newCluster(t *testing.T, secured bool) *cluster {
	t.Helper()
	c := newControls(t, secured)
	relays := map[string][]string{} // by availability zone
	for service := range calleeOf {
		n := &node{ingress: freeport.Address(t), egress: freeport.Address(t), peer: freeport.Address(t), admin: freeport.Address(t), feed: freeport.Address(t)}
		c.daemons[service] = n
		relays[azOf[service]] = append(relays[azOf[service]], n.feed)
	}
	for service, n := range c.daemons {
		n.upstream = httptest.NewServer(c.upstreamHandler(service, n.egress))
		t.Cleanup(n.upstream.Close)
		n.settingsFile = writeFile(t, c.dir, service+".settings.json", fmt.Sprintf(`{
			"id": "daemon-%[1]s", "region": "south", "availability_zone": %[11]q, "service": %[1]q,
			"listen": {"entrance": %[2]q, "exit": %[3]q, "peer": %[4]q, "admin": %[5]q},
			"upstream": {"url": %[6]q},
			"relays": [%[7]s],
			"relay": {"listen": %[8]q, "sources": [%[9]s], "others": {%[12]s}},
			"controls": [%[9]s],
			%[10]s
		}`, service, n.ingress, n.egress, n.peer, n.admin, n.upstream.URL, quoted(relays[azOf[service]]), n.feed, quoted(c.addresses()),
			c.tlsSection(t, "daemon", "daemon-"+service), azOf[service], otherRelays(relays, azOf[service])))
		n.process = start(t, "daemon", "-settings", n.settingsFile)
	}
	return c
}

// startControls starts the three bootstrap replicas.
func (c *cluster) startControls(t *testing.T) {
	addresses := []string{freeport.Address(t), freeport.Address(t), freeport.Address(t)}
	c.initialControls = addresses
	for i, address := range addresses {
		c.startControl(t, i+1, address, addresses, false)
	}
}

// newControls starts the control replicas without any daemon.
func newControls(t *testing.T, secured bool) *cluster {
	t.Helper()
	c := &cluster{dir: t.TempDir(), controls: map[string]*process{}, daemons: map[string]*node{}}
	if secured {
		c.authority = newAuthority(t, t.TempDir())
	}
	c.startControls(t)
	return c
}

// startControl starts a control replica whose data directory is named after its id.
// The slice all holds the addresses of the replicas by id, from 1.
func (c *cluster) startControl(t *testing.T, id int, address string, all []string, join bool) {
	t.Helper()
	peers := ""
	for i, other := range all {
		if i+1 != id {
			peers += fmt.Sprintf(`{"id": %d, "address": %q},`, i+1, other)
		}
	}
	name := fmt.Sprintf("control-%d", id)
	file := writeFile(t, c.dir, name+".settings.json", fmt.Sprintf(
		`{"id": %d, "listen": %q, "peers": [%s], "data_dir": %q, "claim_shards": 2, "join": %t, %s}`,
		id, address, peers, name, join, c.tlsSection(t, "control", fmt.Sprint(id))))
	c.controls[address] = start(t, "control", "-settings", file)
}

// addresses returns the addresses of all current control replicas.
func (c *cluster) addresses() []string {
	var list []string
	for address := range c.controls {
		list = append(list, address)
	}
	return list
}

// quoted returns the elements of a JSON array of strings.
func quoted(list []string) string { return `"` + strings.Join(list, `", "`) + `"` }

// writeDeclarations writes the declarations of all services and returns their directory.
func (c *cluster) writeDeclarations(t *testing.T, slots int) string {
	t.Helper()
	for service, callee := range calleeOf {
		calls := ""
		if callee != "" {
			calls = fmt.Sprintf("%[1]q", callee+".look")
		}
		writeFile(t, c.dir, "declared/"+service+"/bilberrydeck.json", fmt.Sprintf(`{
			"service": %q, "slots": %d, "max_connections": 50,
			"routes": [
				{"name": "look", "method": "GET", "path": "/look", "idempotent": true, "timeout": "30s", "calls": [%s]},
				{"name": "book", "method": "POST", "path": "/book", "class": "critical", "timeout": "30s"},
				{"name": "upload", "method": "POST", "path": "/upload", "class": "critical", "timeout": "5m", "body": "stream"},
			],
		}`, service, slots, calls))
	}
	return c.dir + "/declared"
}

// publish runs the publish command with the declarations and returns its result.
func (c *cluster) publish(t *testing.T, number string, slots int) (stdout, stderr string, code int) {
	t.Helper()
	return runCommand(t, "publish", "-number", number, "-author", "tester", "-controls", strings.Join(c.addresses(), ","), c.writeDeclarations(t, slots))
}

// upstreamHandler serves lookups, which call the next service of the chain, bookings,
// and uploads, whose response is the number of bytes received.
func (c *cluster) upstreamHandler(service, egress string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /look", func(w http.ResponseWriter, r *http.Request) {
		callee := calleeOf[service]
		if callee == "" {
			fmt.Fprint(w, service)
			return
		}
		call, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+egress+"/"+callee+"/look", nil)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		call.Header.Set("Bilberry-Chain", r.Header.Get("Bilberry-Chain"))
		response, err := http.DefaultClient.Do(call)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode != http.StatusOK {
			http.Error(w, fmt.Sprintf("%s: %d %s", callee, response.StatusCode, body), http.StatusBadGateway)
			return
		}
		fmt.Fprintf(w, "%s>%s", service, body)
	})
	bookings := 0
	mux.HandleFunc("POST /book", func(w http.ResponseWriter, _ *http.Request) {
		bookings++ // the test sends bookings one at a time
		fmt.Fprintf(w, "booking %d", bookings)
	})
	mux.HandleFunc("POST /upload", func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(countingWriter{&c.uploadedBytes}, r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		fmt.Fprintf(w, "%d bytes", n)
	})
	return mux
}

// countingWriter discards what is written and adds its length to total.
type countingWriter struct{ total *atomic.Int64 }

func (w countingWriter) Write(p []byte) (int, error) {
	w.total.Add(int64(len(p)))
	return len(p), nil
}

// get sends a lookup to a daemon's ingress. The status is 0 if no response was received.
func get(ingress, path string) (status int, outcome, body string) {
	response, err := http.Get("http://" + ingress + path)
	if err != nil {
		return 0, "", err.Error()
	}
	return readResponse(response)
}

// readResponse reads a complete response. The status is 0 if it is not complete.
func readResponse(response *http.Response) (status int, outcome, body string) {
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", err.Error()
	}
	return response.StatusCode, response.Header.Get("Bilberry-Outcome"), string(text)
}

// awaitChain waits until a lookup through the whole call chain succeeds from the
// ingress of each daemon.
func (c *cluster) awaitChain(t *testing.T) {
	t.Helper()
	for service, n := range c.daemons {
		last := ""
		waitFor(t, "a lookup through the call chain from "+service, func() bool {
			status, outcome, body := get(n.ingress, "/front/look")
			last = fmt.Sprint(status, outcome, body)
			return status == http.StatusOK && outcome == "ok" && body == "front>middle>deep"
		})
		require.NotEmpty(t, last)
	}
}
