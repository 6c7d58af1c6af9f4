package process

import (
	"bytes"
	"context"
	"sync"

	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/feed"
	"github.com/bilberrydeck/bilberrydeck/daemon"
	"github.com/bilberrydeck/bilberrydeck/declaration"
	"github.com/bilberrydeck/bilberrydeck/logging"
	"github.com/bilberrydeck/bilberrydeck/relay"
)

// translator turns views of the feed into snapshots of the daemon. Documents
// that did not change are decoded once. It belongs to one goroutine.
type translator struct {
	logger  *logging.Logger
	decoded map[string]decoded
}

type decoded struct {
	json    []byte
	service declaration.Service
}

func newTranslator(logger *logging.Logger) *translator {
	return &translator{logger: logger, decoded: map[string]decoded{}}
}

func (t *translator) snapshot(v *relay.FeedState) *daemon.Snapshot {
	s := &daemon.Snapshot{
		Version:   v.ActiveVersion,
		Confirmed: v.Confirmed,
		Services:  make(map[string]declaration.Service, len(v.Documents)),
		Upstreams: make(map[string][]balance.Upstream, len(v.Members)),
	}
	for name, json := range v.Documents {
		if service, ok := t.decode(name, json); ok {
			s.Services[name] = service
		}
	}
	for name := range t.decoded {
		if _, present := v.Documents[name]; !present {
			delete(t.decoded, name)
		}
	}
	for name, members := range v.Members {
		s.Upstreams[name] = upstreams(members)
	}
	return s
}

// decode reads one document. Control has checked it, so a failure means that
// this daemon is older than the declaration's format; the last one that it
// could read stays in force for the service.
func (t *translator) decode(name string, json []byte) (declaration.Service, bool) {
	held, known := t.decoded[name]
	if known && bytes.Equal(held.json, json) {
		return held.service, true
	}
	service, err := declaration.Decode(json)
	if err != nil {
		t.logger.Error().Str("service", name).Err(err).Msg("declaration not readable")
		return held.service, known
	}
	t.decoded[name] = decoded{json, service}
	return service, true
}

func upstreams(members []*feed.Member) []balance.Upstream {
	list := make([]balance.Upstream, 0, len(members))
	for _, m := range members {
		if m.State != feed.StateServing && m.State != feed.StateDraining {
			continue
		}
		list = append(list, balance.Upstream{
			ID: m.ID, Address: m.Address, Region: m.Region, AvailabilityZone: m.AvailabilityZone,
			Slots: int(m.Slots), ServingSince: m.ServingSince, Draining: m.State == feed.StateDraining,
		})
	}
	return list
}

// latest hands values from one goroutine to another. A value that was not
// taken in time is replaced by the next one.
type latest[T any] struct {
	mu    sync.Mutex
	value T
	full  chan struct{}
}

func newLatest[T any]() *latest[T] { return &latest[T]{full: make(chan struct{}, 1)} }

// put never waits.
func (l *latest[T]) put(v T) {
	l.mu.Lock()
	l.value = v
	l.mu.Unlock()
	select {
	case l.full <- struct{}{}:
	default:
	}
}

// take waits for a value; ok is false if ctx ends first.
func (l *latest[T]) take(ctx context.Context) (v T, ok bool) {
	select {
	case <-ctx.Done():
		return v, false
	case <-l.full:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.value, true
}
