package declaration

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
)

// checkPattern returns what is wrong with a path pattern, or an empty string.
// The request path is matched by net/http's ServeMux, so the same code decides
// here.
func checkPattern(path string) string {
	if !strings.HasPrefix(path, "/") {
		return "it must start with a slash"
	}
	if strings.ContainsAny(path, " \t\r\n") {
		return "it contains white space"
	}
	return register(http.NewServeMux(), "GET "+path)
}

// conflicts reports whether two routes of one service match the same requests
// with neither of them being more specific.
func conflicts(a, b Route) bool {
	mux := http.NewServeMux()
	if register(mux, muxPattern(a)) != "" || checkPattern(b.Path) != "" {
		return false // a malformed pattern is reported on its own
	}
	return register(mux, muxPattern(b)) != ""
}

func muxPattern(r Route) string { return r.Method + " " + r.Path }

// muxDetail cuts the source position of the call out of ServeMux messages,
// which would make the answer depend on the build.
var muxDetail = regexp.MustCompile(`(?s)^.*at offset \d+: `)

// register adds a pattern to a mux and returns the reason for a refusal.
func register(mux *http.ServeMux, pattern string) (refusal string) {
	defer func() {
		if r := recover(); r != nil {
			text := fmt.Sprint(r)
			refusal = muxDetail.ReplaceAllString(text, "")
			if refusal == text {
				refusal = "it is refused by the path matcher"
			}
		}
	}()
	mux.HandleFunc(pattern, func(http.ResponseWriter, *http.Request) {})
	return ""
}

// anyConflict reports whether any two routes of a list conflict.
func anyConflict(routes []Route) bool {
	mux := http.NewServeMux()
	for _, r := range routes {
		if checkPattern(r.Path) == "" && register(mux, muxPattern(r)) != "" {
			return true
		}
	}
	return false
}
