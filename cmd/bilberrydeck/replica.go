package main

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/bilberrydeck/bilberrydeck/api"
)

func runReplica(ctx context.Context, e env, args []string) error {
	f := newFlags(e, "replica", "replace -old ID -new ID -address A [flags]",
		"Swaps a lost control replica for a new one in all groups. Start the new replica\n"+
			"first, with \"join\": true in its settings and an id that no replica had before.\n"+
			"The command returns when the new replica votes; it may be repeated.",
		"replica replace -old 2 -new 4 -address 10.20.21.10:7100 -controls 10.20.11.10:7100")
	operator := addOperatorFlags(f)
	lost := f.Uint64("old", 0, "id of the lost replica")
	added := f.Uint64("new", 0, "id of the new replica")
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
	if *lost == 0 || *added == 0 || *lost == *added {
		return usagef("-old and -new must be two ids from 1")
	}
	if _, err := netip.ParseAddrPort(*address); err != nil {
		return usagef("-address must be an IP address and a port")
	}
	control, ctx, end, err := operator.connect(ctx)
	if err != nil {
		return err
	}
	defer end()
	answer, err := control.ReplaceReplica(ctx, &api.ReplaceReplicaRequest{OldId: *lost, NewId: *added, NewAddress: *address})
	if err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "replica %d is replaced by %d: %s\n", *lost, *added, answer.Message)
	return nil
}
