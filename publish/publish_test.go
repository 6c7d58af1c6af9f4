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

// control is a Publisher that applies changes to a configuration state machine without
// replication.
type control struct{ *statemachine.Configuration }

func (c control) Publish(_ context.Context, change *api.Change) (*api.ChangeResult, error) {
	command, err := proto.Marshal(&api.ConfigCommand{Change: change, UnixMs: 1_800_000_000_000})
	if err != nil {
		return nil, err
	}
	result := &api.ChangeResult{}
	return result, proto.Unmarshal(c.Apply(1, command), result)
}

func newControl() control { return control{statemachine.NewConfiguration(declaration.CheckDocuments)} }

func writeFile(t *testing.T, dir, name, text string) {
	t.Helper()
	path := filepath.Join(dir, name)
	require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
}

const tarifs = `{"service": "tarifs", "slots": 70, "max_connections": 500,
	"routes": [{"name": "prix", "method": "GET", "path": "/prix", "idempotent": true, "timeout": "1s"}]}`

const commandes = `{"service": "commandes", "slots": 70, "max_connections": 500,
	"routes": [{"name": "devis", "method": "GET", "path": "/devis", "timeout": "2s", "calls": ["tarifs.prix"]}]}`

// TestCollect guards against files that are missed, read twice or read from hidden
// directories.
func TestCollect(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, "tarifs/bilberrydeck.json", tarifs)
	writeFile(t, dir, "deep/er/commandes/bilberrydeck.json", commandes)
	writeFile(t, dir, ".git/bilberrydeck.json", "broken")
	writeFile(t, dir, "tarifs/other.json", "broken")
	collection, err := Collect(dir, filepath.Join(dir, "tarifs"))
	require.NoError(t, err)
	require.Len(t, collection.Services, 2)
	require.Empty(t, collection.Check(false))

	subset, err := Collect(filepath.Join(dir, "deep"))
	require.NoError(t, err)
	require.Len(t, subset.Check(false).Errors(), 1)
	require.Empty(t, subset.Check(true).Errors())

	_, err = Collect(t.TempDir())
	require.ErrorAs(t, err, new(*NoFilesError))
	_, err = Collect(filepath.Join(dir, "absent"))
	require.ErrorIs(t, err, os.ErrNotExist)
}

// TestCheckFiles guards against a file that is checked as another type of file.
func TestCheckFiles(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, "tarifs/bilberrydeck.json", tarifs)
	writeFile(t, dir, "c.settings.json", `{"id": 1, "listen": "127.0.0.1:1", "data_dir": "d", "peers": [1]}`)
	writeFile(t, dir, "d.settings.json", `{"id": "d"}`)
	report, err := CheckFiles(dir)
	require.NoError(t, err)
	require.Equal(t, 1, report.Declarations)
	require.Equal(t, 2, report.Settings)
	require.Contains(t, report.Problems.Error(), "c.settings.json:1:63: peers[0]: must be an object, is a number")
	require.Contains(t, report.Problems.Error(), "d.settings.json:1:1: relays: is missing")
	require.NotContains(t, report.Problems.Error(), "bilberrydeck.json")
}

// TestSend guards against a resent change that is accepted as a second change, against
// two accepted changes with the same number, and against rejections that do not
// describe the conflicting change.
func TestSend(t *testing.T) {
	server, ctx := newControl(), context.Background()
	prices, err := declaration.Decode([]byte(tarifs))
	require.NoError(t, err)
	send := func(o Options, services ...declaration.Service) Outcome {
		t.Helper()
		change, result, err := Send(ctx, server, services, o)
		require.NoError(t, err)
		return NewOutcome(change, result)
	}
	first := send(Options{Number: 1, Author: "gwen"}, prices)
	require.Equal(t, "change 1 of set default (id "+first.ChangeID+") is accepted as version 1", first.String())
	require.Equal(t, first, send(Options{Number: 1, Author: "dai"}, prices))

	changed := prices
	changed.Slots = 71
	conflicting := send(Options{Number: 1, Author: "dai"}, changed)
	require.False(t, conflicting.Accepted)
	require.NotEqual(t, first.ChangeID, conflicting.ChangeID)
	require.Contains(t, conflicting.String(), "number 1 was taken by change id "+first.ChangeID+" by gwen at 2027-01-15T08:00:00Z with other content")
	sameContent := send(Options{Number: 1, ChangeID: "mine"}, prices)
	require.Contains(t, sameContent.String(), "with the same content")

	unnumbered := send(Options{}, changed)
	require.Equal(t, uint64(2), unnumbered.Number)
	require.True(t, unnumbered.Accepted)
	require.Equal(t, unnumbered, send(Options{}, changed), "a resend without a number")
	require.Contains(t, send(Options{Number: 9}, prices).String(), "the next number of the set is 3")
	orders, err := declaration.Decode([]byte(commandes))
	require.NoError(t, err)
	require.Contains(t, send(Options{Removed: []string{"tarifs"}}, orders).String(), "is refused: commandes: routes[0].calls[0]: tarifs.prix is not declared")
}
