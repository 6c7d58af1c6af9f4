package settings

import (
	"math"
	"time"

	"github.com/bilberrydeck/bilberrydeck/internal/jsonfile"
)

// Control holds the settings of one control replica.
type Control struct {
	ID             uint64            // unique among all replicas, also of replaced ones
	Listen         string            // address of the gRPC server
	Peers          []Peer            // the other replicas of the first configuration
	Dial           map[string]string // addresses to dial in place of advertised ones; usually empty
	DataDir        string            // the one directory for all files of the replica
	ClaimShards    int               // raft groups for claims beside the configuration group
	Join           bool              // start empty and wait to be added by `replica replace`
	ClaimRetention time.Duration
	TLS            *TLS // nil for loopback only
	Log            Log
}

// Peer is another control replica.
type Peer struct {
	ID      uint64
	Address string
}

// DefaultClaimShards is the number of claim groups if none is given.
const DefaultClaimShards = 4

// DefaultRetention is how long claims are kept if nothing is given.
const DefaultRetention = 24 * time.Hour

// The ranges of the fields, each with the reason for its limits.
var (
	replicaRange = jsonfile.Range[int]{Min: 1, Max: math.MaxInt32,
		Why: "0 means no replica"}
	shardsRange = jsonfile.Range[int]{Min: 1, Max: 64,
		Why: "each shard is a group with its own log and heartbeats"}
	// A key may be resent until its caller gives up, which takes up to an hour
	// in an outage; claims of more than a week would not fit into the memory of
	// small VMs.
	retentionRange = jsonfile.Range[time.Duration]{Min: time.Hour, Max: 7 * 24 * time.Hour,
		Why: "callers resend for up to an hour, and replicas hold all claims in memory"}
)

// LoadControl reads and validates a control settings file. It returns the
// warnings beside valid settings; the error is of type Problems if the file
// could be read but is not valid.
func LoadControl(path string) (Control, Problems, error) { return load(path, ParseControl) }

// ParseControl validates the text of a control settings file. Relative paths
// are resolved against the directory of the file.
func ParseControl(path string, src []byte) (Control, Problems) {
	r, top := open(path, src)
	if top == nil {
		return Control{}, r.file.Problems()
	}
	c := Control{
		ID:             uint64(top.Int("id", replicaRange)),
		Listen:         listenAddress(top, "listen"),
		DataDir:        r.path(top, "data_dir"),
		ClaimShards:    top.OptionalInt("claim_shards", DefaultClaimShards, shardsRange),
		Join:           top.Bool("join"),
		ClaimRetention: top.OptionalDuration("retention", DefaultRetention, retentionRange),
		TLS:            r.tls(top),
		Log:            r.log(top),
	}
	c.Peers = readPeers(top, c)
	c.Dial = readDial(top)
	if c.TLS == nil {
		requireLoopback(top, "listen", c.Listen, whyNoTLS)
	}
	if c.TLS != nil && c.TLS.Ingress {
		top.Report("tls.entrance", "is for daemons only")
	}
	top.Close()
	return c, r.file.Problems()
}

// readDial reads the addresses to dial in place of the advertised ones, for
// replicas that are reached through a forwarder or address translation.
func readDial(top *jsonfile.Object) map[string]string {
	o := top.Object("dial")
	if o == nil {
		return nil
	}
	dial := make(map[string]string)
	for _, advertised := range o.Names() {
		dial[advertised] = address(o, advertised)
	}
	o.Close()
	return dial
}

func readPeers(top *jsonfile.Object, c Control) []Peer {
	var peers []Peer
	ids := map[uint64]bool{c.ID: true}
	places := map[string]bool{c.Listen: true}
	for _, o := range top.Objects("peers") {
		p := Peer{ID: uint64(o.Int("id", replicaRange)), Address: address(o, "address")}
		if ids[p.ID] && p.ID != 0 {
			o.Report("id", "%d is given twice", p.ID)
		}
		if places[p.Address] && p.Address != "" {
			o.Report("address", "%q is given twice", p.Address)
		}
		ids[p.ID], places[p.Address] = true, true
		o.Close()
		peers = append(peers, p)
	}
	checkReplicaCount(top, len(peers)+1, c.Join)
	return peers
}

// checkReplicaCount allows 1 (a trial without fault tolerance), 3, 5 or 7
// replicas: an even number tolerates no more losses than one replica less. A
// joining replica lists the replicas that it may hear from, at any number.
func checkReplicaCount(top *jsonfile.Object, n int, join bool) {
	switch {
	case join && n == 1:
		top.Report("peers", "must name the replicas of the group that this one joins")
	case !join && (n%2 == 0 || n > maxControls):
		top.Report("peers", "make %d replicas with this one; 3, 5 or 7 are needed (1 for trials)", n)
	}
}
