// Package publish collects declaration files, checks them as a whole and
// sends them to control as one change.
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
	Problems  declaration.Problems // of the files themselves, warnings included
}

// NoFilesError reports directories without a declaration file.
type NoFilesError struct{ Paths []string }

// Error implements error.
func (e *NoFilesError) Error() string {
	return fmt.Sprintf("no %s in %s", declaration.FileName, strings.Join(e.Paths, ", "))
}

// Collect reads the declaration files in and below the given directories;
// paths of files are read as they are. Directories whose names start with a
// dot are skipped. Invalid declarations are not an error here: they are listed
// in Problems. A file that is reached twice is read once.
func Collect(paths ...string) (*Collection, error) {
	files, err := find(paths, func(name string) bool { return name == declaration.FileName })
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, &NoFilesError{paths}
	}
	c := &Collection{Files: files}
	for _, file := range files {
		src, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "reading a declaration")
		}
		s, positions, problems := declaration.Parse(file, src)
		c.Services = append(c.Services, s)
		c.Positions = append(c.Positions, positions)
		c.Problems = append(c.Problems, problems...)
	}
	return c, nil
}

// Check returns all problems. The set as a whole is checked only if each file
// is valid, since a broken file would cause problems in those that refer to it.
// With part set, calls to services outside of the collection are warnings.
func (c *Collection) Check(part bool) declaration.Problems {
	if len(c.Problems.Errors()) > 0 {
		return c.Problems
	}
	check := declaration.Check
	if part {
		check = declaration.CheckPart
	}
	problems := append(slices.Clone(c.Problems), check(c.Services, c.Positions)...)
	problems.Sort()
	return problems
}

// find lists the files below the paths whose base name is wanted, sorted, and
// the paths that are files themselves.
func find(paths []string, wanted func(name string) bool) ([]string, error) {
	var files []string
	for _, root := range paths {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case d.IsDir() && path != root && strings.HasPrefix(d.Name(), "."):
				return filepath.SkipDir
			case !d.IsDir() && (path == root || wanted(d.Name())):
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
