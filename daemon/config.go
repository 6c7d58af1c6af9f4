// Package daemon is the process that runs beside each upstream: the entrance,
// exit, peer and admin listeners, the gate in front of the local upstream, and
// the path of a request between them.
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
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// ClaimClient records that work with an idempotency key runs at most once. It is
// safe for concurrent use and honours the context's deadline.
type ClaimClient interface {
	Claim(context.Context, *api.ClaimRequest) (*api.ClaimResponse, error)
	Finish(context.Context, *api.FinishClaimRequest) error
	Release(context.Context, *api.ReleaseClaimRequest) error
}

// Config is what a daemon needs to start. Zero durations take the defaults.
type Config struct {
	ID               string // unique among daemons; the upstream has the same id
	Incarnation      uint64 // grows with each start of this daemon
	Region           string
	AvailabilityZone string
	Service          string // empty for a daemon without an upstream

	IngressAddress    string // listen addresses, host:port; port 0 takes a free one
	EgressAddress     string // loopback
	PeerListenAddress string
	AdminAddress      string // loopback

	AdvertisedPeerAddress string // address that other daemons dial; empty for the one listened on
	Upstream              string // base URL of the local service; empty if the service announces itself
	HealthURL             string // polled if not empty; may only lower trust

	ServerTLS  *tls.Config // peer listener; nil only on loopback
	ClientTLS  *tls.Config // connections to other daemons; nil with ServerTLS
	IngressTLS *tls.Config // nil for plain HTTP

	Claims ClaimClient         // nil refuses keyed requests to non-idempotent routes
	Links  *balance.LinkBudget // byte budgets of the region links
	Logger *logging.Logger     // nil discards
	Now    func() time.Time
	Seed   uint64

	QueuePerSlot        int           // queue length of the gate in multiples of the slots, default 4
	DrainDelay          time.Duration // entrance keeps routing for this time after a drain starts, default 2 s
	BodyProgressTimeout time.Duration // a body must make progress within this time, default 10 s
	HealthCheckInterval time.Duration // default 1 s
}

// ConfigError is a setting that the daemon cannot start with.
type ConfigError struct {
	Field   string
	Message string
}

// Error implements error.
func (e *ConfigError) Error() string { return "daemon setting " + e.Field + ": " + e.Message }

const (
	defaultQueuePerSlot = 4
	// defaultDrainDelay is the time within which the announcement of a
	// draining upstream reaches the other daemons.
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
		return &ConfigError{"tls", "the peer listener and the peer client need TLS both or neither"}
	}
	if c.Upstream != "" {
		if _, err := localURL(c.Upstream); err != nil {
			return &ConfigError{"upstream", err.Error()}
		}
	}
	return nil
}

// loopbackOnly enforces the rule for listeners without mutual TLS.
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

// localURL checks the address of a local service.
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
