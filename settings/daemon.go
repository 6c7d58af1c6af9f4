package settings

import (
	"fmt"
	"slices"

	"github.com/bilberrydeck/bilberrydeck/internal/jsonfile"
)

// Daemon holds the settings of one daemon, which runs on the VM of one upstream.
type Daemon struct {
	ID               string // unique among all daemons
	Region           string
	AvailabilityZone string
	Service          string // service of the local upstream; empty for a daemon without one
	Listen           DaemonListen
	Upstream         Upstream
	Relays           []string         // all relays of this availability zone; 1 to 7
	Relay            *Relay           // nil if this daemon is not a relay
	Controls         []string         // control replicas that store the claims of requests with a key; 1 to 7
	LinkBudgets      map[string]int64 // bytes per second that this daemon may send to another region; an absent region receives no traffic
	Limits           Limits
	TLS              *TLS // nil for loopback only
	Log              Log
}

// DaemonListen holds the addresses of a daemon's listeners.
type DaemonListen struct {
	Ingress string // for clients
	Egress  string // for calls of the local upstream; loopback only
	Peer    string // for other daemons
	Admin   string // serves announce, drain, expvar and status; loopback only
}

// Upstream holds the settings of the local upstream.
type Upstream struct {
	URL       string // base URL on loopback without a path; empty if the upstream announces its address
	HealthURL string // responds with status 200 while healthy; empty if there is none
}

// Relay holds the settings of a daemon that serves the feed to the daemons of
// its availability zone.
type Relay struct {
	Listen       string              // address of the feed server, one of Daemon.Relays
	Sources      []string            // control replicas or relays that provide the configuration, in the order of attempts; 1 to 16
	RemoteRelays map[string][]string // relays of other availability zones by zone, which provide its members
}

// maxRelays is the maximum number of relays of one availability zone. A new version becomes
// active only after a majority of them has received it. The design uses three where
// possible.
const maxRelays = 7

// maxControls is the maximum number of control VMs of the platform.
const maxControls = 7

// maxSources is the maximum number of sources of a relay. A relay abandons a stale source
// after 2 s, so trying all sources of a longer list would take more than half a minute.
const maxSources = 16

// linkBudgetRange allows 0, which means no traffic to the region, up to 1 GiB/s, twice the
// capacity of the 4 Gbit/s links between regions.
var linkBudgetRange = jsonfile.Range[int64]{Min: 0, Max: 1 << 30, Reason: "links between regions carry 4 Gbit/s"}

// LoadDaemon reads and validates a daemon's settings file. It returns valid settings with
// their warnings. The error is of type Problems if the file is invalid.
func LoadDaemon(path string) (Daemon, Problems, error) { return load(path, ParseDaemon) }

// ParseDaemon parses and validates the text of a daemon's settings file. It resolves relative
// paths against the directory of the file.
func ParseDaemon(path string, src []byte) (Daemon, Problems) {
	r, top := open(path, src)
	if top == nil {
		return Daemon{}, r.file.Problems()
	}
	d := Daemon{
		ID:               identifier(top, "id"),
		Region:           identifier(top, "region"),
		AvailabilityZone: identifier(top, "availability_zone"),
		TLS:              r.tls(top),
		Log:              r.log(top),
	}
	if top.Has("service") {
		d.Service = identifier(top, "service")
	}
	d.Listen = readListen(top, d.TLS != nil)
	d.Upstream = readUpstream(top, d.Service)
	d.Relays = boundedAddresses(top, "relays", maxRelays)
	d.Controls = boundedAddresses(top, "controls", maxControls)
	d.LinkBudgets = readLinkBudgets(top, d.Region)
	d.Relay = readRelay(top, d)
	d.Limits = readLimits(top)
	top.Close()
	return d, r.file.Problems()
}

