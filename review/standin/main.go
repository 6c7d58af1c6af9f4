// Command standin plays one case of the review: it starts a small deployment of the project's
// processes, stand-ins for backends, clients and the operator, and checks one rule.
//
//	standin -case NAME -record FILE
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With the
// environment variable TROUBLE=0 it leaves the disruption out.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// caseFunc plays a case. It returns what broke the rule, empty if the rule held.
type caseFunc func(ctx context.Context, r *record, trouble bool) (broken string, err error)

var cases = map[string]caseFunc{
	"late-report":      playLateReport,
	"slow-upload":      playSlowUpload,
	"pipelined-expect": playPipelinedExpect,
	"lost-removal":     playLostRemoval,
	"log-memory":       playLogMemory,
}

// caseTimeout bounds a case, with the start and the end of its processes.
const caseTimeout = 110 * time.Second

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return 2
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	broken, err := run(ctx, r, os.Getenv("TROUBLE") != "0")
	status, verdict := 0, "the rule held"
	switch {
	case err != nil:
		status, verdict = 2, "the case could not run: "+err.Error()
	case broken != "":
		status, verdict = 1, "the rule was broken: "+broken
	}
	r.add("verdict", "%s", verdict)
	fmt.Println(verdict)
	if err := r.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return status
}
