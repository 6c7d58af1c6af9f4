package integration

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/internal/freeport"
)

// killAndForget kills a control replica and removes it from the list of replicas.
func (c *cluster) killAndForget(address string) {
	c.controls[address].kill()
	delete(c.controls, address)
}

// TestReplaceReplica guards against a group that cannot tolerate another failure after a
// replica was replaced (F5), and against the loss of changes by the replacement.
func TestReplaceReplica(t *testing.T) {
	c := newControls(t, false)
	_, errs, code := c.publish(t, "1", 4)
	require.Equal(t, 0, code, errs)
	initial := c.initialControls
	c.killAndForget(initial[1])
	added := freeport.Address(t)
	c.startControl(t, 4, added, initial, true)
	out, errs, code := runCommand(t, "replica", "replace", "-old", "2", "-new", "4", "-address", added,
		"-controls", strings.Join(c.addresses(), ","))
	require.Equal(t, 0, code, errs)
	require.Contains(t, out, "replica 2 is replaced by 4")

	c.killAndForget(initial[0])
	require.True(t, slices.Contains(c.addresses(), added))
	out, errs, code = c.publish(t, "1", 4)
	require.Equal(t, 0, code, errs)
	require.Contains(t, out, "is accepted as version 1")
	out, errs, code = c.publish(t, "2", 5)
	require.Equal(t, 0, code, errs)
	require.Contains(t, out, "is accepted as version 2")
	_, errs, code = runCommand(t, "status", "-controls", strings.Join(append(c.addresses(), initial[0]), ","))
	require.Equal(t, 1, code)
	require.Contains(t, errs, "1 of 3 replicas did not answer")
}
