// Package publish collects declaration files, checks them as one set and sends them
// to control as one change.
package publish

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/bilberrydeck/bilberrydeck/declaration"
)

// Collection holds the declarations found in some directories.
type Collection struct {
	Files     []string // sorted
	Services  []declaration.Service
	Positions []declaration.Positions
	Problems  declaration.Problems // of the single files, warnings included
}

// NoFilesError reports that the paths contain no file to read.
type NoFilesError struct{ Paths []string }

// Error implements error.
func (e *NoFilesError) Error() string {
	return fmt.Sprintf("no %s in %s", declaration.FileName, strings.Join(e.Paths, ", "))
}

// Collect reads the declaration files in the given directories and their
// subdirectories; a path of a file is read whatever its name. Subdirectories whose
// names start with a dot are skipped. Invalid declarations are not returned as an
// error but listed in Problems. A file that several paths lead to is read once.
func Collect(paths ...string) (*Collection, error) {
	files, err := findFiles(paths, func(name string) bool { return name == declaration.FileName })
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, &NoFilesError{paths}
	}
	collection := &Collection{Files: files}
	for _, file := range files {
		src, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "reading a declaration")
		}
		service, positions, problems := declaration.Parse(file, src)
		collection.Services = append(collection.Services, service)
		collection.Positions = append(collection.Positions, positions)
		collection.Problems = append(collection.Problems, problems...)
	}
	return collection, nil
}

// Check returns all problems. The set as a whole is checked only if each file is
// valid, since an invalid file would cause misleading problems in files that refer to
// it. With partial set, calls to services outside of the collection are warnings.
func (c *Collection) Check(partial bool) declaration.Problems {
	if len(c.Problems.Errors()) > 0 {
		return c.Problems
	}
	check := declaration.Check
	if partial {
		check = declaration.CheckPart
	}
	problems := append(slices.Clone(c.Problems), check(c.Services, c.Positions)...)
	problems.Sort()
	return problems
}

// findFiles returns the sorted paths of the files in and below the given directories for
// which matches returns true, and the given paths that are files. matches is called
// with the base name.
func findFiles(paths []string, matches func(name string) bool) ([]string, error) {
	var files []string
	for _, root := range paths {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case d.IsDir() && path != root && strings.HasPrefix(d.Name(), "."):
				return filepath.SkipDir
			case !d.IsDir() && (path == root || matches(d.Name())):
				files = append(files, filepath.Clean(path))
			}
			return nil
		})
		if err != nil {
			return nil, errors.Wrap(err, "looking for files")
		}
	}
	slices.Sort(files)
	return slices.Compact(files), nil
}
