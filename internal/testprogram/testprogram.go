// Package testprogram builds the program for tests that run it as separate processes.
package testprogram

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

var program struct {
	sync.Once
	path string // empty before it is built
	err  error
}

// Path builds the program once for all tests of a process and returns the path of the binary.
func Path() (string, error) {
	program.Do(func() {
		dir, err := os.MkdirTemp("", "bilberrydeck-test-")
		if err != nil {
			program.err = err
			return
		}
		program.path = filepath.Join(dir, "bilberrydeck")
		out, err := exec.Command("go", "build", "-o", program.path, "github.com/bilberrydeck/bilberrydeck/cmd/bilberrydeck").CombinedOutput()
		if err != nil {
			program.err = fmt.Errorf("go build: %w: %s", err, out)
		}
	})
	return program.path, program.err
}

// Remove removes the binary. It is called when the tests have ended.
func Remove() {
	if program.path != "" {
		_ = os.RemoveAll(filepath.Dir(program.path)) // a temporary directory
	}
}
