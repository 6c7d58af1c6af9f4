// Package examples_test checks the example declarations and settings.
package examples_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/declaration"
	"github.com/bilberrydeck/bilberrydeck/publish"
	"github.com/bilberrydeck/bilberrydeck/settings"
)

// sizes are the slots and maximum connections of each service, by user.
var sizes = map[string]map[string][2]int{
	"pantdent": {"rounds": {35, 300}, "bookings": {35, 300}, "photos": {35, 300}, "customers": {10, 150}},
	"atelier":  {"tarifs": {70, 500}, "commandes": {70, 500}, "fichiers": {70, 500}, "ateliers": {25, 250}},
}

// TestFiles guards against example files that the program rejects.
func TestFiles(t *testing.T) {
	for user := range sizes {
		report, err := publish.CheckFiles(user)
		require.NoError(t, err)
		require.Empty(t, report.Problems)
		require.Equal(t, 4, report.Declarations)
		require.Equal(t, 6*4+3, report.Settings)
	}
}

// TestDeclarations guards against sizes that do not fit the VMs of the users, and against
// declarations that lack a request class, an upload or a call chain of four services.
func TestDeclarations(t *testing.T) {
	for user, want := range sizes {
		c, err := publish.Collect(user)
		require.NoError(t, err)
		got := map[string][2]int{}
		classes := map[chain.Class]int{}
		streams := 0
		for _, s := range c.Services {
			got[s.Name] = [2]int{s.Slots, s.MaxConnections}
			for _, r := range s.Routes {
				classes[r.Class]++
				require.Equal(t, r.Class != chain.Critical, r.Idempotent, "%s.%s", s.Name, r.Name)
				if r.Body == declaration.BodyStream {
					require.Equal(t, chain.Critical, r.Class)
					streams++
				}
			}
		}
		require.Equal(t, want, got)
		require.Len(t, classes, 3)
		require.Equal(t, 1, streams)
		require.Equal(t, 4, deepest(c.Services))
	}
}

// deepest returns the length of the longest call chain.
func deepest(set []declaration.Service) int {
	calls := map[declaration.RouteID][]declaration.RouteID{}
	for _, s := range set {
		for _, r := range s.Routes {
			calls[declaration.RouteID{Service: s.Name, Route: r.Name}] = r.Calls
		}
	}
	var depth func(id declaration.RouteID) int
	depth = func(id declaration.RouteID) int {
		calleeDepth := 0
		for _, c := range calls[id] {
			calleeDepth = max(calleeDepth, depth(c))
		}
		return calleeDepth + 1
	}
	longest := 0
	for id := range calls {
		longest = max(longest, depth(id))
	}
	return longest
}

// TestSettings guards against settings files that are inconsistent with each other.
func TestSettings(t *testing.T) {
	for user, services := range sizes {
		daemons := map[string]settings.Daemon{}
		relays := map[string][]string{} // by availability zone
		for _, file := range files(t, user, false) {
			d, _, err := settings.LoadDaemon(file)
			require.NoError(t, err)
			require.NotContains(t, daemons, d.ID)
			require.Contains(t, services, d.Service)
			daemons[d.ID] = d
			relays[d.AvailabilityZone] = d.Relays
		}
		require.Len(t, daemons, 24)
		require.Len(t, relays, 6)
		for _, d := range daemons {
			require.Equal(t, relays[d.AvailabilityZone], d.Relays, d.ID)
			require.Len(t, d.LinkBudgets, 2, d.ID)
			require.Equal(t, slices.Contains(d.Relays, hostOf(d.Listen.Peer)+":7004"), d.Relay != nil, d.ID)
			if d.Relay != nil {
				others := map[string][]string{d.AvailabilityZone: d.Relays}
				for az, list := range d.Relay.RemoteRelays {
					others[az] = list
				}
				require.Equal(t, relays, others, d.ID)
			}
		}
		checkControls(t, user, daemons)
	}
}

// checkControls checks that every daemon lists all three control replicas.
func checkControls(t *testing.T, user string, daemons map[string]settings.Daemon) {
	var all []string
	for _, file := range files(t, user, true) {
		c, _, err := settings.LoadControl(file)
		require.NoError(t, err)
		all = append(all, c.Listen)
		require.Len(t, c.Peers, 2)
	}
	require.Len(t, all, 3)
	slices.Sort(all)
	for _, d := range daemons {
		require.ElementsMatch(t, all, d.Controls, d.ID)
	}
}

// files returns the settings files of a user: those of control replicas or those of daemons.
func files(t *testing.T, user string, control bool) []string {
	t.Helper()
	var found []string
	require.NoError(t, filepath.WalkDir(filepath.Join(user, "settings"), func(path string, d os.DirEntry, err error) error {
		if err == nil && !d.IsDir() && (filepath.Base(filepath.Dir(path)) == "control") == control {
			found = append(found, path)
		}
		return err
	}))
	return found
}

func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}
