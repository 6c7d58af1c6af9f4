package main

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/bilberrydeck/bilberrydeck/api"
)

func runReplica(ctx context.Context, e environment, args []string) error {
	f := newFlags(e, "replica", "replace -old ID -new ID -address A [flags]",
		"Replaces a failed control replica with a new one in all groups. Start the new\n"+
			"replica first, with \"join\": true in its settings and an id that no replica had\n"+
			"before. The command returns when the new replica is a voter, and may be repeated.",
		"replica replace -old 2 -new 4 -address 10.20.21.10:7100 -controls 10.20.11.10:7100")
	operator := addOperatorFlags(f)
	oldID := f.Uint64("old", 0, "id of the failed replica")
	newID := f.Uint64("new", 0, "id of the new replica")
	address := f.String("address", "", "address of the new replica")
	action := "replace"
	if len(args) > 0 && (args[0] == "-h" || args[0] == "-help" || args[0] == "--help") {
		return parseFlags(f, args, 0, 0)
	}
	if len(args) == 0 || args[0] != action {
		return usagef("the action must be %s", action)
	}
	if err := parseFlags(f, args[1:], 0, 0); err != nil {
		return err
	}
	if *oldID == 0 || *newID == 0 || *oldID == *newID {
		return usagef("-old and -new must be two different ids of at least 1")
	}
	if _, err := netip.ParseAddrPort(*address); err != nil {
		return usagef("-address must be an IP address and a port")
	}
	control, ctx, disconnect, err := operator.connect(ctx)
	if err != nil {
		return err
	}
	defer disconnect()
	response, err := control.ReplaceReplica(ctx, &api.ReplaceReplicaRequest{OldId: *oldID, NewId: *newID, NewAddress: *address})
	if err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "replica %d is replaced by %d: %s\n", *oldID, *newID, response.Message)
	return nil
}