func readListen(top *jsonfile.Object, secured bool) DaemonListen {
	o := top.RequiredObject("listen")
	if o == nil {
		return DaemonListen{}
	}
	l := DaemonListen{
		Ingress: listenAddress(o, "entrance"),
		Egress:  listenAddress(o, "exit"),
		Peer:    listenAddress(o, "peer"),
		Admin:   listenAddress(o, "admin"),
	}
	requireLoopback(o, "exit", l.Egress, reasonLocalOnly)
	requireLoopback(o, "admin", l.Admin, reasonLocalOnly)
	if !secured {
		requireLoopback(o, "entrance", l.Ingress, reasonNoTLS)
		requireLoopback(o, "peer", l.Peer, reasonNoTLS)
	}
	reportSharedAddresses(o, []string{"entrance", "exit", "peer", "admin"}, []string{l.Ingress, l.Egress, l.Peer, l.Admin})
	o.Close()
	return l
}

// reportSharedAddresses reports each listener whose address is also that of a preceding one.
func reportSharedAddresses(o *jsonfile.Object, names, values []string) {
	for i, v := range values {
		if first := slices.Index(values, v); first < i && v != "" {
			o.Report(names[i], "%q is also the address of %s", v, names[first])
		}
	}
}

func readUpstream(top *jsonfile.Object, service string) Upstream {
	o := top.Object("upstream")
	if o == nil {
		return Upstream{}
	}
	if service == "" {
		top.Report("upstream", "needs the service that it belongs to")
	}
	u := Upstream{
		URL:       httpURL(o, "url", o.Text("url"), false),
		HealthURL: httpURL(o, "health_url", o.OptionalText("health_url"), true),
	}
	o.Close()
	return u
}

// boundedAddresses reads a required list of 1 to limit different addresses.
func boundedAddresses(o *jsonfile.Object, name string, limit int) []string {
	list := addresses(o, name)
	switch {
	case !o.Has(name):
		o.Report(name, "is missing")
	case len(list) == 0 || len(list) > limit:
		o.Report(name, "must hold 1 to %d addresses, holds %d", limit, len(list))
	}
	return list
}

func readLinkBudgets(top *jsonfile.Object, localRegion string) map[string]int64 {
	budgets := map[string]int64{}
	o := top.Object("link_budgets")
	if o == nil {
		return budgets
	}
	for _, region := range o.Names() {
		budgets[region] = o.OptionalSize(region, "/s", 0, linkBudgetRange)
		switch {
		case !namePattern.MatchString(region):
			o.Report(region, "%q is not the name of a region", region)
		case region == localRegion:
			o.Report(region, "is this daemon's own region, which has no budget")
		}
	}
	return budgets
}

func readRelay(top *jsonfile.Object, d Daemon) *Relay {
	o := top.Object("relay")
	if o == nil {
		return nil
	}
	r := &Relay{
		Listen:       listenAddress(o, "listen"),
		Sources:      boundedAddresses(o, "sources", maxSources),
		RemoteRelays: readRemoteRelays(o, d.AvailabilityZone),
	}
	if d.TLS == nil {
		requireLoopback(o, "listen", r.Listen, reasonNoTLS)
	}
	if r.Listen != "" && !slices.Contains(d.Relays, r.Listen) {
		o.Report("listen", "%q must be one of relays, since majorities are counted over that list", r.Listen)
	}
	if i := slices.Index(r.Sources, r.Listen); i >= 0 && r.Listen != "" {
		o.Report(elementName("sources", i), "is this relay itself")
	}
	o.Close()
	return r
}

func readRemoteRelays(relay *jsonfile.Object, localZone string) map[string][]string {
	relays := map[string][]string{}
	o := relay.Object("others")
	if o == nil {
		return relays
	}
	for _, az := range o.Names() {
		relays[az] = boundedAddresses(o, az, maxRelays)
		switch {
		case !namePattern.MatchString(az):
			o.Report(az, "%q is not the name of an availability zone", az)
		case az == localZone:
			o.Report(az, "is this daemon's own availability zone")
		}
	}
	return relays
}

func elementName(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }
