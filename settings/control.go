package settings

import (
	"math"
	"time"

	"github.com/bilberrydeck/bilberrydeck/internal/jsonfile"
)

// Control holds the settings of one control replica.
type Control struct {
	ID             uint64            // unique among all replicas, including replaced ones
	Listen         string            // address of the gRPC server
	Peers          []Peer            // the other replicas of the bootstrap configuration
	Dial           map[string]string // address to dial by advertised address, where they differ; usually empty
	DataDir        string            // directory of all files of the replica
	ClaimShards    int               // number of raft groups for claims, besides the configuration group
	Join           bool              // start without state and wait to be added by `replica replace`
	ClaimRetention time.Duration
	TLS            *TLS // nil for loopback only
	Log            Log
}

// Peer is another control replica.
type Peer struct {
	ID      uint64
	Address string
}

// DefaultClaimShards is the default number of claim groups.
const DefaultClaimShards = 4

// DefaultRetention is the default retention of claims.
const DefaultRetention = 24 * time.Hour

// The ranges of the fields, each with the reason for its bounds.
var (
	replicaIDRange = jsonfile.Range[int]{Min: 1, Max: math.MaxInt32,
		Reason: "0 means no replica"}
	claimShardsRange = jsonfile.Range[int]{Min: 1, Max: 64,
		Reason: "each shard is a group with its own log and heartbeats"}
	// Callers retry a request with the same key for up to an hour during an outage. The
	// claims of more than a week would not fit into the memory of small VMs.
	claimRetentionRange = jsonfile.Range[time.Duration]{Min: time.Hour, Max: 7 * 24 * time.Hour,
		Reason: "callers resend for up to an hour, and replicas hold all claims in memory"}
)

// LoadControl reads and validates a control settings file. It returns valid settings with
// their warnings. The error is of type Problems if the file is invalid.
func LoadControl(path string) (Control, Problems, error) { return load(path, ParseControl) }

// ParseControl parses and validates the text of a control settings file. It resolves
// relative paths against the directory of the file.
func ParseControl(path string, src []byte) (Control, Problems) {
	r, top := open(path, src)
	if top == nil {
		return Control{}, r.file.Problems()
	}
	c := Control{
		ID:             uint64(top.Int("id", replicaIDRange)),
		Listen:         listenAddress(top, "listen"),
		DataDir:        r.requiredPath(top, "data_dir"),
		ClaimShards:    top.OptionalInt("claim_shards", DefaultClaimShards, claimShardsRange),
		Join:           top.Bool("join"),
		ClaimRetention: top.OptionalDuration("retention", DefaultRetention, claimRetentionRange),
		TLS:            r.tls(top),
		Log:            r.log(top),
	}
	c.Peers = readPeers(top, c)
	c.Dial = readDial(top)
	if c.TLS == nil {
		requireLoopback(top, "listen", c.Listen, reasonNoTLS)
	}
	if c.TLS != nil && c.TLS.Ingress {
		top.Report("tls.entrance", "applies to daemons only")
	}
	top.Close()
	return c, r.file.Problems()
}

// readDial reads the addresses to dial in place of the advertised ones, for replicas behind
// a port forwarder or address translation.
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

// readPeers reads the other replicas and checks their number, ids and addresses.
func readPeers(top *jsonfile.Object, c Control) []Peer {
	var peers []Peer
	ids := map[uint64]bool{c.ID: true}
	peerAddresses := map[string]bool{c.Listen: true}
	for _, o := range top.Objects("peers") {
		p := Peer{ID: uint64(o.Int("id", replicaIDRange)), Address: address(o, "address")}
		if ids[p.ID] && p.ID != 0 {
			o.Report("id", "%d is given twice", p.ID)
		}
		if peerAddresses[p.Address] && p.Address != "" {
			o.Report("address", "%q is given twice", p.Address)
		}
		ids[p.ID], peerAddresses[p.Address] = true, true
		o.Close()
		peers = append(peers, p)
	}
	checkReplicaCount(top, len(peers)+1, c.Join)
	return peers
}

// checkReplicaCount allows 1 (without fault tolerance, for trials), 3, 5 or 7 replicas: an
// even number tolerates no more failures than one replica less. A joining replica may list
// any number of replicas that it receives messages from.
func checkReplicaCount(top *jsonfile.Object, n int, join bool) {
	switch {
	case join && n == 1:
		top.Report("peers", "must name the replicas of the group that this one joins")
	case !join && (n%2 == 0 || n > maxControls):
		top.Report("peers", "make %d replicas with this one; 3, 5 or 7 are needed (1 for trials)", n)
	}
}
