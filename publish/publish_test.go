package publish

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/statemachine"
	"github.com/bilberrydeck/bilberrydeck/declaration"
)

// replica is the configuration state machine without replication.
type replica struct{ *statemachine.Configuration }

func (r replica) Publish(_ context.Context, change *api.Change) (*api.ChangeResult, error) {
	command, err := proto.Marshal(&api.ConfigCommand{Change: change, UnixMs: 1_800_000_000_000})
	if err != nil {
		return nil, err
	}
	result := &api.ChangeResult{}
	return result, proto.Unmarshal(r.Apply(1, command), result)
}

func newReplica() replica { return replica{statemachine.NewConfiguration(declaration.CheckDocuments)} }

func write(t *testing.T, dir, name, text string) {
	t.Helper()
	path := filepath.Join(dir, name)
	require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
}

const tarifs = `{"service": "tarifs", "slots": 70, "max_connections": 500,
	"routes": [{"name": "prix", "method": "GET", "path": "/prix", "idempotent": true, "timeout": "1s"}]}`

const commandes = `{"service": "commandes", "slots": 70, "max_connections": 500,
	"routes": [{"name": "devis", "method": "GET", "path": "/devis", "timeout": "2s", "calls": ["tarifs.prix"]}]}`

// TestCollect guards against files that are missed, read twice or taken from
// hidden directories.
func TestCollect(t *testing.T) {
	dir := t.TempDir()
	write(t, dir, "tarifs/bilberrydeck.json", tarifs)
	write(t, dir, "deep/er/commandes/bilberrydeck.json", commandes)
	write(t, dir, ".git/bilberrydeck.json", "broken")
	write(t, dir, "tarifs/other.json", "broken")
	c, err := Collect(dir, filepath.Join(dir, "tarifs"))
	require.NoError(t, err)
	require.Len(t, c.Services, 2)
	require.Empty(t, c.Check(false))

	alone, err := Collect(filepath.Join(dir, "deep"))
	require.NoError(t, err)
	require.Len(t, alone.Check(false).Errors(), 1)
	require.Empty(t, alone.Check(true).Errors())

	_, err = Collect(t.TempDir())
	require.ErrorAs(t, err, new(*NoFilesError))
	_, err = Collect(filepath.Join(dir, "absent"))
	require.ErrorIs(t, err, os.ErrNotExist)
}

// TestCheckFiles guards against a file that is checked by the wrong rules.
func TestCheckFiles(t *testing.T) {
	dir := t.TempDir()
	write(t, dir, "tarifs/bilberrydeck.json", tarifs)
	write(t, dir, "c.settings.json", `{"id": 1, "listen": "127.0.0.1:1", "data_dir": "d", "peers": [1]}`)
	write(t, dir, "d.settings.json", `{"id": "d"}`)
	r, err := CheckFiles(dir)
	require.NoError(t, err)
	require.Equal(t, 1, r.Declarations)
	require.Equal(t, 2, r.Settings)
	require.Contains(t, r.Problems.Error(), "c.settings.json:1:63: peers[0]: must be an object, is a number")
	require.Contains(t, r.Problems.Error(), "d.settings.json:1:1: relays: is missing")
	require.NotContains(t, r.Problems.Error(), "bilberrydeck.json")
}

// TestSend guards against a resend that becomes a second change, against equal
// numbers that both pass, and against refusals that do not name the change
// that stands.
func TestSend(t *testing.T) {
	r, ctx := newReplica(), context.Background()
	a, err := declaration.Decode([]byte(tarifs))
	require.NoError(t, err)
	send := func(o Options, services ...declaration.Service) Outcome {
		t.Helper()
		change, result, err := Send(ctx, r, services, o)
		require.NoError(t, err)
		return NewOutcome(change, result)
	}
	first := send(Options{Number: 1, Author: "gwen"}, a)
	require.Equal(t, "change 1 of set default (id "+first.ChangeID+") is accepted as version 1", first.String())
	require.Equal(t, first, send(Options{Number: 1, Author: "dai"}, a))

	changed := a
	changed.Slots = 71
	second := send(Options{Number: 1, Author: "dai"}, changed)
	require.False(t, second.Accepted)
	require.NotEqual(t, first.ChangeID, second.ChangeID)
	require.Contains(t, second.String(), "number 1 was taken by change id "+first.ChangeID+" by gwen at 2027-01-15T08:00:00Z with other content")
	same := send(Options{Number: 1, ChangeID: "mine"}, a)
	require.Contains(t, same.String(), "with the same content")

	auto := send(Options{}, changed)
	require.Equal(t, uint64(2), auto.Number)
	require.True(t, auto.Accepted)
	require.Equal(t, auto, send(Options{}, changed), "a resend without a number")
	require.Contains(t, send(Options{Number: 9}, a).String(), "the next number of the set is 3")
	b, err := declaration.Decode([]byte(commandes))
	require.NoError(t, err)
	require.Contains(t, send(Options{Removed: []string{"tarifs"}}, b).String(), "is refused: commandes: routes[0].calls[0]: tarifs.prix is not declared")
}
