// Package settings defines and validates the settings files of the daemon and control
// processes: JSON with comments, one file for each process. It reports all problems of a
// file together, with their positions.
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

// Suffix is the suffix of settings files, by which `check` finds them in directories.
const Suffix = ".settings.json"

// Problem is one problem of a settings file.
type Problem = jsonfile.Problem

// Problems is a list of problems. It implements error.
type Problems = jsonfile.Problems

// TLS holds the paths of the files for mutual TLS. All three are PEM files.
type TLS struct {
	Certificate string // certificate of this process
	Key         string // private key of the certificate
	Authority   string // CA certificates of the other processes
	Ingress     bool   // whether the ingress listener of a daemon requires TLS, too
}

// Log holds the level and the destination of the log of a process.
type Log struct {
	Level string // "debug", "info", "warn" or "error"; "info" if absent
	File  string // path; standard error if empty
}

// LogLevels are the accepted levels, from the most to the least verbose.
var LogLevels = []string{"debug", "info", "warn", "error"}

// namePattern matches the names of daemons, services, regions and availability zones, which
// appear in log lines, metrics and certificates.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// reader reads one settings file.
type reader struct {
	file *jsonfile.File
	dir  string // directory against which relative paths in the file are resolved
}

func open(path string, src []byte) (*reader, *jsonfile.Object) {
	f, top := jsonfile.Open(path, src)
	return &reader{file: f, dir: filepath.Dir(path)}, top
}

// load reads a file and parses it. It returns a valid result with its warnings. The error is
// of type Problems unless the file cannot be read.
func load[T any](path string, parse func(string, []byte) (T, Problems)) (T, Problems, error) {
	var zero T
	src, err := os.ReadFile(path)
	if err != nil {
		return zero, nil, errors.Wrap(err, "reading the settings")
	}
	result, problems := parse(path, src)
	if errs := problems.Errors(); len(errs) > 0 {
		return zero, nil, errs
	}
	return result, problems, nil
}

// identifier reads a required name that matches namePattern.
func identifier(o *jsonfile.Object, name string) string {
	id := o.Text(name)
	if id != "" && !namePattern.MatchString(id) {
		o.Report(name, "%q must start with a lower-case letter or digit and contain only lower-case letters, digits, dots and hyphens, at most 63 characters", id)
	}
	return id
}

// address reads a required IP address with a port. It rejects host names, since the platform
// has no name service that is available during a network partition.
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
		o.Report(name, "%q must have a port from 1 to 65535, since other processes connect to it", text)
	}
	return ap
}

// listenAddress reads a required address of a listener. It rejects unspecified addresses such
// as 0.0.0.0, since processes advertise the address to others that connect to it.
func listenAddress(o *jsonfile.Object, name string) string {
	text := o.Text(name)
	ap := checkAddress(o, name, text)
	if ap.IsValid() && ap.Addr().IsUnspecified() {
		o.Report(name, "%q must be one address of this VM, since it is advertised to other processes", text)
	}
	return text
}

// requireLoopback reports an address that is not a loopback address. Listeners on an
// unspecified address are reported by listenAddress.
func requireLoopback(o *jsonfile.Object, name, text, why string) {
	ap, err := netip.ParseAddrPort(text)
	if err == nil && !ap.Addr().IsUnspecified() && !ap.Addr().IsLoopback() {
		o.Report(name, "%q must be a loopback address (%s)", text, why)
	}
}

const (
	reasonNoTLS     = "without a tls section a process listens only on loopback"
	reasonLocalOnly = "it serves the local service and operators on this VM"
)

// addresses reads a list of addresses and reports duplicates.
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

func (r *reader) requiredPath(o *jsonfile.Object, name string) string {
	return r.resolvePath(o.Text(name))
}

func (r *reader) resolvePath(path string) string {
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
		Certificate: r.requiredPath(section, "certificate"),
		Key:         r.requiredPath(section, "key"),
		Authority:   r.requiredPath(section, "authority"),
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
		File:  r.resolvePath(section.OptionalText("file")),
	}
	section.Close()
	return l
}

// httpURL checks a URL of the local upstream and returns it without a trailing slash. Path
// tells whether it may have a path.
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
		o.Report(name, "%q must name a loopback address and a port: the daemon runs on the VM of its upstream", text)
	}
	if u.Path != "" && !path {
		o.Report(name, "%q must not have a path", text)
	}
	return text
}
