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

// DefaultSet is the name of the set of a change that names none.
const DefaultSet = "default"

// Publisher sends changes to control. A client must send a change again with
// the same id when an answer is lost.
type Publisher interface {
	Publish(context.Context, *api.Change) (*api.ChangeResult, error)
}

// Options say how declarations are published.
type Options struct {
	Set      string   // DefaultSet if empty
	Number   uint64   // 0 takes the last accepted number of the set plus one
	ChangeID string   // empty takes a digest of the content, set and number
	Author   string   // shown to operators whose change has an equal number
	Removed  []string // services to take out of the set
}

// NewChange builds the change for a number that is known.
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

// digest names a change by its content, set and number, so that an operator
// who runs the same command again after a lost answer resends the same change.
// The author is left out: who resends does not alter the change.
func digest(change *api.Change) string {
	h := sha256.New()
	field := func(b []byte) {
		_ = binary.Write(h, binary.BigEndian, uint64(len(b))) // a hash never fails to write
		h.Write(b)
	}
	field([]byte(change.Set))
	_ = binary.Write(h, binary.BigEndian, change.Number)
	for _, doc := range change.Services {
		field([]byte(doc.Service))
		field(doc.Json)
	}
	for _, name := range change.RemovedServices {
		field([]byte("removed"))
		field([]byte(name))
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Send publishes the services as one change and returns it with the result.
// Without a number, the last change of the set is sent again if it is this one,
// as after a lost answer; otherwise the next number is taken.
func Send(ctx context.Context, p Publisher, services []declaration.Service, o Options) (*api.Change, *api.ChangeResult, error) {
	if o.Set == "" {
		o.Set = DefaultSet
	}
	if o.Number == 0 {
		last, err := lastNumber(ctx, p, o.Set)
		if err != nil {
			return nil, nil, err
		}
		if change, result, err := resend(ctx, p, services, o, last); err != nil || result != nil {
			return change, result, err
		}
		o.Number = last + 1
	}
	change := NewChange(services, o)
	result, err := p.Publish(ctx, change)
	return change, result, err
}

// resend returns the first answer if the last change of the set has the id that
// this change would have under its number. A number that is taken is never
// accepted again, so nothing changes otherwise; the result is then nil.
func resend(ctx context.Context, p Publisher, services []declaration.Service, o Options, last uint64) (*api.Change, *api.ChangeResult, error) {
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

// lastNumber asks for the last accepted number of a set. Numbers start at 1,
// so a change with number 0 is always refused, stores nothing, and its answer
// carries the last number.
func lastNumber(ctx context.Context, p Publisher, set string) (uint64, error) {
	result, err := p.Publish(ctx, &api.Change{Set: set, ChangeId: "last-number"})
	if err != nil {
		return 0, err
	}
	return result.LastNumber, nil
}
