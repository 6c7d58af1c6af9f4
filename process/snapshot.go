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

// translator converts views of the feed to snapshots of the daemon. It decodes a document again
// only if it has changed. It is not safe for concurrent use.
type translator struct {
	logger  *logging.Logger
	decoded map[string]decodedService
}

type decodedService struct {
	json    []byte
	service declaration.Service
}

func newTranslator(logger *logging.Logger) *translator {
	return &translator{logger: logger, decoded: map[string]decodedService{}}
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

// decode decodes one document. Control has validated it, so an error means that this daemon does
// not support the format of the declaration yet. The last declaration of the service that it
// could decode then stays active.
func (t *translator) decode(name string, json []byte) (declaration.Service, bool) {
	cached, known := t.decoded[name]
	if known && bytes.Equal(cached.json, json) {
		return cached.service, true
	}
	service, err := declaration.Decode(json)
	if err != nil {
		t.logger.Error().Str("service", name).Err(err).Msg("declaration not readable")
		return cached.service, known
	}
	t.decoded[name] = decodedService{json, service}
	return service, true
}

// upstreams returns the members that serve or drain.
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

// latest passes the newest value from one goroutine to another. Put replaces a value that was not
// taken yet.
type latest[T any] struct {
	mu    sync.Mutex
	value T
	ready chan struct{}
}

func newLatest[T any]() *latest[T] { return &latest[T]{ready: make(chan struct{}, 1)} }

// put stores a value and never blocks.
func (l *latest[T]) put(v T) {
	l.mu.Lock()
	l.value = v
	l.mu.Unlock()
	select {
	case l.ready <- struct{}{}:
	default:
	}
}

// take waits for a value. ok is false if ctx is cancelled first.
func (l *latest[T]) take(ctx context.Context) (v T, ok bool) {
	select {
	case <-ctx.Done():
		return v, false
	case <-l.ready:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.value, true
}
