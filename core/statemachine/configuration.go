package statemachine

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// Limits on the results that are kept for retried changes. At 21,000 changes a
// day, accepted changes are kept for more than four days.
const (
	maxAcceptedChanges = 100_000
	maxRejectedChanges = 10_000
)

// Validator checks the documents that would be active after a change and returns
// one line for each problem. It must be deterministic.
type Validator func([]*api.ServiceDocument) []string

// changeNumber identifies an accepted change by its set and number.
type changeNumber struct {
	set    string
	number uint64
}

// rejectedKey identifies a rejected change. A number may be rejected several times,
// with different change ids.
type rejectedKey struct {
	changeNumber
	id string
}

// Configuration is the state machine of the configuration group: the documents of
// all services and the results of recent changes.
type Configuration struct {
	validate    Validator
	version     uint64
	documents   map[string]*api.StoredDocument
	lastNumbers map[string]uint64 // last accepted number by set

	accepted      map[changeNumber]*api.StoredChange
	acceptedOrder []*api.StoredChange // oldest first
	rejected      map[rejectedKey]*api.StoredChange
	rejectedOrder []*api.StoredChange // oldest first
}

// NewConfiguration returns an empty configuration at version 0.
func NewConfiguration(validate Validator) *Configuration {
	c := &Configuration{validate: validate}
	c.reset()
	return c
}

func (c *Configuration) reset() {
	c.version = 0
	c.documents = make(map[string]*api.StoredDocument)
	c.lastNumbers = make(map[string]uint64)
	c.accepted = make(map[changeNumber]*api.StoredChange)
	c.rejected = make(map[rejectedKey]*api.StoredChange)
	c.acceptedOrder = nil
	c.rejectedOrder = nil
}

// Apply executes a marshalled api.ConfigCommand and returns a marshalled
// api.ChangeResult. Every replica rejects a command that cannot be decoded as
// invalid.
func (c *Configuration) Apply(_ uint64, command []byte) []byte {
	var cmd api.ConfigCommand
	if err := decode("configuration command", command, &cmd); err != nil {
		return encode(invalidResult([]string{err.Error()}))
	}
	if cmd.Change == nil {
		return encode(invalidResult([]string{"the command carries no change"}))
	}
	return encode(c.apply(cmd.Change, cmd.UnixMs))
}

func invalidResult(problems []string) *api.ChangeResult {
	return &api.ChangeResult{Status: api.ChangeStatus_CHANGE_STATUS_INVALID, Problems: problems}
}

func (c *Configuration) apply(ch *api.Change, unixMs int64) *api.ChangeResult {
	if first := c.previousResult(ch); first != nil {
		return first
	}
	last := c.lastNumbers[ch.Set]
	if ch.Number <= last {
		return c.changeNumberConflict(ch, last)
	}
	if ch.Number > last+1 {
		res := &api.ChangeResult{Status: api.ChangeStatus_CHANGE_STATUS_NUMBER_GAP, LastNumber: last}
		return c.reject(ch, unixMs, res)
	}
	if problems := c.validateChange(ch); len(problems) > 0 {
		res := invalidResult(problems)
		res.LastNumber = last
		return c.reject(ch, unixMs, res)
	}
	return c.accept(ch, unixMs)
}

// previousResult returns the stored result of the same change, nil if there is
// none. A rejection is final for a change id: after an operator has received a
// rejection, a delayed duplicate of the change must not be accepted.
func (c *Configuration) previousResult(ch *api.Change) *api.ChangeResult {
	num := changeNumber{ch.Set, ch.Number}
	if a, ok := c.accepted[num]; ok && a.ChangeId == ch.ChangeId {
		return a.Result
	}
	if r, ok := c.rejected[rejectedKey{num, ch.ChangeId}]; ok {
		return r.Result
	}
	return nil
}

