package feed

import (
	"fmt"
	"maps"
	"slices"
)

// maxTombstones bounds the removals that a store keeps. A subscriber whose version
// is older than an evicted removal receives a full copy.
const maxTombstones = 1024

// Document is the declaration of one service in canonical JSON.
type Document struct {
	Service string
	JSON    []byte
}

// Delta holds the changes from version From to version To. From 0 means a full
// copy, which may be applied to any version up to To.
type Delta struct {
	From, To uint64
	Changed  []Document
	Removed  []string
}

// VersionGapError reports a delta that does not follow the local version.
type VersionGapError struct {
	Local, From, To uint64
}

// Error implements error.
func (e *VersionGapError) Error() string {
	return fmt.Sprintf("delta from version %d to %d does not follow local version %d", e.From, e.To, e.Local)
}

// checkFollows returns a *VersionGapError unless d may be applied at version local.
func (d Delta) checkFollows(local uint64) error {
	if d.To < local || (d.From != 0 && (d.From > local || d.To < d.From)) {
		return &VersionGapError{Local: local, From: d.From, To: d.To}
	}
	return nil
}

type storedDocument struct {
	json    []byte
	version uint64
}

// DocumentStore holds the newest document of each service and computes the changes
// since an earlier version. Its version never decreases. The zero value is empty at
// version 0.
type DocumentStore struct {
	version    uint64
	horizon    uint64 // lowest version from which a delta is possible
	documents  map[string]storedDocument
	tombstones map[string]uint64 // removed service -> version of its removal
}

// Version returns the version of the store.
func (s *DocumentStore) Version() uint64 { return s.version }

// Apply applies d and advances the store to version d.To. It returns a
// *VersionGapError and changes nothing if d ends at a lower version or leaves a gap.
func (s *DocumentStore) Apply(d Delta) error {
	if err := d.checkFollows(s.version); err != nil {
		return err
	}
	if d.From == 0 {
		s.replaceAll(d)
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
	s.compactTombstones()
	return nil
}

// replaceAll installs a full copy. Deltas from earlier versions are then no longer
// possible.
func (s *DocumentStore) replaceAll(d Delta) {
	s.version, s.horizon = d.To, d.To
	s.documents = make(map[string]storedDocument, len(d.Changed))
	s.tombstones = map[string]uint64{}
	for _, doc := range d.Changed {
		s.documents[doc.Service] = storedDocument{json: doc.JSON, version: d.To}
	}
}

// compactTombstones deletes the older half of the tombstones if there are more than
// maxTombstones, and raises the horizon.
func (s *DocumentStore) compactTombstones() {
	if len(s.tombstones) <= maxTombstones {
		return
	}
	versions := slices.Sorted(maps.Values(s.tombstones))
	s.horizon = max(s.horizon, versions[len(versions)/2])
	maps.DeleteFunc(s.tombstones, func(_ string, v uint64) bool { return v <= s.horizon })
}

// ChangesSince returns the delta from version from to the version of the store, limited to
// the services of the filter. It is a full copy if from is 0 or below the horizon.
// A nil filter means all services.
func (s *DocumentStore) ChangesSince(from uint64, filter map[string]bool) Delta {
	d := Delta{From: from, To: s.version}
	if from < s.horizon || from == 0 {
		d.From = 0
	}
	wanted := func(name string) bool { return filter == nil || filter[name] }
	for name, doc := range s.documents {
		if wanted(name) && (d.From == 0 || doc.version > from) {
			d.Changed = append(d.Changed, Document{Service: name, JSON: doc.json})
		}
	}
	if d.From == 0 {
		return d
	}
	for name, version := range s.tombstones {
		if version > from && wanted(name) {
			d.Removed = append(d.Removed, name)
		}
	}
	return d
}

// maxStaged bounds the deltas that are received and not yet activated.
const maxStaged = 64

// StagedConfig holds the active documents of a daemon and, separately, the deltas
// that were received but not yet activated because a majority of relays does not
// have them. Maps that it has returned are never modified.
type StagedConfig struct {
	documents map[string][]byte
	version   uint64
	activated bool    // a version was activated
	pending   []Delta // received and not activated, ascending
}

// NewestReceived returns the newest version received.
func (s *StagedConfig) NewestReceived() uint64 {
	if n := len(s.pending); n > 0 {
		return s.pending[n-1].To
	}
	return s.version
}

// Add queues a received delta. It returns a *VersionGapError if d does not follow
// the newest version received. Above maxStaged, the two newest deltas are merged.
func (s *StagedConfig) Add(d Delta) error {
	if err := d.checkFollows(s.NewestReceived()); err != nil {
		return err
	}
	s.pending = append(s.pending, d)
	if n := len(s.pending); n > maxStaged {
		s.pending[n-2] = mergeDeltas(s.pending[n-2], s.pending[n-1])
		s.pending = s.pending[:n-1]
	}
	return nil
}

// mergeDeltas merges two consecutive deltas into one.
func mergeDeltas(a, b Delta) Delta {
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
	merged := Delta{From: a.From, To: b.To}
	for name, json := range documents {
		merged.Changed = append(merged.Changed, Document{Service: name, JSON: json})
	}
	if a.From != 0 {
		merged.Removed = slices.Collect(maps.Keys(removed))
	}
	return merged
}

// Versions returns the versions that could be activated next, ascending.
func (s *StagedConfig) Versions() []uint64 {
	var versions []uint64
	if !s.activated {
		versions = append(versions, s.version)
	}
	for _, d := range s.pending {
		versions = append(versions, d.To)
	}
	return versions
}

// Activate makes version v, one of Versions, the active one.
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
	s.documents, s.version, s.activated = documents, v, true
}

// Active returns the active version and its documents by service. ok is false until
// a version was activated.
func (s *StagedConfig) Active() (version uint64, documents map[string][]byte, ok bool) {
	return s.version, s.documents, s.activated
}
