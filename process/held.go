package process

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bilberrydeck/bilberrydeck/core/holding"
	"github.com/bilberrydeck/bilberrydeck/internal/monotonic"
	"github.com/bilberrydeck/bilberrydeck/logging"
	"github.com/bilberrydeck/bilberrydeck/settings"
)

const (
	// heldRatio is the part of the memory of a VM that may be held for clients. With what the garbage
	// collector leaves, it takes half of the VM; the rest is for the process itself.
	heldRatio = 0.25
	// platformDescriptors of the limit are for files of the platform and the program.
	platformDescriptors = 200
	// ownDescriptors are for listeners, files, control and the connections of the upstream, of health
	// checks and of metrics.
	ownDescriptors = 50
	// localConnections is the number of connections to a listener that only the platform and the upstream
	// on the VM use.
	localConnections = 16
	// maxDescriptors is the largest limit of a process that is taken as given. Memory ends before.
	maxDescriptors = 1 << 20
	// minClientDescriptors are left to clients and peers whatever the limit is.
	minClientDescriptors = 20
)

// newLocalLedger returns the ledger of a listener that only the platform and the upstream on the VM use.
func newLocalLedger() *holding.Ledger {
	return holding.NewLedger(holding.Limits{Connections: localConnections}, monotonic.Now)
}

// heldLimits returns the limits of what is held for clients on a VM with the given memory in bytes and
// number of descriptors, 0 if they are not limited there. The set limits precede.
func heldLimits(set holding.Limits, memoryBytes int64, descriptors int) holding.Limits {
	l := holding.DescriptorLimits(clientDescriptors(descriptors))
	if set.Connections > 0 {
		l = holding.DescriptorLimits(set.Connections)
	}
	l.Bytes = int64(heldRatio * float64(memoryBytes))
	if set.Bytes > 0 {
		l.Bytes = set.Bytes
	}
	return l
}

// heldSettings returns the limits of a settings file.
func heldSettings(s settings.Limits) holding.Limits {
	return holding.Limits{Bytes: s.ClientMemory, Connections: s.Connections}
}

// heldInterval is how often a shortage is logged.
const heldInterval = 5 * time.Second

// watchHeld logs, until ctx ends, that clients were asked to go or were refused.
func watchHeld(ctx context.Context, usage func() holding.Usage, logger *logging.Logger) {
	ticker := time.NewTicker(heldInterval)
	defer ticker.Stop()
	last := holding.Usage{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		u := usage()
		if u.Evicted > last.Evicted || u.Refused > last.Refused {
			logger.Warn().Int64("evicted", u.Evicted-last.Evicted).Int64("refused", u.Refused-last.Refused).Int64("held_bytes", u.Bytes).
				Int64("held_bytes_limit", u.BytesLimit).Int64("clients", u.Clients).Int64("clients_limit", u.ClientsLimit).Int64("peers", u.Peers).
				Int64("outgoing", u.Outgoing).Int64("connections_limit", u.Connections).Msg("clients hold too much")
		}
		last = u
	}
}

// clientDescriptors returns the number of descriptors for clients and peers. Without a limit in the settings,
// that of the process applies.
func clientDescriptors(limit int) int {
	var own unix.Rlimit
	if limit <= 0 && unix.Getrlimit(unix.RLIMIT_NOFILE, &own) == nil {
		limit = int(min(own.Cur, maxDescriptors))
	}
	if limit <= 0 {
		return 0
	}
	return max(limit-platformDescriptors-ownDescriptors, minClientDescriptors)
}

// heldLimits returns the limits of what this process may hold for clients.
func (p *fleetProcess) heldLimits() holding.Limits {
	return heldLimits(heldSettings(p.Limits), p.settings.MemoryBytes, p.settings.MaxDescriptors)
}
