package declaration

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
)

// checkPattern returns the problem of a path pattern, or an empty string if it is
// valid. Request paths are matched by net/http's ServeMux, so its own parser
// validates the pattern.
func checkPattern(path string) string {
	if !strings.HasPrefix(path, "/") {
		return "it must start with a slash"
	}
	if strings.ContainsAny(path, " \t\r\n") {
		return "it contains white space"
	}
	return registerPattern(http.NewServeMux(), "GET "+path)
}

// conflicts reports whether two routes of one service match some common requests
// while neither of them is more specific.
func conflicts(a, b Route) bool {
	mux := http.NewServeMux()
	if registerPattern(mux, muxPattern(a)) != "" || checkPattern(b.Path) != "" {
		return false // checkPattern reports malformed patterns
	}
	return registerPattern(mux, muxPattern(b)) != ""
}

func muxPattern(r Route) string { return r.Method + " " + r.Path }

// muxErrorPrefix matches the prefix of a ServeMux message that holds the source
// position of the registration. The result must not depend on the build.
var muxErrorPrefix = regexp.MustCompile(`(?s)^.*at offset \d+: `)

// registerPattern adds a pattern to mux and returns the reason if mux rejects it.
func registerPattern(mux *http.ServeMux, pattern string) (reason string) {
	defer func() {
		if panicked := recover(); panicked != nil {
			message := fmt.Sprint(panicked)
			reason = muxErrorPrefix.ReplaceAllString(message, "")
			if reason == message {
				reason = "it is refused by the path matcher"
			}
		}
	}()
	mux.HandleFunc(pattern, func(http.ResponseWriter, *http.Request) {})
	return ""
}

// hasConflict reports whether any two of the routes with valid patterns conflict.
func hasConflict(routes []Route) bool {
	mux := http.NewServeMux()
	for _, r := range routes {
		if checkPattern(r.Path) == "" && registerPattern(mux, muxPattern(r)) != "" {
			return true
		}
	}
	return false
}
