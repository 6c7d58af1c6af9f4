package feed

import (
	"fmt"
	"maps"
	"slices"
)

// maxTombstones bounds the removed services that a store remembers. A
// subscriber that is older than the oldest forgotten one gets a full copy.
const maxTombstones = 1024

// Document is the declaration of one service in canonical JSON.
type Document struct {
	Service string
	JSON    []byte
}

// Delta brings a holder of version From to version To. From 0 means a full
// copy, which may be applied to any version up to To.
type Delta struct {
	From, To uint64
	Changed  []Document
	Removed  []string
}

// VersionGapError reports a delta that doesn't follow the held version.
type VersionGapError struct {
	Held, From, To uint64
}

// Error implements error.
func (e *VersionGapError) Error() string {
	return fmt.Sprintf("delta from version %d to %d does not follow held version %d", e.From, e.To, e.Held)
}

// follows checks that d may be applied at version held.
func (d Delta) follows(held uint64) error {
	if d.To < held || (d.From != 0 && (d.From > held || d.To < d.From)) {
		return &VersionGapError{Held: held, From: d.From, To: d.To}
	}
	return nil
}

type storedDocument struct {
	json    []byte
	version uint64
}

// DocumentStore holds the newest document of each service and can tell what changed
// since an earlier version. Versions never decrease. The zero value is empty
// at version 0.
type DocumentStore struct {
	version    uint64
	horizon    uint64 // deltas are known for versions from here on
	documents  map[string]storedDocument
	tombstones map[string]uint64 // removed service -> version of its removal
}

// Version is the version held.
func (s *DocumentStore) Version() uint64 { return s.version }

// Apply brings the store to d.To. It returns a *VersionGapError, and changes
// nothing, when d leads to a lower version or leaves a gap.
func (s *DocumentStore) Apply(d Delta) error {
	if err := d.follows(s.version); err != nil {
		return err
	}
	if d.From == 0 {
		s.replace(d)
		return nil
	}
	s.version = d.To
	for _, doc := range d.Changed {
		s.documents[doc.Service] = storedDocument{json: doc.JSON, version: d.To}
		delete(s.tombstones, doc.Service)
	}
	for _, name := range d.Removed {
		if _, ok := s.documents[name]; ok {
			delete(s.documents, name)
			s.tombstones[name] = d.To
		}
	}
	s.compact()
	return nil
}

// replace installs a full copy. Deltas from before it are no longer known.
func (s *DocumentStore) replace(d Delta) {
	s.version, s.horizon = d.To, d.To
	s.documents = make(map[string]storedDocument, len(d.Changed))
	s.tombstones = map[string]uint64{}
	for _, doc := range d.Changed {
		s.documents[doc.Service] = storedDocument{json: doc.JSON, version: d.To}
	}
}

// compact forgets the oldest half of the tombstones once there are too many.
func (s *DocumentStore) compact() {
	if len(s.tombstones) <= maxTombstones {
		return
	}
	versions := slices.Sorted(maps.Values(s.tombstones))
	s.horizon = max(s.horizon, versions[len(versions)/2])
	maps.DeleteFunc(s.tombstones, func(_ string, v uint64) bool { return v <= s.horizon })
}

// Since returns what a holder of version held needs to reach the version of
// the store, limited to the services of the filter. A nil filter means all.
func (s *DocumentStore) Since(held uint64, filter map[string]bool) Delta {
	d := Delta{From: held, To: s.version}
	if held < s.horizon || held == 0 {
		d.From = 0
	}
	wanted := func(name string) bool { return filter == nil || filter[name] }
	for name, doc := range s.documents {
		if wanted(name) && (d.From == 0 || doc.version > held) {
			d.Changed = append(d.Changed, Document{Service: name, JSON: doc.json})
		}
	}
	if d.From == 0 {
		return d
	}
	for name, version := range s.tombstones {
		if version > held && wanted(name) {
			d.Removed = append(d.Removed, name)
		}
	}
	return d
}

// maxStaged bounds the deltas that wait for a majority of relays.
const maxStaged = 64

// StagedConfig holds the documents in force at a daemon and, separately, the deltas
// that were received but are not yet held by a majority of relays. The maps it
// returns are never changed afterwards.
type StagedConfig struct {
	documents map[string][]byte
	version   uint64
	known     bool // a version was put in force
	pending   []Delta
}

// NewestReceived is the newest version received.
func (s *StagedConfig) NewestReceived() uint64 {
	if n := len(s.pending); n > 0 {
		return s.pending[n-1].To
	}
	return s.version
}

// Add queues a received delta. It returns a *VersionGapError if d doesn't follow
// the newest version received.
func (s *StagedConfig) Add(d Delta) error {
	if err := d.follows(s.NewestReceived()); err != nil {
		return err
	}
	s.pending = append(s.pending, d)
	if n := len(s.pending); n > maxStaged {
		s.pending[n-2] = join(s.pending[n-2], s.pending[n-1])
		s.pending = s.pending[:n-1]
	}
	return nil
}

// join combines two consecutive deltas.
func join(a, b Delta) Delta {
	if b.From == 0 {
		return b
	}
	documents := map[string][]byte{}
	removed := map[string]bool{}
	for _, d := range []Delta{a, b} {
		for _, doc := range d.Changed {
			documents[doc.Service] = doc.JSON
			delete(removed, doc.Service)
		}
		for _, name := range d.Removed {
			delete(documents, name)
			removed[name] = true
		}
	}
	joined := Delta{From: a.From, To: b.To}
	for name, json := range documents {
		joined.Changed = append(joined.Changed, Document{Service: name, JSON: json})
	}
	if a.From != 0 {
		joined.Removed = slices.Collect(maps.Keys(removed))
	}
	return joined
}

// Versions lists the versions that could be put in force next, ascending.
func (s *StagedConfig) Versions() []uint64 {
	var versions []uint64
	if !s.known {
		versions = append(versions, s.version)
	}
	for _, d := range s.pending {
		versions = append(versions, d.To)
	}
	return versions
}

// Activate puts version v, one of Versions, in force.
func (s *StagedConfig) Activate(v uint64) {
	documents := maps.Clone(s.documents)
	if documents == nil {
		documents = map[string][]byte{}
	}
	for len(s.pending) > 0 && s.pending[0].To <= v {
		d := s.pending[0]
		s.pending = s.pending[1:]
		if d.From == 0 {
			documents = make(map[string][]byte, len(d.Changed))
		}
		for _, doc := range d.Changed {
			documents[doc.Service] = doc.JSON
		}
		for _, name := range d.Removed {
			delete(documents, name)
		}
	}
	s.documents, s.version, s.known = documents, v, true
}

// Active returns the version in force and its documents by service. ok is
// false until a version was put in force.
func (s *StagedConfig) Active() (version uint64, documents map[string][]byte, ok bool) {
	return s.version, s.documents, s.known
}