// changeNumberConflict returns the result for a number that is already in use. It
// describes the accepted change with that number if this is still stored.
func (c *Configuration) changeNumberConflict(ch *api.Change, last uint64) *api.ChangeResult {
	standing, ok := c.accepted[changeNumber{ch.Set, ch.Number}]
	if !ok {
		return &api.ChangeResult{Status: api.ChangeStatus_CHANGE_STATUS_NUMBER_FORGOTTEN, LastNumber: last}
	}
	return &api.ChangeResult{
		Status:           api.ChangeStatus_CHANGE_STATUS_NUMBER_TAKEN,
		LastNumber:       last,
		StandingChangeId: standing.ChangeId,
		StandingAuthor:   standing.Author,
		StandingUnixMs:   standing.UnixMs,
		SameContent:      bytes.Equal(standing.ContentDigest, contentDigest(ch)),
	}
}

// validateChange checks the change itself, and then the documents that would
// result from it. It returns one line for each problem.
func (c *Configuration) validateChange(ch *api.Change) []string {
	var out []string
	if ch.ChangeId == "" {
		out = append(out, "the change has no change id")
	}
	if len(ch.Services) == 0 && len(ch.RemovedServices) == 0 {
		out = append(out, "the change is empty")
	}
	seen := make(map[string]bool)
	for _, name := range changedServices(ch) {
		if name == "" {
			out = append(out, "a service has no name")
		}
		if seen[name] {
			out = append(out, fmt.Sprintf("service %q appears twice in the change", name))
		}
		seen[name] = true
		if d, ok := c.documents[name]; ok && !d.Removed && d.Set != ch.Set {
			out = append(out, fmt.Sprintf("service %q belongs to set %q", name, d.Set))
		}
	}
	for _, name := range ch.RemovedServices {
		if d, ok := c.documents[name]; !ok || d.Removed {
			out = append(out, fmt.Sprintf("service %q cannot be removed: it is not declared", name))
		}
	}
	if len(out) > 0 || c.validate == nil {
		return out
	}
	return c.validate(c.resultingDocuments(ch))
}

func changedServices(ch *api.Change) []string {
	names := make([]string, 0, len(ch.Services)+len(ch.RemovedServices))
	for _, s := range ch.Services {
		names = append(names, s.GetService())
	}
	return append(names, ch.RemovedServices...)
}

// resultingDocuments returns the documents that would be active after the change,
// ordered by service name.
func (c *Configuration) resultingDocuments(ch *api.Change) []*api.ServiceDocument {
	after := make(map[string]*api.ServiceDocument, len(c.documents)+len(ch.Services))
	for name, d := range c.documents {
		if !d.Removed {
			after[name] = d.Document
		}
	}
	for _, s := range ch.Services {
		after[s.GetService()] = s
	}
	for _, name := range ch.RemovedServices {
		delete(after, name)
	}
	return sortedDocuments(after)
}

func sortedDocuments(m map[string]*api.ServiceDocument) []*api.ServiceDocument {
	out := make([]*api.ServiceDocument, 0, len(m))
	for _, name := range sortedKeys(m) {
		out = append(out, m[name])
	}
	return out
}

func (c *Configuration) accept(ch *api.Change, unixMs int64) *api.ChangeResult {
	c.version++
	for _, s := range ch.Services {
		c.storeDocument(ch.Set, s)
	}
	for _, name := range ch.RemovedServices {
		c.documents[name] = &api.StoredDocument{
			Document: &api.ServiceDocument{Service: name}, Set: ch.Set, Version: c.version, Removed: true,
		}
	}
	c.lastNumbers[ch.Set] = ch.Number
	res := &api.ChangeResult{
		Status:     api.ChangeStatus_CHANGE_STATUS_ACCEPTED,
		Version:    c.version,
		LastNumber: ch.Number,
	}
	c.recordAccepted(newStoredChange(ch, unixMs, res))
	return res
}

// storeDocument stores a changed document under the current version. An unchanged
// document keeps its version, so that publishing a whole set again sends only the
// changed documents to the daemons.
func (c *Configuration) storeDocument(set string, s *api.ServiceDocument) {
	old, ok := c.documents[s.Service]
	if ok && !old.Removed && bytes.Equal(old.Document.Json, s.Json) {
		return
	}
	c.documents[s.Service] = &api.StoredDocument{Document: s, Set: set, Version: c.version}
}

