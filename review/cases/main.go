// Command cases runs the scripts of the review in the folders 6 to 10. Each case starts the
// project's own programs as separate processes on loopback addresses, with small stand-ins for
// clients, upstreams and the operator, and checks one rule by what these have seen.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit ends a case that hangs.
const caseLimit = 110 * time.Second

var cases = map[string]func(*environment) (broken bool, err error){
	"term-queue":    termQueue,
	"left-requests": leftRequests,
	"replaced-vms":  replacedVMs,
	"snapshot-kill": snapshotKill,
	"snapshot-lost": snapshotLost,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	e, err := newEnvironment(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not be prepared:", err)
		return exitNotRun
	}
	defer e.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](e)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-time.After(caseLimit):
		r.err = fmt.Errorf("the case did not end within %s", caseLimit)
	}
	switch {
	case r.err != nil:
		e.record("the case could not run: %v", r.err)
		return exitNotRun
	case r.broken:
		e.record("result: the rule was broken")
		return exitBroken
	}
	e.record("result: the rule held")
	return exitHeld
}
