package main

import (
	_ "embed"
	"encoding/json"
	"text/template"
)

// The names and formats of the platform are data in the folder wire.

//go:embed wire/names.json
var namesJSON []byte

//go:embed wire/report.format
var reportFormat string

//go:embed wire/route.format
var routeFormat string

//go:embed wire/service.format
var serviceFormat string

//go:embed wire/config.format
var configFormat string

//go:embed wire/settings.tmpl
var settingsText string

var settingsTemplate = template.Must(template.New("settings").Parse(settingsText))

// names are the headers and paths of the platform.
var names = func() (n struct {
	RequestID, Signature, Target, Responder, Deadline, Caller string
	SettingsVariable, InstancesPath, ConfigPath, ReadyPath    string
}) {
	if err := json.Unmarshal(namesJSON, &n); err != nil {
		panic(err)
	}
	return n
}()
