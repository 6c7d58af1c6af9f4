package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/bilberrydeck/bilberrydeck/publish"
)

// checkResult is the output of `check -json`.
type checkResult struct {
	Declarations int            `json:"declarations"`
	Settings     int            `json:"settings"`
	Problems     []checkProblem `json:"problems"`
}

// checkProblem is one problem in the output of `check -json`.
type checkProblem struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Field   string `json:"field,omitempty"`
	Warning bool   `json:"warning,omitempty"`
	Message string `json:"message"`
}

func runCheck(_ context.Context, e environment, args []string) error {
	f := newFlags(e, "check", "[-json] FILE|DIR...",
		"Validates declaration files (bilberrydeck.json) and settings files\n"+
			"(*.settings.json) without starting anything. All declarations together are\n"+
			"checked as one set. Platform files (*.toml), which must be given by name, are\n"+
			"checked as settings or, if they contain roles, as the deploy file. Prints one\n"+
			"line for each problem; the exit code is 1 if any of them is not a warning.",
		"check .", "check examples/pantdent", "check deploy/system.toml", "check -json /etc/bilberrydeck/daemon.settings.json")
	asJSON := f.Bool("json", false, "print the result as JSON")
	if err := parseFlags(f, args, 1, -1); err != nil {
		return err
	}
	report, err := publish.CheckFiles(f.Args()...)
	if err != nil {
		return err
	}
	if *asJSON {
		err = printJSON(e, newCheckResult(report))
	} else {
		printReport(e, report)
	}
	if err == nil && len(report.Problems.Errors()) > 0 {
		return reportedError{}
	}
	return err
}

func newCheckResult(report *publish.Report) checkResult {
	result := checkResult{report.Declarations, report.Settings, []checkProblem{}}
	for _, p := range report.Problems {
		result.Problems = append(result.Problems, checkProblem{p.File, p.Line, p.Column, p.Field, p.Warning, p.Message})
	}
	return result
}

func printReport(e environment, report *publish.Report) {
	for _, p := range report.Problems {
		fmt.Fprintln(e.stderr, p)
	}
	errorCount := len(report.Problems.Errors())
	fmt.Fprintf(e.stdout, "%d declarations and %d settings files checked: %d errors, %d warnings\n",
		report.Declarations, report.Settings, errorCount, len(report.Problems)-errorCount)
}

func printJSON(e environment, v any) error {
	enc := json.NewEncoder(e.stdout)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
