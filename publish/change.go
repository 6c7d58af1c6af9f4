package publish

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/declaration"
)

// DefaultSet is the set of a change for which no set is given.
const DefaultSet = "default"

// Publisher sends changes to control. If a response is lost, the client must resend
// the change with the same ID.
type Publisher interface {
	Publish(context.Context, *api.Change) (*api.ChangeResult, error)
}

// Options set how declarations are published.
type Options struct {
	Set      string   // DefaultSet if empty
	Number   uint64   // 0 selects the last accepted number of the set plus one
	ChangeID string   // empty selects a digest of the content, set and number
	Author   string   // shown to operators whose change has the same number
	Removed  []string // services to remove from the set
}

// NewChange builds the change that publishes the services. The number must be set in
// the options.
func NewChange(services []declaration.Service, o Options) *api.Change {
	change := &api.Change{
		Set:             o.Set,
		Number:          o.Number,
		ChangeId:        o.ChangeID,
		Author:          o.Author,
		Services:        declaration.Documents(services),
		RemovedServices: slices.Sorted(slices.Values(o.Removed)),
	}
	if change.Set == "" {
		change.Set = DefaultSet
	}
	if change.ChangeId == "" {
		change.ChangeId = digest(change)
	}
	return change
}

// digest returns the ID of a change, a hash of its content, set and number, so that
// an operator who runs the same command again after a lost response resends the same
// change. The author is left out, since another operator may resend the change.
func digest(change *api.Change) string {
	hash := sha256.New()
	writeField := func(b []byte) {
		_ = binary.Write(hash, binary.BigEndian, uint64(len(b))) // writing to a hash never fails
		hash.Write(b)
	}
	writeField([]byte(change.Set))
	_ = binary.Write(hash, binary.BigEndian, change.Number)
	for _, doc := range change.Services {
		writeField([]byte(doc.Service))
		writeField(doc.Json)
	}
	for _, name := range change.RemovedServices {
		writeField([]byte("removed"))
		writeField([]byte(name))
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// Send publishes the services as one change and returns the change and its result.
// Without a number, it first resends the change under the last number of the set, in
// case that change was this one and its response was lost; otherwise it publishes the
// change under the next number.
func Send(ctx context.Context, p Publisher, services []declaration.Service, o Options) (*api.Change, *api.ChangeResult, error) {
	if o.Set == "" {
		o.Set = DefaultSet
	}
	if o.Number == 0 {
		last, err := lastNumber(ctx, p, o.Set)
		if err != nil {
			return nil, nil, err
		}
		if change, result, err := resendLast(ctx, p, services, o, last); err != nil || result != nil {
			return change, result, err
		}
		o.Number = last + 1
	}
	change := NewChange(services, o)
	result, err := p.Publish(ctx, change)
	return change, result, err
}

// resendLast publishes the change under the last number of the set. If the last change
// has the same ID, it returns the original result. Otherwise control rejects the change,
// since a taken number is never accepted again, and the returned result is nil.
func resendLast(ctx context.Context, p Publisher, services []declaration.Service, o Options, last uint64) (*api.Change, *api.ChangeResult, error) {
	if last == 0 {
		return nil, nil, nil
	}
	o.Number = last
	change := NewChange(services, o)
	result, err := p.Publish(ctx, change)
	if err != nil || result.Status == api.ChangeStatus_CHANGE_STATUS_ACCEPTED {
		return change, result, err
	}
	return nil, nil, nil
}

// lastNumber queries the last accepted number of a set. Numbers start at 1, so
// control rejects a change with number 0 without storing it and returns the last
// number in the result.
func lastNumber(ctx context.Context, p Publisher, set string) (uint64, error) {
	result, err := p.Publish(ctx, &api.Change{Set: set, ChangeId: "last-number"})
	if err != nil {
		return 0, err
	}
	return result.LastNumber, nil
}