func (c *Configuration) reject(ch *api.Change, unixMs int64, res *api.ChangeResult) *api.ChangeResult {
	c.recordRejected(newStoredChange(ch, unixMs, res))
	return res
}

func newStoredChange(ch *api.Change, unixMs int64, res *api.ChangeResult) *api.StoredChange {
	return &api.StoredChange{
		Set: ch.Set, Number: ch.Number, ChangeId: ch.ChangeId, Author: ch.Author, UnixMs: unixMs, Result: res,
		ContentDigest: contentDigest(ch),
	}
}

func contentDigest(ch *api.Change) []byte {
	sum := sha256.Sum256(encode(&api.Change{Services: ch.Services, RemovedServices: ch.RemovedServices}))
	return sum[:]
}

func (c *Configuration) recordAccepted(s *api.StoredChange) {
	c.accepted[changeNumber{s.Set, s.Number}] = s
	c.acceptedOrder = append(c.acceptedOrder, s)
	if len(c.acceptedOrder) > maxAcceptedChanges {
		old := c.acceptedOrder[0]
		c.acceptedOrder = c.acceptedOrder[1:]
		delete(c.accepted, changeNumber{old.Set, old.Number})
	}
}

func (c *Configuration) recordRejected(s *api.StoredChange) {
	c.rejected[rejectedKey{changeNumber{s.Set, s.Number}, s.ChangeId}] = s
	c.rejectedOrder = append(c.rejectedOrder, s)
	if len(c.rejectedOrder) > maxRejectedChanges {
		old := c.rejectedOrder[0]
		c.rejectedOrder = c.rejectedOrder[1:]
		delete(c.rejected, rejectedKey{changeNumber{old.Set, old.Number}, old.ChangeId})
	}
}

// Version returns the global version: the number of accepted changes.
func (c *Configuration) Version() uint64 { return c.version }

// LastChangeNumber returns the last accepted number of a set, 0 if there is none.
func (c *Configuration) LastChangeNumber(set string) uint64 { return c.lastNumbers[set] }

// ChangesSince returns the documents that changed and the services that were
// removed after a version, both ordered by name. ChangesSince(0) returns a full copy
// without removals.
func (c *Configuration) ChangesSince(version uint64) (docs []*api.ServiceDocument, removed []string) {
	for _, name := range sortedKeys(c.documents) {
		d := c.documents[name]
		switch {
		case d.Version <= version:
		case !d.Removed:
			docs = append(docs, d.Document)
		case version > 0:
			removed = append(removed, name)
		}
	}
	return docs, removed
}

// Snapshot returns the marshalled state, an api.ConfigSnapshot.
func (c *Configuration) Snapshot() ([]byte, error) {
	s := &api.ConfigSnapshot{Version: c.version, Accepted: c.acceptedOrder, Rejected: c.rejectedOrder}
	for _, name := range sortedKeys(c.documents) {
		s.Documents = append(s.Documents, c.documents[name])
	}
	for _, set := range sortedKeys(c.lastNumbers) {
		s.Sets = append(s.Sets, &api.StoredNumber{Set: set, LastNumber: c.lastNumbers[set]})
	}
	return encode(s), nil
}

// Restore replaces the state by that of a snapshot. On error it is unchanged.
func (c *Configuration) Restore(data []byte) error {
	var s api.ConfigSnapshot
	if err := decode("configuration snapshot", data, &s); err != nil {
		return err
	}
	c.reset()
	c.version = s.Version
	for _, d := range s.Documents {
		c.documents[d.GetDocument().GetService()] = d
	}
	for _, n := range s.Sets {
		c.lastNumbers[n.Set] = n.LastNumber
	}
	for _, a := range s.Accepted {
		c.recordAccepted(a)
	}
	for _, r := range s.Rejected {
		c.recordRejected(r)
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
