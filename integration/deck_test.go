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
)

// deck is a whole system on loopback: three control replicas and one daemon
// for each service of the chain front -> middle -> deep, all of them relays.
// The deepest service is in another availability zone than the others.
type deck struct {
	dir       string
	authority *authority          // nil without TLS
	uploaded  atomic.Int64        // bytes that uploads have brought to upstreams
	controls  map[string]*process // by address
	founders  []string            // addresses of the first replicas by id, from 1
	daemons   map[string]*node    // by service
}

type node struct {
	*process
	entrance, exit, peer, admin, feed string
	upstream                          *httptest.Server
	settings                          string // path of the file
}

// chainBelow names the service that each one calls.
var chainBelow = map[string]string{"front": "middle", "middle": "deep", "deep": ""}

// zoneOf is the availability zone of each service.
var zoneOf = map[string]string{"front": "south-a", "middle": "south-a", "deep": "south-b"}

// otherRelays lists the relays of the other availability zones.
func otherRelays(relays map[string][]string, own string) string {
	text := ""
	for az, list := range relays {
		if az != own {
			text += fmt.Sprintf("%q: [%s],", az, quoted(list))
		}
	}
	return text
}

func newDeck(t *testing.T, secured bool) *deck {
	t.Helper()
	d := newControls(t, secured)
	relays := map[string][]string{} // by availability zone
	for service := range chainBelow {
		n := &node{entrance: freePort(t), exit: freePort(t), peer: freePort(t), admin: freePort(t), feed: freePort(t)}
		d.daemons[service] = n
		relays[zoneOf[service]] = append(relays[zoneOf[service]], n.feed)
	}
	for service, n := range d.daemons {
		n.upstream = httptest.NewServer(d.handler(service, n.exit))
		t.Cleanup(n.upstream.Close)
		n.settings = writeFile(t, d.dir, service+".settings.json", fmt.Sprintf(`{
			"id": "daemon-%[1]s", "region": "south", "availability_zone": %[11]q, "service": %[1]q,
			"listen": {"entrance": %[2]q, "exit": %[3]q, "peer": %[4]q, "admin": %[5]q},
			"upstream": {"url": %[6]q},
			"relays": [%[7]s],
			"relay": {"listen": %[8]q, "sources": [%[9]s], "others": {%[12]s}},
			"controls": [%[9]s],
			%[10]s
		}`, service, n.entrance, n.exit, n.peer, n.admin, n.upstream.URL, quoted(relays[zoneOf[service]]), n.feed, quoted(d.addresses()),
			d.section(t, "daemon", "daemon-"+service), zoneOf[service], otherRelays(relays, zoneOf[service])))
		n.process = start(t, "daemon", "-settings", n.settings)
	}
	return d
}

func (d *deck) startControls(t *testing.T) {
	addresses := []string{freePort(t), freePort(t), freePort(t)}
	d.founders = addresses
	for i, address := range addresses {
		d.startControl(t, i+1, address, addresses, false)
	}
}

// newControls starts the control replicas alone.
func newControls(t *testing.T, secured bool) *deck {
	t.Helper()
	d := &deck{dir: t.TempDir(), controls: map[string]*process{}, daemons: map[string]*node{}}
	if secured {
		d.authority = newAuthority(t, t.TempDir())
	}
	d.startControls(t)
	return d
}

// startControl starts a replica with a data directory named after its id. All
// holds the addresses of the replicas by id, from 1.
func (d *deck) startControl(t *testing.T, id int, address string, all []string, join bool) {
	t.Helper()
	peers := ""
	for i, other := range all {
		if i+1 != id {
			peers += fmt.Sprintf(`{"id": %d, "address": %q},`, i+1, other)
		}
	}
	name := fmt.Sprintf("control-%d", id)
	file := writeFile(t, d.dir, name+".settings.json", fmt.Sprintf(
		`{"id": %d, "listen": %q, "peers": [%s], "data_dir": %q, "claim_shards": 2, "join": %t, %s}`,
		id, address, peers, name, join, d.section(t, "control", fmt.Sprint(id))))
	d.controls[address] = start(t, "control", "-settings", file)
}

