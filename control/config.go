// Package control implements the control process: it connects core/raft to disk, network
// and clock, with one goroutine per raft group, and serves operators, daemons and the other
// replicas over gRPC. Group 0 holds the configuration, groups 1 to Config.ClaimShards hold
// the claims.
package control

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"

	"github.com/bilberrydeck/bilberrydeck/core/statemachine"
	"github.com/bilberrydeck/bilberrydeck/storage"
)

// StateMachine is a replicated state machine. Apply must be deterministic: the same sequence of
// commands must give the same results on every replica.
type StateMachine interface {
	Apply(index uint64, command []byte) []byte
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Config holds the settings of a control process.
type Config struct {
	ReplicaID     uint64
	ListenAddress string // IP address and port
	// AdvertiseAddress is the address to which other processes connect; empty
	// selects the replica's address in Peers, or else the listen address.
	AdvertiseAddress string
	// Dial maps advertised addresses of other replicas to the addresses to
	// dial instead, for a proxy or address translation in between.
	Dial map[string]string
	// Peers holds the addresses of the initial replica set by replica id, this
	// replica included. It is not used once the group has state.
	Peers map[uint64]string
	// Join starts a replica that waits to be added by ReplaceReplica. A
	// replica that lost its disk must start this way, with a new id.
	Join bool
	// Discovery, if set, replaces ReplicaID, Peers and Join: the replicas discover
	// each other through seeds.
	Discovery     *DiscoveryConfig
	DataDirectory string
	ClaimShards   int // number of claim groups, the same on all replicas and never changed; 0 only with Discovery

	ServerTLS *tls.Config // nil permits loopback addresses only, unless Plaintext is set
	ClientTLS *tls.Config // nil permits loopback addresses only, unless Plaintext is set
	// Plaintext permits other addresses without TLS, for networks that are
	// protected by other means.
	Plaintext bool
	// Dialer opens the connections to other replicas; nil selects the default of gRPC.
	Dialer func(ctx context.Context, address string) (net.Conn, error)

	Logger            *log.Logger // nil discards all log lines
	Clock             func() time.Time
	Seed              uint64        // of the random number generator, different at each start; 0 selects a random one
	TickInterval      time.Duration // 0 means 50 ms
	HeartbeatTicks    int           // ticks between heartbeat rounds; 0 selects the default of core/raft
	ElectionTicks     int           // minimum election timeout in ticks; 0 selects the default of core/raft
	SnapshotThreshold uint64        // applied entries between snapshots; 0 means 10,000

	Validate       statemachine.Validator // checks the set of declarations that a change results in; nil accepts all
	ClaimRetention time.Duration          // 0 means statemachine.DefaultClaimRetention

	FS       storage.FS   // nil selects the operating system's
	Listener net.Listener // if set, ListenAddress is not used
	// NewStateMachine creates the state machine of a group; nil selects the
	// configuration and claims of core/statemachine.
	NewStateMachine func(group uint32) StateMachine
	// ServerOptions are added to those of the gRPC server, for example a check of
	// the role in the caller's certificate.
	ServerOptions []grpc.ServerOption
	// Register adds further services to the gRPC server, for example the feed.
	Register func(grpc.ServiceRegistrar)
}

// DiscoveryConfig configures replicas that discover each other through seeds. They bootstrap a
// group at the first start of the system, add joining replicas to it, and replace failed
// replicas without an operator.
type DiscoveryConfig struct {
	// Seeds are gRPC addresses of replicas, this one possibly among them. At the
	// first start of the system all replicas have the same seeds.
	Seeds []string
	// FirstStart states that the whole system starts for the first time. Only
	// then may a group be bootstrapped, by the replica whose address is the
	// lowest seed.
	FirstStart        bool
	AvailabilityZone  string
	ToleratedFailures int // replicas that may fail at the same time
}

// minVoters returns the number of voters below which no change is accepted: with fewer, an
// accepted change could be lost together with ToleratedFailures disks.
func (s *DiscoveryConfig) minVoters() int { return 2*s.ToleratedFailures + 1 }

// Defaults. A heartbeat round starts every other tick and the election timeout is 10 to 20
// ticks, so with ticks of 50 ms a failed leader is replaced within about 1 s, and a quorum
// confirmation is much younger than the 2 s after which subscribers change their source.
const (
	defaultTickInterval      = 50 * time.Millisecond
	defaultSnapshotThreshold = 10_000
	// trailingEntries is the number of entries before a snapshot that are kept in
	// memory, so that a replica that was briefly disconnected needs no snapshot.
	trailingEntries = 2_000
)

func (c *Config) setDefaults() {
	if c.Logger == nil {
		c.Logger = &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	if c.TickInterval == 0 {
		c.TickInterval = defaultTickInterval
	}
	if c.SnapshotThreshold == 0 {
		c.SnapshotThreshold = defaultSnapshotThreshold
	}
	if c.FS == nil {
		c.FS = storage.OS{}
	}
	if c.NewStateMachine == nil {
		c.NewStateMachine = c.defaultStateMachine
	}
}

func (c *Config) defaultStateMachine(group uint32) StateMachine {
	if group == 0 {
		return statemachine.NewConfiguration(c.Validate)
	}
	return statemachine.NewClaims(c.ClaimRetention)
}

func (c *Config) check() error {
	switch {
	case c.DataDirectory == "":
		return &ConfigError{"data directory is missing"}
	case c.Discovery != nil:
		return c.Discovery.check()
	case c.ReplicaID == 0:
		return &ConfigError{"replica id must not be 0"}
	case c.ClaimShards < 1:
		return &ConfigError{"claim_shards must be at least 1"}
	case !c.Join && c.Peers[c.ReplicaID] == "":
		return &ConfigError{"peers must include this replica"}
	}
	return nil
}

func (s *DiscoveryConfig) check() error {
	switch {
	case len(s.Seeds) == 0:
		return &ConfigError{"no seeds are set"}
	case s.ToleratedFailures < 0:
		return &ConfigError{"the number of tolerated failures is negative"}
	}
	return nil
}

// requireLoopback returns an error unless the address is a loopback address: a process
// without TLS must not be reachable from other VMs.
func requireLoopback(address net.Addr) error {
	tcp, ok := address.(*net.TCPAddr)
	if !ok || !tcp.IP.IsLoopback() {
		return &ConfigError{"without TLS only loopback addresses are permitted, not " + address.String()}
	}
	return nil
}
