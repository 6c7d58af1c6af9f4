// Package settings defines and validates the settings files of the daemon and
// control processes: JSON with comments, one file for each process. All
// problems of a file are reported at once with their positions.
package settings

import (
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/bilberrydeck/bilberrydeck/internal/jsonfile"
)

// Suffix ends the names of settings files that `check` finds in directories.
const Suffix = ".settings.json"

// Problem is one fault of a settings file.
type Problem = jsonfile.Problem

// Problems is a list of faults. It implements error.
type Problems = jsonfile.Problems

// TLS names the files of mutual TLS. All three are PEM files.
type TLS struct {
	Certificate string // certificate of this process
	Key         string // its private key
	Authority   string // certificates that sign those of the other processes
	Ingress     bool   // whether the entrance of a daemon requires TLS, too
}

// Log says which lines a process writes and where.
type Log struct {
	Level string // "debug", "info", "warn" or "error"; "info" if absent
	File  string // standard error if empty
}

// LogLevels are the accepted levels, from the most to the least lines.
var LogLevels = []string{"debug", "info", "warn", "error"}

// idPattern is the form of daemon, region and availability zone names, which
// appear in log lines, metrics and certificates.
var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// reader reads one settings file.
type reader struct {
	file *jsonfile.File
	dir  string // paths in the file are relative to it
}

func open(path string, src []byte) (*reader, *jsonfile.Object) {
	f, top := jsonfile.Open(path, src)
	return &reader{file: f, dir: filepath.Dir(path)}, top
}

// load reads a file and parses it. The error is of type Problems unless the
// file cannot be read. Warnings are returned beside a valid result.
func load[T any](path string, parse func(string, []byte) (T, Problems)) (T, Problems, error) {
	var none T
	src, err := os.ReadFile(path)
	if err != nil {
		return none, nil, errors.Wrap(err, "reading the settings")
	}
	result, problems := parse(path, src)
	if errs := problems.Errors(); len(errs) > 0 {
		return none, nil, errs
	}
	return result, problems, nil
}

func identifier(o *jsonfile.Object, name string) string {
	id := o.Text(name)
	if id != "" && !idPattern.MatchString(id) {
		o.Report(name, "%q must start with a lower-case letter or digit and hold only these, dots and hyphens, 63 at most", id)
	}
	return id
}

// address reads a required IP address with a port. Names are not accepted: the
// platform provides no name service that would work in a partition.
func address(o *jsonfile.Object, name string) string {
	text := o.Text(name)
	checkAddress(o, name, text)
	return text
}

func checkAddress(o *jsonfile.Object, name, text string) netip.AddrPort {
	if text == "" {
		return netip.AddrPort{}
	}
	ap, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		o.Report(name, `%q must be an IP address and a port, such as "10.1.2.3:7000"`, text)
	case ap.Port() == 0:
		o.Report(name, "%q must have a port from 1 to 65535; the other processes need to know it", text)
	}
	return ap
}

// listenAddress is address for a listener. Processes tell others where they
// listen, so the address must be one that others can connect to.
func listenAddress(o *jsonfile.Object, name string) string {
	text := o.Text(name)
	ap := checkAddress(o, name, text)
	if ap.IsValid() && ap.Addr().IsUnspecified() {
		o.Report(name, "%q must be one address of this VM, since other processes are told of it", text)
	}
	return text
}

// requireLoopback reports a listener on another address than loopback.
func requireLoopback(o *jsonfile.Object, name, text, why string) {
	ap, err := netip.ParseAddrPort(text)
	if err == nil && !ap.Addr().IsUnspecified() && !ap.Addr().IsLoopback() {
		o.Report(name, "%q must be a loopback address (%s)", text, why)
	}
}

const (
	whyNoTLS = "without a tls section a process listens only on loopback"
	whyLocal = "it serves the local service and operators on this VM"
)

// addresses reads a list of different addresses.
func addresses(o *jsonfile.Object, name string) []string {
	texts := o.Texts(name)
	seen := map[string]bool{}
	for i, text := range texts {
		element := elementName(name, i)
		checkAddress(o, element, text)
		if seen[text] && text != "" {
			o.Report(element, "%q is given twice", text)
		}
		seen[text] = true
	}
	return texts
}

func (r *reader) path(o *jsonfile.Object, name string) string {
	return r.resolve(o.Text(name))
}

func (r *reader) resolve(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(r.dir, path)
}

func (r *reader) tls(o *jsonfile.Object) *TLS {
	section := o.Object("tls")
	if section == nil {
		return nil
	}
	t := &TLS{
		Certificate: r.path(section, "certificate"),
		Key:         r.path(section, "key"),
		Authority:   r.path(section, "authority"),
		Ingress:     section.Bool("entrance"),
	}
	section.Close()
	return t
}

func (r *reader) log(o *jsonfile.Object) Log {
	section := o.Object("log")
	if section == nil {
		return Log{Level: "info"}
	}
	l := Log{
		Level: section.Choice("level", "info", LogLevels),
		File:  r.resolve(section.OptionalText("file")),
	}
	section.Close()
	return l
}

// httpURL checks a URL of the local upstream.
func httpURL(o *jsonfile.Object, name, text string, path bool) string {
	if text == "" {
		return ""
	}
	text = strings.TrimSuffix(text, "/")
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		o.Report(name, `%q must be an http URL without a query, such as "http://127.0.0.1:8080"`, text)
		return text
	}
	if ap, err := netip.ParseAddrPort(u.Host); err != nil || !ap.Addr().IsLoopback() {
		o.Report(name, "%q must name a loopback address and a port: the daemon runs beside its upstream", text)
	}
	if u.Path != "" && !path {
		o.Report(name, "%q must not have a path", text)
	}
	return text
}
