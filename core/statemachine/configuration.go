package statemachine

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// Limits on the answers that are kept for resent changes. At 21,000 changes a
// day the accepted ones last for more than four days.
const (
	maxAccepted = 100_000
	maxRejected = 10_000
)

// Validator checks the documents that would be in force after a change and
// returns one line for each problem. It must be deterministic.
type Validator func([]*api.ServiceDocument) []string

type changeNumber struct {
	set    string
	number uint64
}

type rejectedKey struct {
	changeNumber
	id string
}

// Configuration is the state machine of the configuration group.
type Configuration struct {
	validate  Validator
	version   uint64
	documents map[string]*api.StoredDocument
	sets      map[string]uint64 // last accepted number by set

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
	c.sets = make(map[string]uint64)
	c.accepted = make(map[changeNumber]*api.StoredChange)
	c.rejected = make(map[rejectedKey]*api.StoredChange)
	c.acceptedOrder = nil
	c.rejectedOrder = nil
}

// Apply executes a marshalled api.ConfigCommand and returns a marshalled
// api.ChangeResult. A command that cannot be decoded is rejected as invalid,
// on every replica alike.
func (c *Configuration) Apply(_ uint64, command []byte) []byte {
	var cmd api.ConfigCommand
	if err := decode("configuration command", command, &cmd); err != nil {
		return encode(invalid([]string{err.Error()}))
	}
	if cmd.Change == nil {
		return encode(invalid([]string{"the command carries no change"}))
	}
	return encode(c.apply(cmd.Change, cmd.UnixMs))
}

func invalid(problems []string) *api.ChangeResult {
	return &api.ChangeResult{Status: api.ChangeStatus_CHANGE_STATUS_INVALID, Problems: problems}
}

func (c *Configuration) apply(ch *api.Change, unixMs int64) *api.ChangeResult {
	if first := c.firstAnswer(ch); first != nil {
		return first
	}
	last := c.sets[ch.Set]
	if ch.Number <= last {
		return c.numberTaken(ch, last)
	}
	if ch.Number > last+1 {
		res := &api.ChangeResult{Status: api.ChangeStatus_CHANGE_STATUS_NUMBER_GAP, LastNumber: last}
		return c.reject(ch, unixMs, res)
	}
	if problems := c.problems(ch); len(problems) > 0 {
		res := invalid(problems)
		res.LastNumber = last
		return c.reject(ch, unixMs, res)
	}
	return c.accept(ch, unixMs)
}

// firstAnswer returns the answer that the same change got before. A rejection
// is final for a change id: an operator who was told that a change is rejected
// must not see a delayed duplicate of it accepted later.
func (c *Configuration) firstAnswer(ch *api.Change) *api.ChangeResult {
	num := changeNumber{ch.Set, ch.Number}
	if a, ok := c.accepted[num]; ok && a.ChangeId == ch.ChangeId {
		return a.Result
	}
	if r, ok := c.rejected[rejectedKey{num, ch.ChangeId}]; ok {
		return r.Result
	}
	return nil
}

func (c *Configuration) numberTaken(ch *api.Change, last uint64) *api.ChangeResult {
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

// problems checks the change on its own and the documents that would result.
func (c *Configuration) problems(ch *api.Change) []string {
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
	return c.validate(c.resulting(ch))
}

func changedServices(ch *api.Change) []string {
	names := make([]string, 0, len(ch.Services)+len(ch.RemovedServices))
	for _, s := range ch.Services {
		names = append(names, s.GetService())
	}
	return append(names, ch.RemovedServices...)
}

// resulting lists the documents in force after the change, by service name.
func (c *Configuration) resulting(ch *api.Change) []*api.ServiceDocument {
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
	c.sets[ch.Set] = ch.Number
	res := &api.ChangeResult{
		Status:     api.ChangeStatus_CHANGE_STATUS_ACCEPTED,
		Version:    c.version,
		LastNumber: ch.Number,
	}
	c.rememberAccepted(stored(ch, unixMs, res))
	return res
}

// storeDocument keeps the old version of a document that did not change, so
// that republishing a whole set sends only what differs to the daemons.
func (c *Configuration) storeDocument(set string, s *api.ServiceDocument) {
	old, ok := c.documents[s.Service]
	if ok && !old.Removed && bytes.Equal(old.Document.Json, s.Json) {
		return
	}
	c.documents[s.Service] = &api.StoredDocument{Document: s, Set: set, Version: c.version}
}

func (c *Configuration) reject(ch *api.Change, unixMs int64, res *api.ChangeResult) *api.ChangeResult {
	c.rememberRejected(stored(ch, unixMs, res))
	return res
}

func stored(ch *api.Change, unixMs int64, res *api.ChangeResult) *api.StoredChange {
	return &api.StoredChange{
		Set: ch.Set, Number: ch.Number, ChangeId: ch.ChangeId, Author: ch.Author, UnixMs: unixMs, Result: res,
		ContentDigest: contentDigest(ch),
	}
}

func contentDigest(ch *api.Change) []byte {
	sum := sha256.Sum256(encode(&api.Change{Services: ch.Services, RemovedServices: ch.RemovedServices}))
	return sum[:]
}

func (c *Configuration) rememberAccepted(s *api.StoredChange) {
	c.accepted[changeNumber{s.Set, s.Number}] = s
	c.acceptedOrder = append(c.acceptedOrder, s)
	if len(c.acceptedOrder) > maxAccepted {
		old := c.acceptedOrder[0]
		c.acceptedOrder = c.acceptedOrder[1:]
		delete(c.accepted, changeNumber{old.Set, old.Number})
	}
}

func (c *Configuration) rememberRejected(s *api.StoredChange) {
	c.rejected[rejectedKey{changeNumber{s.Set, s.Number}, s.ChangeId}] = s
	c.rejectedOrder = append(c.rejectedOrder, s)
	if len(c.rejectedOrder) > maxRejected {
		old := c.rejectedOrder[0]
		c.rejectedOrder = c.rejectedOrder[1:]
		delete(c.rejected, rejectedKey{changeNumber{old.Set, old.Number}, old.ChangeId})
	}
}

// Version is the global version, the number of accepted changes.
func (c *Configuration) Version() uint64 { return c.version }

// LastChangeNumber is the last accepted number of a set, 0 if there is none.
func (c *Configuration) LastChangeNumber(set string) uint64 { return c.sets[set] }

// ChangesSince lists the documents changed after a version and the services removed
// after it, both ordered by name. ChangesSince(0) is a full copy without removals.
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

// Snapshot returns the whole state.
func (c *Configuration) Snapshot() ([]byte, error) {
	s := &api.ConfigSnapshot{Version: c.version, Accepted: c.acceptedOrder, Rejected: c.rejectedOrder}
	for _, name := range sortedKeys(c.documents) {
		s.Documents = append(s.Documents, c.documents[name])
	}
	for _, set := range sortedKeys(c.sets) {
		s.Sets = append(s.Sets, &api.StoredNumber{Set: set, LastNumber: c.sets[set]})
	}
	return encode(s), nil
}

// Restore replaces the whole state. On error the state is unchanged.
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
		c.sets[n.Set] = n.LastNumber
	}
	for _, a := range s.Accepted {
		c.rememberAccepted(a)
	}
	for _, r := range s.Rejected {
		c.rememberRejected(r)
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
