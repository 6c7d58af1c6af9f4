package main

import (
	"context"
	"os"

	"github.com/bilberrydeck/bilberrydeck/explain"
)

func runExplain(_ context.Context, e env, args []string) error {
	f := newFlags(e, "explain", "ID FILE...",
		"Prints what the logs of several processes tell of the request ID, in order of\n"+
			"time, and the likely cause of its end. What the logs lack is said, not guessed.\n"+
			"The exit code is 1 if no log names the request.",
		"explain 9c41d07be2a35f68 cardiff-a-1.log cardiff-a-2.log")
	if err := parseFlags(f, args, 2, -1); err != nil {
		return err
	}
	var logs []explain.Log
	for _, name := range f.Args()[1:] {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }() // was only read
		logs = append(logs, explain.Log{Name: name, Read: file})
	}
	trace, err := explain.Explain(f.Arg(0), logs)
	if err != nil {
		return err
	}
	if err := trace.Print(e.stdout); err != nil {
		return err
	}
	if len(trace.Lines) == 0 {
		return failedError{}
	}
	return nil
}