func (d *deck) addresses() []string {
	var list []string
	for address := range d.controls {
		list = append(list, address)
	}
	return list
}

func quoted(list []string) string { return `"` + strings.Join(list, `", "`) + `"` }

// declare writes the declarations and returns their directory.
func (d *deck) declare(t *testing.T, slots int) string {
	t.Helper()
	for service, below := range chainBelow {
		calls := ""
		if below != "" {
			calls = fmt.Sprintf("%[1]q", below+".look")
		}
		writeFile(t, d.dir, "declared/"+service+"/bilberrydeck.json", fmt.Sprintf(`{
			"service": %q, "slots": %d, "max_connections": 50,
			"routes": [
				{"name": "look", "method": "GET", "path": "/look", "idempotent": true, "timeout": "30s", "calls": [%s]},
				{"name": "book", "method": "POST", "path": "/book", "class": "critical", "timeout": "30s"},
				{"name": "upload", "method": "POST", "path": "/upload", "class": "critical", "timeout": "5m", "body": "stream"},
			],
		}`, service, slots, calls))
	}
	return d.dir + "/declared"
}

// publish sends the declarations and returns the result of the command.
func (d *deck) publish(t *testing.T, number string, slots int) (stdout, stderr string, code int) {
	t.Helper()
	return runCommand(t, "publish", "-number", number, "-author", "tester", "-controls", strings.Join(d.addresses(), ","), d.declare(t, slots))
}

// handler is a service that looks things up in the service below it, and
// answers uploads with the number of bytes received.
func (d *deck) handler(service, exit string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /look", func(w http.ResponseWriter, r *http.Request) {
		below := chainBelow[service]
		if below == "" {
			fmt.Fprint(w, service)
			return
		}
		call, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+exit+"/"+below+"/look", nil)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		call.Header.Set("Bilberry-Chain", r.Header.Get("Bilberry-Chain"))
		answer, err := http.DefaultClient.Do(call)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer answer.Body.Close()
		body, err := io.ReadAll(answer.Body)
		if err != nil || answer.StatusCode != http.StatusOK {
			http.Error(w, fmt.Sprintf("%s: %d %s", below, answer.StatusCode, body), http.StatusBadGateway)
			return
		}
		fmt.Fprintf(w, "%s>%s", service, body)
	})
	bookings := 0
	mux.HandleFunc("POST /book", func(w http.ResponseWriter, _ *http.Request) {
		bookings++ // requests of the test come one after the other
		fmt.Fprintf(w, "booking %d", bookings)
	})
	mux.HandleFunc("POST /upload", func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(countingWriter{&d.uploaded}, r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		fmt.Fprintf(w, "%d bytes", n)
	})
	return mux
}

// countingWriter discards what is written and counts its bytes.
type countingWriter struct{ total *atomic.Int64 }

func (w countingWriter) Write(p []byte) (int, error) {
	w.total.Add(int64(len(p)))
	return len(p), nil
}

// get sends a lookup to a daemon's entrance; the status is 0 if no answer came.
func get(entrance, path string) (status int, outcome, body string) {
	answer, err := http.Get("http://" + entrance + path)
	if err != nil {
		return 0, "", err.Error()
	}
	return read(answer)
}

func read(answer *http.Response) (status int, outcome, body string) {
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, "", err.Error()
	}
	return answer.StatusCode, answer.Header.Get("Bilberry-Outcome"), string(text)
}

// awaitChain waits until lookups through the whole chain succeed from each
// entrance.
func (d *deck) awaitChain(t *testing.T) {
	t.Helper()
	for service, n := range d.daemons {
		last := ""
		until(t, "a lookup through the chain from "+service, func() bool {
			status, outcome, body := get(n.entrance, "/front/look")
			last = fmt.Sprint(status, outcome, body)
			return status == http.StatusOK && outcome == "ok" && body == "front>middle>deep"
		})
		require.NotEmpty(t, last)
	}
}
