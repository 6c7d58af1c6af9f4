package publish

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/bilberrydeck/bilberrydeck/declaration"
	"github.com/bilberrydeck/bilberrydeck/internal/jsonfile"
	"github.com/bilberrydeck/bilberrydeck/platform"
	"github.com/bilberrydeck/bilberrydeck/settings"
)

// Report is the result of checking declaration and settings files.
// Declarations and Settings are the numbers of files checked.
type Report struct {
	Declarations int
	Settings     int
	Problems     jsonfile.Problems
}

// CheckFiles validates files without starting anything. In directories and their
// subdirectories it checks declaration files and files named *.settings.json; a path
// of a file is checked whatever its name, including the platform's settings files
// (*.toml). All declarations are checked as one set.
func CheckFiles(paths ...string) (*Report, error) {
	files, err := findFiles(paths, func(name string) bool {
		return name == declaration.FileName || strings.HasSuffix(name, settings.Suffix)
	})
	if err != nil {
		return nil, err
	}
	report := &Report{}
	var declarations []string
	for _, file := range files {
		src, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "reading a file to check")
		}
		if isDeclaration(file, src) {
			declarations = append(declarations, file)
			continue
		}
		report.Settings++
		report.Problems = append(report.Problems, checkSettings(file, src)...)
	}
	if len(files) == 0 {
		return nil, &NoFilesError{paths}
	}
	report.Declarations = len(declarations)
	if len(declarations) > 0 {
		collection, err := Collect(declarations...)
		if err != nil {
			return nil, err
		}
		report.Problems = append(report.Problems, collection.Check(false)...)
	}
	report.Problems.Sort()
	return report, nil
}

// isDeclaration reports whether a file is a declaration rather than settings: by its
// name, or for other names by the field "routes", which only declarations have.
func isDeclaration(file string, src []byte) bool {
	if filepath.Base(file) == declaration.FileName {
		return true
	}
	_, object := jsonfile.Open(file, src)
	return object != nil && object.Has("routes")
}

// checkSettings validates a settings file. Only the settings of a control replica
// have a data directory, which distinguishes them from those of a daemon.
func checkSettings(file string, src []byte) jsonfile.Problems {
	if strings.HasSuffix(file, ".toml") {
		return platform.Check(file, src)
	}
	_, object := jsonfile.Open(file, src)
	if object != nil && object.Has("data_dir") {
		_, problems := settings.ParseControl(file, src)
		return problems
	}
	_, problems := settings.ParseDaemon(file, src)
	return problems
}
