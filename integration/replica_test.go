package integration

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// lose ends a control replica without warning and forgets it.
func (d *deck) lose(address string) {
	d.controls[address].kill()
	delete(d.controls, address)
}

// TestReplaceReplica guards against a repair that leaves the group unable to
// bear the next loss (F5), and against a repaired group that forgets changes.
func TestReplaceReplica(t *testing.T) {
	d := newControls(t, false)
	_, errs, code := d.publish(t, "1", 4)
	require.Equal(t, 0, code, errs)
	byID := d.founders
	d.lose(byID[1])
	added := freePort(t)
	d.startControl(t, 4, added, byID, true)
	out, errs, code := runCommand(t, "replica", "replace", "-old", "2", "-new", "4", "-address", added,
		"-controls", strings.Join(d.addresses(), ","))
	require.Equal(t, 0, code, errs)
	require.Contains(t, out, "replica 2 is replaced by 4")

	d.lose(byID[0])
	require.True(t, slices.Contains(d.addresses(), added))
	out, errs, code = d.publish(t, "1", 4)
	require.Equal(t, 0, code, errs)
	require.Contains(t, out, "is accepted as version 1")
	out, errs, code = d.publish(t, "2", 5)
	require.Equal(t, 0, code, errs)
	require.Contains(t, out, "is accepted as version 2")
	_, errs, code = runCommand(t, "status", "-controls", strings.Join(append(d.addresses(), byID[0]), ","))
	require.Equal(t, 1, code)
	require.Contains(t, errs, "1 of 3 replicas did not answer")
}
