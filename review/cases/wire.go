package main

import (
	_ "embed"
	"strings"
)

// wireNames holds the names of the users' platform, each with the placeholder that stands for it here.
//
//go:embed wire/names.txt
var wireNames string

var wireReplacer = func() *strings.Replacer {
	var pairs []string
	for line := range strings.Lines(wireNames) {
		key, name, _ := strings.Cut(strings.TrimSpace(line), "=")
		pairs = append(pairs, "<"+key+">", name)
	}
	return strings.NewReplacer(pairs...)
}()

// wire returns a text with the names of the platform in place of their placeholders.
func wire(text string) string { return wireReplacer.Replace(text) }
