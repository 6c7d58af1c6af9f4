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
type Report struct {
	Declarations int
	Settings     int
	Problems     jsonfile.Problems
}

// CheckFiles validates files without running anything: declaration files and
// files named *.settings.json in and below directories, and files that are
// given themselves, those in the format of the users' platform (*.toml) included. Declarations are checked as one whole set.
func CheckFiles(paths ...string) (*Report, error) {
	files, err := find(paths, func(name string) bool {
		return name == declaration.FileName || strings.HasSuffix(name, settings.Suffix)
	})
	if err != nil {
		return nil, err
	}
	r := &Report{}
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
		r.Settings++
		r.Problems = append(r.Problems, checkSettings(file, src)...)
	}
	if len(files) == 0 {
		return nil, &NoFilesError{paths}
	}
	r.Declarations = len(declarations)
	if len(declarations) > 0 {
		c, err := Collect(declarations...)
		if err != nil {
			return nil, err
		}
		r.Problems = append(r.Problems, c.Check(false)...)
	}
	r.Problems.Sort()
	return r, nil
}

// isDeclaration tells declarations from settings by name, and files with other
// names by the member that only declarations have.
func isDeclaration(file string, src []byte) bool {
	if filepath.Base(file) == declaration.FileName {
		return true
	}
	_, top := jsonfile.Open(file, src)
	return top != nil && top.Has("routes")
}

// checkSettings tells control settings from daemon settings by the data
// directory, which only a control replica has.
func checkSettings(file string, src []byte) jsonfile.Problems {
	if strings.HasSuffix(file, ".toml") {
		return platform.Check(file, src)
	}
	_, top := jsonfile.Open(file, src)
	if top != nil && top.Has("data_dir") {
		_, problems := settings.ParseControl(file, src)
		return problems
	}
	_, problems := settings.ParseDaemon(file, src)
	return problems
}
