package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/bilberrydeck/bilberrydeck/publish"
)

func runPublish(ctx context.Context, e environment, args []string) error {
	f := newFlags(e, "publish", "[flags] DIR...",
		"Collects the declaration files in the directories and their subdirectories,\n"+
			"checks them as one set and sends them to control as one change, which is\n"+
			"accepted or refused as a whole. Running the same command again after a lost\n"+
			"response resends the same change and prints its original result.",
		"publish -number 12 .",
		"publish -set pantdent -number auto -controls 10.20.11.10:7100,10.20.21.10:7100 rounds bookings",
		"publish -number 13 -remove photos .")
	operator := addOperatorFlags(f)
	set := f.String("set", publish.DefaultSet, "name of the set of declarations")
	number := f.String("number", "auto", "number of the change, the last accepted number of the set plus one; auto asks control for it")
	changeID := f.String("change-id", "", "id of the change (default a digest of set, number and content)")
	author := f.String("author", operatorName(), "author of the change, shown to operators whose change has the same number")
	remove := f.String("remove", "", "services to remove from the set, separated by commas")
	asJSON := f.Bool("json", false, "print the result as JSON")
	if err := parseFlags(f, args, 1, -1); err != nil {
		return err
	}
	options := publish.Options{Set: *set, ChangeID: *changeID, Author: *author, Removed: splitList(*remove)}
	var err error
	if options.Number, err = parseNumber(*number); err != nil {
		return err
	}
	collection, err := collect(e, f.Args())
	if err != nil {
		return err
	}
	control, ctx, disconnect, err := operator.connect(ctx)
	if err != nil {
		return err
	}
	defer disconnect()
	change, result, err := publish.Send(ctx, control, collection.Services, options)
	if err != nil {
		return err
	}
	return printOutcome(e, publish.NewOutcome(change, result), *asJSON)
}

// parseNumber parses -number. It returns 0 for auto.
func parseNumber(text string) (uint64, error) {
	if text == "auto" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, usagef("-number must be auto or a number of at least 1")
	}
	return n, nil
}

// collect reads and checks the declarations, and prints all problems.
func collect(e environment, paths []string) (*publish.Collection, error) {
	collection, err := publish.Collect(paths...)
	if err != nil {
		return nil, err
	}
	problems := collection.Check(true)
	for _, p := range problems {
		fmt.Fprintln(e.stderr, p)
	}
	if len(problems.Errors()) > 0 {
		return nil, reportedError{}
	}
	return collection, nil
}

// printOutcome prints the result of a change. It returns an error if the change was
// rejected.
func printOutcome(e environment, o publish.Outcome, asJSON bool) error {
	if asJSON {
		if err := printJSON(e, o); err != nil {
			return err
		}
		if !o.Accepted {
			return reportedError{}
		}
		return nil
	}
	if !o.Accepted {
		return &rejectedError{o.String()}
	}
	fmt.Fprintln(e.stdout, o)
	return nil
}

// rejectedError reports a change that control rejected.
type rejectedError struct{ message string }

func (r *rejectedError) Error() string { return r.message }
