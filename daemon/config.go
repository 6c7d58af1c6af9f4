// Package daemon is the process on the VM of each upstream: the ingress, egress, peer and admin
// listeners, the admission queue in front of the local upstream, and the request path between them.
package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/holding"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// ClaimClient claims idempotency keys, so that a request with a key is executed at most once. It
// must be safe for concurrent use and respect the deadline of the context.
type ClaimClient interface {
	Claim(context.Context, *api.ClaimRequest) (*api.ClaimResponse, error)
	Finish(context.Context, *api.FinishClaimRequest) error
	Release(context.Context, *api.ReleaseClaimRequest) error
}

// Config holds the settings of a Daemon. A zero duration means the default.
type Config struct {
	ID               string // unique among daemons; also the id of the upstream
	Incarnation      uint64 // increases with each start of this daemon
	Region           string
	AvailabilityZone string
	Service          string // empty for a daemon without an upstream

	IngressAddress    string // for clients; all addresses are host:port, port 0 selects a free port
	EgressAddress     string // for the local upstream; must be on loopback
	PeerListenAddress string
	AdminAddress      string // must be on loopback

	AdvertisedPeerAddress string // address that other daemons connect to; empty for the listen address
	Upstream              string // base URL of the local upstream; empty if the upstream announces itself
	HealthURL             string // polled if not empty; a success alone does not make the upstream serving

	ServerTLS  *tls.Config // for the peer listener; may be nil only on loopback
	ClientTLS  *tls.Config // for connections to other daemons; nil if and only if ServerTLS is nil
	IngressTLS *tls.Config // nil for plain HTTP

	Claims     ClaimClient         // nil rejects requests with a key to non-idempotent routes
	LinkBudget *balance.LinkBudget // byte budgets of the links between regions
	Logger     *logging.Logger     // nil discards all lines
	Now        func() time.Time
	Seed       uint64

	Held holding.Limits // of what is held for clients and other daemons; a limit of 0 is none

	QueuePerSlot        int           // length of the admission queue in multiples of the slots, default 4
	DrainDelay          time.Duration // from the start of a drain until the ingress is closed, default 2 s
	BodyProgressTimeout time.Duration // maximum time without progress of a body, default 10 s
	HealthCheckInterval time.Duration // default 1 s
}

// ConfigError reports an invalid setting.
type ConfigError struct {
	Field   string
	Message string
}

// Error implements error.
func (e *ConfigError) Error() string { return "daemon setting " + e.Field + ": " + e.Message }

const (
	defaultQueuePerSlot = 4
	// defaultDrainDelay is the time within which the other daemons receive the announcement of a
	// draining upstream.
	defaultDrainDelay          = 2 * time.Second
	defaultBodyProgressTimeout = 10 * time.Second
	defaultHealthCheckInterval = time.Second
)

func (c Config) withDefaults() Config {
	if c.QueuePerSlot == 0 {
		c.QueuePerSlot = defaultQueuePerSlot
	}
	if c.DrainDelay == 0 {
		c.DrainDelay = defaultDrainDelay
	}
	if c.BodyProgressTimeout == 0 {
		c.BodyProgressTimeout = defaultBodyProgressTimeout
	}
	if c.HealthCheckInterval == 0 {
		c.HealthCheckInterval = defaultHealthCheckInterval
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

func (c Config) check() error {
	if c.ID == "" {
		return &ConfigError{"id", "must not be empty"}
	}
	if err := loopbackOnly("exit", c.EgressAddress); err != nil {
		return err
	}
	if err := loopbackOnly("admin", c.AdminAddress); err != nil {
		return err
	}
	if c.ServerTLS == nil {
		if err := loopbackOnly("peer", c.PeerListenAddress); err != nil {
			return err
		}
	}
	if (c.ServerTLS == nil) != (c.ClientTLS == nil) {
		return &ConfigError{"tls", "the peer listener and the peer client must both use TLS, or neither"}
	}
	if c.Upstream != "" {
		if _, err := localURL(c.Upstream); err != nil {
			return &ConfigError{"upstream", err.Error()}
		}
	}
	return nil
}

// loopbackOnly returns an error unless the address is on loopback, as listeners without mutual TLS
// must be.
func loopbackOnly(field, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return &ConfigError{field, "must be host:port"}
	}
	if !isLoopback(host) {
		return &ConfigError{field, "must be on loopback"}
	}
	return nil
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// localURL parses the base URL of a local upstream and checks that it is on loopback.
func localURL(address string) (*url.URL, error) {
	u, err := url.Parse(address)
	if err != nil {
		return nil, errors.Wrap(err, "not a URL")
	}
	if u.Scheme != "http" || u.Port() == "" || (u.Path != "" && u.Path != "/") {
		return nil, errors.Newf("%q is not of the form http://host:port", address)
	}
	if !isLoopback(u.Hostname()) {
		return nil, errors.Newf("%q is not on loopback", address)
	}
	return u, nil
}
